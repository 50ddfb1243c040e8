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

// bench is a checker with one true answer to spoil.
type bench struct {
	check  *checker
	ledger *fakes.Recorder
	call   call
	answer *wire.Answer
	entry  *entry
}

func newBench() *bench {
	d := Karatasi()
	b := &bench{ledger: fakes.NewRecorder(), entry: &entry{vm: "entry-1"}}
	b.check = newChecker(d, b.ledger)
	b.check.published(1, map[string]version{"seats": {1, 20}})
	b.call = call{trace: "t", priority: prio.Urgent, template: "seat-search", workspace: "folders-app", query: "q", due: time.Now()}
	coverage := []search.Coverage{{Archive: "seats", Version: 1, Shards: 20, Missing: []int{3}}}
	for s := range 20 {
		if s == 3 {
			continue
		}
		b.ledger.Begin("t", fakes.ShardKey("seats", 1, s), "")
		b.ledger.Complete("t", fakes.ShardKey("seats", 1, s))
	}
	b.answer = &wire.Answer{Request: "r", Snapshot: 1, Coverage: coverage, Ratio: 0.95}
	b.answer.Hits = topK(b.check.expected(b.call, coverage), 10)
	return b
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

func (b *bench) violations() Violations {
	v, _, _ := b.check.finish()
	return v
}

func TestTrueAnswerIsNoViolation(t *testing.T) {
	b := newBench()
	b.check.searched(b.call, result{answer: b.answer, entry: b.entry})
	if got := b.violations(); got.Total() != 0 {
		t.Errorf("violations = %+v, want none: %v", got, b.check.notes)
	}
}

// TestPlantedViolationsAreCounted plants each violation and wants its counter,
// and no other, to move.
func TestPlantedViolationsAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		plant func(*bench)
		want  Violations
	}{
		"coverage of another version": {func(b *bench) {
			b.answer.Coverage[0].Version = 2
			b.check.searched(b.call, result{answer: b.answer, entry: b.entry})
		}, Violations{MixedSnapshot: 1}},
		"hit of another version": {func(b *bench) {
			b.answer.Hits[0].ID = "seats/v2/s1/d1"
			b.check.searched(b.call, result{answer: b.answer, entry: b.entry})
		}, Violations{MixedSnapshot: 1}},
		"missing shard counted": {func(b *bench) {
			b.answer.Coverage[0].Missing = nil
			b.answer.Hits = topK(b.check.expected(b.call, b.answer.Coverage), 10)
			b.check.searched(b.call, result{answer: b.answer, entry: b.entry})
		}, Violations{FalseCoverage: 1}},
		"wrong number of shards": {func(b *bench) {
			b.answer.Coverage[0].Shards = 19
			b.check.searched(b.call, result{answer: b.answer, entry: b.entry})
		}, Violations{FalseCoverage: 1}},
		"hit of another caller": {func(b *bench) {
			b.answer.Hits[2].Text = "other q"
			b.check.searched(b.call, result{answer: b.answer, entry: b.entry})
		}, Violations{WrongAnswer: 1}},
		"hit lost": {func(b *bench) {
			b.answer.Hits = b.answer.Hits[1:]
			b.check.searched(b.call, result{answer: b.answer, entry: b.entry})
		}, Violations{WrongAnswer: 1}},
		"one answer to two callers": {func(b *bench) {
			b.check.requests["r"] = "other"
			b.check.searched(b.call, result{answer: b.answer, entry: b.entry})
		}, Violations{WrongAnswer: 1}},
		"refused search ran": {func(b *bench) {
			b.check.searched(b.call, result{problem: &wire.Problem{Kind: wire.KindNotRun}, entry: b.entry})
		}, Violations{NotRunButRan: 1}},
		"refused key ran": {func(b *bench) {
			b.ledger.Begin("h", "holds/1/0", "key")
			b.check.held(b.call, "key", result{problem: &wire.Problem{Kind: wire.KindNotRun}, entry: b.entry})
		}, Violations{NotRunButRan: 1}},
		"key ran twice": {func(b *bench) {
			b.ledger.Begin("h", "holds/1/0", "key")
			b.ledger.Begin("h", "holds/1/0", "key")
			b.check.held(b.call, "key", result{answer: b.answer, entry: b.entry})
		}, Violations{DoubleRun: 1}},
		"answered hold never ran": {func(b *bench) {
			b.check.held(b.call, "key", result{answer: b.answer, entry: b.entry})
		}, Violations{WrongAnswer: 1}},
		"work after drain": {func(b *bench) {
			b.ledger.LateWork(time.Second)
			b.ledger.LateWork(3 * time.Second)
		}, Violations{WorkAfterDrain: 1}},
		"cut off": {func(b *bench) {
			b.check.searched(b.call, result{err: errors.New("EOF"), entry: b.entry})
		}, Violations{CutOff: 1}},
		"configuration reverted": {func(b *bench) {
			p := newProber(&fleet{}, b.check, nil)
			p.observe(b.entry, 5, time.Now())
			p.observe(b.entry, 4, time.Now())
		}, Violations{ConfigReverted: 1}},
		"configuration late": {func(b *bench) {
			p := newProber(&fleet{}, b.check, nil)
			p.accepted = []acceptance{{number: 6, at: time.Now().Add(-7 * time.Second)}}
			p.observe(b.entry, 5, time.Now())
			p.observe(b.entry, 5, time.Now())
		}, Violations{ConfigLate: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			c.plant(b)
			if got := b.violations(); got != c.want {
				t.Errorf("violations = %+v, want %+v: %v", got, c.want, b.check.notes)
			}
		})
	}
}

