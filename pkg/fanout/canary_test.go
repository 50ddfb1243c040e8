package fanout

import (
	"testing"
	"testing/synctest"
	"time"
)

// canaryPlan returns a search of n shards whose legs 3, 5 and 7 may be its canary.
func canaryPlan(n int) Plan {
	p := plan(n, n-2)
	p.Canaries = []int{3, 5, 7}
	p.SecondCanary = time.Now().Add(80 * time.Millisecond)
	return p
}

func canaryDeps() *fakeDeps {
	return &fakeDeps{hedgeAfter: 30 * time.Millisecond, expected: 5 * time.Millisecond, budget: 100}
}

// legsOf returns the legs of the sends.
func legsOf(list []Send) []int {
	var legs []int
	for _, s := range list {
		legs = append(legs, s.Leg)
	}
	return legs
}

// sendsUntil ticks the machine for the given time and returns what it sends.
func sendsUntil(f *Fanout, d time.Duration) []Send {
	var list []Send
	for end := time.Now().Add(d); time.Until(f.Wake()) < time.Until(end); {
		time.Sleep(time.Until(f.Wake()))
		list = append(list, sends(f.Step(Tick{}))...)
	}
	return list
}

// A search that ends upstreams late in its run must not reach one of each shard.
func TestSearchWaitsForItsCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(canaryPlan(20), canaryDeps())
		first := append([]Send(nil), sends(f.Step(Start{}))...)
		if got := legsOf(first); len(got) != 1 || got[0] != 3 {
			t.Fatalf("legs sent at the start = %v, want [3]", got)
		}
		if got := sendsUntil(f, 70*time.Millisecond); len(got) != 0 {
			t.Errorf("sends while the canary is in flight = %v, want none", got)
		}
		if got, want := len(sends(f.Step(Answered{Attempt: first[0].Attempt}))), 19; got != want {
			t.Errorf("sends after the canary has answered = %d, want %d", got, want)
		}
	})
}

// A canary at a paused upstream must not make the search late: one more is sent, once.
func TestSecondCanaryIsSentBesideASlowOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(canaryPlan(20), canaryDeps())
		first := append([]Send(nil), sends(f.Step(Start{}))...)
		second := sendsUntil(f, 190*time.Millisecond)
		if got := legsOf(second); len(got) != 1 || got[0] != 5 {
			t.Fatalf("legs sent while the canary is slow = %v, want [5]", got)
		}
		if got, want := len(sends(f.Step(Answered{Attempt: second[0].Attempt}))), 18; got < want {
			t.Errorf("sends after the second canary has answered = %d, want the other %d legs", got, want)
		}
		f.Step(Answered{Attempt: first[0].Attempt})
		if got, want := f.Answered(), 2; got != want {
			t.Errorf("Answered() = %d, want %d", got, want)
		}
	})
}

// After a canary whose upstream has ended, the next one goes to another shard, and only when
// its result would count.
func TestNextCanaryGoesToAnotherShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(canaryPlan(20), canaryDeps())
		first := append([]Send(nil), sends(f.Step(Start{}))...)
		if got := breakAll(f, first); len(got) != 0 {
			t.Fatalf("sends at once after the canary broke = %v, want none", got)
		}
		next := sendsUntil(f, checkTime+time.Millisecond)
		if got := legsOf(next); len(got) != 1 || got[0] != 5 {
			t.Errorf("legs sent after the check = %v, want [5]", got)
		}
	})
}

// A canary that its upstream did not run shows nothing, and does not hold the search up.
func TestRejectedCanaryIsSentAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(canaryPlan(20), canaryDeps())
		first := append([]Send(nil), sends(f.Step(Start{}))...)
		next := sends(f.Step(Failed{Attempt: first[0].Attempt, NotRun: true}))
		if got, want := len(next), 1; got != want {
			t.Errorf("sends after the rejection = %d, want %d", got, want)
		}
	})
}

// A canary whose shard has no upstream must not hold the search up.
func TestCanaryOfAShardThatIsDownMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := canaryDeps()
		deps.down = map[string]bool{"D": true}
		f := New(canaryPlan(20), deps)
		if got := legsOf(sends(f.Step(Start{}))); len(got) != 1 || got[0] != 5 {
			t.Errorf("legs sent = %v, want [5]", got)
		}
	})
}

// A search that may not be risked at any shard fails at once, with nothing sent.
func TestSearchThatMayNotBeRiskedFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := canaryDeps()
		deps.last = map[string]bool{"D": true, "F": true, "H": true}
		f := New(canaryPlan(20), deps)
		actions := f.Step(Start{})
		if got, ok := outcome(actions); !ok || got != OutcomeFailed || len(sends(actions)) != 0 {
			t.Errorf("actions = %+v, want a failure without any send", actions)
		}
	})
}

// An upstream may answer the canary and end afterward. The other legs go on.
func TestCanaryThatAnsweredProvesTheSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(canaryPlan(20), canaryDeps())
		first := append([]Send(nil), sends(f.Step(Start{}))...)
		rest := append([]Send(nil), sends(f.Step(Answered{Attempt: first[0].Attempt}))...)
		if got, want := len(breakAll(f, rest[:1])), 1; got != want {
			t.Errorf("sends after another leg broke = %d, want a retry of it", got)
		}
	})
}

// A search whose connections break must leave the last upstream of a shard alone.
func TestTrialLeavesTheLastUpstreamOfAShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := canaryDeps()
		deps.last = map[string]bool{"A": true, "B": true, "C": true}
		f := New(plan(4, 4), deps)
		trial := breakAll(f, append([]Send(nil), sends(f.Step(Start{}))...))
		if got := legsOf(trial); len(got) != 1 || got[0] != 3 {
			t.Errorf("legs of the trials = %v, want [3]", got)
		}
	})
}

// A shard that is down must not delay an answer that is sufficient without it.
func TestAnswerDoesNotWaitForAShardThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := canaryDeps()
		deps.down = map[string]bool{"B": true}
		f := New(plan(4, 3), deps)
		first := append([]Send(nil), sends(f.Step(Start{}))...)
		if got, want := len(first), 3; got != want {
			t.Fatalf("sends = %d, want %d", got, want)
		}
		f.Step(Answered{Attempt: first[0].Attempt})
		f.Step(Answered{Attempt: first[1].Attempt})
		if got, ok := outcome(f.Step(Answered{Attempt: first[2].Attempt})); !ok || got != OutcomePartial {
			t.Errorf("outcome = %v, %v, want %v at once", got, ok, OutcomePartial)
		}
	})
}

// The time of a second canary may come while the trial after a canary that broke is in
// flight. It must not reach a third upstream.
func TestNoSecondCanaryBesideATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := canaryPlan(20)
		p.SecondCanary = time.Now().Add(checkTime + 10*time.Millisecond)
		f := New(p, canaryDeps())
		breakAll(f, append([]Send(nil), sends(f.Step(Start{}))...))
		if got, want := len(sendsUntil(f, checkTime+50*time.Millisecond)), 1; got != want {
			t.Errorf("sends after the canary broke = %d, want %d trial", got, want)
		}
	})
}
