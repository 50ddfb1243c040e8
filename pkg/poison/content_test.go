package poison

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// crashOf returns a crash of an upstream that ran the caller's request with the content
// alone.
func crashOf(caller, content Fingerprint) []Run {
	return []Run{{Fingerprint: caller, Content: content, Sent: time.Now().Add(-50 * time.Millisecond), Spread: true}}
}

// A request that each caller sends once crashes as many upstreams as there are callers if
// only a caller's own requests count.
func TestContentOfSeveralCallersIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New()
		for i := range 2 {
			if got := tr.Verdict(100); got == Quarantined {
				t.Fatalf("verdict after %d crashes = %v, want it open", i, got)
			}
			tr.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), crashOf(Fingerprint(i+1), 100))
			time.Sleep(time.Second)
		}
		if got, want := tr.Verdict(100), Quarantined; got != want {
			t.Errorf("verdict on the content = %v, want %v", got, want)
		}
	})
}

// A request that crashes upstreams for one caller may be proper for another.
func TestContentOfOneCallerIsOnlySuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New()
		for i := range 4 {
			tr.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), crashOf(1, 100))
			time.Sleep(time.Second)
		}
		if got, want := tr.Verdict(1), Quarantined; got != want {
			t.Errorf("verdict on the caller's request = %v, want %v", got, want)
		}
		if got, want := tr.Verdict(100), Suspect; got != want {
			t.Errorf("verdict on the content = %v, want %v", got, want)
		}
		tr.RecordSuccess(100)
		if got, want := tr.Verdict(100), Proven; got != want {
			t.Errorf("verdict on the content after another caller's success = %v, want %v", got, want)
		}
		if got, want := tr.Verdict(1), Quarantined; got != want {
			t.Errorf("verdict on the caller's request after that = %v, want %v", got, want)
		}
	})
}

// A quarantine of a content by mistake ends at all nodes with the first success.
func TestSuccessEndsTheQuarantineOfAContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New(), New()
		for i := range 2 {
			b.Merge(a.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), crashOf(Fingerprint(i+1), 100)))
			time.Sleep(time.Second)
		}
		if got, want := b.Verdict(100), Quarantined; got != want {
			t.Fatalf("verdict at the other node = %v, want %v", got, want)
		}
		b.Merge(a.RecordSuccess(100))
		if got := b.Verdict(100); got == Quarantined || got == Suspect {
			t.Errorf("verdict at the other node after a success = %v, want neither %v nor %v", got, Quarantined, Suspect)
		}
	})
}

// A node that starts learns of contents too.
func TestReportsCarryContents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New(), New()
		for i := range 2 {
			a.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), crashOf(Fingerprint(i+1), 100))
			time.Sleep(time.Second)
		}
		b.Merge(a.Reports())
		if got, want := b.Verdict(100), Quarantined; got != want {
			t.Errorf("verdict = %v, want %v", got, want)
		}
	})
}

// A withdrawn presumption counts against neither the request nor its content.
func TestWithdrawnPresumptionClearsContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New()
		for i := range 3 {
			runs := crashOf(Fingerprint(i+1), 100)
			tr.RecordPresumedCrash(fmt.Sprintf("u%d/1", i), time.Now(), runs)
			tr.Withdraw(fmt.Sprintf("u%d/1", i), runs)
			time.Sleep(time.Second)
		}
		if got, want := tr.Verdict(100), Novel; got != want {
			t.Errorf("verdict = %v, want %v", got, want)
		}
	})
}

// Innocent requests that were in flight on a crashed upstream complete soon, and the alert
// must not outlast them.
func TestAlertEndsWhenAllSuspectsHaveCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New(), New()
		runs := append(crashOf(1, 101), crashOf(2, 102)...)
		b.Merge(a.RecordCrash("u/1", time.Now(), runs))
		if !a.Alerted() || !b.Alerted() {
			t.Fatalf("Alerted() = %v, %v, want true at both nodes", a.Alerted(), b.Alerted())
		}
		b.Merge(a.RecordSuccess(1))
		if !b.Alerted() {
			t.Error("Alerted() after the first success = false, want true")
		}
		b.Merge(a.RecordSuccess(2))
		if a.Alerted() || b.Alerted() {
			t.Errorf("Alerted() after all successes = %v, %v, want false", a.Alerted(), b.Alerted())
		}
	})
}

// Requests that crash upstreams never complete. The alert lasts until they stop.
func TestAlertLastsWhileUpstreamsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New()
		for i := range 3 {
			tr.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), crashOf(Fingerprint(i+1), Fingerprint(100+i)))
			time.Sleep(alertTime - time.Second)
			if !tr.Alerted() {
				t.Fatalf("Alerted() between crashes = false, want true")
			}
		}
		time.Sleep(2 * time.Second)
		if tr.Alerted() {
			t.Error("Alerted() after the last crash has aged = true, want false")
		}
	})
}

// Requests to one upstream, proven requests and canceled ones raise no alert.
func TestOtherCrashesRaiseNoAlert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New()
		tr.RecordSuccess(2)
		runs := []Run{{Fingerprint: 1, Sent: time.Now()}, {Fingerprint: 2, Sent: time.Now(), Spread: true}, {Fingerprint: 3, Sent: time.Now(), Spread: true, Canceled: true}}
		tr.RecordCrash("u/1", time.Now(), runs)
		if tr.Alerted() {
			t.Error("Alerted() = true, want false")
		}
	})
}

// The suspects behind an alert are bounded, and dropping the oldest does not end it.
func TestAlertIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New()
		for i := range 3 * maxAlerts {
			tr.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), crashOf(Fingerprint(i+1), 0))
		}
		if got, want := len(tr.alert.suspects), maxAlerts; got != want || !tr.Alerted() {
			t.Errorf("suspects = %d, alerted %v, want %d and true", got, tr.Alerted(), want)
		}
	})
}

// A wide search crashes more upstreams at once than a record holds. The crashes after that
// must still convict it, and end its doubts.
func TestCrashesAfterAWideOneCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New()
		for i := range 3 * maxTrials {
			tr.RecordCrash(fmt.Sprintf("wide-%d/1", i), time.Now(), crashOf(1, 100))
		}
		time.Sleep(time.Second)
		for i := range 2 {
			runs := crashOf(Fingerprint(i+2), 100)
			tr.RecordDoubt(fmt.Sprintf("u%d/1", i), time.Now(), runs)
			tr.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), runs)
			if tr.Held(100) {
				t.Errorf("Held() after crash %d = true, want false", i)
			}
			time.Sleep(time.Second)
		}
		if got, want := tr.Verdict(100), Quarantined; got != want {
			t.Errorf("verdict = %v, want %v", got, want)
		}
		if got := len(tr.ReportsOf(100)); got > maxTrials {
			t.Errorf("reports = %d, want at most %d", got, maxTrials)
		}
	})
}

// Once one content explains the crashes, other searches need not wait for a canary.
func TestAlertEndsWithTheQuarantineOfTheContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New(), New()
		for i := range 2 {
			b.Merge(a.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), crashOf(Fingerprint(i+1), 100)))
			if got, want := b.Alerted(), i == 0; a.Alerted() != want || got != want {
				t.Errorf("Alerted() after crash %d = %v, %v at the other node, want %v", i, a.Alerted(), got, want)
			}
			time.Sleep(time.Second)
		}
		b.Merge(a.RecordCrash("u9/1", time.Now(), crashOf(9, 109)))
		if !a.Alerted() || !b.Alerted() {
			t.Error("Alerted() after a crash under another content = false, want true")
		}
	})
}
