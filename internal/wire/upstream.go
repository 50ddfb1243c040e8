// Package wire defines the messages of the HTTP protocols with callers and
// upstreams. The bodies are JSON, and functions read and write the headers:
//
//	timeout, err := wire.ParseTimeout(r.Header)
package wire

import (
	"encoding/json"
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// The paths that an upstream serves.
const (
	PathRun    = "/v1/run"
	PathHealth = "/v1/health"
	PathLoad   = "/v1/load"
)

// Run requests one shard's part of a search, or the run of one submission, from an
// upstream. The upstream must not start it after the deadline.
type Run struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	// Trace is the caller's X-Request-Id, for the logs.
	Trace    string          `json:"trace,omitempty"`
	Archive  string          `json:"archive"`
	Shard    int             `json:"shard"`
	Version  uint64          `json:"version"`
	Deadline time.Time       `json:"deadline"`
	Priority prio.Priority   `json:"priority"`
	Template string          `json:"template"`
	Params   json.RawMessage `json:"params"`
	// Key is the idempotency key of a submission, and empty for a search.
	Key string `json:"key,omitempty"`
}

// RunReply is an upstream's response. It repeats the request, attempt, archive,
// shard and version to which it responds.
type RunReply struct {
	Request string       `json:"request"`
	Attempt uint32       `json:"attempt"`
	Archive string       `json:"archive"`
	Shard   int          `json:"shard"`
	Version uint64       `json:"version"`
	Hits    []search.Hit `json:"hits"`
	Sum     float64      `json:"sum"`
	Started int64        `json:"started"`
}

// Health is the state that an upstream reports of itself. It may be stale or wrong.
type Health struct {
	State   string `json:"state"`
	Started int64  `json:"started"`
}

// The states that an upstream reports of itself.
const (
	StateOK       = "ok"
	StateDraining = "draining"
)

// Load is the load that an upstream reports. It may be stale or wrong.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// HeaderRefusal is the response header with the reason why an upstream did not run
// a request. It proves that the request did not run. The status is 503, 409 or 410.
const HeaderRefusal = "Upstream-Refusal"

// The values of HeaderRefusal.
const (
	RefusalDraining = "draining"
	RefusalShed     = "shed"
	RefusalVersion  = "version"
	RefusalDeadline = "deadline"
)
