package finish

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

func TestRequestFitsIfTheLongestOfItsKindDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		start := time.Now()
		later := start.Add(time.Hour)
		check := func(when, kind string, deadline time.Time, want bool) {
			t.Helper()
			if got := s.Fits(kind, deadline); got != want {
				t.Errorf("%s: Fits(%s) = %v, want %v", when, kind, got, want)
			}
		}
		check("before the shutdown", "a", later, true)
		s.Record("a", 2*time.Second)
		s.Record("a", time.Second)
		s.Begin(start.Add(5 * time.Second))
		s.Begin(later) // has no effect
		check("with 5 s left", "a", later, true)
		check("with 5 s left", "without an answer", later, false)
		check("with a deadline before the end", "without an answer", start.Add(4*time.Second), true)
		time.Sleep(2 * time.Second)
		check("with 3 s left", "a", later, true)
		time.Sleep(time.Millisecond)
		check("with less than 3 s left", "a", later, false)
		if got, want := s.Clip(later), start.Add(5*time.Second); !got.Equal(want) {
			t.Errorf("Clip() of a later deadline = %v, want the end %v", got, want)
		}
		if got, want := s.Clip(start), start; !got.Equal(want) {
			t.Errorf("Clip() of an earlier deadline = %v, want %v", got, want)
		}
	})
}

// A slow answer of some time ago must not keep requests of its kind from being sent.
func TestOldAnswersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		latest := func() time.Duration {
			at, _ := s.LatestStart("a", time.Now().Add(48*time.Hour))
			return s.end.Load().Sub(at)
		}
		s.Begin(time.Now().Add(24 * time.Hour))
		s.Record("a", 2*time.Second)
		time.Sleep(generationTime)
		s.Record("a", time.Second)
		if got, want := latest(), 3*time.Second; got != want {
			t.Errorf("time needed in the next generation = %v, want %v", got, want)
		}
		time.Sleep(generationTime)
		if got, want := latest(), 1500*time.Millisecond; got != want {
			t.Errorf("time needed in the one after it = %v, want %v", got, want)
		}
		time.Sleep(2 * generationTime)
		if at, limited := s.LatestStart("a", time.Now().Add(48*time.Hour)); !at.IsZero() || !limited {
			t.Errorf("latest start long after the last answer = %v, %v, want none", at, limited)
		}
	})
}

func TestKindsAreBounded(t *testing.T) {
	s := New()
	for i := range 2 * maxKinds {
		s.Record(strconv.Itoa(i), time.Second)
	}
	if got, limit := len(s.current), maxKinds; got > limit {
		t.Errorf("kinds = %d, want at most %d", got, limit)
	}
}
