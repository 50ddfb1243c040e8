package search_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// fakeDeps picks the first replica that is not excluded and has fixed budgets and
// delays.
type fakeDeps struct {
	tracker *poison.Tracker
	hedges  int
	retries int
}

func (d *fakeDeps) Pick(replicas []*layout.Upstream, excluded []string) (*layout.Upstream, bool) {
	for _, u := range replicas {
		taken := false
		for _, id := range excluded {
			taken = taken || id == u.ID()
		}
		if !taken {
			return u, true
		}
	}
	return nil, false
}

func (d *fakeDeps) HedgeDelay(string, string) time.Duration { return 50 * time.Millisecond }

func (d *fakeDeps) TakeHedge(string, string) bool {
	d.hedges--
	return d.hedges >= 0
}

func (d *fakeDeps) TakeRetry() bool {
	d.retries--
	return d.retries >= 0
}

func (d *fakeDeps) Backoff(int) time.Duration { return 10 * time.Millisecond }

func (d *fakeDeps) Verdict(f poison.Fingerprint) poison.Verdict { return d.tracker.Verdict(f) }

func (d *fakeDeps) Succeeded(f poison.Fingerprint) { d.tracker.RecordSuccess(f) }

// fingerprint is the fingerprint of all searches in these tests.
const fingerprint = poison.Fingerprint(7)

func newDeps(proven bool) *fakeDeps {
	d := &fakeDeps{tracker: poison.New(), hedges: 100, retries: 100}
	if proven {
		d.tracker.RecordSuccess(fingerprint)
	}
	return d
}

// catalogue returns a catalogue with one archive, "a", with two replicas per
// shard.
func catalogue(t testing.TB, shards int) *layout.Catalogue {
	t.Helper()
	spec := layout.Spec{Revision: 1, Archives: []layout.ArchiveSpec{{Name: "a", Version: 3}}}
	for s := range shards {
		var ids []string
		for r := range 2 {
			id := fmt.Sprintf("u-%d-%d", s, r)
			ids = append(ids, id)
			spec.Upstreams = append(spec.Upstreams, layout.UpstreamSpec{ID: id, Slots: 2, Conns: 4})
		}
		spec.Archives[0].Shards = append(spec.Archives[0].Shards, ids)
	}
	c, err := layout.New(spec)
	if err != nil {
		t.Fatalf("layout.New() = %v", err)
	}
	return c
}

func newSearch(t *testing.T, shards int, d *fakeDeps) *search.Search {
	t.Helper()
	return search.New(search.Plan{
		Request: "r", Catalogue: catalogue(t, shards), Archives: []string{"a"}, Merge: search.MergeConcat,
		Deadline: time.Now().Add(time.Second), Fingerprint: fingerprint,
	}, d)
}

func sends(actions []search.Action) []search.Send {
	var list []search.Send
	for _, a := range actions {
		if s, ok := a.(search.Send); ok {
			list = append(list, s)
		}
	}
	return list
}

func finish(actions []search.Action) (search.Result, bool) {
	for _, a := range actions {
		if f, ok := a.(search.Finish); ok {
			return f.Result, true
		}
	}
	return search.Result{}, false
}

func replyTo(s search.Send) search.Replied {
	return search.Replied{Attempt: s.Attempt, Reply: search.Reply{
		Request: "r", Attempt: s.Attempt, Target: s.Target,
		Hits: []search.Hit{{ID: fmt.Sprintf("d%d", s.Target.Shard), Score: 1}},
	}}
}

func TestAnswerCoversAllShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSearch(t, 3, newDeps(true))
		started := append([]search.Send(nil), sends(s.Step(search.Start{}))...)
		if got, want := len(started), 3; got != want {
			t.Fatalf("Step(Start) sent %d, want %d", got, want)
		}
		var result search.Result
		for _, send := range started {
			result, _ = finish(s.Step(replyTo(send)))
		}
		if got, want := result.Kind, search.KindAnswered; got != want {
			t.Errorf("Kind = %v, want %v", got, want)
		}
		if got, want := len(result.Hits), 3; got != want {
			t.Errorf("len(Hits) = %d, want %d", got, want)
		}
		if got, want := search.Ratio(result.Coverage), 1.0; got != want {
			t.Errorf("Ratio() = %v, want %v", got, want)
		}
	})
}

// A reply that does not echo its shard request must be dropped, counted and
// retried on another replica.
func TestMismatchedRepliesAreNeverMerged(t *testing.T) {
	corruptions := map[string]func(*search.Reply){
		"request": func(r *search.Reply) { r.Request = "other" },
		"attempt": func(r *search.Reply) { r.Attempt++ },
		"shard":   func(r *search.Reply) { r.Target.Shard++ },
		"version": func(r *search.Reply) { r.Target.Version++ },
		"archive": func(r *search.Reply) { r.Target.Archive = "b" },
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSearch(t, 1, newDeps(true))
				first := sends(s.Step(search.Start{}))[0]
				bad := replyTo(first)
				corrupt(&bad.Reply)
				resent := sends(s.Step(bad))
				if got, want := len(resent), 1; got != want {
					t.Fatalf("a mismatched reply led to %d sends, want %d", got, want)
				}
				if got, want := s.Dropped(), 1; got != want {
					t.Errorf("Dropped() = %d, want %d", got, want)
				}
				result, ok := finish(s.Step(replyTo(resent[0])))
				if !ok || len(result.Hits) != 1 {
					t.Errorf("search ended with %+v, want one hit", result)
				}
			})
		})
	}
}

func TestLateAndDuplicateRepliesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSearch(t, 2, newDeps(true))
		started := append([]search.Send(nil), sends(s.Step(search.Start{}))...)
		s.Step(replyTo(started[0]))
		s.Step(replyTo(started[0]))
		s.Step(replyTo(started[1]))
		s.Step(replyTo(started[1]))
		if got, want := s.Dropped(), 2; got != want {
			t.Errorf("Dropped() = %d, want %d", got, want)
		}
	})
}

func TestHedgeCancelsLoser(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSearch(t, 1, newDeps(true))
		first := sends(s.Step(search.Start{}))[0]
		time.Sleep(time.Until(s.Wake()))
		hedge := sends(s.Step(search.Tick{}))
		if len(hedge) != 1 || !hedge[0].Hedge || hedge[0].Upstream.ID() == first.Upstream.ID() {
			t.Fatalf("Step(Tick) = %+v, want one hedge to the other replica", hedge)
		}
		canceled := false
		for _, a := range s.Step(replyTo(hedge[0])) {
			if c, ok := a.(search.Cancel); ok {
				canceled = c.Attempt == first.Attempt
			}
		}
		if !canceled {
			t.Error("the first attempt was not cancelled")
		}
	})
}

func TestHedgeNeedsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeps(true)
		d.hedges = 0
		s := newSearch(t, 1, d)
		s.Step(search.Start{})
		time.Sleep(time.Until(s.Wake()))
		if got := sends(s.Step(search.Tick{})); len(got) != 0 {
			t.Errorf("Step(Tick) sent %d without budget, want 0", len(got))
		}
	})
}

func TestDeadlineReportsTrueCoverage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeps(true)
		d.hedges = 0
		s := newSearch(t, 4, d)
		started := append([]search.Send(nil), sends(s.Step(search.Start{}))...)
		s.Step(replyTo(started[2]))
		time.Sleep(2 * time.Second)
		result, ok := finish(s.Step(search.Tick{}))
		if !ok || result.Kind != search.KindAnswered {
			t.Fatalf("search ended with %+v, want a partial answer", result)
		}
		if got, want := fmt.Sprint(result.Coverage[0].Missing), "[0 1 3]"; got != want {
			t.Errorf("Missing = %v, want %v", got, want)
		}
		if got, want := search.Ratio(result.Coverage), 0.25; got != want {
			t.Errorf("Ratio() = %v, want %v", got, want)
		}
	})
}

// A search may end as not_run only if every attempt provably did not run.
func TestNotRunRequiresProof(t *testing.T) {
	for _, c := range []struct {
		cause search.Cause
		want  search.Kind
	}{
		{search.CauseRefused, search.KindNotRun},
		{search.CauseDraining, search.KindNotRun},
		{search.CauseShed, search.KindNotRun},
		{search.CauseBroken, search.KindUnknown},
		{search.CauseTimeout, search.KindUnknown},
		{search.CauseCrashed, search.KindUnknown},
		{search.CauseInvalid, search.KindUnknown},
	} {
		t.Run(c.cause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSearch(t, 1, newDeps(true))
				pending := sends(s.Step(search.Start{}))
				for {
					var actions []search.Action
					if len(pending) > 0 {
						actions = s.Step(search.Failed{Attempt: pending[0].Attempt, Cause: c.cause})
					} else {
						time.Sleep(max(time.Until(s.Wake()), 0))
						actions = s.Step(search.Tick{})
					}
					if result, ok := finish(actions); ok {
						if result.Kind != c.want {
							t.Errorf("Kind = %v, want %v", result.Kind, c.want)
						}
						return
					}
					pending = sends(actions)
				}
			})
		})
	}
}

func TestVersionGoneEverywhereIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSearch(t, 1, newDeps(true))
		first := sends(s.Step(search.Start{}))[0]
		second := sends(s.Step(search.Failed{Attempt: first.Attempt, Cause: search.CauseVersionGone}))
		if len(second) != 1 {
			t.Fatalf("version gone on one replica led to %d sends, want 1 to the other", len(second))
		}
		result, ok := finish(s.Step(search.Failed{Attempt: second[0].Attempt, Cause: search.CauseVersionGone}))
		if !ok || result.Kind != search.KindStale || result.Ran {
			t.Errorf("search ended with %+v, want stale and nothing run", result)
		}
	})
}

