package admit

import (
	"cmp"
	"slices"
	"time"
)

//go:generate go tool stringer -type Cause -linecomment

// Cause is why a request is rejected.
type Cause uint8

// The causes.
const (
	CauseQueues   Cause = iota // queues
	CauseShare                 // share
	CauseDeadline              // deadline
)

// Leg is what a request of a workspace expects of one of its legs.
type Leg struct {
	// Share is the expected time to an answer if of each other workspace no more counted
	// than this one has there with the request, whatever the priorities.
	Share time.Duration
	// Turn is the expected time to an answer in the order in which requests wait.
	Turn time.Duration
	// Own is the number of requests of the workspace that wait or run there.
	Own int
}

// DecideShare returns the decision on a request of a workspace whose legs Decide expects
// later than the target. A leg is within the share of the workspace if Share is within the
// target, that is, while the workspace has no more there than the level at which all active
// workspaces, each cut off at it, fill the room up to the target (max-min); one request is
// always within it. Such a leg need only meet the deadline. The request is admitted if
// minAnswered legs are within the share and meet the deadline.
func DecideShare(legs []Leg, minAnswered int, untilTarget, untilDeadline time.Duration) Decision {
	if len(legs) < minAnswered {
		return Reject{RetryAfter: minRetryAfter}
	}
	if minAnswered <= 0 {
		return Admit{}
	}
	sorted := slices.Clone(legs)
	slices.SortFunc(sorted, func(a, b Leg) int {
		return cmp.Compare(a.excess(untilTarget, untilDeadline), b.excess(untilTarget, untilDeadline))
	})
	needed := sorted[minAnswered-1]
	excess := needed.excess(untilTarget, untilDeadline)
	if excess <= 0 {
		return Admit{}
	}
	reject := Reject{RetryAfter: max(excess, minRetryAfter), Cause: CauseDeadline, Interval: needed.Turn / time.Duration(needed.Own+1)}
	if needed.isAbove(untilTarget) {
		reject.Cause = CauseShare
	}
	return reject
}

// isAbove reports whether the workspace has more than its share with the request.
func (l Leg) isAbove(untilTarget time.Duration) bool { return l.Own > 0 && l.Share > untilTarget }

// excess returns by how much the leg is later than its share and the deadline allow.
func (l Leg) excess(untilTarget, untilDeadline time.Duration) time.Duration {
	late := l.Turn - untilDeadline
	if l.Own > 0 {
		late = max(late, l.Share-untilTarget)
	}
	return late
}
