package reach

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// linkSim replays what one node observes of its links. If they are sound, probes reach an
// upstream after the time takes, and otherwise only from the time heal on.
type linkSim struct {
	m     *Monitor
	sound bool
	heal  time.Duration
	takes time.Duration
	start time.Time

	mu     sync.Mutex // guards the monitor and what follows
	log    []string
	probes int
	// pending counts the probes in progress.
	pending sync.WaitGroup
}

func newLinkSim(sound bool, heal, takes time.Duration) *linkSim {
	return &linkSim{m: New(), sound: sound, heal: heal, takes: takes, start: time.Now()}
}

// step passes an event to the monitor and carries out its actions.
func (s *linkSim) step(ev Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.m.State()
	for _, a := range s.m.Step(ev) {
		if p, ok := a.(Probe); ok {
			s.probes += p.Upstreams
			s.pending.Go(s.probe)
		}
	}
	if after := s.m.State(); after != before {
		s.log = append(s.log, fmt.Sprintf("%v %v", time.Since(s.start), after))
	}
}

func (s *linkSim) probe() {
	if s.sound || time.Since(s.start) >= s.heal {
		time.Sleep(s.takes)
		s.step(Reached{})
		return
	}
	time.Sleep(500 * time.Millisecond)
	s.step(ProbeFailed{})
}

// run passes the events at their times and all Ticks, until the end.
func (s *linkSim) run(events map[time.Duration]Event, end time.Duration) {
	times := make([]time.Duration, 0, len(events))
	for at := range events {
		times = append(times, at)
	}
	slices.Sort(times)
	for time.Since(s.start) < end {
		next := s.start.Add(end)
		if len(times) > 0 {
			next = s.start.Add(times[0])
		}
		s.mu.Lock()
		wake, ok := s.m.Wake()
		s.mu.Unlock()
		if ok && wake.Before(next) {
			time.Sleep(time.Until(wake))
			synctest.Wait()
			s.step(Tick{})
			continue
		}
		// A probe that ends meanwhile changes when the next Tick is due.
		if step := s.start.Add(time.Since(s.start) + 10*time.Millisecond); step.Before(next) {
			time.Sleep(time.Until(step))
			synctest.Wait()
			continue
		}
		time.Sleep(time.Until(next))
		synctest.Wait()
		if len(times) > 0 {
			s.step(events[times[0]])
			times = times[1:]
		}
	}
}

// A node must be found cut off from all upstreams, and from nothing less, within half a
// second, and connected again within a probe interval.
func TestOnlyACutFromAllUpstreamsIsFound(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	search := Silent{Upstreams: 20, Known: 55, For: ms(150)}
	tests := []struct {
		name   string
		sound  bool
		heal   time.Duration
		events map[time.Duration]Event
		want   []string
	}{
		{"all links hang under a search, for 4 s", false, 4 * time.Second, map[time.Duration]Event{ms(150): search},
			[]string{"150ms suspected", "400ms cut", "4.17s connected"}},
		{"an index crashes, and other upstreams do not", true, 0, map[time.Duration]Event{ms(150): search},
			[]string{"150ms suspected", "170ms connected"}},
		{"connections are refused", false, 2 * time.Second,
			map[time.Duration]Event{ms(10): DialFailed{"a"}, ms(11): DialFailed{"b"}, ms(12): DialFailed{"c"}, ms(13): ProbeFailed{}},
			[]string{"12ms suspected", "13ms cut", "2.033s connected"}},
		{"one upstream refuses", false, time.Hour,
			map[time.Duration]Event{ms(10): DialFailed{"a"}, ms(11): DialFailed{"a"}, ms(12): DialFailed{"a"}, ms(500): DialFailed{"b"}}, nil},
		{"some upstreams refuse, others are connected to", false, time.Hour,
			map[time.Duration]Event{ms(10): DialFailed{"a"}, ms(11): DialFailed{"b"}, ms(12): Reached{}, ms(13): DialFailed{"c"}}, nil},
		{"one slow request", true, 0, map[time.Duration]Event{ms(150): Silent{Upstreams: 1, Known: 55, For: ms(150)}, ms(300): Silent{Upstreams: 1, Known: 55, For: ms(300)}}, nil},
		{"one request without an answer, and no other", false, ms(1200), map[time.Duration]Event{ms(600): Silent{Upstreams: 1, Known: 55, For: ms(600)}},
			[]string{"600ms suspected", "850ms cut", "1.37s connected"}},
		{"two upstreams in all, both silent", false, time.Hour, map[time.Duration]Event{ms(700): Silent{Upstreams: 2, Known: 2, For: ms(700)}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLinkSim(tt.sound, tt.heal, 20*time.Millisecond)
				s.run(tt.events, 6*time.Second)
				s.pending.Wait()
				if !slices.Equal(s.log, tt.want) {
					t.Errorf("states = %v, want %v", s.log, tt.want)
				}
			})
		})
	}
}

// A node whose upstreams pause again and again must not open connections each time.
func TestUnfoundedSuspicionsAreRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLinkSim(true, 0, 5*time.Millisecond)
		events := make(map[time.Duration]Event)
		for at := 200 * time.Millisecond; at < 10*time.Second; at += 150 * time.Millisecond {
			events[at] = Silent{Upstreams: 5, Known: 55, For: 150 * time.Millisecond}
		}
		s.run(events, 10*time.Second)
		s.pending.Wait()
		if got, limit := s.probes, 30; got > limit || got == 0 {
			t.Errorf("probes in 10 s = %d, want some and at most %d", got, limit)
		}
	})
}

// Requests that wait for the end of a cut must not make the node open connections without
// bound.
func TestProbesForWaitingRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLinkSim(false, time.Hour, 0)
		s.step(Silent{Upstreams: 9, Known: 55, For: time.Second})
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		s.step(Tick{})
		before := s.probes
		for range 1000 {
			s.step(Needed{})
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		s.pending.Wait()
		if got, limit := s.probes-before, 51; got > limit || got < limit/2 {
			t.Errorf("probes in 1 s = %d, want about and at most %d", got, limit)
		}
	})
}
