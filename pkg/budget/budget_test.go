package budget_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"geraniumstep.org/geraniumstep/pkg/budget"
)

// TestNeverExceeded spends at random and checks that the extra requests never exceed the
// share of the primary requests plus the burst.
func TestNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const share, burst = 0.05, 10
		b := budget.New(share, budget.WithBurst(burst))
		primary, extra := 0, 0
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			n := rapid.IntRange(0, 50).Draw(rt, "primary")
			b.Earn(n)
			primary += n
			for range rapid.IntRange(0, 20).Draw(rt, "tries") {
				if b.Spend() {
					extra++
				}
			}
			if limit := share*float64(primary) + burst; float64(extra) > limit {
				rt.Fatalf("%d extra requests for %d primary ones, want at most %v", extra, primary, limit)
			}
		}
	})
}

func TestConcurrentSpend(t *testing.T) {
	b := budget.New(0.1, budget.WithBurst(100))
	var all sync.WaitGroup
	var spent atomic.Int64
	for range 8 {
		all.Go(func() {
			for range 1000 {
				b.Earn(1)
				if b.Spend() {
					spent.Add(1)
				}
			}
		})
	}
	all.Wait()
	if got := spent.Load(); got > 8000/10+100 {
		t.Errorf("%d tokens were spent, want at most %d", got, 8000/10+100)
	}
}

func TestReserveIsKept(t *testing.T) {
	b := budget.New(0, budget.WithBurst(20))
	for b.SpendAbove(0.25) {
	}
	if !b.Spend() {
		t.Error("Spend() after SpendAbove(0.25) ran out = false, want true")
	}
}
