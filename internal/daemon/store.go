package daemon

import (
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/outage"
	"geraniumstep.org/geraniumstep/pkg/reader"
)

// availability is what the known replies of the store show.
type availability struct {
	// away is set if no reply has come for so long that entries may have expired.
	away bool
	// returned is when the first reply came after the last such time, or zero.
	returned time.Time
}

// storeReplies records the known replies of the store. It is safe for concurrent use.
type storeReplies struct {
	mu     sync.Mutex
	record outage.Record
}

func (r *storeReplies) add(s outage.Span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Add(s)
}

func (r *storeReplies) fail(since, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Fail(since, now)
}

func (r *storeReplies) span() outage.Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record.Span()
}

func (r *storeReplies) availability(now time.Time) availability {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := availability{away: r.record.Away(now)}
	if end, ok := r.record.LastEnd(); ok {
		a.returned = end
	}
	return a
}

// Answered implements follow.Sink.
func (s *state) Answered(t follow.Topic) {
	now := time.Now()
	if since := s.failingSince[t].Swap(nil); since != nil {
		s.replies.fail(*since, now)
	}
	s.lastAnswer[t].Store(&now)
	s.replies.add(outage.At(now))
}

// Failed implements follow.Sink.
func (s *state) Failed(t follow.Topic, _ error) {
	now := time.Now()
	s.failingSince[t].CompareAndSwap(nil, &now)
	if since := s.failingSince[t].Load(); since != nil {
		s.replies.fail(*since, now)
	}
}

// Paused implements follow.Sink. It clears the failure, because failures before a
// pause do not show whether the store was available during it.
func (s *state) Paused(t follow.Topic) { s.failingSince[t].Store(nil) }

// StoreFailing implements mesh.State.
func (s *state) StoreFailing() time.Duration {
	longest := time.Duration(0)
	for t := range s.failingSince {
		if since := s.failingSince[t].Load(); since != nil {
			longest = max(longest, time.Since(*since))
		}
	}
	return longest
}

// StoreAge implements mesh.State.
func (s *state) StoreAge() time.Duration {
	oldest := time.Duration(0)
	// A watch of the evacuations waits longer, and shows nothing that the others do not.
	for _, t := range []follow.Topic{follow.Routes, follow.Upstreams} {
		at := s.started
		if answered := s.lastAnswer[t].Load(); answered != nil {
			at = *answered
		}
		oldest = max(oldest, time.Since(at))
	}
	return oldest
}

// StoreReplyAge implements mesh.State.
func (s *state) StoreReplyAge() time.Duration {
	newest := time.Since(s.started)
	for t := range s.lastAnswer {
		if answered := s.lastAnswer[t].Load(); answered != nil {
			newest = min(newest, time.Since(*answered))
		}
	}
	return newest
}

// StoreReplies implements mesh.State.
func (s *state) StoreReplies() outage.Span { return s.replies.span() }

// AddStoreReplies implements mesh.State. What was kept because of an outage that the replies
// refute is dropped at once.
func (s *state) AddStoreReplies(replies outage.Span) {
	now := time.Now()
	before := s.replies.availability(now)
	s.replies.add(replies)
	if s.replies.availability(now) != before {
		s.checkStore()
	}
}

// StoreInDoubt implements mesh.State.
func (s *state) StoreInDoubt() bool {
	span := s.replies.span()
	if span.IsZero() {
		return false
	}
	now := time.Now()
	return now.Sub(span.Last()) >= reader.MaxReplyAge || now.Sub(s.replies.availability(now).returned) < fleet.SettleTime
}

// checkStore reports the availability of the store to the directory and drops the
// retained entries whose time has passed.
func (s *state) checkStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateAvailability()
	if s.directory.Step(fleet.Tick{}) {
		s.updateEngine(0)
	}
	s.tickEvacuations()
	s.logRetained()
}

// updateAvailability reports the availability of the store to the directory. mu must be held.
func (s *state) updateAvailability() {
	now := time.Now()
	a := s.replies.availability(now)
	switch {
	case a.away:
		s.directory.Step(fleet.Unavailable{})
	case !a.returned.IsZero():
		s.directory.Step(fleet.Available{Since: a.returned})
	default:
		s.directory.Step(fleet.Uninterrupted{})
	}
	if a == s.availability {
		return
	}
	s.availability = a
	fields := logrus.Fields{
		"unavailable": a.away, "newest_reply": now.Sub(s.replies.span().Last()).Round(time.Millisecond).String(),
		"own_reply": s.StoreAge().Round(time.Millisecond).String(), "own_calls_failing": s.StoreFailing().Round(time.Millisecond).String(),
	}
	if !a.returned.IsZero() {
		fields["last_outage_ended"] = now.Sub(a.returned).Round(time.Millisecond).String()
	}
	s.log.WithFields(fields).Info("tier: availability of the store changed.")
}

// logRetained logs the removed upstreams that the directory keeps when there are more of them
// than before. mu must be held.
func (s *state) logRetained() {
	ids, until := s.directory.Retained()
	if len(ids) > s.retained {
		s.log.WithFields(logrus.Fields{
			"retained": len(ids), "upstreams": strings.Join(ids[:min(len(ids), maxLoggedEntries)], ", "),
			"longest": max(time.Until(until), 0).Round(time.Millisecond).String(), "unavailable": s.availability.away,
		}).Info("tier: removed upstreams are kept for now.")
	}
	s.retained = len(ids)
}
