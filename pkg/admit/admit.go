// Package admit is the admission control for requests: it decides whether a request
// can be answered within its latency target. A request that cannot is rejected
// immediately, before it is sent to any upstream, with the time after which the
// queues will have shrunk enough.
//
// It protects against a burst of one kind of request, or many slow upstreams, that
// make the queues at the upstreams longer than the target. Requests that cannot be
// answered in time would make all others late too.
//
//	switch d := admit.Decide(expected, minAnswered, left).(type) {
//	case admit.Admit:
//	case admit.Reject: // answer with d.RetryAfter
//	}
package admit

import (
	"slices"
	"time"
)

// Decision is the result of Decide: Admit or Reject.
type Decision interface{ decision() }

// Admit means that the request may be sent.
type Admit struct{}

// Reject means that the request must not be sent.
type Reject struct {
	// RetryAfter is the time after which the queues will have shrunk enough.
	RetryAfter time.Duration
	// Cause is why the request is rejected.
	Cause Cause
	// Interval is the time in which the workspace is served one request, if its share
	// decided.
	Interval time.Duration
}

func (Admit) decision()  {}
func (Reject) decision() {}

const minRetryAfter = 100 * time.Millisecond

// Decide returns the decision on a request. The expected times are those of its
// legs, of which minAnswered must answer within the time left.
func Decide(expected []time.Duration, minAnswered int, left time.Duration) Decision {
	if len(expected) < minAnswered {
		return Reject{RetryAfter: minRetryAfter}
	}
	if minAnswered <= 0 {
		return Admit{}
	}
	sorted := slices.Clone(expected)
	slices.Sort(sorted)
	needed := sorted[minAnswered-1]
	if needed <= left {
		return Admit{}
	}
	return Reject{RetryAfter: max(needed-left, minRetryAfter)}
}
