package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/pkg/poison"
)

// runs returns requests whose sender sends them to one upstream at a time.
func runs(fingerprints ...poison.Fingerprint) []poison.Run {
	var list []poison.Run
	for _, f := range fingerprints {
		list = append(list, poison.Run{Fingerprint: f})
	}
	return list
}

func TestTwoCrashesQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := poison.New(poison.WithRetention(time.Minute))
		f := poison.FingerprintOf([]byte("params"), "template", "workspace")
		if got := tr.Verdict(f); got != poison.Novel {
			t.Errorf("Verdict() = %v, want %v", got, poison.Novel)
		}
		tr.RecordCrash("u1/1", time.Now(), runs(f))
		tr.RecordCrash("u1/1", time.Now(), runs(f))
		if got := tr.Verdict(f); got != poison.Suspect {
			t.Errorf("Verdict() after one crash, reported twice = %v, want %v", got, poison.Suspect)
		}
		tr.RecordCrash("u2/1", time.Now(), runs(f))
		if got := tr.Verdict(f); got != poison.Quarantined {
			t.Errorf("Verdict() after two crashes = %v, want %v", got, poison.Quarantined)
		}
		tr.RecordSuccess(f)
		if got := tr.Verdict(f); got != poison.Quarantined {
			t.Errorf("Verdict() after a success = %v, want still %v", got, poison.Quarantined)
		}
		time.Sleep(2 * time.Minute)
		if got := tr.Verdict(f); got == poison.Quarantined {
			t.Error("Verdict() after the retention time is still quarantined")
		}
	})
}

func TestSuccessClearsSuspect(t *testing.T) {
	tr := poison.New()
	f := poison.Fingerprint(1)
	tr.RecordCrash("u1/1", time.Now(), runs(f, 2))
	tr.RecordSuccess(f)
	if got := tr.Verdict(f); got != poison.Proven {
		t.Errorf("Verdict() = %v, want %v", got, poison.Proven)
	}
}

func TestProvenIsReportedOnlyAlone(t *testing.T) {
	tr := poison.New()
	tr.RecordSuccess(1)
	if reports := tr.RecordCrash("u1/1", time.Now(), runs(1, 2)); len(reports) != 1 || reports[0].Fingerprint != 2 {
		t.Errorf("RecordCrash() = %v, want a report of 2 alone", reports)
	}
	tr.RecordCrash("u1/2", time.Now(), runs(1))
	if got := tr.Verdict(1); got != poison.Suspect {
		t.Errorf("Verdict() of a proven request that ran alone in a crash = %v, want %v", got, poison.Suspect)
	}
}

func TestReportsMerge(t *testing.T) {
	a, b := poison.New(), poison.New()
	b.Merge(a.RecordCrash("u1/1", time.Now(), runs(7)))
	a.Merge(b.RecordCrash("u2/1", time.Now(), runs(7)))
	a.Merge(b.Reports())
	for _, tr := range []*poison.Tracker{a, b} {
		if got := tr.Verdict(7); got != poison.Quarantined {
			t.Errorf("Verdict() = %v, want %v", got, poison.Quarantined)
		}
	}
}

// TestHarmlessAreNotQuarantined crashes upstreams by a request while harmless ones
// are in flight, as admission control allows: two slots, suspects alone.
func TestHarmlessAreNotQuarantined(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	tr := poison.New()
	suspected, crashes, quarantined := 0, 0, 0
	for i := range 2000 {
		poisonous := poison.Fingerprint(1<<40 + i)
		for n := 0; tr.Verdict(poisonous) != poison.Quarantined; n++ {
			inFlight := []poison.Fingerprint{poisonous}
			if tr.Verdict(poisonous) != poison.Suspect {
				inFlight = append(inFlight, poison.Fingerprint(random.IntN(500)))
			}
			tr.RecordCrash(fmt.Sprintf("u%d/%d", i, n), time.Now(), runs(inFlight...))
			crashes++
		}
		for f := range poison.Fingerprint(500) {
			switch tr.Verdict(f) {
			case poison.Quarantined:
				quarantined++
			case poison.Suspect:
				suspected++
				tr.RecordSuccess(f) // it runs alone and does not crash
			case poison.Novel, poison.Proven:
			}
		}
	}
	if got, want := crashes, 2*2000; got != want {
		t.Errorf("%d upstreams crashed, want %d", got, want)
	}
	if quarantined != 0 || suspected == 0 {
		t.Errorf("%d harmless requests were quarantined and %d suspected, want none and some", quarantined, suspected)
	}
}

