package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// abort closes the connection without a response, after the request has run.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestRelayForwardsRequestUnchanged(t *testing.T) {
	up := newFakeUpstream(t, "up-1")
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, up.entry("svc"))
	req := request("single", "r-1")
	req.Method, req.Body = http.MethodPost, []byte("body of the request")
	req.Header = http.Header{"Id": {"r-1"}, "X-Other": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"dropped"}}
	got, ok := e.Do(context.Background(), req).(proto.Relayed)
	if !ok || got.Status != http.StatusOK || got.Header.Get("Proof") != "up-1.r-1" {
		t.Fatalf("Do() = %+v, want 200 with the upstream's proof", got)
	}
	sent := up.received[0]
	if got, want := sent.Method+" "+sent.RequestURI+" "+sent.Host, "POST /a/b?c=d single"; got != want {
		t.Errorf("request at the upstream = %q, want %q", got, want)
	}
	if got, want := up.bodies[0], "body of the request"; got != want {
		t.Errorf("body at the upstream = %q, want %q", got, want)
	}
	if sent.Header.Get("X-Other") != "kept" || sent.Header.Get("X-Hop") != "" || sent.Header.Get("For") != "up-1" {
		t.Errorf("headers at the upstream = %v, want X-Other, For and no X-Hop", sent.Header)
	}
	if sent.Header.Get("Accept-Encoding") != "" {
		t.Errorf("Accept-Encoding = %q, want none added", sent.Header.Get("Accept-Encoding"))
	}
}

func TestAtMostOnceIsNotRetriedWithoutProof(t *testing.T) {
	tests := []struct {
		name     string
		handler  func(http.ResponseWriter, *http.Request)
		wantRuns int64
		want     string
	}{
		{"response lost", abort, 1, "unknown"},
		{"server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, 1, "relayed"},
		{"503 without proof", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, 1, "unknown"},
		{"proof of not run", notRun, 2, "refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := newFakeUpstream(t, "up-a"), newFakeUpstream(t, "up-b")
			a.setHandler(tt.handler)
			b.setHandler(tt.handler)
			e := newEngine(t, []*vhost.Route{singleRoute("svc", false)}, a.entry("svc"), b.entry("svc"))
			answer := e.Do(context.Background(), request("single", "r-1"))
			if got := proto.Kind(answer); got != tt.want {
				t.Errorf("answer = %s %+v, want %s", got, answer, tt.want)
			}
			if got := a.runs.Load() + b.runs.Load(); got != tt.wantRuns {
				t.Errorf("sends = %d, want %d", got, tt.wantRuns)
			}
		})
	}
}

func TestIdempotentIsRetriedAtAnotherUpstream(t *testing.T) {
	a, b := newFakeUpstream(t, "up-a"), newFakeUpstream(t, "up-b")
	failed := false
	fail := func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		first := !failed
		failed = true
		a.mu.Unlock()
		if first {
			abort(w, r)
		}
		_, _ = io.WriteString(w, "second")
	}
	a.setHandler(fail)
	b.setHandler(fail)
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, a.entry("svc"), b.entry("svc"))
	got, ok := e.Do(context.Background(), request("single", "r-1")).(proto.Relayed)
	if !ok || string(got.Body) != "second" {
		t.Errorf("Do() = %+v, want the second upstream's answer", got)
	}
	if a.runs.Load() != 1 || b.runs.Load() != 1 {
		t.Errorf("runs = %d and %d, want one each", a.runs.Load(), b.runs.Load())
	}
}

func TestUnreachableUpstreamIsReplaced(t *testing.T) {
	live := newFakeUpstream(t, "up-live")
	dead := fleet.NewEntry("up-dead", "svc", "127.0.0.1:1", fleet.WithSlots(2))
	e := newEngine(t, []*vhost.Route{singleRoute("svc", false)}, dead, live.entry("svc"))
	for i := range 8 {
		answer := e.Do(context.Background(), request("single", "r"))
		if _, ok := answer.(proto.Relayed); !ok {
			t.Fatalf("request %d: Do() = %+v, want the live upstream's answer", i, answer)
		}
	}
}

// A response that belongs to another request or is incomplete must never reach a
// caller.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	tests := map[string]string{
		"crossed":             "HTTP/1.1 200 OK\r\nId: other\r\nProof: p\r\nContent-Length: 2\r\n\r\nok",
		"cut":                 "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nContent-Length: 200\r\n\r\nok",
		"not HTTP":            "\x00\x01garbage\r\n\r\n",
		"without proof":       "HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 2\r\n\r\nok",
		"encoded":             "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"chunk cut":           "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"interim then closed": "HTTP/1.1 100 Continue\r\n\r\n",
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			addr, _ := newRawUpstream(t, raw)
			e := newEngine(t, []*vhost.Route{singleRoute("svc", false)}, fleet.NewEntry("up", "svc", addr))
			answer := e.Do(context.Background(), request("single", "r-1"))
			if _, ok := answer.(proto.Unknown); !ok {
				t.Errorf("Do() = %+v, want Unknown", answer)
			}
		})
	}
}

