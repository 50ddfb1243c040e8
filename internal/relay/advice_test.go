package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/advice"
	"geraniumstep.org/geraniumstep/pkg/crash"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// Requests that waited for a slot of an upstream when it asked for rest, or said that it
// leaves, were sent to it.
func TestQueuedRequestsAreNotSentToAnUpstreamThatDeclines(t *testing.T) {
	for name, a := range map[string]advice.Advice{"leaves": {Leaving: true}, "rests": {Rest: 5 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			up := newFakeUpstream(t, "up-a")
			block := make(chan struct{})
			up.setHandler(func(w http.ResponseWriter, _ *http.Request) {
				<-block
				_, _ = fmt.Fprintf(w, "%-16s", up.id)
			})
			e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, up.entry("svc", fleet.WithSlots(1)))
			u := e.upstreams.Load().byID["up-a"]
			var callers sync.WaitGroup
			for i := range 6 {
				callers.Go(func() { e.Do(context.Background(), request("single", fmt.Sprintf("r-%d", i))) })
			}
			for u.gate.InFlight() == 0 || int(up.runs.Load()) < int(u.slots.Load()) {
				time.Sleep(time.Millisecond)
			}
			sent := up.runs.Load()
			e.heardAdvice(u, a)
			close(block)
			callers.Wait()
			if got := up.runs.Load(); got != sent {
				t.Errorf("requests at the upstream = %d, want the %d that had been sent before", got, sent)
			}
		})
	}
}

// If all replicas of a shard leave or rest, searches must do without it at once, and without
// enough shards be rejected at once.
func TestShardWhoseUpstreamsAllDeclineIsLeftOut(t *testing.T) {
	names, _, entries := newShards(t, 4)
	for _, coverage := range []float64{0.75, 1} {
		e := newEngine(t, []*vhost.Route{gatherRoute(names, coverage)}, entries...)
		e.heardAdvice(e.upstreams.Load().byID["up-2"], advice.Advice{Rest: 3 * time.Second})
		start := time.Now()
		got := e.Do(context.Background(), request("search", "r-1"))
		took := time.Since(start)
		refused, isRefused := got.(proto.Refused)
		merged, isMerged := got.(proto.Merged)
		switch {
		case took > 200*time.Millisecond:
			t.Errorf("answer with coverage %v = %+v after %v, want one at once", coverage, got, took)
		case coverage < 1 && (!isMerged || merged.Missing != 1):
			t.Errorf("answer with coverage %v = %+v, want 3 of 4 parts", coverage, got)
		case coverage == 1 && (!isRefused || refused.RetryAfter < 2*time.Second):
			t.Errorf("answer with coverage %v = %+v, want a rejection until the rest ends", coverage, got)
		}
	}
}

// News that a process leaves must not concern the one that has taken its place.
func TestNewsOfAReplacedProcessIsIgnored(t *testing.T) {
	up := newFakeUpstream(t, "up-a")
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, up.entry("svc", fleet.WithStarted(7)))
	if e.LearnLeaving(advice.News{Upstream: "up-a", Started: 6}) || e.LearnLeaving(advice.News{Upstream: "up-b", Started: 7}) {
		t.Error("LearnLeaving() of another process = true, want false")
	}
	if got := proto.Kind(e.Do(context.Background(), request("single", "r-1"))); got != "relayed" {
		t.Errorf("answer = %s, want relayed", got)
	}
	if !e.LearnLeaving(advice.News{Upstream: "up-a", Started: 7}) || e.LearnLeaving(advice.News{Upstream: "up-a", Started: 7}) {
		t.Error("LearnLeaving() twice: want true for the first only")
	}
	if got := proto.Kind(e.Do(context.Background(), request("single", "r-2"))); got != "refused" {
		t.Errorf("answer after the news = %s, want refused", got)
	}
	e.SetUpstreams([]fleet.Entry{up.entry("svc", fleet.WithStarted(8))})
	if got := proto.Kind(e.Do(context.Background(), request("single", "r-3"))); got != "relayed" {
		t.Errorf("answer of the next process = %s, want relayed", got)
	}
}

// A probe is a request to the upstream too, and must respect its rest.
func TestRestingUpstreamIsNotProbed(t *testing.T) {
	up := newFakeUpstream(t, "up-a")
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, up.entry("svc"))
	u := e.upstreams.Load().byID["up-a"]
	e.heardAdvice(u, advice.Advice{Rest: time.Second})
	if got, want := e.probe(u), crash.Inconclusive; got != want {
		t.Errorf("probe() = %v, want %v", got, want)
	}
}
