// Package finish decides what a process that shuts down still sends, so that each request is
// answered before the process ends. A request that is not known to be answered by then is rejected
// before it is sent to any upstream, and its caller can send it to another process.
//
// What a request needs is known from how long the answers to its kind have taken of late, at most.
// A request whose deadline is before the end always fits.
//
//	s := finish.New()
//	s.Record("checkout", took)
//	s.Begin(end)
//	if s.Fits("checkout", deadline) { ... } // send it, until s.Clip(deadline)
package finish

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// generationTime is how long answers are recorded in one generation. Two are kept.
	generationTime = 30 * time.Second
	// slackRatio is what an answer may take longer than the longest one known.
	slackRatio = 1.5
	// maxKinds bounds the kinds in a generation.
	maxKinds = 4096
)

// Stop is the shutdown of a process, which may lie ahead. It is safe for concurrent use.
type Stop struct {
	// end is by when all requests must be answered, or nil before the shutdown.
	end   atomic.Pointer[time.Time]
	begun chan struct{}

	mu sync.Mutex
	// current and old hold how long the answers to each kind of request have taken at most,
	// since the time since and in the generation before.
	current, old map[string]time.Duration
	since        time.Time
}

// New returns a Stop that has not begun.
func New() *Stop {
	return &Stop{begun: make(chan struct{}), current: make(map[string]time.Duration), since: time.Now()}
}

// Begin begins the shutdown. All requests must be answered by the end. Later calls have no
// effect.
func (s *Stop) Begin(end time.Time) {
	if s.end.CompareAndSwap(nil, &end) {
		close(s.begun)
	}
}

// Begun returns a channel that is closed when the shutdown begins.
func (s *Stop) Begun() <-chan struct{} { return s.begun }

// Clip returns the earlier one of a deadline and the end.
func (s *Stop) Clip(deadline time.Time) time.Time {
	if end := s.end.Load(); end != nil && end.Before(deadline) {
		return *end
	}
	return deadline
}

// Record records how long the answer to a request of a kind has taken.
func (s *Stop) Record(kind string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(time.Now())
	if longest, known := s.current[kind]; known || len(s.current) < maxKinds {
		s.current[kind] = max(longest, took)
	}
}

// Fits reports whether a request of a kind may still be sent.
func (s *Stop) Fits(kind string, deadline time.Time) bool {
	latest, limited := s.LatestStart(kind, deadline)
	return !limited || !time.Now().After(latest)
}

// LatestStart returns when a request of a kind must be sent at the latest, so that it is known to
// be answered before the end: the zero time if that is not known of any. It reports false if the
// end does not limit the request.
func (s *Stop) LatestStart(kind string, deadline time.Time) (at time.Time, limited bool) {
	end := s.end.Load()
	if end == nil || deadline.Before(*end) {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(time.Now())
	longest, known := s.current[kind]
	if old, ok := s.old[kind]; ok {
		longest, known = max(longest, old), true
	}
	if !known {
		return time.Time{}, true
	}
	return end.Add(-time.Duration(slackRatio * float64(longest))), true
}

// rotate begins a new generation when the current one is old. mu must be held.
func (s *Stop) rotate(now time.Time) {
	age := now.Sub(s.since)
	if age < generationTime {
		return
	}
	s.old = s.current
	if age >= 2*generationTime {
		s.old = nil
	}
	s.current, s.since = make(map[string]time.Duration), now
}
