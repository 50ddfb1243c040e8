// Package canary decides which shard requests of a search are sent first. A search that
// crashes the upstreams that run it would otherwise reach one upstream of each shard
// before the first crash shows. One shard request, the canary, is sent alone; the others
// follow when an upstream has run it to its end.
//
// Waiting for the canary costs the latency of one shard request. The load that this answers
// is a mix of ordinary searches with a few that crash upstreams, nearly all of them new, so
// that nothing is on record against them. A decision depends only on its arguments:
//
//	switch d := canary.Decide(canary.OnAlert, canary.Search{…}).(type) {
//	case canary.Together: // send all shard requests
//	case canary.Lead:     // send one, and the others after d.For
//	case canary.Await:    // send one, and the others after its result
//	}
package canary

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/poison"
)

//go:generate go tool stringer -type Mode -linecomment -output enums_string.go

// Mode is when unproven searches wait for a canary.
type Mode uint8

// The modes.
const (
	Never   Mode = iota // never
	OnAlert             // on_alert
	Always              // always
)

// ParseMode returns the mode with the name, or false if there is none.
func ParseMode(name string) (Mode, bool) {
	for _, m := range []Mode{Never, OnAlert, Always} {
		if m.String() == name {
			return m, true
		}
	}
	return Never, false
}

// Search is what a decision depends on.
type Search struct {
	// Verdict is the classification of the search, and Alerted reports whether
	// searches have crashed upstreams of late.
	Verdict poison.Verdict
	Alerted bool
	// Left is the time until the latency target, and Expected the expected latency of
	// one shard request.
	Left     time.Duration
	Expected time.Duration
	// Lead is how long one shard request is ahead of the others if they do not wait for
	// its result.
	Lead time.Duration
}

// Decision is Together, Lead or Await.
type Decision interface{ decision() }

// Together means that all shard requests are sent at once.
type Together struct{}

// Lead means that the canary is sent before the others for a fixed time, or until its
// result.
type Lead struct{ For time.Duration }

// Await means that the others wait for the result of the canary.
type Await struct {
	// Second is the time after which a second canary is sent, to another shard, if the
	// first has no result. It is 0 if none may be sent.
	Second time.Duration
}

func (Together) decision() {}
func (Lead) decision()     {}
func (Await) decision()    {}

const (
	// overdueFactor times the expected latency is when a canary is overdue.
	overdueFactor = 3
	// spreadFactor times the expected latency of one shard request is the expected
	// latency of the slowest of many.
	spreadFactor = 2
)

// Decide returns how the shard requests of a search are sent.
func Decide(m Mode, s Search) Decision {
	switch s.Verdict {
	case poison.Suspect, poison.Quarantined:
		return Await{}
	case poison.Proven:
		return Together{}
	case poison.Novel:
	}
	switch {
	case m == Always, m == OnAlert && s.Alerted:
		return Await{Second: secondAfter(s)}
	case m == OnAlert && s.Lead > 0:
		return Lead{For: s.Lead}
	}
	return Together{}
}

// secondAfter returns the latest time after which a second canary can still answer, and
// the other shard requests after it, within the target. A canary that is not overdue is
// worth waiting for in any case.
func secondAfter(s Search) time.Duration {
	latest := s.Left - (1+spreadFactor)*s.Expected
	return max(latest, overdueFactor*s.Expected)
}

// Shard is what is known of the upstreams of one shard: how many are listed, and how many
// of them are live.
type Shard struct{ Listed, Live int }

// MayRisk reports whether a search under which an upstream may have ended, if suspect is
// set, or that has completed nowhere yet, may be sent to an upstream of the shard. A suspect
// must leave the last upstream of a shard alone, unless the shard never had more. Lost is
// the number of shards of the search without a live upstream.
//
// Others take the risk: nearly all of them are harmless, and to reject them while each shard
// has a single upstream left would be an outage for certain.
func MayRisk(s Shard, lost int, suspect bool) bool {
	if suspect && s.Live <= 1 {
		return s.Listed == 1 && lost == 0
	}
	return true
}
