package front

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/life"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// idleAfter is how long a line goes unused before its health is not polled.
const idleAfter = 30 * time.Second

// line is the front of one upstream.
type line struct {
	front     *Front
	upstream  *layout.Upstream
	client    *http.Client
	transport *http.Transport
	life      *life.Upstream
	gate      *gate.Shared
	used      atomic.Int64
	// claims tells that the health endpoint reports a drain, and byHealth
	// that the present drain rests on that alone.
	claims   atomic.Bool
	byHealth atomic.Bool

	mu      sync.Mutex
	running map[uint64]poison.Fingerprint
	// canceled holds the requests whose calls were cancelled and when; they
	// may have crashed the upstream all the same.
	canceled map[poison.Fingerprint]time.Time
	started  int64
	crash    crash
}

// crash is the last crash that was noticed.
type crash struct {
	started int64
	suspect []poison.Fingerprint
}

func newLine(f *Front, u *layout.Upstream) *line {
	slots := f.slots(u)
	conns := max(min(slots+spareConns, u.Conns()/f.claimants), 1)
	t := &http.Transport{
		DialContext:         f.dial,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		DisableCompression:  true,
		ForceAttemptHTTP2:   false,
	}
	f.transport(t)
	opts := append([]gate.Option{gate.WithSlots(slots)}, f.gateOpts...)
	l := &line{
		front:     f,
		upstream:  u,
		client:    &http.Client{Transport: t},
		transport: t,
		gate:      gate.NewShared(opts...),
		running:   make(map[uint64]poison.Fingerprint),
		canceled:  make(map[poison.Fingerprint]time.Time),
	}
	l.life = life.NewUpstream(l.changed)
	l.used.Store(time.Now().UnixNano())
	return l
}

// do waits for a slot, calls the upstream and frees the slot.
func (l *line) do(ctx context.Context, sub *peer.ShardRequest) peer.ShardReply {
	arrived := time.Now()
	l.used.Store(arrived.UnixNano())
	deadline, _ := ctx.Deadline()
	ticket := gate.NewTicket(l.front.nextID.Add(1), sub.Priority, sub.Workspace, deadline, sub.Solo)
	if refusal, ok := l.gate.Acquire(ctx, ticket); !ok {
		return peer.ShardReply{Cause: causeOf(refusal.Reason), Unsent: true, RetryAfter: refusal.RetryAfter}
	}
	begun := time.Now()
	l.front.counter.sent.Add(1)
	l.begin(ticket.ID(), sub.Fingerprint)
	reply, outcome := l.call(ctx, sub)
	l.end(ticket.ID(), sub.Fingerprint, ctx.Err() != nil)
	reply.Wait = begun.Sub(arrived)
	reply.Service = time.Since(begun)
	l.gate.Release(ticket, reply.Service, outcome)
	reply.EstimatedService, reply.EstimatedWait = l.gate.Estimate(sub.Priority)
	return reply
}

func (l *line) begin(id uint64, f poison.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[id] = f
}

// end forgets a request, after a while if its call was cancelled.
func (l *line) end(id uint64, f poison.Fingerprint, canceled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, id)
	if canceled {
		l.canceled[f] = time.Now()
	}
}

func causeOf(r gate.Reason) search.Cause {
	if r == gate.ReasonDraining {
		return search.CauseDraining
	}
	return search.CauseRefused
}

func (l *line) idle() bool {
	return time.Since(time.Unix(0, l.used.Load())) > idleAfter
}

// changed opens or closes the gate when the upstream's state changes.
func (l *line) changed(from, to life.UpstreamState) {
	l.front.log.Infof("front: upstream %s went from %s to %s.", l.upstream.ID(), from, to)
	switch to {
	case life.UpstreamServing:
		l.gate.Apply(gate.Restart{})
	case life.UpstreamDraining:
		l.front.counter.drained.Add(1)
		l.gate.Apply(gate.Drain{})
	case life.UpstreamDown:
		l.front.counter.crashes.Add(1)
		l.gate.Apply(gate.Drain{})
	}
}

func (l *line) fire(s life.Sign) {
	if err := l.life.Fire(s); err != nil {
		l.front.log.Warnf("front: sign %s of upstream %s was not applied: %v.", s, l.upstream.ID(), err)
	}
}

// crashID names a crash: the upstream and when it had come up.
func (l *line) crashID(started int64) string {
	return fmt.Sprintf("%s/%d", l.upstream.ID(), started)
}
