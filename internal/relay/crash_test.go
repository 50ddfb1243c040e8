package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// checkedTime is the time after which a crash of an upstream has been detected, and
// another crash is another trial.
const checkedTime = 120*time.Millisecond + poison.TrialGap

// crashOn makes the upstream crash when it runs a request with the path.
func (s *fakeUpstream) crashOn(path string) {
	s.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			_, _ = fmt.Fprintf(w, "%-16s", s.id)
			return
		}
		_ = s.server.Listener.Close()
		go s.server.CloseClientConnections()
		<-r.Context().Done()
	})
}

// requestTo returns a caller's request to a path of the host.
func requestTo(host, path, id string) *proto.Request {
	req := request(host, id)
	req.Target, req.Path = path, path
	return req
}

// newCrashingUpstreams starts n upstreams of a service that crash under requests to
// /crash.
func newCrashingUpstreams(t *testing.T, service string, n int) (ups []*fakeUpstream, entries []fleet.Entry) {
	t.Helper()
	for i := range n {
		up := newFakeUpstream(t, fmt.Sprintf("%s-%d", service, i))
		up.crashOn("/crash")
		ups, entries = append(ups, up), append(entries, up.entry(service))
	}
	return ups, entries
}

// totalRuns returns how many requests the upstreams ran.
func totalRuns(ups []*fakeUpstream) int64 {
	n := int64(0)
	for _, up := range ups {
		n += up.runs.Load()
	}
	return n
}

// testLead is a lead within which a crash shows on a busy machine too.
const testLead = 200 * time.Millisecond

// maxCrashes is the number of upstreams that one request may crash.
const maxCrashes = 3

// A request that crashes upstreams must soon be rejected at once, as not run and with a
// Retry-After, while other requests are served.
func TestCrashingRequestIsRejected(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent %v", idempotent), func(t *testing.T) {
			ups, entries := newCrashingUpstreams(t, "svc", 6)
			e := newEngine(t, []*vhost.Route{singleRoute("svc", idempotent)}, entries...)
			var last proto.Answer
			for i := range 6 {
				last = e.Do(context.Background(), requestTo("single", "/crash", fmt.Sprintf("c-%d", i)))
				time.Sleep(checkedTime)
			}
			refused, ok := last.(proto.Refused)
			if !ok || refused.RetryAfter < time.Minute {
				t.Errorf("answer to the repeated request = %+v, want a rejection with the time of the quarantine", last)
			}
			if got := totalRuns(ups); got > maxCrashes {
				t.Errorf("runs = %d, want at most %d", got, maxCrashes)
			}
			if got := e.Do(context.Background(), requestTo("single", "/good", "g-1")); proto.Kind(got) != "relayed" {
				t.Errorf("answer to another request = %+v, want relayed", got)
			}
		})
	}
}

// A request that becomes known to crash upstreams while it waits for a slot must not be sent.
func TestRequestQuarantinedWhileItWaitsIsNotSent(t *testing.T) {
	up := newFakeUpstream(t, "up-a")
	hold := make(chan struct{})
	up.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		<-hold
		_, _ = fmt.Fprintf(w, "%-16s", up.id)
	})
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, up.entry("svc"))
	const slots = queueFactor * 2
	var others sync.WaitGroup
	for i := range slots {
		others.Go(func() { e.Do(context.Background(), requestTo("single", fmt.Sprintf("/%d", i), fmt.Sprintf("o-%d", i))) })
	}
	for up.runs.Load() < slots {
		time.Sleep(time.Millisecond)
	}
	answer := make(chan proto.Answer, 1)
	go func() { answer <- e.Do(context.Background(), requestTo("single", "/crash", "c-1")) }()
	time.Sleep(50 * time.Millisecond)
	for i := range 2 {
		e.tracker.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), []poison.Run{{Fingerprint: fingerprintOf(requestTo("single", "/crash", ""))}})
	}
	close(hold)
	others.Wait()
	if got := proto.Kind(<-answer); got != "refused" || up.runs.Load() != slots {
		t.Errorf("answer = %s with %d runs, want refused and the %d of others", got, up.runs.Load(), slots)
	}
}