// An unproven request runs on a single upstream first. If that upstream crashes,
// the request runs solo on one upstream of another shard, and after a second crash
// it is quarantined.
func TestPoisonCrashesAtMostTwoUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeps(false)
		s := newSearch(t, 20, d)
		pending := append([]search.Send(nil), sends(s.Step(search.Start{}))...)
		crashed, shard := 0, -1
		for len(pending) > 0 {
			if len(pending) != 1 {
				t.Fatalf("%d shard requests of an unproven search were sent at once, want 1", len(pending))
			}
			if crashed > 0 && (!pending[0].Solo || pending[0].Target.Shard == shard) {
				t.Errorf("suspected search: solo = %v on shard %d, want true on a shard other than %d", pending[0].Solo, pending[0].Target.Shard, shard)
			}
			shard = pending[0].Target.Shard
			crashed++
			d.tracker.RecordCrash(pending[0].Upstream.ID(), time.Now(), []poison.Run{{Fingerprint: fingerprint}})
			actions := s.Step(search.Failed{Attempt: pending[0].Attempt, Cause: search.CauseCrashed})
			if result, ok := finish(actions); ok && result.Kind != search.KindQuarantined {
				t.Errorf("Kind = %v, want %v", result.Kind, search.KindQuarantined)
			} else if !ok {
				time.Sleep(time.Until(s.Wake()))
				actions = s.Step(search.Tick{})
			}
			pending = append([]search.Send(nil), sends(actions)...)
		}
		if got, want := crashed, 2; got != want {
			t.Errorf("%d upstreams crashed, want %d", got, want)
		}
	})
}

// If no replica of the canary shard accepts an unproven request, the canary moves
// to another shard.
func TestCanaryMovesToAnotherShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSearch(t, 3, newDeps(false))
		first := sends(s.Step(search.Start{}))[0]
		second := sends(s.Step(search.Failed{Attempt: first.Attempt, Cause: search.CauseDraining}))[0]
		third := sends(s.Step(search.Failed{Attempt: second.Attempt, Cause: search.CauseDraining}))
		if len(third) != 1 || third[0].Target.Shard == first.Target.Shard {
			t.Fatalf("after both replicas rejected the canary, sent %+v, want one to another shard", third)
		}
		rest := sends(s.Step(replyTo(third[0])))
		if got, want := len(rest), 2; got != want {
			t.Errorf("%d shard requests followed the first reply, want %d", got, want)
		}
	})
}

func TestSoftDeadlineAnswersPartially(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeps(true)
		d.hedges = 0
		s := search.New(search.Plan{
			Request: "r", Catalogue: catalogue(t, 4), Archives: []string{"a"}, Merge: search.MergeConcat,
			Deadline: time.Now().Add(time.Second), SoftDeadline: time.Now().Add(100 * time.Millisecond),
			MinCoverage: 0.75, Fingerprint: fingerprint,
		}, d)
		started := append([]search.Send(nil), sends(s.Step(search.Start{}))...)
		s.Step(replyTo(started[0]))
		s.Step(replyTo(started[1]))
		time.Sleep(150 * time.Millisecond)
		if _, ok := finish(s.Step(search.Tick{})); ok {
			t.Fatal("half the shards ended the search, want three quarters")
		}
		result, ok := finish(s.Step(replyTo(started[2])))
		if !ok || search.Ratio(result.Coverage) != 0.75 {
			t.Errorf("search ended with %+v, want coverage 0.75", result)
		}
	})
}

func TestTopKOrderIsStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := search.New(search.Plan{
			Request: "r", Catalogue: catalogue(t, 3), Archives: []string{"a"}, Merge: search.MergeTopK, Limit: 2,
			Deadline: time.Now().Add(time.Second), Fingerprint: fingerprint,
		}, newDeps(true))
		started := append([]search.Send(nil), sends(s.Step(search.Start{}))...)
		var result search.Result
		for i := len(started) - 1; i >= 0; i-- {
			result, _ = finish(s.Step(replyTo(started[i])))
		}
		if got, want := fmt.Sprint(result.Hits), "[{d0 1 } {d1 1 }]"; got != want {
			t.Errorf("Hits = %v, want %v", got, want)
		}
	})
}

// BenchmarkSearch measures the decisions of one complete search.
func BenchmarkSearch(b *testing.B) {
	for _, shards := range []int{20, 50, 630} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			d := newDeps(true)
			plan := search.Plan{
				Request: "r", Catalogue: catalogue(b, shards), Archives: []string{"a"}, Merge: search.MergeTopK, Limit: 10,
				Fingerprint: fingerprint,
			}
			b.ReportAllocs()
			for b.Loop() {
				plan.Deadline = time.Now().Add(time.Minute)
				s := search.New(plan, d)
				for _, send := range append([]search.Send(nil), sends(s.Step(search.Start{}))...) {
					s.Step(replyTo(send))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(shards), "ns/sub-request")
		})
	}
}
