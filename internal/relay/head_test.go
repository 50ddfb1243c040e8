package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// fullHead is the head of a response to request r-1, and fullBody the record after it.
const (
	fullHead = "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: up-cut.r-1\r\nContent-Length: 16\r\n\r\n"
	fullBody = "zzzzzzzzzzzzzzzz"
)

// headCuts are the places at which the head is cut off.
func headCuts() []int {
	var cuts []int
	for end := 0; end < len(fullHead); end += 4 {
		cuts = append(cuts, end)
	}
	return append(cuts, len(fullHead)-2, len(fullHead)-1)
}

// cutUpstream is an upstream that answers each request with the first bytes of a response and
// closes the connection. Its record would be the greatest.
type cutUpstream struct {
	addr     string
	requests atomic.Int64
	// closed is closed when a connection has been closed.
	closed chan struct{}
}

func newCutUpstream(t *testing.T, end int) *cutUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &cutUpstream{addr: l.Addr().String(), closed: make(chan struct{})}
	var once sync.Once
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer once.Do(func() { close(u.closed) })
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					if r.Header.Get("Id") != "" {
						u.requests.Add(1)
					}
					_, _ = io.WriteString(c, (fullHead + fullBody)[:end])
				}
			}()
		}
	}()
	return u
}

// checkNoPart fails the test if the answer names the upstream that cut its response off.
func checkNoPart(t *testing.T, end int, answer proto.Answer) {
	t.Helper()
	switch a := answer.(type) {
	case proto.Merged:
		if slices.Contains(a.Proofs, "up-cut.r-1") || strings.Contains(string(a.Body), "z") || len(a.Body) == 0 {
			t.Errorf("cut after %d bytes: %+v, want no part of the upstream that closed", end, a)
		}
	case proto.Relayed:
		if a.Header.Get("Proof") == "up-cut.r-1" || len(a.Body) != len(fullBody) {
			t.Errorf("cut after %d bytes: %+v, want no response of the upstream that closed", end, a)
		}
	case proto.Refused:
		t.Errorf("cut after %d bytes: %+v, although the request may have run", end, a)
	}
}

// A response that is cut off in its head must not reach a caller, on any way that a request
// takes: neither as a short success nor as "not run".
func TestResponseCutOffInItsHeadReachesNoCaller(t *testing.T) {
	single := func(idempotent bool) func(t *testing.T, end int) {
		return func(t *testing.T, end int) {
			cut := newCutUpstream(t, end)
			up := newFakeUpstream(t, "up-whole")
			// A hedge, which a busy machine may cause, gets its response after the other one.
			up.setHandler(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-cut.closed:
				case <-r.Context().Done():
				}
				_, _ = fmt.Fprintf(w, "%-16s", up.id)
			})
			// The whole upstream is farther away, so that the other one is tried first.
			e := newEngine(t, []*vhost.Route{singleRoute("svc", idempotent)}, fleet.NewEntry("up-cut", "svc", cut.addr, fleet.WithDomain("a1")), up.entry("svc", fleet.WithDomain("b1")))
			WithLocality("a1", map[string]string{"a1": "a", "b1": "b"})(e)
			e.SetUpstreams([]fleet.Entry{fleet.NewEntry("up-cut", "svc", cut.addr, fleet.WithDomain("a1"), fleet.WithStarted(2)), up.entry("svc", fleet.WithDomain("b1"), fleet.WithStarted(2))})
			answer := e.Do(context.Background(), request("single", "r-1"))
			checkNoPart(t, end, answer)
			if _, relayed := answer.(proto.Relayed); relayed != idempotent || cut.requests.Load() != 1 {
				t.Errorf("cut after %d bytes: %+v after %d requests, want a second attempt: %v", end, answer, cut.requests.Load(), idempotent)
			}
		}
	}
	gathered := func(t *testing.T, end int) {
		names, _, entries := newShards(t, 4)
		entries[2] = fleet.NewEntry("up-cut", names[2], newCutUpstream(t, end).addr)
		e := newEngine(t, []*vhost.Route{gatherRoute(names, 0.75)}, entries...)
		answer := e.Do(context.Background(), request("search", "r-1"))
		checkNoPart(t, end, answer)
		if a, ok := answer.(proto.Merged); !ok || a.Missing != 1 {
			t.Errorf("cut after %d bytes: %+v, want three parts", end, answer)
		}
	}
	delegated := func(t *testing.T, end int) {
		p := newNodePair(t, 0.5)
		cut := newCutUpstream(t, end)
		var entries []fleet.Entry
		for i, up := range slices.Concat(p.nearUps, p.farUps) {
			entry := up.entry(fmt.Sprintf("shard-%d", i), fleet.WithDomain(map[bool]string{true: "a1", false: "b1"}[i < 3]))
			if i == 4 {
				entry = fleet.NewEntry("up-cut", "shard-4", cut.addr, fleet.WithDomain("b1"))
			}
			entries = append(entries, entry)
		}
		p.near.SetUpstreams(entries)
		p.far.SetUpstreams(entries)
		answer := p.near.Do(context.Background(), request("search", "r-1"))
		checkNoPart(t, end, answer)
		if a, ok := answer.(proto.Merged); !ok || a.Missing != 1 || p.calls == 0 || cut.requests.Load() == 0 {
			t.Errorf("cut after %d bytes: %+v after %d calls, want six parts", end, answer, p.calls)
		}
	}
	// A node that is cut off from the upstreams sends a request by way of a peer.
	forwarded := func(t *testing.T, end int) {
		e := newEngine(t, nil, fleet.NewEntry("up-cut", "svc", newCutUpstream(t, end).addr))
		call := &GatherCall{
			ID: "g-1", Request: "r-1", Route: "one", Method: http.MethodPost, Host: "single", Target: "/", Header: http.Header{"Id": {"r-1"}},
			Services: []string{"svc"}, Attempts: 2, Soft: time.Second, Deadline: time.Second,
		}
		var reply GatherReply
		if err := e.Gatherer().Forward(call, &reply); err != nil {
			t.Fatal(err)
		}
		if reply.Response != nil || len(reply.Legs) > 0 || reply.NotRun {
			t.Errorf("cut after %d bytes: reply = %+v, want no response, nor that nothing ran", end, reply)
		}
	}
	probe := func(t *testing.T, end int) {
		e := newEngine(t, nil, fleet.NewEntry("up-cut", "svc", newCutUpstream(t, end).addr))
		u := e.upstreams.Load().byID["up-cut"]
		c, err := u.pool.Open(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if res, err := e.exchangeProbe(context.Background(), u, c); err == nil || u.pool.HasIdle() {
			t.Errorf("cut after %d bytes: probe = %+v, %v, idle connection %v, want an error and none", end, res, err, u.pool.HasIdle())
		}
	}
	for name, send := range map[string]func(t *testing.T, end int){
		"once": single(false), "second attempt": single(true), "gathered": gathered, "delegated": delegated, "by way of a node": forwarded, "probe": probe,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, end := range headCuts() {
				send(t, end)
			}
		})
	}
}
