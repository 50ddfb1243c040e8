package demo

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/fakes"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// fixture is a checker with one search and its correct answer, which tests modify.
type fixture struct {
	check    *checker
	recorder *fakes.Recorder
	call     call
	answer   *wire.Answer
	entry    *entry
}

func newFixture() *fixture {
	d := Karatasi()
	f := &fixture{recorder: fakes.NewRecorder(), entry: &entry{vm: "entry-1"}}
	f.check = newChecker(d, f.recorder)
	f.check.recordCatalogue(1, map[string]version{"seats": {1, 20}})
	f.call = call{trace: "t", priority: prio.Urgent, template: "seat-search", workspace: "folders-app", query: "q", due: time.Now()}
	coverage := []search.Coverage{{Archive: "seats", Version: 1, Shards: 20, Missing: []int{3}}}
	for s := range 20 {
		if s == 3 {
			continue
		}
		f.recorder.Begin("t", fakes.ShardKey("seats", 1, s), "")
		f.recorder.Complete("t", fakes.ShardKey("seats", 1, s))
	}
	f.answer = &wire.Answer{Request: "r", Snapshot: 1, Coverage: coverage, Ratio: 0.95}
	f.answer.Hits = topK(f.check.expectedHits(f.call, coverage), 10)
	return f
}

func topK(hits []search.Hit, k int) []search.Hit {
	for i := range hits {
		for j := i + 1; j < len(hits); j++ {
			if hits[j].Score > hits[i].Score || hits[j].Score == hits[i].Score && hits[j].ID < hits[i].ID {
				hits[i], hits[j] = hits[j], hits[i]
			}
		}
	}
	return hits[:k]
}

func (f *fixture) violations() Violations {
	v, _, _ := f.check.finish()
	return v
}

func TestCorrectAnswerIsNoViolation(t *testing.T) {
	f := newFixture()
	f.check.checkSearch(f.call, result{answer: f.answer, entry: f.entry})
	if got := f.violations(); got.Total() != 0 {
		t.Errorf("violations = %+v, want none: %v", got, f.check.notes)
	}
}

// TestInjectedViolationsAreCounted injects each violation and checks that its
// counter, and no other, increases.
func TestInjectedViolationsAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		inject func(*fixture)
		want   Violations
	}{
		"coverage of another version": {func(f *fixture) {
			f.answer.Coverage[0].Version = 2
			f.check.checkSearch(f.call, result{answer: f.answer, entry: f.entry})
		}, Violations{MixedSnapshot: 1}},
		"hit of another version": {func(f *fixture) {
			f.answer.Hits[0].ID = "seats/v2/s1/d1"
			f.check.checkSearch(f.call, result{answer: f.answer, entry: f.entry})
		}, Violations{MixedSnapshot: 1}},
		"missing shard counted": {func(f *fixture) {
			f.answer.Coverage[0].Missing = nil
			f.answer.Hits = topK(f.check.expectedHits(f.call, f.answer.Coverage), 10)
			f.check.checkSearch(f.call, result{answer: f.answer, entry: f.entry})
		}, Violations{FalseCoverage: 1}},
		"wrong number of shards": {func(f *fixture) {
			f.answer.Coverage[0].Shards = 19
			f.check.checkSearch(f.call, result{answer: f.answer, entry: f.entry})
		}, Violations{FalseCoverage: 1}},
		"hit of another caller": {func(f *fixture) {
			f.answer.Hits[2].Text = "other q"
			f.check.checkSearch(f.call, result{answer: f.answer, entry: f.entry})
		}, Violations{WrongAnswer: 1}},
		"hit lost": {func(f *fixture) {
			f.answer.Hits = f.answer.Hits[1:]
			f.check.checkSearch(f.call, result{answer: f.answer, entry: f.entry})
		}, Violations{WrongAnswer: 1}},
		"one answer to two callers": {func(f *fixture) {
			f.check.requestTraces["r"] = "other"
			f.check.checkSearch(f.call, result{answer: f.answer, entry: f.entry})
		}, Violations{WrongAnswer: 1}},
		"refused search ran": {func(f *fixture) {
			f.check.checkSearch(f.call, result{problem: &wire.Problem{Kind: wire.KindNotRun}, entry: f.entry})
		}, Violations{NotRunButRan: 1}},
		"refused key ran": {func(f *fixture) {
			f.recorder.Begin("h", "holds/1/0", "key")
			f.check.checkSubmission(f.call, "key", result{problem: &wire.Problem{Kind: wire.KindNotRun}, entry: f.entry})
		}, Violations{NotRunButRan: 1}},
		"key ran twice": {func(f *fixture) {
			f.recorder.Begin("h", "holds/1/0", "key")
			f.recorder.Begin("h", "holds/1/0", "key")
			f.check.checkSubmission(f.call, "key", result{answer: f.answer, entry: f.entry})
		}, Violations{DoubleRun: 1}},
		"answered submission never ran": {func(f *fixture) {
			f.check.checkSubmission(f.call, "key", result{answer: f.answer, entry: f.entry})
		}, Violations{WrongAnswer: 1}},
		"work after drain": {func(f *fixture) {
			f.recorder.LateWork(time.Second)
			f.recorder.LateWork(3 * time.Second)
		}, Violations{WorkAfterDrain: 1}},
		"cut off": {func(f *fixture) {
			f.check.checkSearch(f.call, result{err: errors.New("EOF"), entry: f.entry})
		}, Violations{CutOff: 1}},
		"configuration reverted": {func(f *fixture) {
			p := newProber(&fleet{}, f.check, nil)
			p.observe(f.entry, 5, time.Now())
			p.observe(f.entry, 4, time.Now())
		}, Violations{ConfigReverted: 1}},
		"configuration late": {func(f *fixture) {
			p := newProber(&fleet{}, f.check, nil)
			p.accepted = []acceptedChange{{number: 6, at: time.Now().Add(-7 * time.Second)}}
			p.observe(f.entry, 5, time.Now())
			p.observe(f.entry, 5, time.Now())
		}, Violations{ConfigLate: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			c.inject(f)
			if got := f.violations(); got != c.want {
				t.Errorf("violations = %+v, want %+v: %v", got, c.want, f.check.notes)
			}
		})
	}
}

