package front_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

const patience = 10 * time.Second

// newFront returns a front of one upstream at the address.
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

func sub(f poison.Fingerprint) *peer.ShardRequest {
	return &peer.ShardRequest{Request: "r", Upstream: "u", Archive: "a", Budget: patience, Fingerprint: f}
}

// upstream serves run with the function and a healthy health endpoint.
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

func TestNothingIsSentToAClosedPort(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	f, _ := newFront(t, addr)
	if got := f.Do(t.Context(), sub(1)); got.OK || !got.Unsent {
		t.Errorf("Do() = %+v, want nothing sent", got)
	}
}

// Only a refusal that the upstream marks proves that it did not run a request.
func TestWhatAnAnswerProves(t *testing.T) {
	for name, c := range map[string]struct {
		run    http.HandlerFunc
		cause  search.Cause
		unsent bool
	}{
		"draining": {refuse(http.StatusServiceUnavailable, wire.RefusalDraining), search.CauseDraining, true},
		"shed":     {refuse(http.StatusServiceUnavailable, wire.RefusalShed), search.CauseShed, true},
		"version":  {refuse(http.StatusGone, wire.RefusalVersion), search.CauseVersionGone, true},
		"deadline": {refuse(http.StatusConflict, wire.RefusalDeadline), search.CauseRefused, true},
		"unmarked": {refuse(http.StatusInternalServerError, ""), search.CauseInvalid, false},
		"no JSON":  {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, search.CauseInvalid, false},
		"cut short": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"request":"r"}`))
		}, search.CauseBroken, false},
	} {
		s := upstream(t, c.run)
		f, _ := newFront(t, s.Listener.Addr().String())
		got := f.Do(t.Context(), sub(1))
		if got.OK || got.Cause != c.cause || got.Unsent != c.unsent {
			t.Errorf("%s: Do() = OK %v, %v, unsent %v; want %v, unsent %v", name, got.OK, got.Cause, got.Unsent, c.cause, c.unsent)
		}
	}
}

func refuse(status int, why string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderRefusal, why)
		w.WriteHeader(status)
	}
}

// An upstream dies under a call that is cancelled at that moment; the health
// poll holds the crash against it all the same.
func TestCrashUnderACanceledCallIsHeldAgainstIt(t *testing.T) {
	began := make(chan struct{})
	s := upstream(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(began)
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
		<-began
		cancel()
		s.CloseClientConnections()
		_ = s.Listener.Close()
	}()
	if got := f.Do(ctx, sub(5)); got.OK || got.Cause != search.CauseTimeout {
		t.Errorf("Do() = %+v, want a cancelled call", got)
	}
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if tracker.Verdict(5) == poison.Suspect {
			return
		}
	}
	t.Errorf("Judge() = %v, want %v", tracker.Verdict(5), poison.Suspect)
}
