// Package advice holds what an upstream says of itself in its answers: that it leaves, so
// that it must get no new requests, and that it wants none for some time.
//
//	var s advice.State
//	news := s.Hear(advice.Advice{Leaving: true}, time.Now(), 0)
//	if s.Accepts(time.Now()) { … }
//
// A State belongs to one incarnation. That it leaves does not end with it: an answer without
// the word may be older than one with it.
package advice

import (
	"sync/atomic"
	"time"
)

const (
	// MaxRest bounds the time for which an upstream gets no requests because it asked for
	// it, so that a wrong value does not remove it for good.
	MaxRest = 10 * time.Minute
	// spreadDivisor and maxSpread bound the time after the end of a rest until which the
	// nodes return to the upstream, so that not all of them do at once.
	spreadDivisor = 8
	maxSpread     = 500 * time.Millisecond
)

// Advice is what one answer says.
type Advice struct {
	// Leaving reports that the upstream leaves.
	Leaving bool
	// Rest is how long it wants no requests from this node, or 0.
	Rest time.Duration
}

// State is what one incarnation of an upstream has said. The zero value is that of one that
// has said nothing. It is safe for concurrent use.
type State struct {
	leaving atomic.Bool
	// restUntil is the end of the rest in nanoseconds since 1970.
	restUntil atomic.Int64
}

// Hear records what an answer says and reports whether it is the first word of leaving.
// Spread, from 0 to 1, is this node's part of the time in which the nodes return after a
// rest.
func (s *State) Hear(a Advice, now time.Time, spread float64) (leaves bool) {
	if a.Rest > 0 {
		rest := min(a.Rest, MaxRest)
		s.extendRest(now.Add(rest + time.Duration(spread*float64(min(rest/spreadDivisor, maxSpread)))))
	}
	return a.Leaving && !s.leaving.Swap(true)
}

// extendRest sets the end of the rest unless a later one is set.
func (s *State) extendRest(until time.Time) {
	for {
		old := s.restUntil.Load()
		if old >= until.UnixNano() || s.restUntil.CompareAndSwap(old, until.UnixNano()) {
			return
		}
	}
}

// Leaving reports whether the upstream has said that it leaves.
func (s *State) Leaving() bool { return s.leaving.Load() }

// RestLeft returns how much longer the upstream wants no requests.
func (s *State) RestLeft(now time.Time) time.Duration {
	return max(time.Duration(s.restUntil.Load()-now.UnixNano()), 0)
}

// Accepts reports whether the upstream may be sent a request now.
func (s *State) Accepts(now time.Time) bool { return !s.Leaving() && s.RestLeft(now) == 0 }

// Wait returns the time until the upstream may be sent a request. It returns false if that
// never comes, or later than the longest time that the caller can wait.
func (s *State) Wait(now time.Time, longest time.Duration) (time.Duration, bool) {
	if s.Leaving() {
		return 0, false
	}
	left := s.RestLeft(now)
	return left, left == 0 || left < longest
}

// News is that an upstream leaves, as nodes tell each other.
type News struct {
	// Upstream and Started identify the incarnation: its ID, and its start in
	// milliseconds since 1970.
	Upstream string `msgpack:"u"`
	Started  int64  `msgpack:"s"`
}
