package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/retry"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// newShards returns n shards of one upstream each, whose record is the upstream ID.
func newShards(t *testing.T, n int) (names []string, ups []*fakeUpstream, entries []fleet.Entry) {
	t.Helper()
	for i := range n {
		s := newFakeUpstream(t, fmt.Sprintf("up-%d", i))
		names = append(names, fmt.Sprintf("shard-%d", i))
		ups = append(ups, s)
		entries = append(entries, s.entry(names[i]))
	}
	return names, ups, entries
}

func TestGatherMergesGreatestRecords(t *testing.T) {
	names, _, entries := newShards(t, 8)
	e := newEngine(t, []*vhost.Route{gatherRoute(names, 1)}, entries...)
	got, ok := e.Do(context.Background(), request("search", "r-1")).(proto.Merged)
	if !ok || got.Missing != 0 || len(got.Proofs) != 8 {
		t.Fatalf("Do() = %+v, want all 8 parts", got)
	}
	var want strings.Builder
	for i := 7; i >= 3; i-- {
		fmt.Fprintf(&want, "%-16s", fmt.Sprintf("up-%d", i))
	}
	if string(got.Body) != want.String() {
		t.Errorf("body = %q, want %q", got.Body, want.String())
	}
}

// A shard whose upstreams all fail must cost only its own part of the answer.
func TestGatherOmitsFailedShard(t *testing.T) {
	names, ups, entries := newShards(t, 4)
	ups[2].setHandler(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	e := newEngine(t, []*vhost.Route{gatherRoute(names, 0.75)}, entries...)
	got, ok := e.Do(context.Background(), request("search", "r-1")).(proto.Merged)
	if !ok || got.Missing != 1 || slices.Contains(got.Proofs, "up-2.r-1") {
		t.Errorf("Do() = %+v, want 3 parts without up-2", got)
	}
}

func TestGatherReturnsAtTarget(t *testing.T) {
	names, ups, entries := newShards(t, 4)
	ups[1].setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	e := newEngine(t, []*vhost.Route{gatherRoute(names, 0.75)}, entries...)
	start := time.Now()
	got, ok := e.Do(context.Background(), request("search", "r-1")).(proto.Merged)
	if !ok || got.Missing != 1 {
		t.Errorf("Do() = %+v, want 3 parts", got)
	}
	if took, target := time.Since(start), 400*time.Millisecond; took > target {
		t.Errorf("answer took %v, want it within the target of %v", took, target)
	}
}

func TestGatherFailsFastBelowMinCoverage(t *testing.T) {
	names, ups, entries := newShards(t, 4)
	for _, u := range ups[:2] {
		u.setHandler(abort)
	}
	e := newEngine(t, []*vhost.Route{gatherRoute(names, 0.75)}, entries...)
	start := time.Now()
	if answer := e.Do(context.Background(), request("search", "r-1")); proto.Kind(answer) != "unknown" {
		t.Errorf("Do() = %+v, want Unknown: two parts have run", answer)
	}
	if took := time.Since(start); took > 300*time.Millisecond {
		t.Errorf("failure took %v, want at most 300 ms", took)
	}
}

func TestGatherWithoutEnoughUpstreamsIsRefused(t *testing.T) {
	names, _, entries := newShards(t, 4)
	e := newEngine(t, []*vhost.Route{gatherRoute(names, 0.75)}, entries[:2]...)
	if answer := e.Do(context.Background(), request("search", "r-1")); proto.Kind(answer) != "refused" {
		t.Errorf("Do() = %+v, want Refused: two shards of four have no upstream", answer)
	}
}

// An answer must hold the shards of one version of the routes, also while the routes
// change.
func TestGatherUsesOneVersion(t *testing.T) {
	oldNames, _, oldEntries := newShards(t, 3)
	var newNames []string
	var newEntries []fleet.Entry
	for i := range 5 {
		s := newFakeUpstream(t, fmt.Sprintf("new-%d", i))
		newNames = append(newNames, fmt.Sprintf("new-shard-%d", i))
		newEntries = append(newEntries, s.entry(newNames[i]))
	}
	e := newEngine(t, []*vhost.Route{gatherRoute(oldNames, 1)}, append(oldEntries, newEntries...)...)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := uint64(2); version < 40; version++ {
			names := oldNames
			if version%2 == 0 {
				names = newNames
			}
			e.SetRoutes(vhost.New(version, []*vhost.Route{gatherRoute(names, 1)}))
			time.Sleep(2 * time.Millisecond)
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		got, ok := e.Do(context.Background(), request("search", fmt.Sprintf("r-%d", i))).(proto.Merged)
		if !ok {
			t.Fatalf("request %d: Do() = %+v, want Merged", i, got)
		}
		newParts := 0
		for _, p := range got.Proofs {
			if strings.HasPrefix(p, "new-") {
				newParts++
			}
		}
		if n := len(got.Proofs); newParts == 0 && n != 3 || newParts > 0 && (newParts != 5 || n != 5) {
			t.Fatalf("request %d: proofs = %v, want the shards of one version", i, got.Proofs)
		}
	}
}

func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	a, b := newFakeUpstream(t, "up-a"), newFakeUpstream(t, "up-b")
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, a.entry("svc"), b.entry("svc"))
	e.SetUpstreams([]fleet.Entry{a.entry("svc", fleet.WithDraining(true)), b.entry("svc")})
	before := a.runs.Load()
	for range 20 {
		e.Do(context.Background(), request("single", "r"))
	}
	if got := a.runs.Load() - before; got != 0 {
		t.Errorf("requests at the draining upstream = %d, want 0", got)
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	a, b := newFakeUpstream(t, "up-a"), newFakeUpstream(t, "up-b")
	route := vhost.NewRoute("split", "split", "/", vhost.NewSplit([]vhost.Part{vhost.NewPart("one", 3), vhost.NewPart("two", 1)}),
		vhost.WithIdempotent(true), vhost.WithTimeout(time.Second))
	e := newEngine(t, []*vhost.Route{route}, a.entry("one"), b.entry("two"))
	for range 40 {
		e.Do(context.Background(), request("split", "r"))
	}
	if a.runs.Load() != 30 || b.runs.Load() != 10 {
		t.Errorf("requests = %d and %d, want 30 and 10", a.runs.Load(), b.runs.Load())
	}
}

