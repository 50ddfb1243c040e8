package fanout

import (
	"testing"
	"testing/synctest"
	"time"
)

// breakAll reports all attempts as broken and returns the sends that follow.
func breakAll(f *Fanout, attempts []Send) []Send {
	var next []Send
	for _, s := range attempts {
		next = append(next, sends(f.Step(Failed{Attempt: s.Attempt, Broken: true}))...)
	}
	return next
}

// A search that crashes upstreams breaks the connections of all its legs. Only one of
// them may be sent again, and none once the request is blocked.
func TestSearchThatBreaksEverywhereIsRetriedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := &fakeDeps{hedgeAfter: 30 * time.Millisecond, expected: 5 * time.Millisecond, budget: 100}
		f := New(plan(20, 18), deps)
		first := append([]Send(nil), sends(f.Step(Start{}))...)
		trials := breakAll(f, first)
		if got, want := len(trials), 1; got != want {
			t.Fatalf("sends after all connections broke = %d, want %d", got, want)
		}
		if got := breakAll(f, trials); len(got) != 0 {
			t.Errorf("sends after the trial broke too = %v, want none before the upstream is checked", got)
		}
		deps.blocked = true
		time.Sleep(time.Until(f.Wake()))
		if got, ok := outcome(f.Step(Tick{})); !ok || got != OutcomeFailed {
			t.Errorf("outcome of the blocked request = %v, %v, want %v", got, ok, OutcomeFailed)
		}
	})
}

// Connections that broke before the trial, but are noticed after it, must not end the
// pause in which its upstream is checked.
func TestLateBreaksDoNotEndThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := &fakeDeps{hedgeAfter: time.Second, expected: 5 * time.Millisecond, budget: 100}
		f := New(plan(20, 18), deps)
		first := append([]Send(nil), sends(f.Step(Start{}))...)
		trial := breakAll(f, first[:1])
		if got := breakAll(f, append(trial, first[1:]...)); len(got) != 0 {
			t.Errorf("sends after the trial and all other connections broke = %v, want none", got)
		}
	})
}

// Upstreams that break connections and do not crash must not fail a search.
func TestSearchContinuesAfterBrokenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := &fakeDeps{hedgeAfter: time.Second, expected: 5 * time.Millisecond, budget: 100}
		f := New(plan(4, 4), deps)
		first := append([]Send(nil), sends(f.Step(Start{}))...)
		trial := breakAll(f, first[:3])
		if got, want := len(trial), 1; got != want {
			t.Fatalf("sends after three connections broke = %d, want %d", got, want)
		}
		released := append([]Send(nil), sends(f.Step(Answered{Attempt: first[3].Attempt}))...)
		if got, want := len(released), 2; got != want {
			t.Errorf("sends after an answer = %d, want the %d that were held", got, want)
		}
		for _, s := range append(released, trial...) {
			if got, ok := outcome(f.Step(Answered{Attempt: s.Attempt})); ok && got != OutcomeComplete {
				t.Errorf("outcome = %v, want %v", got, OutcomeComplete)
			}
		}
		if got, want := f.Answered(), 4; got != want {
			t.Errorf("Answered() = %d, want %d", got, want)
		}
	})
}

// A trial whose connection breaks is followed by another one after the pause, unless
// the request is blocked by then.
func TestTrialsFollowEachOtherAfterPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := &fakeDeps{hedgeAfter: time.Second, budget: 100}
		f := New(plan(4, 1), deps)
		pending := breakAll(f, append([]Send(nil), sends(f.Step(Start{}))...))
		for trial := range 3 {
			if got, want := len(pending), 1; got != want {
				t.Fatalf("trial %d: sends = %d, want %d", trial, got, want)
			}
			breakAll(f, pending)
			start := time.Now()
			for pending = nil; len(pending) == 0 && time.Since(start) < checkTime; {
				time.Sleep(time.Until(f.Wake()))
				pending = append([]Send(nil), sends(f.Step(Tick{}))...)
			}
			if got, want := time.Since(start), checkTime; got != want {
				t.Errorf("trial %d: next trial after %v, want %v", trial, got, want)
			}
		}
	})
}

// A search that is suspected of crashing upstreams goes to one of them first.
func TestSuspectGoesToOneUpstreamFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := &fakeDeps{hedgeAfter: 30 * time.Millisecond, expected: 5 * time.Millisecond, budget: 100}
		p := plan(20, 18)
		p.Cautious = true
		f := New(p, deps)
		first := append([]Send(nil), sends(f.Step(Start{}))...)
		if got, want := len(first), 1; got != want {
			t.Fatalf("sends at the start = %d, want %d", got, want)
		}
		time.Sleep(50 * time.Millisecond)
		if got := sends(f.Step(Tick{})); len(got) != 0 {
			t.Errorf("sends while the first is in flight = %v, want none", got)
		}
		if got, want := len(sends(f.Step(Answered{Attempt: first[0].Attempt}))), 19; got != want {
			t.Errorf("sends after the first answer = %d, want %d", got, want)
		}
	})
}