func BenchmarkVerdict(b *testing.B) {
	tr := poison.New()
	for f := range poison.Fingerprint(10000) {
		tr.RecordSuccess(f)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tr.Verdict(poison.Fingerprint(i % 20000))
	}
}

// longRuns returns requests that have been in flight for the given time.
func longRuns(d time.Duration, fingerprints ...poison.Fingerprint) []poison.Run {
	list := runs(fingerprints...)
	for i := range list {
		list[i].Sent = time.Now().Add(-d)
	}
	return list
}

// A failure domain that goes down crashes many upstreams while equal requests are in
// flight on them. That must not quarantine the requests.
func TestCrashOfManyUpstreamsAtOnceIsOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := poison.New()
		for i := range 20 {
			// The later ones were sent after the first crashes.
			tr.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), longRuns(50*time.Millisecond, 1))
			time.Sleep(10 * time.Millisecond)
		}
		if got := tr.Verdict(1); got != poison.Suspect {
			t.Errorf("Verdict() after 20 crashes within %v = %v, want %v", 200*time.Millisecond, got, poison.Suspect)
		}
		time.Sleep(2 * poison.TrialGap)
		tr.RecordCrash("u20/1", time.Now(), longRuns(5*time.Millisecond, 1))
		if got := tr.Verdict(1); got != poison.Quarantined {
			t.Errorf("Verdict() after a crash of a later send = %v, want %v", got, poison.Quarantined)
		}
	})
}

// A request that runs beside a crashing one in two crashes must not be quarantined.
func TestRequestBesideCrashingOneIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crashing, harmless = 1, 2
		tr := poison.New()
		for i := range 2 {
			tr.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), longRuns(5*time.Millisecond, crashing, harmless))
			time.Sleep(time.Second)
		}
		if got := tr.Verdict(crashing); got != poison.Suspect {
			t.Errorf("Verdict() after two crashes in company = %v, want %v", got, poison.Suspect)
		}
		// Another node has seen the other request of the third crash.
		tr.RecordCrash("u2/1", time.Now(), longRuns(5*time.Millisecond, crashing))
		if got := tr.Verdict(crashing); got != poison.Quarantined {
			t.Errorf("Verdict() of the crashing request = %v, want %v", got, poison.Quarantined)
		}
		if got := tr.Verdict(harmless); got != poison.Suspect {
			t.Errorf("Verdict() of the harmless request = %v, want %v", got, poison.Suspect)
		}
	})
}

// A popular request whose successes are recorded needs three trials without a success
// between them.
func TestPopularRequestNeedsThreeTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := poison.New()
		for i, want := range []poison.Verdict{poison.Suspect, poison.Suspect, poison.Quarantined} {
			if i == 0 {
				tr.RecordSuccess(1)
			}
			time.Sleep(time.Second)
			tr.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), longRuns(time.Millisecond, 1))
			if got := tr.Verdict(1); got != want {
				t.Errorf("Verdict() after %d crashes = %v, want %v", i+1, got, want)
			}
		}
	})
}

// A quarantine must not end while the request is still being sent, must end when it is
// not, and must be bounded.
func TestRepeatedRequestStaysQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quarantine := func() *poison.Tracker {
			tr := poison.New(poison.WithRetention(time.Minute))
			for i := range 2 {
				tr.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), runs(1))
			}
			return tr
		}
		tr := quarantine()
		for range 60 {
			time.Sleep(50 * time.Second)
			tr.RecordRejection(1)
			if got := tr.Remaining(1); got < 59*time.Second {
				t.Fatalf("Remaining() after a rejected request = %v, want one minute", got)
			}
		}
		if got := tr.Verdict(1); got != poison.Quarantined {
			t.Errorf("Verdict() of a request that is still sent = %v, want %v", got, poison.Quarantined)
		}
		time.Sleep(2 * time.Minute)
		if got := tr.Verdict(1); got != poison.Novel {
			t.Errorf("Verdict() after two quiet minutes = %v, want %v", got, poison.Novel)
		}
		tr = quarantine()
		for range 25 * 60 * 2 {
			time.Sleep(30 * time.Second)
			tr.RecordRejection(1)
		}
		if got := tr.Verdict(1); got != poison.Novel {
			t.Errorf("Verdict() 25 h after the last crash = %v, want %v", got, poison.Novel)
		}
	})
}