func TestBrokenConnectionToKilledVMIsNoCutOff(t *testing.T) {
	f := newFixture()
	f.entry.killed = time.Now()
	f.check.checkSearch(f.call, result{err: errors.New("EOF"), entry: f.entry})
	if got := f.violations(); got.Total() != 0 {
		t.Errorf("violations = %+v, want none", got)
	}
}

// TestRefusalIsCheckedAgainstItsOwnSend guards against a false violation: the
// first send of a search runs and its connection fails, for example with a
// time-out on a loaded machine, and the second is rejected as not run. The rejection
// is true if the second send did not run, even though the first did.
func TestRefusalIsCheckedAgainstItsOwnSend(t *testing.T) {
	for secondRuns, want := range map[bool]int{false: 0, true: 1} {
		f := newFixture()
		c, r := sendWithRetry(call{trace: "s-1", priority: prio.Urgent, due: time.Now()}, func(c call, try uint64) result {
			if try == 0 || secondRuns {
				f.recorder.Begin(c.trace, fakes.ShardKey("seats", 1, 0), "")
			}
			if try == 0 {
				return result{err: errors.New("time-out")}
			}
			return result{problem: &wire.Problem{Kind: wire.KindNotRun}}
		})
		f.check.checkSearch(c, r)
		if got := f.violations().NotRunButRan; got != want {
			t.Errorf("violations with second send run %v = %d, want %d", secondRuns, got, want)
		}
	}
}

func TestFaultNames(t *testing.T) {
	if _, err := ParseFaults("drain,flood-bulk"); err != nil {
		t.Errorf("ParseFaults() = %v, want nil", err)
	}
	if _, err := ParseFaults("earthquake"); err == nil {
		t.Error("ParseFaults() of an unknown fault = nil, want an error")
	}
	if got, want := fmt.Sprint(len(FaultNames())), "19"; got != want {
		t.Errorf("number of faults = %s, want %s", got, want)
	}
}

// TestSafetyUnderFaults runs complete deployments for a few seconds under pairs of
// faults. It checks only guarantees that do not depend on the speed of the machine,
// and so not how soon a configuration change takes effect.
func TestSafetyUnderFaults(t *testing.T) {
	for _, c := range []struct{ deployment, faults string }{
		{"karatasi", "crossed,reindex"},
		{"villakude", "crash-node,lost-reply"},
		{"karatasi", "poison,drain"},
		{"villakude", "stranded"},
	} {
		t.Run(c.deployment+" "+c.faults, func(t *testing.T) {
			faults, err := ParseFaults(c.faults)
			if err != nil {
				t.Fatal(err)
			}
			r, err := Run(t.Context(), Options{
				Deployment: c.deployment, Duration: 6 * time.Second, Seed: 1, Rate: 0.2, Faults: faults, Log: t.Output(),
			})
			if err != nil {
				t.Fatalf("Run() = %v", err)
			}
			if !r.FaultApplied {
				t.Error("the faults did not happen")
			}
			v := r.Violations
			v.ConfigLate = 0
			if v.Total() != 0 {
				t.Errorf("violations = %+v, want none: %v", v, r.Notes)
			}
			if r.CrashedPerRequest > 2 {
				t.Errorf("one request crashed %d upstreams, want at most 2", r.CrashedPerRequest)
			}
		})
	}
}