// Requests of other callers, to other paths or with other bodies are not equal to the
// one that crashes upstreams.
func TestOnlyEqualRequestsAreRejected(t *testing.T) {
	_, entries := newCrashingUpstreams(t, "svc", 1)
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, entries...)
	crash := requestTo("single", "/x", "c-1")
	crash.Caller, crash.Body = "10.0.0.1", []byte("body")
	for i := range 2 {
		e.tracker.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), []poison.Run{{Fingerprint: fingerprintOf(crash)}})
	}
	if got := e.Do(context.Background(), crash); proto.Kind(got) != "refused" {
		t.Fatalf("answer = %+v, want refused", got)
	}
	for name, change := range map[string]func(r *proto.Request){
		"caller": func(r *proto.Request) { r.Caller = "10.0.0.2" },
		"path":   func(r *proto.Request) { r.Target = "/y" },
		"body":   func(r *proto.Request) { r.Body = []byte("other") },
		"method": func(r *proto.Request) { r.Method = http.MethodPost },
	} {
		other := *crash
		change(&other)
		if got := e.Do(context.Background(), &other); proto.Kind(got) != "relayed" {
			t.Errorf("other %s: answer = %+v, want relayed", name, got)
		}
	}
}

// A search that crashes upstreams must not reach one of each shard at once, nor all
// replicas of one.
func TestCrashingSearchIsSentToFewUpstreams(t *testing.T) {
	const shards = 8
	var names []string
	var ups []*fakeUpstream
	var entries []fleet.Entry
	for i := range shards {
		name := fmt.Sprintf("shard-%d", i)
		list, more := newCrashingUpstreams(t, name, 2)
		names, ups, entries = append(names, name), append(ups, list...), append(entries, more...)
	}
	e := newEngine(t, []*vhost.Route{gatherRoute(names, 0.5)}, entries...)
	WithLead(testLead)(e)
	for i := range 3 {
		answer := e.Do(context.Background(), requestTo("search", "/crash", fmt.Sprintf("c-%d", i)))
		if got, want := proto.Kind(answer), []string{"unknown", "refused", "refused"}[i]; got != want {
			t.Errorf("answer %d = %s, want %s", i, got, want)
		}
		time.Sleep(checkedTime)
	}
	if got := totalRuns(ups); got > maxCrashes {
		t.Errorf("runs = %d, want at most %d", got, maxCrashes)
	}
	if got := e.Do(context.Background(), requestTo("search", "/good", "g-1")); proto.Kind(got) != "merged" {
		t.Errorf("answer to another search = %+v, want merged", got)
	}
}

// Equal popular requests in flight on upstreams that all crash at once must be served
// afterward, and so must requests whose connections break without a crash.
func TestCrashOfManyUpstreamsRejectsNoRequest(t *testing.T) {
	const crashing = 6
	var ups []*fakeUpstream
	var entries []fleet.Entry
	for i := range 2 * crashing {
		up := newFakeUpstream(t, fmt.Sprintf("up-%d", i))
		ups, entries = append(ups, up), append(entries, up.entry("svc"))
	}
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, entries...)
	hold := make(chan struct{})
	for _, up := range ups {
		up.setHandler(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-hold:
				_, _ = fmt.Fprintf(w, "%-16s", up.id)
			case <-r.Context().Done():
			}
		})
	}
	var callers sync.WaitGroup
	for i := range 3 * crashing {
		callers.Go(func() { e.Do(context.Background(), request("single", fmt.Sprintf("r-%d", i))) })
	}
	time.Sleep(50 * time.Millisecond)
	for _, up := range ups[:crashing] {
		_ = up.server.Listener.Close()
		up.server.CloseClientConnections()
	}
	time.Sleep(checkedTime)
	close(hold)
	callers.Wait()
	for i := range 10 {
		if got := e.Do(context.Background(), request("single", fmt.Sprintf("s-%d", i))); proto.Kind(got) != "relayed" {
			t.Errorf("answer after the crashes = %+v, want relayed", got)
		}
	}
}