// An upstream that runs a suspect to its end without success clears it too.
func TestFailedResponseEndsDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := plan(5, 3)
		p.Cautious = true
		f := New(p, &fakeDeps{hedgeAfter: time.Second, budget: 100})
		first := sends(f.Step(Start{}))[0].Attempt
		if got, want := len(sends(f.Step(Failed{Attempt: first, Ran: true}))), 5; got != want {
			t.Errorf("sends after a failed response = %d, want the retry and %d other legs", got, want-1)
		}
		if f.InDoubt() {
			t.Error("InDoubt() = true, want false")
		}
	})
}

// A request that is found to crash upstreams while an attempt is slow must not be
// hedged, and its slow attempt may still answer.
func TestBlockedRequestIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := &fakeDeps{hedgeAfter: 30 * time.Millisecond, expected: 5 * time.Millisecond, budget: 100}
		f := New(plan(1, 1), deps)
		first := sends(f.Step(Start{}))[0].Attempt
		deps.blocked = true
		for end := time.Now().Add(150 * time.Millisecond); time.Now().Before(end); {
			time.Sleep(time.Until(f.Wake()))
			if got := sends(f.Step(Tick{})); len(got) != 0 {
				t.Fatalf("sends of a blocked request = %v, want none", got)
			}
		}
		if got, ok := outcome(f.Step(Answered{Attempt: first})); !ok || got != OutcomeComplete {
			t.Errorf("outcome = %v, %v, want %v", got, ok, OutcomeComplete)
		}
	})
}

// A new search sends one leg ahead. If that crashes its upstream, the search must not
// reach the upstreams of all other shards.
func TestLeaderThatBreaksHoldsAllOtherLegs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := &fakeDeps{hedgeAfter: 30 * time.Millisecond, expected: 5 * time.Millisecond, budget: 100}
		p := plan(20, 18)
		p.Lead, p.Leader = 3*time.Millisecond, 7
		f := New(p, deps)
		leader := append([]Send(nil), sends(f.Step(Start{}))...)
		if len(leader) != 1 || leader[0].Leg != 7 {
			t.Fatalf("sends at the start = %v, want leg 7", leader)
		}
		time.Sleep(time.Millisecond)
		trial := breakAll(f, leader)
		if len(trial) != 1 {
			t.Fatalf("sends after the leader broke = %v, want one trial", trial)
		}
		deps.blocked = true
		breakAll(f, trial)
		time.Sleep(time.Until(f.Wake()))
		if got := sends(f.Step(Tick{})); len(got) != 0 || f.openLegs != 0 {
			t.Errorf("sends of the blocked search = %v with %d open legs, want none", got, f.openLegs)
		}
	})
}

// The other legs follow when the leader has answered, or after the lead, if there is an
// upstream for the leader at all.
func TestLegsFollowTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := plan(20, 18)
		p.Lead, p.Leader = 3*time.Millisecond, 7
		answered := New(p, &fakeDeps{hedgeAfter: time.Second})
		leader := sends(answered.Step(Start{}))[0].Attempt
		if got, want := len(sends(answered.Step(Answered{Attempt: leader}))), 19; got != want {
			t.Errorf("sends after the leader answered = %d, want %d", got, want)
		}
		slow := New(p, &fakeDeps{hedgeAfter: time.Second})
		start := time.Now()
		slow.Step(Start{})
		time.Sleep(time.Until(slow.Wake()))
		if got, want := len(sends(slow.Step(Tick{}))), 19; got != want || time.Since(start) != p.Lead {
			t.Errorf("sends %v after the leader = %d, want %d after %v", time.Since(start), got, want, p.Lead)
		}
		none := &fakeDeps{hedgeAfter: time.Second, none: true}
		without := New(p, none)
		without.Step(Start{})
		if got := time.Until(without.Wake()); got < retryInterval {
			t.Errorf("Wake() without any upstream is in %v, want %v", got, retryInterval)
		}
	})
}

// A suspect waits until its next crash would count, so that no upstream is lost without
// a result.
func TestSuspectWaitsForTheNextTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 250 * time.Millisecond
		p := plan(1, 1)
		p.Cautious = true
		f := New(p, &fakeDeps{hedgeAfter: time.Second, nextTrial: time.Now().Add(wait)})
		start := time.Now()
		sent := sends(f.Step(Start{}))
		for len(sent) == 0 && time.Since(start) < time.Second {
			time.Sleep(time.Until(f.Wake()))
			sent = sends(f.Step(Tick{}))
		}
		if got := time.Since(start); got != wait {
			t.Errorf("sent after %v, want %v", got, wait)
		}
	})
}
