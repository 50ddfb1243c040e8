package poison

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// crashUnder records a crash with the requests in flight, and waits until another crash is
// another trial.
func crashUnder(t *Tracker, crash string, fingerprints ...Fingerprint) {
	var runs []Run
	for _, f := range fingerprints {
		runs = append(runs, Run{Fingerprint: f, Sent: time.Now()})
	}
	t.RecordCrash(crash, time.Now(), runs)
	time.Sleep(2 * TrialGap)
}

// A popular request that is in flight in each crash of another one must not remain
// quarantined with it.
func TestPopularRequestIsExplainedByTheOneBesideIt(t *testing.T) {
	const crashing, popular = 3, 7
	synctest.Test(t, func(t *testing.T) {
		tracker := New()
		for i := range 3 {
			crashUnder(tracker, fmt.Sprintf("u%d/1", i), popular, crashing)
		}
		crashUnder(tracker, "u3/1", crashing)
		if got, want := tracker.Verdict(crashing), Quarantined; got != want {
			t.Errorf("Verdict() of the request that crashes upstreams = %v, want %v", got, want)
		}
		if got := tracker.Verdict(popular); got == Quarantined {
			t.Errorf("Verdict() of the popular request = %v, want it to be served", got)
		}
		tracker.RecordSuccess(popular)
		if got, want := tracker.Verdict(popular), Proven; got != want {
			t.Errorf("Verdict() after a success = %v, want %v", got, want)
		}
	})
}

// Two requests that both crash upstreams, always side by side, must both be stopped after
// few more crashes.
func TestTwoCrashingRequestsSideBySideAreBothStopped(t *testing.T) {
	const maxCrashes = 10
	synctest.Test(t, func(t *testing.T) {
		tracker := New()
		crashes := 0
		for ; crashes < 2*maxCrashes; crashes++ {
			var sent []Fingerprint
			for _, f := range []Fingerprint{3, 7} {
				if tracker.Verdict(f) != Quarantined {
					sent = append(sent, f)
				}
			}
			if len(sent) == 0 {
				break
			}
			crashUnder(tracker, fmt.Sprintf("u%d/1", crashes), sent...)
		}
		if crashes > maxCrashes {
			t.Errorf("crashes until both are quarantined = %d, want at most %d", crashes, maxCrashes)
		}
	})
}
