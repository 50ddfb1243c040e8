package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/store"
)

// fakeStore keeps objects in memory. Its fail function returns the fault of each
// write by number.
type fakeStore struct {
	store.Store
	mu      sync.Mutex
	objects map[string]store.Object
	version uint64
	fail    func(put int) fault
	puts    int
}

type fault int

const (
	noFault fault = iota
	lostRequest
	lostReply
)

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string]store.Object), fail: func(int) fault { return noFault }}
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return o, store.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, version uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	f := s.fail(s.puts)
	if f == lostRequest {
		return 0, store.ErrUnavailable
	}
	if s.objects[key].Version != version {
		return 0, store.ErrConflict
	}
	s.version++
	s.objects[key] = store.Object{Key: key, Version: s.version, Value: value}
	if f == lostReply {
		return 0, store.ErrUnavailable
	}
	return s.version, nil
}

func spec(t testing.TB, target time.Duration) json.RawMessage {
	t.Helper()
	data, err := json.Marshal(config.WorkspaceSpec{
		Name: "w", Archives: []string{"a"}, Priority: prio.Urgent, Prefer: config.PreferLatency,
		Target: config.Duration(target), Deadline: config.Duration(10 * target),
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func change(id, who string, base uint64, after json.RawMessage) config.Change {
	return config.Change{ID: id, Who: who, Kind: config.KindWorkspace, Name: "w", Base: base, After: after}
}

func TestLostRepliesAreResolved(t *testing.T) {
	for _, f := range []fault{lostRequest, lostReply} {
		synctest.Test(t, func(t *testing.T) {
			st, log := newFakeStore(), config.NewLog()
			st.fail = func(put int) fault {
				if put == 1 {
					return f
				}
				return noFault
			}
			accepted, err := config.Commit(t.Context(), st, log, change("c1", "ann", 0, spec(t, time.Second)))
			if err != nil || accepted.Sequence != 1 {
				t.Errorf("Commit() = %d, %v, want change 1", accepted.Sequence, err)
			}
			if got, want := len(st.objects), 1; got != want {
				t.Errorf("store holds %d changes, want %d", got, want)
			}
		})
	}
}

func TestUnavailableStoreLeavesOutcomeUnresolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newFakeStore()
		st.fail = func(int) fault { return lostRequest }
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := config.Commit(ctx, st, config.NewLog(), change("c1", "ann", 0, spec(t, time.Second)))
		if !errors.Is(err, config.ErrUnresolved) {
			t.Errorf("Commit() = %v, want ErrUnresolved", err)
		}
	})
}

func TestConflictingChangeIsRejected(t *testing.T) {
	st := newFakeStore()
	ann, ben := config.NewLog(), config.NewLog()
	if _, err := config.Commit(t.Context(), st, ann, change("c1", "ann", 0, spec(t, time.Second))); err != nil {
		t.Fatalf("Commit() = %v", err)
	}
	_, err := config.Commit(t.Context(), st, ben, change("c2", "ben", 0, spec(t, 2*time.Second)))
	var conflict *config.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("Commit() = %v, want a ConflictError", err)
	}
	if got, want := conflict.Winner().Who, "ann"; got != want {
		t.Errorf("Winner() = %q, want %q", got, want)
	}
	if got, want := ben.State().Revision(), uint64(1); got != want {
		t.Errorf("the rejected operator's log is at revision %d, want %d", got, want)
	}
}

func TestChangesToOtherObjectsDoNotConflict(t *testing.T) {
	st, ann, ben := newFakeStore(), config.NewLog(), config.NewLog()
	if _, err := config.Commit(t.Context(), st, ann, change("c1", "ann", 0, spec(t, time.Second))); err != nil {
		t.Fatalf("Commit() = %v", err)
	}
	other := config.Change{
		ID: "c2", Who: "ben", Kind: config.KindTemplate, Name: "t",
		After: json.RawMessage(`{"name":"t","archives":["a"],"idempotent":true}`),
	}
	accepted, err := config.Commit(t.Context(), st, ben, other)
	if err != nil || accepted.Sequence != 2 {
		t.Errorf("Commit() = %d, %v, want change 2", accepted.Sequence, err)
	}
}

// TestConcurrentCommitsConverge commits from many nodes concurrently, then brings
// all of them and an empty node up to date with feeds of different lengths.
func TestConcurrentCommitsConverge(t *testing.T) {
	st := newFakeStore()
	var all sync.WaitGroup
	logs := make([]*config.Log, 8)
	for i := range logs {
		logs[i] = config.NewLog()
		all.Go(func() {
			for n := range 20 {
				name := fmt.Sprintf("t%d-%d", i, n)
				c := config.Change{
					ID: name, Kind: config.KindTemplate, Name: name,
					After: json.RawMessage(`{"name":"` + name + `","archives":["a"],"idempotent":true}`),
				}
				if _, err := config.Commit(context.Background(), st, logs[i], c); err != nil {
					t.Errorf("Commit(%s) = %v", name, err)
				}
			}
		})
	}
	all.Wait()
	newest := logs[0]
	for _, l := range logs {
		if l.State().Revision() > newest.State().Revision() {
			newest = l
		}
	}
	if got, want := newest.State().Revision(), uint64(160); got != want {
		t.Fatalf("Revision() = %d, want %d", got, want)
	}
	for _, l := range append(logs, config.NewLog()) {
		if err := l.ApplyFeed(newest.Since(l.State().Revision())); err != nil {
			t.Fatalf("ApplyFeed() = %v", err)
		}
		got, want := len(l.State().Names(config.KindTemplate)), 160
		if got != want {
			t.Errorf("node has %d templates, want %d", got, want)
		}
	}
}