// Upstreams that break the connections of a request and go on listening have not
// crashed.
func TestBrokenConnectionsRejectNoRequest(t *testing.T) {
	a, b := newFakeUpstream(t, "up-a"), newFakeUpstream(t, "up-b")
	a.setHandler(abort)
	b.setHandler(abort)
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, a.entry("svc"), b.entry("svc"))
	for i := range 5 {
		e.Do(context.Background(), request("single", fmt.Sprintf("r-%d", i)))
		time.Sleep(checkedTime)
	}
	if got, want := e.tracker.Verdict(fingerprintOf(request("single", "r-0"))), poison.Novel; got != want {
		t.Errorf("Verdict() = %v, want %v", got, want)
	}
	a.setHandler(nil)
	b.setHandler(nil)
	if got := e.Do(context.Background(), request("single", "r-9")); proto.Kind(got) != "relayed" {
		t.Errorf("answer = %+v, want relayed", got)
	}
}

// An answer of another instance at the address of an upstream is no sign of life of it.
func TestAnswerOfAnotherInstanceIsNoSignOfLife(t *testing.T) {
	up := newFakeUpstream(t, "up-b")
	gone := fleet.NewEntry("up-a", "svc", up.addr, fleet.WithSlots(2), fleet.WithStarted(1))
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, gone)
	start := time.Now()
	req := request("single", "r-1")
	req.Remaining = 300 * time.Millisecond
	e.Do(context.Background(), req)
	if got := e.upstreams.Load().byID["up-a"].crash.watch.SilentSince(start); !got.Equal(start) {
		t.Errorf("last sign of life = %v after the start, want none", got.Sub(start))
	}
}

// A caller that disconnects before its request crashes the upstream must not hide it.
func TestCrashAfterCallerDisconnectsIsRecorded(t *testing.T) {
	up := newFakeUpstream(t, "up-a")
	running := make(chan struct{})
	up.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		_ = up.server.Listener.Close()
	})
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, up.entry("svc"))
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		<-running
		disconnect()
	}()
	e.Do(ctx, request("single", "r-1"))
	time.Sleep(50 * time.Millisecond)
	e.Do(context.Background(), requestTo("single", "/other", "r-2"))
	time.Sleep(checkedTime)
	if got, want := e.tracker.Verdict(fingerprintOf(request("single", "r-1"))), poison.Suspect; got != want {
		t.Errorf("Verdict() = %v, want %v", got, want)
	}
}

// A search whose shards are gathered by another node must not be sent again by the
// first node after it crashed the upstreams of the other one.
func TestPeersDoNotMultiplyACrashingSearch(t *testing.T) {
	p := newNodePair(t, 0.5)
	WithLead(testLead)(p.near)
	ups := append(append([]*fakeUpstream(nil), p.nearUps...), p.farUps...)
	for _, up := range ups {
		up.crashOn("/crash")
	}
	p.near.share = func(reports []poison.Report) { p.far.tracker.Merge(reports) }
	for i := range 3 {
		p.near.Do(context.Background(), requestTo("search", "/crash", fmt.Sprintf("c-%d", i)))
		time.Sleep(checkedTime)
	}
	if got := totalRuns(ups); got > maxCrashes {
		t.Errorf("runs = %d, want at most %d", got, maxCrashes)
	}
	answer := p.near.Do(context.Background(), requestTo("search", "/crash", "c-9"))
	if got := proto.Kind(answer); got != "refused" {
		t.Errorf("answer = %s, want refused", got)
	}
}

// A node that gathers for others must reject what it has quarantined, and the node that
// called it must learn why and send nothing itself.
func TestPeerRejectsQuarantinedSearch(t *testing.T) {
	p := newNodePair(t, 1)
	for _, up := range p.nearUps {
		up.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	}
	f := fingerprintOf(requestTo("search", "/crash", "c-1"))
	for i := range 2 {
		p.far.tracker.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), []poison.Run{{Fingerprint: f}})
	}
	p.near.Do(context.Background(), requestTo("search", "/crash", "c-1"))
	if got := totalRuns(p.farUps); got != 0 {
		t.Errorf("runs at the other node's upstreams = %d, want none", got)
	}
	if got, want := p.near.tracker.Verdict(f), poison.Quarantined; got != want {
		t.Errorf("Verdict() of the calling node = %v, want %v", got, want)
	}
}
