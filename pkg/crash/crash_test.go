package crash

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/pkg/poison"
)

// upstreamSim is an upstream as a probe finds it.
type upstreamSim struct {
	// result returns the result of a probe at the given time since the start.
	result func(at time.Duration) Result
	// takes is how long a probe takes.
	takes time.Duration
	// heard lists when the upstream responds to other requests.
	heard []time.Duration
	// connected reports whether anything else responds to this node.
	connected bool
	// probes counts the probes.
	probes int
}

// replay feeds the events to a watch at their times, executes its actions for the given
// time, and returns those other than probes.
func (s *upstreamSim) replay(events map[time.Duration]Event, length time.Duration) []Action {
	start := time.Now()
	w := New(func(Run) bool { return false }, func(time.Time) bool { return s.connected })
	var actions []Action
	for at := time.Duration(0); at <= length; at += time.Millisecond {
		time.Sleep(time.Until(start.Add(at)))
		if ev, ok := events[at]; ok {
			w.Step(ev)
		}
		if slices.Contains(s.heard, at) {
			w.Heard(time.Now())
		}
		if due, ok := w.Wake(); !ok || time.Now().Before(due) {
			continue
		}
		for _, a := range w.Step(Tick{}) {
			if _, ok := a.(Probe); !ok {
				actions = append(actions, a)
				continue
			}
			s.probes++
			time.Sleep(s.takes)
			actions = append(actions, w.Step(Probed{Result: s.result(time.Since(start))})...)
		}
	}
	return actions
}

func always(r Result) func(time.Duration) Result { return func(time.Duration) Result { return r } }

func runOf(f poison.Fingerprint) Run {
	return Run{Fingerprint: f, Sent: time.Now(), Ended: time.Now()}
}

// kinds names the actions.
func kinds(actions []Action) []string {
	var list []string
	for _, a := range actions {
		switch a := a.(type) {
		case Doubted:
			list = append(list, "doubted")
		case Cleared:
			list = append(list, "cleared")
		case Withdrawn:
			list = append(list, "withdrawn")
		case Ended:
			if a.Presumed {
				list = append(list, "presumed")
			} else {
				list = append(list, "ended")
			}
		}
	}
	return list
}

// What becomes of an attempt whose connection broke, by what is heard of its upstream.
func TestEndIsConcludedFromWhatIsHeardOfTheUpstream(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := []struct {
		name string
		sim  upstreamSim
		want []string
	}{
		{"refuses connections", upstreamSim{result: always(Refused), connected: true}, []string{"ended"}},
		{"another instance at the address", upstreamSim{result: always(Replaced), connected: true}, []string{"ended"}},
		{"one lost answer", upstreamSim{result: always(Responded), takes: ms(5), connected: true}, []string{"cleared"}},
		{"resets connections", upstreamSim{result: always(Closed), connected: true}, []string{"doubted", "presumed"}},
		{"silent", upstreamSim{result: always(Silent), takes: ms(500), connected: true}, []string{"doubted", "presumed"}},
		{"silent, as is everything else", upstreamSim{result: always(Silent), takes: ms(500)}, []string{"doubted", "cleared"}},
		{"full, and responds on other connections", upstreamSim{result: always(Closed), heard: []time.Duration{ms(300)}, connected: true}, []string{"doubted", "cleared"}},
		{"paused for 300 ms", upstreamSim{result: func(at time.Duration) Result {
			if at < ms(300) {
				return Closed
			}
			return Responded
		}, connected: true}, []string{"doubted", "cleared"}},
		{"cut off for 4 s", upstreamSim{result: func(at time.Duration) Result {
			if at < 4*time.Second {
				return Silent
			}
			return Responded
		}, takes: ms(500), connected: true}, []string{"doubted", "presumed", "withdrawn"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := kinds(tt.sim.replay(map[time.Duration]Event{0: Broke{Run: runOf(1)}}, 20*time.Second))
				if !slices.Equal(got, tt.want) {
					t.Errorf("actions = %v, want %v", got, tt.want)
				}
			})
		})
	}
}

// An upstream that responds to a probe at once, beside a request without a response, was
// reported to all nodes as possibly crashed.
func TestUpstreamThatRespondsToAProbeIsNotDoubted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := upstreamSim{result: always(Responded), takes: time.Millisecond, connected: true}
		got := kinds(s.replay(map[time.Duration]Event{SilentAfter: Unanswered{Run: runOf(1)}}, 3*time.Second))
		if want := []string{"cleared"}; !slices.Equal(got, want) {
			t.Errorf("actions = %v, want %v", got, want)
		}
	})
}

// A request that is in flight when its upstream vanishes must be known within 3 s.
func TestUnansweredRunIsPresumedToHaveEndedItsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := upstreamSim{result: always(Silent), takes: 500 * time.Millisecond, connected: true}
		run := runOf(1)
		got := s.replay(map[time.Duration]Event{SilentAfter: Unanswered{Run: run}}, 3*time.Second)
		if want := []string{"doubted", "presumed"}; !slices.Equal(kinds(got), want) {
			t.Fatalf("actions = %v, want %v", kinds(got), want)
		}
		if got := got[1].(Ended).Runs; len(got) != 1 || got[0] != run {
			t.Errorf("runs = %v, want the one that was unanswered", got)
		}
	})
}

// A new incarnation in the registry ends the check of the old one with a crash, even if
// its address responds.
func TestRestartAtTheSameAddressIsACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := upstreamSim{result: always(Responded), connected: true}
		got := s.replay(map[time.Duration]Event{0: Broke{Run: runOf(1)}, 10 * time.Millisecond: Left{Restarted: true}}, time.Second)
		if want := []string{"ended"}; !slices.Equal(kinds(got), want) {
			t.Errorf("actions = %v, want %v", kinds(got), want)
		}
	})
}

// An upstream that stays silent must not be probed for ever.
func TestReviewOfAPresumptionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := upstreamSim{result: always(Silent), takes: 500 * time.Millisecond, connected: true}
		s.replay(map[time.Duration]Event{0: Broke{Run: runOf(1)}}, 5*time.Minute)
		const maxProbes = 24
		if s.probes > maxProbes {
			t.Errorf("probes = %d, want at most %d", s.probes, maxProbes)
		}
	})
}

// A canceled attempt is a suspect of a crash that shows shortly afterward.
func TestCanceledRunIsSuspectOfALaterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := upstreamSim{result: always(Refused), connected: true}
		run := runOf(1)
		run.Canceled = true
		got := s.replay(map[time.Duration]Event{0: Canceled{Run: run}, 100 * time.Millisecond: DialRefused{}}, time.Second)
		if len(got) != 1 || !slices.Equal(got[0].(Ended).Runs, []Run{run}) {
			t.Errorf("actions = %v, want the end of the upstream under the canceled run", got)
		}
	})
}
