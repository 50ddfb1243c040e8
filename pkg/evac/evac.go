// Package evac decides which failure domains are evacuated, so that their upstreams get no new
// requests, from what the registry lists.
//
//	s := evac.New()
//	s.Step(evac.Begun{Domain: "a"})
//	s.Step(evac.Loaded{})
//	domains, known := s.Domains()
//
// A Set is a state machine without I/O. An evacuation ends only when it is known to have been
// deleted: what a registry that was restored from an older copy lacks may have been lost, and is
// kept until its writer has had the time to write it again.
package evac

import (
	"maps"
	"slices"
	"time"
)

// KeepTime is how long an evacuation is kept that a restored registry lacks. Its writers write
// again what was lost within about 2 s of the restore, and a node may read that later by the time
// that a watch of the evacuations waits.
const KeepTime = 5 * time.Second

// Event is an input of Step: Begun, Ended, Missing, Loaded or Tick.
type Event interface{ event() }

// Begun reports that the registry lists an evacuation of the domain.
type Begun struct{ Domain string }

// Ended reports that the evacuation of the domain was deleted.
type Ended struct{ Domain string }

// Missing reports that a registry which was restored from an older copy lacks the evacuation of
// the domain.
type Missing struct{ Domain string }

// Loaded reports that all evacuations are known.
type Loaded struct{}

// Tick drops the missing evacuations that were not written again in time.
type Tick struct{}

func (Begun) event()   {}
func (Ended) event()   {}
func (Missing) event() {}
func (Loaded) event()  {}
func (Tick) event()    {}

// Set holds the evacuated domains. It is not safe for concurrent use.
type Set struct {
	loaded bool
	// until maps each evacuated domain to the end of its evacuation, which is zero unless the
	// registry lacks it.
	until map[string]time.Time
}

// New returns a Set that knows of nothing.
func New() *Set { return &Set{until: make(map[string]time.Time)} }

// Step applies an event and reports whether Domains has changed.
func (s *Set) Step(ev Event) bool {
	switch ev := ev.(type) {
	case Begun:
		_, known := s.until[ev.Domain]
		s.until[ev.Domain] = time.Time{}
		return !known
	case Ended:
		_, known := s.until[ev.Domain]
		delete(s.until, ev.Domain)
		return known
	case Missing:
		if end, known := s.until[ev.Domain]; known && end.IsZero() {
			s.until[ev.Domain] = time.Now().Add(KeepTime)
		}
	case Loaded:
		changed := !s.loaded
		s.loaded = true
		return changed
	case Tick:
		return s.dropMissing(time.Now())
	}
	return false
}

// dropMissing ends the evacuations that were kept for KeepTime.
func (s *Set) dropMissing(now time.Time) bool {
	before := len(s.until)
	maps.DeleteFunc(s.until, func(_ string, end time.Time) bool { return !end.IsZero() && !now.Before(end) })
	return len(s.until) != before
}

// Domains returns the evacuated domains in order. Known is false until all evacuations are known:
// then any domain may be evacuated.
func (s *Set) Domains() (domains []string, known bool) {
	return slices.Sorted(maps.Keys(s.until)), s.loaded
}

// Kept returns how many evacuations are kept that the registry lacks.
func (s *Set) Kept() int {
	n := 0
	for _, end := range s.until {
		if !end.IsZero() {
			n++
		}
	}
	return n
}