func TestHandlerAnswersCallers(t *testing.T) {
	names, _, entries := newShards(t, 3)
	up := newFakeUpstream(t, "up")
	e := newEngine(t, []*vhost.Route{gatherRoute(names, 1), singleRoute("svc", true)}, append(entries, up.entry("svc"))...)
	server := newCallerServer(t, e)
	tests := []struct {
		name, host, id string
		want           int
		header         map[string]string
	}{
		{"gather", "search", "r-1", http.StatusOK, map[string]string{"Missing": "0"}},
		{"single", "single", "r-2", http.StatusOK, map[string]string{"Proof": "up.r-2"}},
		{"no route", "nowhere", "r-3", http.StatusNotFound, nil},
		{"no id", "single", "", http.StatusBadRequest, nil},
	}
	for _, tt := range tests {
		req, err := http.NewRequest(http.MethodGet, server+"/a/b?c=d", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = tt.host
		req.Header.Set("Id", tt.id)
		req.Header.Set("Left", "1000")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if res.StatusCode != tt.want {
			t.Errorf("%s: status = %d, want %d", tt.name, res.StatusCode, tt.want)
		}
		for name, want := range tt.header {
			if got := res.Header.Get(name); got != want {
				t.Errorf("%s: %s = %q, want %q", tt.name, name, got, want)
			}
		}
	}
}

// If all upstreams hang, many attempts are in flight when the search ends. None of
// them may block forever on reporting its result to the ended search.
func TestAttemptsEndAfterTheSearch(t *testing.T) {
	const shards, replicas = 12, 4
	var names []string
	var entries []fleet.Entry
	for i := range shards {
		names = append(names, fmt.Sprintf("shard-%d", i))
		for k := range replicas {
			up := newFakeUpstream(t, fmt.Sprintf("up-%d-%d", i, k))
			up.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			entries = append(entries, up.entry(names[i]))
		}
	}
	route := vhost.NewRoute("gather", "search", "/", vhost.NewGather(names, 5, 1), vhost.WithTarget(200*time.Millisecond),
		vhost.WithTimeout(700*time.Millisecond), vhost.WithMaxAttempts(replicas))
	e := New(testDialect{}, WithBudget(retry.WithRatio(100)))
	e.log.Logger.SetOutput(io.Discard)
	e.SetRoutes(vhost.New(1, []*vhost.Route{route}))
	e.SetUpstreams(entries)
	if answer := e.Do(context.Background(), request("search", "r-1")); proto.Kind(answer) != "unknown" {
		t.Errorf("Do() = %+v, want Unknown", answer)
	}
	closed := make(chan struct{})
	go func() {
		e.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Error("Close() did not return within 3 s after the search ended")
	}
}