func TestRevisionNeverDecreases(t *testing.T) {
	log := config.NewLog()
	for i := range uint64(5) {
		c := change(fmt.Sprint(i), "ann", i, spec(t, time.Duration(i+1)*time.Second))
		c.Sequence = i + 1
		log.Append(c)
	}
	old := config.NewLog()
	first := change("0", "ann", 0, spec(t, time.Second))
	first.Sequence = 1
	old.Append(first)
	if err := log.Restore(old.State().Snapshot()); err != nil {
		t.Fatalf("Restore() = %v", err)
	}
	log.Append(first)
	gap := change("9", "ann", 5, spec(t, time.Second))
	gap.Sequence = 9
	log.Append(gap)
	if got, want := log.State().Revision(), uint64(5); got != want {
		t.Errorf("Revision() = %d, want %d", got, want)
	}
}

func TestInvalidChangeOnlyAdvancesRevision(t *testing.T) {
	s := config.NewState()
	c := change("c1", "ann", 0, json.RawMessage(`{"name":"w"}`))
	c.Sequence = 1
	next, err := s.Apply(c)
	if err != nil || next.Revision() != 1 || len(next.Names(config.KindWorkspace)) != 0 {
		t.Errorf("Apply() = revision %d with %v, %v; want revision 1 without effect", next.Revision(), next.Names(config.KindWorkspace), err)
	}
}

func TestCheckErrorsStateRemedy(t *testing.T) {
	for name, c := range map[string]struct {
		kind config.Kind
		spec string
		want string
	}{
		"name":      {config.KindTemplate, `{"name":"Seats!"}`, "use 1 to 63 lower-case letters"},
		"archive":   {config.KindTemplate, `{"name":"t"}`, "name at least one under archives"},
		"merge":     {config.KindTemplate, `{"name":"t","archives":["a"],"idempotent":true,"merge":"mix"}`, "use concat, top-k or sum"},
		"partition": {config.KindTemplate, `{"name":"t","archives":["a"]}`, "name the parameter that chooses the shard"},
		"target":    {config.KindWorkspace, `{"name":"w"}`, "set a latency such as 150ms"},
		"deadline":  {config.KindWorkspace, `{"name":"w","target":"1s","deadline":"10ms"}`, "choose between its target"},
		"prefer":    {config.KindWorkspace, `{"name":"w","target":"1s","deadline":"2s","prefer":"speed"}`, "use latency or coverage"},
		"duration":  {config.KindWorkspace, `{"name":"w","target":"soon"}`, "write it as in 150ms"},
		"kind":      {"archive", `{}`, "use template or workspace"},
	} {
		_, err := config.Check(c.kind, json.RawMessage(c.spec), 0)
		if err == nil || !contains(err.Error(), c.want) {
			t.Errorf("%s: Check() = %v, want the text %q", name, err, c.want)
		}
	}
}

func contains(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if s[i:i+len(part)] == part {
			return true
		}
	}
	return false
}

func FuzzCheck(f *testing.F) {
	f.Add("template", `{"name":"t","archives":["a"],"idempotent":true}`)
	f.Add("workspace", `{"name":"w","target":"1s","deadline":"2s","prefer":"latency"}`)
	f.Add("workspace", `[`)
	f.Fuzz(func(t *testing.T, kind, spec string) {
		name, err := config.Check(config.Kind(kind), json.RawMessage(spec), 1)
		if err != nil {
			return
		}
		c := config.Change{Sequence: 1, Kind: config.Kind(kind), Name: name, After: json.RawMessage(spec)}
		next, err := config.NewState().Apply(c)
		if err != nil || len(next.Names(config.Kind(kind))) != 1 {
			t.Errorf("Apply() of an accepted object = %v, %v", next.Names(config.Kind(kind)), err)
		}
	})
}

// BenchmarkApply measures one change to configurations of increasing size.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("objects=%d", n), func(b *testing.B) {
			s := config.NewState()
			for i := range n {
				name := fmt.Sprintf("t%d", i)
				next, err := s.Apply(config.Change{
					Sequence: uint64(i + 1), Kind: config.KindTemplate, Name: name,
					After: json.RawMessage(`{"name":"` + name + `","archives":["a"],"idempotent":true}`),
				})
				if err != nil {
					b.Fatal(err)
				}
				s = next
			}
			c := change("c", "ann", 0, spec(b, time.Second))
			c.Sequence = s.Revision() + 1
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLookup measures the lookup of a workspace while the configuration
// changes concurrently.
func BenchmarkLookup(b *testing.B) {
	log := config.NewLog()
	stop := make(chan struct{})
	after := spec(b, time.Second)
	go func() {
		for i := uint64(0); ; i++ {
			select {
			case <-stop:
				return
			default:
				c := change("c", "ann", i, after)
				c.Sequence = i + 1
				log.Append(c)
			}
		}
	}()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			log.State().Workspace("w")
		}
	})
	close(stop)
}
