package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/crash"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// concludedTime is the time after which an upstream of which nothing is heard is presumed
// to have crashed.
const concludedTime = 2*crash.SilentAfter + 2*probeTimeout

// switchedDialer connects to upstreams, and to nobody while it is cut.
type switchedDialer struct{ cut atomic.Bool }

func (d *switchedDialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	if d.cut.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return link.Dial(ctx, addr)
}

// newHangingEngine returns an engine with n upstreams of a service, which respond to nothing
// while hang is set.
func newHangingEngine(t *testing.T, n int, hang *atomic.Bool) (*Engine, *switchedDialer) {
	t.Helper()
	var entries []fleet.Entry
	for i := range n {
		up := newFakeUpstream(t, fmt.Sprintf("up-%d", i))
		up.setHandler(func(w http.ResponseWriter, r *http.Request) {
			if hang.Load() {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "%-16s", up.id)
		})
		entries = append(entries, up.entry("svc"))
	}
	d := new(switchedDialer)
	e := newEngine(t, []*vhost.Route{singleRoute("svc", false)}, entries...)
	WithDial(d.dial)(e)
	e.SetUpstreams(nil)
	e.SetUpstreams(entries)
	return e, d
}

// repeatRequest sends equal requests, each of which waits half a second.
func repeatRequest(e *Engine, n int) {
	for i := range n {
		req := requestTo("single", "/equal", fmt.Sprintf("r-%d", i))
		req.Remaining = 500 * time.Millisecond
		e.Do(context.Background(), req)
	}
}

// Upstreams that hang, and answer other requests or probes, have not crashed.
func TestHangingUpstreamsRejectNoRequest(t *testing.T) {
	t.Parallel()
	var hang atomic.Bool
	hang.Store(true)
	e, _ := newHangingEngine(t, 6, &hang)
	WithReachable(func(time.Time) bool { return true })(e)
	repeatRequest(e, 6)
	time.Sleep(concludedTime)
	if got, want := e.tracker.Verdict(fingerprintOf(requestTo("single", "/equal", ""))), poison.Novel; got != want {
		t.Errorf("Verdict() = %v, want %v", got, want)
	}
}

// A node that is cut off from everything must not take all upstreams for crashed.
func TestCutNodeRejectsNoRequest(t *testing.T) {
	t.Parallel()
	var hang atomic.Bool
	hang.Store(true)
	e, d := newHangingEngine(t, 6, &hang)
	go func() {
		time.Sleep(100 * time.Millisecond)
		d.cut.Store(true)
	}()
	repeatRequest(e, 6)
	time.Sleep(concludedTime)
	if got, want := e.tracker.Verdict(fingerprintOf(requestTo("single", "/equal", ""))), poison.Novel; got != want {
		t.Errorf("Verdict() = %v, want %v", got, want)
	}
	hang.Store(false)
	d.cut.Store(false)
	if got := e.Do(context.Background(), requestTo("single", "/equal", "r-9")); proto.Kind(got) != "relayed" {
		t.Errorf("answer after the cut = %+v, want relayed", got)
	}
}

// Upstreams that were cut off from the nodes and respond again must not leave their requests
// rejected.
func TestRequestsOfUpstreamsThatWereCutOffAreServedAgain(t *testing.T) {
	t.Parallel()
	var hang atomic.Bool
	hang.Store(true)
	e, d := newHangingEngine(t, 6, &hang)
	WithReachable(func(time.Time) bool { return true })(e)
	go func() {
		time.Sleep(100 * time.Millisecond)
		d.cut.Store(true)
	}()
	repeatRequest(e, 6)
	time.Sleep(concludedTime)
	hang.Store(false)
	d.cut.Store(false)
	const maxTime = 8 * time.Second
	for end := time.Now().Add(maxTime); ; time.Sleep(100 * time.Millisecond) {
		if proto.Kind(e.Do(context.Background(), requestTo("single", "/equal", "r-9"))) == "relayed" {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the request is still rejected %v after the cut, with verdict %v", maxTime, e.tracker.Verdict(fingerprintOf(requestTo("single", "/equal", ""))))
		}
	}
}
