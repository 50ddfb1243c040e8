package limit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/pkg/limit"
)

// The limit must converge to the capacity of a server that accepts ten concurrent
// requests.
func TestLimitConvergesToCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity = 10
		l := limit.New(100, limit.WithMax(200))
		sum, rounds := 0, 0
		for i := range 400 {
			n := l.Limit()
			for range n {
				if n > capacity {
					l.Overload()
				} else {
					l.Success(n)
				}
			}
			time.Sleep(110 * time.Millisecond)
			if i >= 100 {
				sum += n
				rounds++
			}
		}
		if mean := float64(sum) / float64(rounds); mean < 0.7*capacity || mean > 1.1*capacity {
			t.Errorf("mean limit = %.1f, want near %d", mean, capacity)
		}
	})
}

func TestOverloadCountsOncePerCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limit.New(100, limit.WithDecrease(0.5))
		for range 50 {
			l.Overload()
		}
		if got, want := l.Limit(), 50; got != want {
			t.Errorf("Limit() = %d, want %d", got, want)
		}
	})
}

func TestIdleLimitDoesNotGrow(t *testing.T) {
	l := limit.New(10)
	for range 1000 {
		l.Success(1)
	}
	if got, want := l.Limit(), 10; got != want {
		t.Errorf("Limit() = %d, want %d", got, want)
	}
}