func TestTrailingBytesCloseTheConnection(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nContent-Length: 2\r\n\r\nok"
	addr, requests := newRawUpstream(t, answer+answer)
	e := newEngine(t, []*vhost.Route{singleRoute("svc", false)}, fleet.NewEntry("up", "svc", addr))
	for i := range 2 {
		if got, ok := e.Do(context.Background(), request("single", "r-1")).(proto.Relayed); !ok || string(got.Body) != "ok" {
			t.Fatalf("request %d: Do() = %+v, want ok", i, got)
		}
	}
	if got, want := requests.Load(), int64(2); got != want {
		t.Errorf("connections used = %d, want %d", got, want)
	}
}

func TestMovedUpstreamIsAvoided(t *testing.T) {
	moved, good := newFakeUpstream(t, "up-moved"), newFakeUpstream(t, "up-good")
	moved.setHandler(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	e := newEngine(t, []*vhost.Route{singleRoute("svc", false)}, moved.entry("svc"), good.entry("svc"))
	for range 10 {
		if answer := e.Do(context.Background(), request("single", "r")); proto.Kind(answer) != "relayed" {
			t.Fatalf("Do() = %+v, want the good upstream's answer", answer)
		}
	}
	if got := moved.runs.Load(); got > 1 {
		t.Errorf("requests at the moved address = %d, want at most 1", got)
	}
}

func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	up := newFakeUpstream(t, "up")
	started, ended := make(chan struct{}), make(chan struct{})
	up.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, up.entry("svc"))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	if answer := e.Do(ctx, request("single", "r")); proto.Kind(answer) != "abandoned" {
		t.Errorf("Do() = %+v, want Abandoned", answer)
	}
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond):
		t.Error("the upstream still worked 400 ms after the caller disconnected")
	}
}

func TestNoConfigurationAndNoRoute(t *testing.T) {
	e := New(testDialect{})
	t.Cleanup(e.Close)
	if _, ok := e.Do(context.Background(), request("single", "r")).(proto.Refused); !ok {
		t.Error("Do() without a configuration is not Refused")
	}
	e.SetRoutes(vhost.New(3, []*vhost.Route{singleRoute("svc", true)}))
	if _, ok := e.Do(context.Background(), request("other", "r")).(proto.NoRoute); !ok {
		t.Error("Do() for an unknown host is not NoRoute")
	}
	if e.SetRoutes(vhost.New(2, nil)) {
		t.Error("SetRoutes() with an older version = true, want false")
	}
}

func TestServiceWithoutUpstreamsIsRefusedImmediately(t *testing.T) {
	e := newEngine(t, []*vhost.Route{singleRoute("svc", false)})
	start := time.Now()
	got, ok := e.Do(context.Background(), request("single", "r")).(proto.Refused)
	if !ok || got.RetryAfter <= 0 {
		t.Errorf("Do() = %+v, want Refused with a retry delay", got)
	}
	if took := time.Since(start); took > 100*time.Millisecond {
		t.Errorf("refusal took %v, want at most 100 ms", took)
	}
}

func TestEncodeKeepsBodyAndLength(t *testing.T) {
	req := request("single", "r")
	req.Method, req.Body = http.MethodPost, bytes.Repeat([]byte("x"), 300)
	sent := string(link.EncodeRequest(link.EncodeHead(req, nil), http.Header{"A": {"b"}}, req.Body))
	want := "POST /a/b?c=d HTTP/1.1\r\nHost: single\r\nContent-Length: 300\r\nA: b\r\n\r\n" + string(req.Body)
	if sent != want {
		t.Errorf("EncodeRequest() = %q, want %q", sent, want)
	}
}

// A request that is retried after one of its upstreams began to drain must use the
// upstreams of that moment, not those of its arrival.
func TestRetryAvoidsUpstreamThatDrainsMeanwhile(t *testing.T) {
	a, b, c := newFakeUpstream(t, "up-a"), newFakeUpstream(t, "up-b"), newFakeUpstream(t, "up-c")
	running, drained := make(chan struct{}), make(chan struct{})
	a.setHandler(func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-drained
		abort(w, r)
	})
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, a.entry("svc"))
	go func() {
		<-running
		e.SetUpstreams([]fleet.Entry{a.entry("svc"), b.entry("svc", fleet.WithDraining(true)), c.entry("svc")})
		close(drained)
	}()
	answer := e.Do(context.Background(), request("single", "r-1"))
	if got := proto.Kind(answer); got != "relayed" || b.runs.Load() != 0 || c.runs.Load() != 1 {
		t.Errorf("answer = %s, runs of the draining and the new upstream = %d, %d, want relayed, 0, 1", got, b.runs.Load(), c.runs.Load())
	}
}

// The same for an upstream that was ready when the request arrived.
func TestRetryAvoidsUpstreamThatBeginsToDrain(t *testing.T) {
	a, b := newFakeUpstream(t, "up-a"), newFakeUpstream(t, "up-b")
	running, drained := make(chan string, 2), make(chan struct{})
	for _, up := range []*fakeUpstream{a, b} {
		up.setHandler(func(w http.ResponseWriter, r *http.Request) {
			running <- up.id
			<-drained
			abort(w, r)
		})
	}
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, a.entry("svc"), b.entry("svc"))
	go func() {
		first, other := a, b
		if <-running == b.id {
			first, other = b, a
		}
		e.SetUpstreams([]fleet.Entry{first.entry("svc"), other.entry("svc", fleet.WithDraining(true))})
		close(drained)
	}()
	e.Do(context.Background(), request("single", "r-1"))
	if got := a.runs.Load() + b.runs.Load(); got != 1 {
		t.Errorf("runs = %d, want 1: the other upstream drains", got)
	}
}
