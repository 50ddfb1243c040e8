package advice

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

func TestLeavingDoesNotEnd(t *testing.T) {
	var s State
	now := time.Now()
	if !s.Hear(Advice{Leaving: true}, now, 0) || s.Hear(Advice{Leaving: true}, now, 0) {
		t.Error("Hear() of two words of leaving: want true for the first only")
	}
	s.Hear(Advice{}, now, 0) // an older answer
	if s.Accepts(now.Add(time.Hour)) {
		t.Error("Accepts() after an answer without the word = true, want false")
	}
}

func TestRestLastsAsLongAsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s State
		start := time.Now()
		s.Hear(Advice{Rest: 3 * time.Second}, start, 0)
		s.Hear(Advice{Rest: time.Second}, start, 0) // a shorter one does not end it
		for _, c := range []struct {
			at   time.Duration
			want bool
		}{{0, false}, {2900 * time.Millisecond, false}, {3 * time.Second, true}} {
			if got := s.Accepts(start.Add(c.at)); got != c.want {
				t.Errorf("Accepts() after %v = %v, want %v", c.at, got, c.want)
			}
		}
		if _, ok := s.Wait(start, time.Second); ok {
			t.Error("Wait() for a caller that has 1 s = true, want false")
		}
		if got, ok := s.Wait(start, 4*time.Second); !ok || got != 3*time.Second {
			t.Errorf("Wait() for a caller that has 4 s = %v %v, want 3s", got, ok)
		}
	})
}

func TestRestOfAWeekIsBounded(t *testing.T) {
	var s State
	now := time.Now()
	s.Hear(Advice{Rest: 7 * 24 * time.Hour}, now, 1)
	if got, limit := s.RestLeft(now), MaxRest+maxSpread; got > limit || got < MaxRest {
		t.Errorf("RestLeft() = %v, want %v to %v", got, MaxRest, limit)
	}
}

// Many nodes that an upstream has sent to rest at the same time must not all return in the
// same moment.
func TestNodesReturnOneAfterTheOther(t *testing.T) {
	const nodes, rest = 300, 3 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Now()
	var states [nodes]State
	for i := range states {
		states[i].Hear(Advice{Rest: rest}, now, random.Float64())
	}
	most := 0
	for at := time.Duration(0); at < maxSpread; at += 10 * time.Millisecond {
		n := 0
		for i := range states {
			if left := states[i].RestLeft(now) - rest; left >= at && left < at+10*time.Millisecond {
				n++
			}
		}
		most = max(most, n)
	}
	if limit := nodes / 10; most > limit {
		t.Errorf("nodes that return within 10 ms = %d of %d, want at most %d", most, nodes, limit)
	}
}