func TestBrokenConnectionToKilledVMIsNoCutOff(t *testing.T) {
	b := newBench()
	b.entry.killed = time.Now()
	b.check.searched(b.call, result{err: errors.New("EOF"), entry: b.entry})
	if got := b.violations(); got.Total() != 0 {
		t.Errorf("violations = %+v, want none", got)
	}
}

// Replays a caller whose first send runs and breaks, as when it times out on a
// busy machine, and whose second send is refused: the refusal is true.
func TestRefusalIsHeldAgainstItsOwnSend(t *testing.T) {
	for secondRuns, want := range map[bool]int{false: 0, true: 1} {
		b := newBench()
		c, r := sendAgain(call{trace: "s-1", priority: prio.Urgent, due: time.Now()}, func(c call, try uint64) result {
			if try == 0 || secondRuns {
				b.ledger.Begin(c.trace, fakes.ShardKey("seats", 1, 0), "")
			}
			if try == 0 {
				return result{err: errors.New("time-out")}
			}
			return result{problem: &wire.Problem{Kind: wire.KindNotRun}}
		})
		b.check.searched(c, r)
		if got := b.violations().NotRunButRan; got != want {
			t.Errorf("refusals that have run, second send runs %v = %d, want %d", secondRuns, got, want)
		}
	}
}

func TestFaultNames(t *testing.T) {
	if _, err := ParseFaults("drain,flood-bulk"); err != nil {
		t.Errorf("ParseFaults() = %v, want nil", err)
	}
	if _, err := ParseFaults("earthquake"); err == nil {
		t.Error("ParseFaults() of an unknown fault = nil, want an error that lists the known")
	}
	if got, want := fmt.Sprint(len(FaultNames())), "18"; got != want {
		t.Errorf("there are %s faults, want %s", got, want)
	}
}

// TestSafetyUnderFaults runs whole deployments for a moment under pairs of
// faults. Only what holds at any speed is asserted.
func TestSafetyUnderFaults(t *testing.T) {
	for _, c := range []struct{ deployment, faults string }{
		{"karatasi", "crossed,reindex"},
		{"villakude", "crash-node,lost-reply"},
		{"karatasi", "poison,drain"},
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