// A success on one node must clear the request on the others, and old reports that
// are still under way must not put it under suspicion again.
func TestSuccessClearsOnOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := poison.New(), poison.New()
		crash := a.RecordCrash("u1/1", time.Now(), longRuns(5*time.Millisecond, 1))
		b.Merge(crash)
		time.Sleep(300 * time.Millisecond)
		cleared := b.RecordSuccess(1)
		if len(cleared) != 1 {
			t.Fatalf("RecordSuccess() of a suspect = %v, want one report", cleared)
		}
		a.Merge(cleared)
		stale := poison.New()
		stale.Merge(crash)
		a.Merge(stale.Reports())
		for _, tr := range []*poison.Tracker{a, b} {
			if got := tr.Verdict(1); got == poison.Suspect {
				t.Errorf("Verdict() = %v, want cleared", got)
			}
		}
	})
}

// Reports that circulate between nodes with some delay must not accumulate: neither
// trials nor the time of the last rejection may grow.
func TestCirculatingReportsAddNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := poison.New(poison.WithRetention(time.Minute)), poison.New(poison.WithRetention(time.Minute))
		a.RecordCrash("u1/1", time.Now(), longRuns(5*time.Millisecond, 1))
		a.RecordCrash("u2/1", time.Now(), runs(1))
		a.RecordRejection(1)
		for range 100 {
			for _, pair := range [][2]*poison.Tracker{{a, b}, {b, a}} {
				reports := pair[0].Reports()
				time.Sleep(300 * time.Millisecond)
				pair[1].Merge(reports)
			}
		}
		time.Sleep(5 * time.Second)
		for _, tr := range []*poison.Tracker{a, b} {
			if got := tr.Verdict(1); got != poison.Novel {
				t.Errorf("Verdict() after the retention = %v, want %v", got, poison.Novel)
			}
		}
	})
}

// Equal requests under suspicion run one at a time.
func TestSuspectIsClaimedOnce(t *testing.T) {
	tr := poison.New()
	if !tr.Claim(1) || tr.Claim(1) || !tr.Claim(2) {
		t.Error("Claim() twice succeeded, or failed for another fingerprint")
	}
	tr.Release(1)
	if !tr.Claim(1) {
		t.Error("Claim() after Release() = false, want true")
	}
}

// Requests that were canceled before a crash must not hide which request caused it.
func TestCanceledRequestsDoNotHideTheCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crashing, canceled = 1, 2
		tr := poison.New()
		for i := range 2 {
			inFlight := longRuns(5*time.Millisecond, crashing, canceled)
			inFlight[1].Canceled = true
			tr.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), inFlight)
			time.Sleep(time.Second)
		}
		if got := tr.Verdict(crashing); got != poison.Quarantined {
			t.Errorf("Verdict() = %v, want %v", got, poison.Quarantined)
		}
		if got := tr.Verdict(canceled); got != poison.Suspect {
			t.Errorf("Verdict() of the canceled request = %v, want %v", got, poison.Suspect)
		}
	})
}

// A node that starts late must learn of a quarantine whose crashes are long past, but
// which rejected requests have prolonged.
func TestProlongedQuarantineReachesNewNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := poison.New(poison.WithRetention(time.Minute)), poison.New(poison.WithRetention(time.Minute))
		a.RecordCrash("u0/1", time.Now(), runs(1))
		a.RecordCrash("u1/1", time.Now(), runs(1))
		for range 5 {
			time.Sleep(50 * time.Second)
			a.RecordRejection(1)
		}
		b.Merge(a.Reports())
		if got, want := b.Verdict(1), poison.Quarantined; got != want {
			t.Errorf("Verdict() = %v, want %v", got, want)
		}
	})
}

// BenchmarkVerdictBesideSuspects is the cost of a request while crashes are on record.
func BenchmarkVerdictBesideSuspects(b *testing.B) {
	tr := poison.New()
	for f := range poison.Fingerprint(1000) {
		tr.RecordCrash(fmt.Sprintf("u%d/1", f), time.Now(), runs(f))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tr.Verdict(poison.Fingerprint(i % 20000))
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 256 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			body := make([]byte, size)
			b.ReportAllocs()
			for b.Loop() {
				poison.FingerprintOf(body, "GET", "host.example", "/path/with/parameters?page=6", "10.0.0.1")
			}
		})
	}
}

// BenchmarkRecordSuccess is the cost of each search that is answered.
func BenchmarkRecordSuccess(b *testing.B) {
	tr := poison.New()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tr.RecordSuccess(poison.Fingerprint(i))
	}
}
