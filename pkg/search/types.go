// Package search runs one search over many shards as a state machine. It sends
// sub-requests, verifies replies, hedges stragglers, retries what may be
// retried, and ends with an answer whose coverage is computed from verified
// replies alone.
//
// The machine does no input or output. The caller feeds it typed events and
// carries out the typed actions it returns:
//
//	s := search.New(plan, deps)
//	actions := s.Step(search.Start{})
//	actions = s.Step(search.Replied{Reply: r})
//	wake := s.Wake() // when to send the next search.Tick
//
// All sub-requests of one search carry the index versions of one catalogue, so
// an answer never mixes two snapshots.
package search

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/layout"
)

// Target names one shard of one archive.
type Target struct {
	Archive string
	Shard   int
	Version uint64
}

// Hit is one result.
type Hit struct {
	ID    string  `json:"id" msgpack:"i"`
	Score float64 `json:"score" msgpack:"s"`
	Text  string  `json:"text,omitempty" msgpack:"t"`
}

// Reply is an upstream's answer to one sub-request, with everything echoed
// that tells which sub-request it belongs to.
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

// Replied delivers a reply whose body was read to its end. Attempt is the
// attempt on whose connection the reply came.
type Replied struct {
	Attempt uint32
	Reply   Reply
	// Wait is how long the sub-request queued for its upstream.
	Wait time.Duration
}

// Failed tells that an attempt ended without a reply.
type Failed struct {
	Attempt uint32
	Cause   Cause
	// RetryAfter is the far side's estimate of when to come back, or zero.
	RetryAfter time.Duration
}

// Tick tells that the time of Wake has come.
type Tick struct{}

func (Start) event()   {}
func (Replied) event() {}
func (Failed) event()  {}
func (Tick) event()    {}

//go:generate go tool stringer -type Cause,Kind -linecomment -output enums_string.go

// Cause tells why an attempt failed.
type Cause uint8

// The causes. The method notRun
// lists those that prove that the sub-request did not run.
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
)

// notRun tells whether the cause proves that no upstream ran the attempt.
func (c Cause) notRun() bool {
	switch c {
	case CauseRefused, CauseDraining, CauseShed, CauseVersionGone, CauseQuarantined, CauseUnreachable:
		return true
	}
	return false
}

// Action is an output of Step: Send, Cancel or Finish.
type Action interface{ action() }

// Send tells to send one sub-request.
type Send struct {
	Attempt  uint32
	Target   Target
	Upstream *layout.Upstream
	Hedge    bool
	// Solo asks for a slot on an otherwise idle upstream, because the
	// request is suspected of crashing upstreams.
	Solo bool
}

// Cancel tells that the attempt is no longer needed.
type Cancel struct{ Attempt uint32 }

// Finish ends the search. No action follows it.
type Finish struct{ Result Result }

func (Send) action()   {}
func (Cancel) action() {}
func (Finish) action() {}

// Kind tells how a search ended.
type Kind uint8

// The kinds.
const (
	KindAnswered    Kind = iota // answered
	KindNotRun                  // not_run
	KindUnknown                 // unknown
	KindStale                   // snapshot no longer served
	KindQuarantined             // quarantined
)

// Result is the end of a search.
type Result struct {
	Kind       Kind
	Hits       []Hit
	Sum        float64
	Coverage   []Coverage
	RetryAfter time.Duration
	// Ran tells whether any upstream may have run a part of the search.
	Ran bool
	// Wait is the mean time that answered sub-requests queued, and Refused
	// counts those that were refused or shed for load.
	Wait    time.Duration
	Refused int
}

// Coverage tells how much of one archive an answer rests on.
type Coverage struct {
	Archive string `json:"archive"`
	Version uint64 `json:"version"`
	Shards  int    `json:"shards"`
	Missing []int  `json:"missing,omitempty"`
}

// Answered is the number of shards that the answer rests on.
func (c Coverage) Answered() int { return c.Shards - len(c.Missing) }

// Ratio is the share of all shards that answered, over several archives.
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
