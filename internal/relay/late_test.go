package relay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/canary"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// lateFleet is an engine with shards of three upstreams, which end some time after they
// begin to run a request whose path begins with /end.
type lateFleet struct {
	engine *Engine
	ended  atomic.Int64
}

const (
	lateShards   = 8
	lateReplicas = 3
)

func newLateFleet(t *testing.T, after time.Duration) *lateFleet {
	t.Helper()
	f := new(lateFleet)
	var shards []string
	var entries []fleet.Entry
	for i := range lateShards {
		service := fmt.Sprintf("shard-%d", i)
		shards = append(shards, service)
		for k := range lateReplicas {
			up := newFakeUpstream(t, fmt.Sprintf("up-%d-%d", i, k))
			var once sync.Once
			up.setHandler(func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/end") {
					time.Sleep(5 * time.Millisecond)
					_, _ = fmt.Fprintf(w, "%-16s", up.id)
					return
				}
				time.Sleep(after)
				once.Do(func() {
					f.ended.Add(1)
					_ = up.server.Listener.Close()
					go up.server.CloseClientConnections()
				})
				<-r.Context().Done()
			})
			entries = append(entries, up.entry(service))
		}
	}
	f.engine = newEngine(t, []*vhost.Route{gatherRoute(shards, 0.75)}, entries...)
	return f
}

// search sends a search of the caller and returns the answer.
func (f *lateFleet) search(path, caller string) proto.Answer {
	req := requestTo("search", path, "r-"+caller+strings.ReplaceAll(path, "/", "-"))
	req.Caller = caller
	return f.engine.Do(context.Background(), req)
}

// endsOf returns how many upstreams end under a search and the callers' retry of it.
func (f *lateFleet) endsOf(path, caller string) int64 {
	before := f.ended.Load()
	f.search(path, caller)
	time.Sleep(checkedTime)
	f.search(path, caller)
	time.Sleep(checkedTime)
	return f.ended.Load() - before
}

// maxEnds is how many upstreams one search may end while it is known that searches do.
const maxEnds = 2

// Searches that end upstreams late in their run, each another one, must not end one
// upstream of each shard: only the first may, of which nothing could be known.
func TestSearchesThatEndUpstreamsLateEndFew(t *testing.T) {
	for _, after := range []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			f := newLateFleet(t, after)
			if got, want := f.endsOf("/end/0", "caller-0"), int64(lateShards+maxEnds); got > want {
				t.Errorf("upstreams that the first search ended = %d, want at most %d", got, want)
			}
			for i := 1; i <= 3; i++ {
				if got := f.endsOf(fmt.Sprintf("/end/%d", i), fmt.Sprintf("caller-%d", i)); got > maxEnds {
					t.Errorf("upstreams that search %d ended = %d, want at most %d", i, got, maxEnds)
				}
			}
		})
	}
}

// A search that every caller sends once must not end upstreams for each of them.
func TestSearchOfManyCallersEndsFew(t *testing.T) {
	t.Parallel()
	f := newLateFleet(t, 60*time.Millisecond)
	f.endsOf("/end", "caller-0")
	before := f.ended.Load()
	for i := 1; i <= 6; i++ {
		f.search("/end", fmt.Sprintf("caller-%d", i))
		time.Sleep(checkedTime)
	}
	if got := f.ended.Load() - before; got > maxEnds {
		t.Errorf("upstreams ended after the first search = %d, want at most %d", got, maxEnds)
	}
	if got, want := f.engine.tracker.Verdict(contentOf(requestTo("search", "/end", ""))), poison.Quarantined; got != want {
		t.Errorf("verdict on the content = %v, want %v", got, want)
	}
}

// Harmless searches beside those that end upstreams are answered, and none is convicted.
func TestHarmlessSearchesAreServedWhileUpstreamsEnd(t *testing.T) {
	t.Parallel()
	f := newLateFleet(t, 40*time.Millisecond)
	f.endsOf("/end/0", "caller-0")
	if !f.engine.tracker.Alerted() {
		t.Fatal("Alerted() = false after upstreams have ended, want true")
	}
	var wait sync.WaitGroup
	var answered, convicted atomic.Int64
	const searches = 200
	for i := range searches {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			if i%50 == 10 {
				f.search(fmt.Sprintf("/end/%d", i), fmt.Sprintf("caller-%d", i))
				answered.Add(1) // only harmless searches are measured
				return
			}
			path := fmt.Sprintf("/ok/%d", i)
			if proto.Kind(f.search(path, "harmless")) == "merged" {
				answered.Add(1)
			}
			if f.engine.tracker.Verdict(contentOf(requestTo("search", path, ""))) == poison.Quarantined {
				convicted.Add(1)
			}
		})
	}
	wait.Wait()
	if got, want := answered.Load(), int64(0.97*searches); got < want || convicted.Load() != 0 {
		t.Errorf("answered %d of %d with %d convicted, want at least %d and 0", got, searches, convicted.Load(), want)
	}
}

// While nothing ends, no search waits for a canary.
func TestSearchesDoNotWaitWhileNothingEnds(t *testing.T) {
	f := newLateFleet(t, 0)
	for i := range 10 {
		f.search(fmt.Sprintf("/ok/%d", i), "harmless")
	}
	if f.engine.tracker.Alerted() {
		t.Error("Alerted() = true, want false")
	}
	WithCanary(canary.Always)(f.engine)
	if got := proto.Kind(f.search("/ok/always", "harmless")); got != "merged" {
		t.Errorf("answer with a canary for each search = %s, want merged", got)
	}
}

// A shard whose upstreams have all ended must not delay the answers of the others, and a
// search that cannot be answered is rejected at once with the time until they are back.
func TestShardsThatAreDownAreNotWaitedFor(t *testing.T) {
	f := newLateFleet(t, time.Hour)
	lose := func(shards int) {
		for i := range shards {
			for k := range lateReplicas {
				f.engine.upstreams.Load().byID[fmt.Sprintf("up-%d-%d", i, k)].down.mark(time.Now(), crashedTime)
			}
		}
	}
	lose(2)
	start := time.Now()
	got, ok := f.search("/ok/1", "harmless").(proto.Merged)
	if took := time.Since(start); !ok || got.Missing != 2 || took > 200*time.Millisecond {
		t.Errorf("answer = %+v after %v, want all but 2 parts within 200 ms", got, took)
	}
	lose(3)
	start = time.Now()
	refused, ok := f.search("/ok/2", "harmless").(proto.Refused)
	if took := time.Since(start); !ok || took > 50*time.Millisecond || refused.RetryAfter < time.Second {
		t.Errorf("answer = %+v after %v, want a rejection at once with the time until upstreams are back", refused, took)
	}
}
