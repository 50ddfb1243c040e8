package poison

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// presume records that an upstream was found unreachable after a send, a second later.
func presume(t *Tracker, crash string, fingerprints ...Fingerprint) []Report {
	var runs []Run
	sent := time.Now()
	for _, f := range fingerprints {
		runs = append(runs, Run{Fingerprint: f, Sent: sent})
	}
	reports := t.RecordDoubt(crash, sent, runs)
	time.Sleep(time.Second)
	return append(reports, t.RecordPresumedCrash(crash, sent, runs)...)
}

// Silence convicts later than proof: an upstream that is cut off looks the same.
func TestPresumedCrashesTakeThreeTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New()
		for i, want := range []Verdict{Suspect, Suspect, Quarantined} {
			presume(tracker, fmt.Sprintf("u%d/1", i), 7)
			if got := tracker.Verdict(7); got != want {
				t.Errorf("Verdict() after %d presumed crashes = %v, want %v", i+1, got, want)
			}
		}
	})
}

// A presumed crash must not count against a request that has ever completed.
func TestPresumedCrashSuspectsNoProvenRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New()
		tracker.RecordSuccess(7)
		for i := range 5 {
			presume(tracker, fmt.Sprintf("u%d/1", i), 7)
		}
		if got := tracker.Verdict(7); got != Proven {
			t.Errorf("Verdict() = %v, want %v", got, Proven)
		}
	})
}

// Upstreams that were only cut off respond again: all nodes must release the requests that
// were rejected because of it.
func TestWithdrawnPresumptionReleasesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New(), New()
		for i := range 3 {
			b.Merge(presume(a, fmt.Sprintf("u%d/1", i), 7))
		}
		b.Merge(a.Withdraw("u1/1", []Run{{Fingerprint: 7}}))
		late := New()
		late.Merge(a.Reports())
		for name, tracker := range map[string]*Tracker{"a": a, "b": b, "late": late} {
			if got, want := tracker.Verdict(7), Suspect; got != want {
				t.Errorf("Verdict() of %s = %v, want %v", name, got, want)
			}
		}
		b.Merge([]Report{{Kind: Crashed, Fingerprint: 7, Crash: "u1/1", Age: time.Second, Presumed: true}})
		if got, want := b.Verdict(7), Suspect; got != want {
			t.Errorf("Verdict() after the presumption arrived once more = %v, want %v", got, want)
		}
	})
}

// Proof of a crash that was presumed counts as proof.
func TestProofReplacesPresumption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New()
		for i := range 2 {
			crash := fmt.Sprintf("u%d/1", i)
			sent := time.Now()
			presume(tracker, crash, 7)
			tracker.RecordCrash(crash, sent, []Run{{Fingerprint: 7, Sent: sent}})
		}
		if got, want := tracker.Verdict(7), Quarantined; got != want {
			t.Errorf("Verdict() after two crashes alone = %v, want %v", got, want)
		}
	})
}

// A second send may follow one without a result, as a caller's retry does, but a third must
// wait: for the results, or until the doubt has lapsed.
func TestRequestIsHeldWhileTwoTrialsHaveNoResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New()
		doubt := func(crash string) { tracker.RecordDoubt(crash, time.Now(), []Run{{Fingerprint: 7, Sent: time.Now()}}) }
		doubt("u1/1")
		if tracker.Held(7) {
			t.Error("Held() with one doubt = true, want false")
		}
		doubt("u2/1")
		if !tracker.Held(7) {
			t.Error("Held() with two doubts = false, want true")
		}
		tracker.EndDoubt("u2/1", []Run{{Fingerprint: 7}})
		if tracker.Held(7) {
			t.Error("Held() after a result = true, want false")
		}
		doubt("u3/1")
		time.Sleep(doubtTime)
		if tracker.Held(7) {
			t.Error("Held() after the doubts lapsed = true, want false")
		}
		if got, want := tracker.Verdict(7), Novel; got != want {
			t.Errorf("Verdict() = %v, want %v", got, want)
		}
	})
}

// The end of a doubt, as of a request that an unreachable upstream was not sent, must not
// withdraw the presumption that it has crashed.
func TestEndOfDoubtKeepsPresumption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New()
		for i := range 3 {
			crash := fmt.Sprintf("u%d/1", i)
			presume(tracker, crash, 7)
			tracker.EndDoubt(crash, []Run{{Fingerprint: 7}})
		}
		if got, want := tracker.Verdict(7), Quarantined; got != want {
			t.Errorf("Verdict() = %v, want %v", got, want)
		}
	})
}

// A popular request may be new to the node that lost its upstreams. The nodes at which it
// has completed must clear it.
func TestDoubtIsContradictedByNodeThatSawTheRequestComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New(), New()
		b.RecordSuccess(7)
		time.Sleep(time.Minute)
		var reports []Report
		for i := range 3 {
			reports = append(reports, presume(a, fmt.Sprintf("u%d/1", i), 7)...)
		}
		if added := b.Merge(reports); len(added) > 0 {
			t.Errorf("Merge() at the node that saw a success = %v, want none", added)
		}
		a.Merge(b.Contradict(reports))
		if got, want := a.Verdict(7), Proven; got != want {
			t.Errorf("Verdict() = %v, want %v", got, want)
		}
	})
}
