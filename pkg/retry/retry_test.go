package retry

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Replays many slow shards: all requests want a hedge. In no window of 10 s may
// the nodes together send more than the share and the allowance, however the
// load is spread over them.
func TestNodesTogetherKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		nodes := rapid.IntRange(1, 9).Draw(rt, "nodes")
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			var ledgers []*Budget
			for range nodes {
				ledgers = append(ledgers, New(WithRatio(0.2), WithAllowance(58), WithNodes(nodes)))
			}
			var requests, extras []time.Time
			for range 1500 {
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				l := ledgers[random.IntN(nodes)*random.IntN(2)]
				l.Count("svc", 1)
				requests = append(requests, time.Now())
				for l.Spend("svc", Needed) {
					extras = append(extras, time.Now())
				}
			}
			for _, end := range extras {
				since := end.Add(-10 * time.Second)
				if got, limit := within(extras, since, end), 0.2*float64(within(requests, since, end))+58; float64(got) > limit {
					t.Fatalf("extra arrivals in a window = %d, want at most %v", got, limit)
				}
			}
		})
	})
}

func within(times []time.Time, since, end time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(since) && !at.After(end) {
			n++
		}
	}
	return n
}

func TestEarlyHedgesLeaveRoom(t *testing.T) {
	l := New(WithRatio(0.2), WithAllowance(0))
	l.Count("svc", 100)
	early := 0
	for l.Spend("svc", Speculative) {
		early++
	}
	if !l.Spend("svc", Needed) {
		t.Errorf("Spend(Needed) after %d early hedges = false, want true", early)
	}
}
