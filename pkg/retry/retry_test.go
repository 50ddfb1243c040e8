package retry

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestNodesTogetherStayWithinBudget covers many slow shards, where all requests need a
// hedge. In no window of 10 s may the nodes together make more extra sends than the
// ratio and the allowance permit, however the load is spread over the nodes.
func TestNodesTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		nodes := rapid.IntRange(1, 9).Draw(rt, "nodes")
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			var budgets []*Budget
			for range nodes {
				budgets = append(budgets, New(WithRatio(0.2), WithAllowance(58), WithNodes(nodes)))
			}
			var requests, extras []time.Time
			for range 1500 {
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				b := budgets[random.IntN(nodes)*random.IntN(2)]
				b.Count("svc", 1)
				requests = append(requests, time.Now())
				for b.Spend("svc", Needed) {
					extras = append(extras, time.Now())
				}
			}
			for _, end := range extras {
				since := end.Add(-10 * time.Second)
				if got, limit := countWithin(extras, since, end), 0.2*float64(countWithin(requests, since, end))+58; float64(got) > limit {
					t.Fatalf("extra sends in a window = %d, want at most %v", got, limit)
				}
			}
		})
	})
}

func countWithin(times []time.Time, since, end time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(since) && !at.After(end) {
			n++
		}
	}
	return n
}

func TestSpeculativeHedgesLeaveReserve(t *testing.T) {
	b := New(WithRatio(0.2), WithAllowance(0))
	b.Count("svc", 100)
	speculative := 0
	for b.Spend("svc", Speculative) {
		speculative++
	}
	if !b.Spend("svc", Needed) {
		t.Errorf("Spend(Needed) after %d speculative hedges = false, want true", speculative)
	}
}
