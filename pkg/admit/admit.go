// Package admit decides at the door whether a request can be served within its
// target. What cannot is rejected at once, before any upstream has seen it, with
// the time after which there will be room.
//
// The load it answers: a burst of one kind of request, or many slow upstreams,
// so that queues at the upstreams grow beyond the target. Requests that would
// only arrive late would make all others late too.
//
//	switch d := admit.Judge(expected, least, left).(type) {
//	case admit.Admit:
//	case admit.Reject: // answer with d.RetryAfter
//	}
package admit

import (
	"slices"
	"time"
)

// Decision is the result of Judge: Admit or Reject.
type Decision interface{ decision() }

// Admit lets the request in.
type Admit struct{}

// Reject turns the request away.
type Reject struct {
	// RetryAfter is when the queues will have shrunk enough.
	RetryAfter time.Duration
}

func (Admit) decision()  {}
func (Reject) decision() {}

// minRetry is the shortest time that a client is told to stay away.
const minRetry = 100 * time.Millisecond

// Decide decides on a request whose legs are expected to take the given times,
// of which least must be served within left.
func Decide(expected []time.Duration, least int, left time.Duration) Decision {
	if len(expected) < least {
		return Reject{RetryAfter: minRetry}
	}
	if least <= 0 {
		return Admit{}
	}
	sorted := slices.Clone(expected)
	slices.Sort(sorted)
	needed := sorted[least-1]
	if needed <= left {
		return Admit{}
	}
	return Reject{RetryAfter: max(needed-left, minRetry)}
}
