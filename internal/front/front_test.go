package front_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/front"
	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/search"
)

const testTimeout = 10 * time.Second

// newFront returns a front with one upstream at the address, and its tracker.
func newFront(t *testing.T, addr string) (*front.Front, *poison.Tracker) {
	t.Helper()
	c, err := layout.New(layout.Spec{Upstreams: []layout.UpstreamSpec{{ID: "u", Addr: addr, Slots: 2, Conns: 25}}})
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	tracker := poison.New()
	return front.New(c.Upstream, tracker, front.WithLog(logrus.NewEntry(log))), tracker
}

func newShardRequest(f poison.Fingerprint) *peer.ShardRequest {
	return &peer.ShardRequest{Request: "r", Upstream: "u", Archive: "a", Budget: testTimeout, Fingerprint: f}
}

// upstream starts an upstream with the given run handler and a health endpoint
// that reports OK.
func upstream(t *testing.T, run http.HandlerFunc) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(wire.PathRun, run)
	mux.HandleFunc(wire.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(wire.Health{State: wire.StateOK, Started: 7})
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s
}

func TestDoToClosedPortIsUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	f, _ := newFront(t, addr)
	if got := f.Do(t.Context(), newShardRequest(1)); got.OK || !got.Unsent {
		t.Errorf("Do() = %+v, want nothing sent", got)
	}
}

// Only a response with a known HeaderRefusal proves that the upstream did not run
// the request.
func TestUnsentOnlyWithRefusalHeader(t *testing.T) {
	for name, c := range map[string]struct {
		run    http.HandlerFunc
		cause  search.Cause
		unsent bool
	}{
		"draining": {reject(http.StatusServiceUnavailable, wire.RefusalDraining), search.CauseDraining, true},
		"shed":     {reject(http.StatusServiceUnavailable, wire.RefusalShed), search.CauseShed, true},
		"version":  {reject(http.StatusGone, wire.RefusalVersion), search.CauseVersionGone, true},
		"deadline": {reject(http.StatusConflict, wire.RefusalDeadline), search.CauseRefused, true},
		"unmarked": {reject(http.StatusInternalServerError, ""), search.CauseInvalid, false},
		"no JSON":  {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, search.CauseInvalid, false},
		"cut short": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"request":"r"}`))
		}, search.CauseBroken, false},
	} {
		s := upstream(t, c.run)
		f, _ := newFront(t, s.Listener.Addr().String())
		got := f.Do(t.Context(), newShardRequest(1))
		if got.OK || got.Cause != c.cause || got.Unsent != c.unsent {
			t.Errorf("%s: Do() = OK %v, %v, unsent %v; want %v, unsent %v", name, got.OK, got.Cause, got.Unsent, c.cause, c.unsent)
		}
	}
}

func reject(status int, why string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderRefusal, why)
		w.WriteHeader(status)
	}
}

// An upstream crashes at the moment when a call to it is cancelled. The health
// poll must still record the cancelled request as a suspect.
func TestCanceledCallIsCrashSuspect(t *testing.T) {
	started := make(chan struct{})
	s := upstream(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
	})
	f, tracker := newFront(t, s.Listener.Addr().String())
	execute, interrupt := f.Actor()
	done := make(chan error, 1)
	go func() { done <- execute() }()
	defer func() {
		interrupt(nil)
		<-done
	}()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
		s.CloseClientConnections()
		_ = s.Listener.Close()
	}()
	if got := f.Do(ctx, newShardRequest(5)); got.OK || got.Cause != search.CauseTimeout {
		t.Errorf("Do() = %+v, want a cancelled call", got)
	}
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if tracker.Verdict(5) == poison.Suspect {
			return
		}
	}
	t.Errorf("Verdict() = %v, want %v", tracker.Verdict(5), poison.Suspect)
}

// A front must send no quarantined request to its upstream, of a search or a submission.
func TestFrontRejectsQuarantinedRequest(t *testing.T) {
	var runs atomic.Int64
	s := upstream(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	f, tracker := newFront(t, s.Listener.Addr().String())
	for _, crash := range []string{"a/1", "b/1"} {
		tracker.RecordCrash(crash, time.Now(), []poison.Run{{Fingerprint: 5}})
	}
	got := f.Do(t.Context(), newShardRequest(5))
	if got.OK || !got.Unsent || got.Cause != search.CauseQuarantined || runs.Load() != 0 {
		t.Errorf("Do() = %+v with %d runs, want %v and none", got, runs.Load(), search.CauseQuarantined)
	}
	if f.Do(t.Context(), newShardRequest(6)); runs.Load() != 1 {
		t.Errorf("runs of another request = %d, want 1", runs.Load())
	}
}

// A request that becomes known to crash upstreams while it waits for a slot must not be sent.
func TestRequestQuarantinedWhileItWaitsIsNotSent(t *testing.T) {
	var runs atomic.Int64
	release, running := make(chan struct{}), make(chan struct{}, 2)
	s := upstream(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		running <- struct{}{}
		<-release
	})
	f, tracker := newFront(t, s.Listener.Addr().String())
	var others sync.WaitGroup
	for i := range 2 {
		others.Go(func() { f.Do(t.Context(), newShardRequest(poison.Fingerprint(10+i))) })
	}
	<-running
	<-running
	waiting := make(chan peer.ShardReply, 1)
	go func() { waiting <- f.Do(t.Context(), newShardRequest(5)) }()
	time.Sleep(50 * time.Millisecond)
	for _, crash := range []string{"a/1", "b/1"} {
		tracker.RecordCrash(crash, time.Now(), []poison.Run{{Fingerprint: 5}})
	}
	close(release)
	others.Wait()
	if got := <-waiting; !got.Unsent || got.Cause != search.CauseQuarantined || runs.Load() != 2 {
		t.Errorf("Do() = %+v with %d runs, want %v and the 2 of others", got, runs.Load(), search.CauseQuarantined)
	}
}
