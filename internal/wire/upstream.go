// Package wire holds the messages of the protocols towards callers and
// upstreams: JSON bodies over HTTP.
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

// Run asks an upstream for one shard's part of a search, or to run one
// non-idempotent request. The upstream must not begin it after the deadline.
type Run struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	// Trace is the caller's X-Request-Id, for logs.
	Trace    string          `json:"trace,omitempty"`
	Archive  string          `json:"archive"`
	Shard    int             `json:"shard"`
	Version  uint64          `json:"version"`
	Deadline time.Time       `json:"deadline"`
	Priority prio.Priority   `json:"priority"`
	Template string          `json:"template"`
	Params   json.RawMessage `json:"params"`
	// Key is the idempotency key of a non-idempotent request, else empty.
	Key string `json:"key,omitempty"`
}

// RunReply is an upstream's answer. It echoes what it answers.
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

// Health is an upstream's view of itself, which may lag or mislead.
type Health struct {
	State   string `json:"state"`
	Started int64  `json:"started"`
}

// The states that an upstream reports of itself.
const (
	StateOK       = "ok"
	StateDraining = "draining"
)

// Load is the load that an upstream reports, which may lag or mislead.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// HeaderRefusal tells why an upstream did not run a request, with status 503,
// 409 or 410.
const HeaderRefusal = "Upstream-Refusal"

// The values of HeaderRefusal.
const (
	RefusalDraining = "draining"
	RefusalShed     = "shed"
	RefusalVersion  = "version"
	RefusalDeadline = "deadline"
)
