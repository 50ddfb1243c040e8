// Package outage decides whether a registry may have been away long enough for entries to
// expire, from the replies that several nodes have received from it. A registry that has
// answered any node was there for its writers, so that a node which has lost its own connection
// to it does not take this for an outage.
//
// A Record is a state machine that performs no I/O:
//
//	var r outage.Record
//	r.Add(outage.At(time.Now()))     // a reply to this node
//	r.Add(outage.Between(from, to))  // replies known to another node
//	end, ok := r.LastEnd()           // when the last outage ended, if there was one
package outage

import "time"

const (
	// MinLength is the length of the shortest outage in which an entry can expire. A writer's
	// entry expires after three heartbeat intervals of at least 1 s without a heartbeat, and the
	// first of them may have begun before the outage.
	MinLength = 2 * time.Second
	// MinFailing is the shortest outage while calls fail. It is shorter than MinLength, because
	// a writer whose heartbeat is late expires earlier.
	MinFailing = 1500 * time.Millisecond
)

// Span is a period in which the registry was there: it has no pause between replies that
// counts as an outage. The zero value is no reply.
type Span struct{ first, last time.Time }

// At returns the span of a single reply.
func At(t time.Time) Span { return Span{first: t, last: t} }

// Between returns the span from its first reply to its last.
func Between(first, last time.Time) Span { return Span{first: first, last: last} }

// First returns the time of the first reply.
func (s Span) First() time.Time { return s.first }

// Last returns the time of the last reply.
func (s Span) Last() time.Time { return s.last }

// IsZero reports whether the span holds no reply.
func (s Span) IsZero() bool { return s.last.IsZero() }

// joins reports whether the pause between two spans, if any, is shorter than the limit.
func (s Span) joins(other Span, limit time.Duration) bool {
	return !s.IsZero() && !other.IsZero() && s.first.Sub(other.last) < limit && other.first.Sub(s.last) < limit
}

// union returns the span that covers both.
func (s Span) union(other Span) Span {
	if other.first.Before(s.first) {
		s.first = other.first
	}
	if other.last.After(s.last) {
		s.last = other.last
	}
	return s
}

// Record holds what is known of a registry's replies. The zero value holds none. It is not
// safe for concurrent use.
type Record struct {
	// latest is the span of the newest reply, and earlier the one before the last outage.
	latest, earlier Span
	// failing is set if calls have failed since the newest reply for as long as MinFailing, and
	// failedBetween if they had between the two spans.
	failing, failedBetween bool
}

// limit returns the pause that counts as an outage.
func limit(failing bool) time.Duration {
	if failing {
		return MinFailing
	}
	return MinLength
}

// Add adds the replies of a span. They may be older than those that are known: replies within
// an outage show that there was none.
func (r *Record) Add(s Span) {
	switch {
	case s.IsZero():
		return
	case r.latest.IsZero():
		r.latest = s
		return
	case s.joins(r.latest, limit(r.failing)):
		if s.last.After(r.latest.last) {
			r.failing = false
		}
		r.latest = r.latest.union(s)
	case s.first.After(r.latest.last):
		r.earlier, r.failedBetween = r.latest, r.failing
		r.latest, r.failing = s, false
	case s.joins(r.earlier, limit(r.failedBetween)):
		r.earlier = r.earlier.union(s)
	case s.first.After(r.earlier.last):
		r.earlier, r.failedBetween = s, false
	}
	if r.latest.joins(r.earlier, limit(r.failedBetween)) {
		r.latest, r.earlier = r.latest.union(r.earlier), Span{}
	}
}

// Fail notes that calls have failed since a time without any reply.
func (r *Record) Fail(since, now time.Time) {
	if now.Sub(since) >= MinFailing && r.latest.last.Compare(since) <= 0 {
		r.failing = true
	}
}

// Span returns the span of the newest reply.
func (r *Record) Span() Span { return r.latest }

// Away reports whether the time since the newest reply counts as an outage. It does not if no
// reply is known.
func (r *Record) Away(now time.Time) bool {
	return !r.latest.IsZero() && now.Sub(r.latest.last) >= limit(r.failing)
}

// LastEnd returns the time of the first reply after the last outage; ok is false if no outage
// is known.
func (r *Record) LastEnd() (end time.Time, ok bool) {
	return r.latest.first, !r.earlier.IsZero()
}
