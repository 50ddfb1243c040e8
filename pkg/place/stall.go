package place

import (
	"sync/atomic"
	"time"
)

// stalls counts the stalls of an upstream since its last quick answer. Requests that were at the
// upstream together show the same stall, and all of them answer late. Only one that was sent
// after a late answer and is late itself shows that the upstream is slow.
type stalls struct {
	count atomic.Int64
	// lateAt is when the last late answer arrived, in nanoseconds since 1970.
	lateAt atomic.Int64
}

// record counts an answer, or a request without one, that took the given time until now. It is
// late if it took the time slow or more.
func (s *stalls) record(took, slow time.Duration, now time.Time) {
	if took < slow {
		s.count.Store(0)
		return
	}
	if now.Add(-took).UnixNano() >= s.lateAt.Load() {
		s.count.Add(1)
	}
	s.lateAt.Store(now.UnixNano())
}

// halfLife returns the half-life of what the late answers add to the expected latency.
func (s *stalls) halfLife() time.Duration {
	if s.count.Load() <= 1 {
		return stallHalfLife
	}
	return latencyHalfLife
}
