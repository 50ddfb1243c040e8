package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/pkg/poison"
)

func TestTwoCrashesQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := poison.New(poison.WithRetention(time.Minute))
		f := poison.FingerprintOf([]byte("params"), "template", "workspace")
		if got := tr.Verdict(f); got != poison.Novel {
			t.Errorf("Verdict() = %v, want %v", got, poison.Novel)
		}
		tr.RecordCrash("u1/1", []poison.Fingerprint{f})
		tr.RecordCrash("u1/1", []poison.Fingerprint{f})
		if got := tr.Verdict(f); got != poison.Suspect {
			t.Errorf("Verdict() after one crash, reported twice = %v, want %v", got, poison.Suspect)
		}
		tr.RecordCrash("u2/1", []poison.Fingerprint{f})
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
	tr.RecordCrash("u1/1", []poison.Fingerprint{f, 2})
	tr.RecordSuccess(f)
	if got := tr.Verdict(f); got != poison.Proven {
		t.Errorf("Verdict() = %v, want %v", got, poison.Proven)
	}
}

func TestProvenIsReportedOnlyAlone(t *testing.T) {
	tr := poison.New()
	tr.RecordSuccess(1)
	if reports := tr.RecordCrash("u1/1", []poison.Fingerprint{1, 2}); len(reports) != 1 || reports[0].Fingerprint != 2 {
		t.Errorf("RecordCrash() = %v, want a report of 2 alone", reports)
	}
	tr.RecordCrash("u1/2", []poison.Fingerprint{1})
	if got := tr.Verdict(1); got != poison.Suspect {
		t.Errorf("Verdict() of a proven request that ran alone in a crash = %v, want %v", got, poison.Suspect)
	}
}

func TestReportsMerge(t *testing.T) {
	a, b := poison.New(), poison.New()
	b.Merge(a.RecordCrash("u1/1", []poison.Fingerprint{7}))
	a.Merge(b.RecordCrash("u2/1", []poison.Fingerprint{7}))
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
			tr.RecordCrash(fmt.Sprintf("u%d/%d", i, n), inFlight)
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
