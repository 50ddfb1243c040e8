// Package search runs one search over many shards as a state machine: it sends
// shard requests, verifies replies, hedges stragglers, retries failed attempts
// where that is allowed, and computes the coverage of the answer from verified
// replies only. The machine performs no I/O; the caller passes it typed events
// and carries out the typed actions it returns:
//
//	s := search.New(plan, deps)
//	actions := s.Step(search.Start{})
//	actions = s.Step(search.Replied{Reply: r})
//	wake := s.Wake() // when to send the next search.Tick
//
// All shard requests of a search carry the index versions of one catalogue, so
// an answer never mixes two snapshots.
package search

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/layout"
)

// Target identifies one shard of an archive at one index version.
type Target struct {
	Archive string
	Shard   int
	Version uint64
}

// Hit is one search result.
type Hit struct {
	ID    string  `json:"id" msgpack:"i"`
	Score float64 `json:"score" msgpack:"s"`
	Text  string  `json:"text,omitempty" msgpack:"t"`
}

// Reply is the reply of an upstream to one shard request. Request, Attempt and
// Target echo the shard request that it belongs to.
type Reply struct {
	Request string
	Attempt uint32
	Target  Target
	Hits    []Hit
	Sum     float64
}

// Event is an input of Step: Start, Replied, Failed or Tick.
type Event interface{ event() }

// Start begins the search.
type Start struct{}

// Replied delivers a reply whose body was read completely. Attempt is the attempt
// on whose connection the reply arrived.
type Replied struct {
	Attempt uint32
	Reply   Reply
	// Wait is how long the shard request queued for its upstream.
	Wait time.Duration
}

// Failed reports that an attempt ended without a reply.
type Failed struct {
	Attempt uint32
	Cause   Cause
	// RetryAfter is the delay before a retry that the receiver suggested, or
	// zero.
	RetryAfter time.Duration
}

// Tick reports that the time returned by Wake has been reached.
type Tick struct{}

func (Start) event()   {}
func (Replied) event() {}
func (Failed) event()  {}
func (Tick) event()    {}

//go:generate go tool stringer -type Cause,Kind -linecomment -output enums_string.go

// Cause is why an attempt failed.
type Cause uint8

// The causes. The method notRun lists those that prove that the shard request did
// not run.
const (
	CauseRefused     Cause = iota // refused by the gate
	CauseDraining                 // upstream draining
	CauseShed                     // shed by the upstream
	CauseVersionGone              // version no longer served
	CauseBroken                   // connection broken
	CauseCrashed                  // upstream crashed
	CauseTimeout                  // timed out
	CauseQuarantined              // request quarantined
	CauseInvalid                  // reply invalid
	CauseUnreachable              // upstream unreachable
	CauseCut                      // front cut off from the upstreams
	CauseResting                  // upstream wants no requests for some time
)

// notRun reports whether the cause proves that no upstream ran the attempt.
func (c Cause) notRun() bool {
	switch c {
	case CauseRefused, CauseDraining, CauseShed, CauseVersionGone, CauseQuarantined, CauseUnreachable, CauseCut, CauseResting:
		return true
	}
	return false
}

// Action is an output of Step: Send, Cancel or Finish.
type Action interface{ action() }

// Send requires the caller to send one shard request.
type Send struct {
	Attempt  uint32
	Target   Target
	Upstream *layout.Upstream
	Hedge    bool
	// Solo requires an otherwise idle upstream, because the request is
	// suspected of crashing upstreams.
	Solo bool
}

// Cancel requires the caller to cancel an attempt that is no longer needed.
type Cancel struct{ Attempt uint32 }

// Finish ends the search. It is the last action.
type Finish struct{ Result Result }

func (Send) action()   {}
func (Cancel) action() {}
func (Finish) action() {}

// Kind is how a search ended.
type Kind uint8

// The kinds.
const (
	KindAnswered    Kind = iota // answered
	KindNotRun                  // not_run
	KindUnknown                 // unknown
	KindStale                   // snapshot no longer served
	KindQuarantined             // quarantined
)

// Result is the outcome of a search.
type Result struct {
	Kind       Kind
	Hits       []Hit
	Sum        float64
	Coverage   []Coverage
	RetryAfter time.Duration
	// Ran reports whether any upstream may have run a part of the search.
	Ran bool
	// Wait is the mean time that answered shard requests were queued, and
	// Refused is the number of attempts rejected by a gate or shed by an
	// upstream.
	Wait    time.Duration
	Refused int
}

// Coverage is the part of an archive that an answer is based on.
type Coverage struct {
	Archive string `json:"archive"`
	Version uint64 `json:"version"`
	Shards  int    `json:"shards"`
	Missing []int  `json:"missing,omitempty"`
}

// Answered returns the number of shards that the answer is based on.
func (c Coverage) Answered() int { return c.Shards - len(c.Missing) }

// Ratio returns the fraction of shards that answered, over all listed archives.
func Ratio(list []Coverage) float64 {
	shards, answered := 0, 0
	for _, c := range list {
		shards += c.Shards
		answered += c.Answered()
	}
	if shards == 0 {
		return 1
	}
	return float64(answered) / float64(shards)
}
