package front

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/advice"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/life"
	"geraniumstep.org/geraniumstep/pkg/place"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// idleTimeout is the time without shard requests after which the health of an
// upstream is no longer polled.
const idleTimeout = 30 * time.Second

// dispatcher queues the shard requests for one upstream, sends them and tracks the
// state of the upstream.
type dispatcher struct {
	front     *Front
	upstream  *layout.Upstream
	client    *http.Client
	transport *http.Transport
	life      *life.Upstream
	gate      *gate.Shared
	lastUsed  atomic.Int64
	// stats holds the calls in flight and the last answer, and heardAt when the upstream
	// last responded, in nanoseconds since 1970.
	stats   *place.Stats
	heardAt atomic.Int64
	// advice is what the upstream has said of itself.
	advice advice.State
	// calls holds the calls in progress (*outgoing).
	calls sync.Map
	// reportsDrain is set while the health endpoint reports a drain, and
	// drainFromHealth while the current drain is based on that report alone.
	reportsDrain    atomic.Bool
	drainFromHealth atomic.Bool

	mu      sync.Mutex
	running map[uint64]poison.Run
	// canceled holds the requests whose calls were cancelled. A cancelled request
	// can still crash the upstream.
	canceled map[poison.Fingerprint]canceledRun
	started  int64
	crash    crash
}

// crash is the last detected crash: the incarnation that crashed and the requests
// that may have caused it.
type crash struct {
	started  int64
	suspects []poison.Run
}

// canceledRun is a request whose call was cancelled, and when.
type canceledRun struct {
	run poison.Run
	at  time.Time
}

func newDispatcher(f *Front, u *layout.Upstream) *dispatcher {
	slots := f.slots(u)
	conns := max(min(slots+spareConns, u.Conns()/f.claimants), 1)
	t := &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
		ForceAttemptHTTP2:      false,
	}
	f.transport(t)
	opts := append([]gate.Option{gate.WithSlots(slots)}, f.gateOpts...)
	d := &dispatcher{
		front:     f,
		upstream:  u,
		client:    &http.Client{Transport: t},
		transport: t,
		gate:      gate.NewShared(opts...),
		running:   make(map[uint64]poison.Run),
		canceled:  make(map[poison.Fingerprint]canceledRun),
		stats:     place.NewStats(place.SameDomain, slots, time.Time{}),
	}
	t.DialContext = d.dial
	d.life = life.NewUpstream(d.onStateChange)
	d.lastUsed.Store(time.Now().UnixNano())
	return d
}

// do waits for a slot, calls the upstream and releases the slot.
func (d *dispatcher) do(ctx context.Context, shardReq *peer.ShardRequest) peer.ShardReply {
	enqueued := time.Now()
	d.lastUsed.Store(enqueued.UnixNano())
	if left := d.advice.RestLeft(enqueued); left > 0 {
		return peer.ShardReply{Cause: search.CauseResting, Unsent: true, RetryAfter: left}
	}
	ticket, rejected := d.acquire(ctx, shardReq)
	if rejected != nil {
		return *rejected
	}
	if left := d.advice.RestLeft(time.Now()); left > 0 {
		d.gate.Release(ticket, 0, gate.OutcomeCanceled)
		return peer.ShardReply{Cause: search.CauseResting, Unsent: true, RetryAfter: left}
	}
	sent := time.Now()
	d.front.counter.sent.Add(1)
	d.begin(ticket.ID(), shardReq.Fingerprint)
	d.stats.Begin()
	reply, outcome := d.call(ctx, shardReq)
	d.stats.End()
	d.end(ticket.ID(), shardReq.Fingerprint, ctx.Err() != nil)
	reply.Wait = sent.Sub(enqueued)
	reply.Service = time.Since(sent)
	d.gate.Release(ticket, reply.Service, outcome)
	reply.EstimatedService, reply.EstimatedWait = d.gate.Estimate(shardReq.Priority)
	return reply
}

// acquire waits for a slot. The request may become known to crash upstreams meanwhile, or
// suspected of it: it is then rejected, or waits again until it can run alone.
func (d *dispatcher) acquire(ctx context.Context, shardReq *peer.ShardRequest) (gate.Ticket, *peer.ShardReply) {
	deadline, _ := ctx.Deadline()
	for {
		solo := shardReq.Solo
		ticket := gate.NewTicket(d.front.nextID.Add(1), shardReq.Priority, shardReq.Workspace, deadline, solo)
		if rejection, ok := d.gate.Acquire(ctx, ticket); !ok {
			return ticket, &peer.ShardReply{Cause: causeOf(rejection.Reason), Unsent: true, RetryAfter: rejection.RetryAfter}
		}
		rejected, isRejected := d.front.checkPoison(shardReq)
		if !isRejected && solo == shardReq.Solo {
			return ticket, nil
		}
		d.gate.Release(ticket, 0, gate.OutcomeCanceled)
		if isRejected {
			return ticket, &rejected
		}
	}
}

func (d *dispatcher) begin(id uint64, f poison.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[id] = poison.Run{Fingerprint: f}
}

// end removes a request from the running ones. If its call was cancelled, the
// request remains a crash suspect for canceledRetention.
func (d *dispatcher) end(id uint64, f poison.Fingerprint, canceled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if canceled {
		run := d.running[id]
		run.Canceled = true
		d.canceled[f] = canceledRun{run: run, at: time.Now()}
	}
	delete(d.running, id)
}

func causeOf(r gate.Reason) search.Cause {
	if r == gate.ReasonDraining {
		return search.CauseDraining
	}
	return search.CauseRefused
}

func (d *dispatcher) idle() bool {
	return time.Since(time.Unix(0, d.lastUsed.Load())) > idleTimeout
}

// onStateChange opens or closes the gate.
func (d *dispatcher) onStateChange(from, to life.UpstreamState) {
	d.front.log.Infof("front: upstream %s changed from %s to %s.", d.upstream.ID(), from, to)
	switch to {
	case life.UpstreamServing:
		d.gate.Apply(gate.Restart{})
	case life.UpstreamDraining:
		d.front.counter.drained.Add(1)
		d.gate.Apply(gate.Drain{})
	case life.UpstreamDown:
		d.front.counter.crashes.Add(1)
		d.gate.Apply(gate.Drain{})
	}
}

func (d *dispatcher) applySign(s life.Sign) {
	if err := d.life.Fire(s); err != nil {
		d.front.log.Warnf("front: event %s of upstream %s was not applied: %v.", s, d.upstream.ID(), err)
	}
}

// crashID returns the identifier of a crash: the upstream and the start time of
// the incarnation that crashed.
func (d *dispatcher) crashID(started int64) string {
	return fmt.Sprintf("%s/%d", d.upstream.ID(), started)
}
