package admit

import (
	"slices"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

const (
	// returnWindow is the fraction of the time until the deadline within which refused
	// callers are asked to return, so that enough of it is left for an answer.
	returnWindow = 0.5
	// aboveHold is how long a workspace counts as above its share after a refusal for that
	// reason.
	aboveHold = 10 * time.Second
	// maxEntries is the number of entries above which those in the past are dropped.
	maxEntries = 4096
)

// Shares decides on the requests of workspaces, and when refused callers return: those of a
// workspace one after another, at the pace at which it is served, urgent ones before others.
// It is safe for concurrent use.
type Shares struct {
	mu sync.Mutex
	// admitted is when a request of a workspace that was expected late was last admitted.
	admitted map[string]time.Time
	// next is the time of the next return.
	next map[returnKey]time.Time
	// above is when a request of a workspace was last above its share.
	above map[string]time.Time
}

type returnKey struct {
	workspace string
	priority  prio.Priority
}

// NewShares returns Shares without any request.
func NewShares() *Shares {
	return &Shares{admitted: make(map[string]time.Time), next: make(map[returnKey]time.Time), above: make(map[string]time.Time)}
}

// Request is a request of a workspace that Decide rejects.
type Request struct {
	Workspace   string
	Priority    prio.Priority
	Legs        []Leg
	MinAnswered int
	// UntilTarget and UntilDeadline are the times left.
	UntilTarget, UntilDeadline time.Duration
}

// Decide returns the decision of DecideShare. A workspace that has had a late request admitted
// within the time until the target has no claim to a first one: if it keeps coming back as
// soon as it has none in flight, its requests make all others late.
func (s *Shares) Decide(now time.Time, q Request) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.admitted[q.Workspace]; ok && now.Sub(last) < q.UntilTarget {
		q.Legs = slices.Clone(q.Legs)
		for i := range q.Legs {
			q.Legs[i].Own = max(q.Legs[i].Own, 1)
		}
	}
	decision := DecideShare(q.Legs, q.MinAnswered, q.UntilTarget, q.UntilDeadline)
	switch d := decision.(type) {
	case Admit:
		prune(s.admitted, now.Add(-q.UntilTarget))
		s.admitted[q.Workspace] = now
	case Reject:
		d.RetryAfter = s.place(now, q.Priority, q.Workspace, d, q.UntilDeadline)
		return d
	}
	return decision
}

// place returns the time after which the caller of a rejected request is to return. It is
// the RetryAfter of the rejection if no other caller of the workspace that is as urgent or
// more has been given a later time. Times beyond the window start again at its beginning.
func (s *Shares) place(now time.Time, p prio.Priority, workspace string, reject Reject, untilDeadline time.Duration) time.Duration {
	first := now.Add(reject.RetryAfter)
	last := now.Add(max(reject.RetryAfter, time.Duration(returnWindow*float64(untilDeadline))))
	at := first
	for q := p; q < prio.Count; q++ {
		if next := s.next[returnKey{workspace, q}]; next.After(at) {
			at = next
		}
	}
	if at.After(last) {
		at = first
	}
	prune(s.next, now)
	s.next[returnKey{workspace, p}] = at.Add(reject.Interval)
	return at.Sub(now)
}

// prune drops the times before the given one if there are many. The workspaces in use are no
// more than the configuration has; others may have been removed from it.
func prune[K comparable](times map[K]time.Time, before time.Time) {
	if len(times) < maxEntries {
		return
	}
	for key, at := range times {
		if at.Before(before) {
			delete(times, key)
		}
	}
}

// RecordAbove records that a request of the workspace was above its share, and reports
// whether the workspace was not above it before.
func (s *Shares) RecordAbove(now time.Time, workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.above[workspace]
	s.above[workspace] = now
	return !ok || now.Sub(last) > aboveHold
}

// Above returns the number of workspaces that were above their share of late.
func (s *Shares) Above(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for workspace, last := range s.above {
		if now.Sub(last) > aboveHold {
			delete(s.above, workspace)
		}
	}
	return len(s.above)
}
