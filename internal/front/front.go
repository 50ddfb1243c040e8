// Package front manages the slots, connections, queue and lifecycle of upstreams.
// The front of an upstream is the one node, in the failure domain of the upstream,
// that sends it requests; other nodes pass their shard requests to that node:
//
//	f := front.New(catalogue.Upstream, poison.New())
//	reply := f.Do(ctx, shardReq)
package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/links"
	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/search"
)

const (
	healthInterval = 250 * time.Millisecond
	healthTimeout  = 400 * time.Millisecond
	// spareConns is the number of connections that a front opens in addition to
	// one per slot. They replace connections that are closed by cancellations.
	spareConns       = 2
	defaultClaimants = 3
)

// Front sends shard requests to upstreams. It is safe for concurrent use.
type Front struct {
	lookup    func(id string) (*layout.Upstream, bool)
	tracker   *poison.Tracker
	dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	notify    func(peer.Notices)
	claimants int
	slots     func(u *layout.Upstream) int
	gateOpts  []gate.Option
	log       *logrus.Entry
	scheme    string
	transport func(*http.Transport)

	links *links.Links

	dispatchers sync.Map // upstream identifier to *dispatcher
	drains      sync.Map // upstream identifier to the start time of the draining incarnation
	nextID      atomic.Uint64
	counter     Counters
}

// Counters holds the counters of a Front since its creation.
type Counters struct {
	sent     atomic.Int64
	rejected [prio.Count]atomic.Int64
	crashes  atomic.Int64
	drained  atomic.Int64
}

// Sent returns the number of shard requests sent to upstreams.
func (c *Counters) Sent() int64 { return c.sent.Load() }

// Refused returns the number of shard requests of a priority that were queued but
// not run by their upstream: they were not sent, or the upstream rejected them with
// wire.HeaderRefusal.
func (c *Counters) Refused(p prio.Priority) int64 { return c.rejected[p].Load() }

// Crashes returns the number of upstream crashes detected.
func (c *Counters) Crashes() int64 { return c.crashes.Load() }

// Drained returns the number of upstream drains detected.
func (c *Counters) Drained() int64 { return c.drained.Load() }

// Option configures a Front at construction.
type Option func(*Front)

// WithDial sets how connections to upstreams are opened. The default is plain TCP.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(f *Front) { f.dial = dial }
}

// WithNotify sets the function that sends reports of crashes and drains to the other
// nodes. By default, nothing is sent.
func WithNotify(notify func(peer.Notices)) Option { return func(f *Front) { f.notify = notify } }

// WithClaimants sets how many nodes may act as the front of one upstream at the
// same time while their membership views differ. Each opens at most its fraction
// of the connections that the upstream accepts, so that together they stay within
// the upstream's limit. The default is 3.
func WithClaimants(n int) Option { return func(f *Front) { f.claimants = max(n, 1) } }

// WithSlots sets the function that returns how many slots of an upstream this
// front may use. The default is all slots.
func WithSlots(slots func(u *layout.Upstream) int) Option { return func(f *Front) { f.slots = slots } }

// WithGate passes options to the gate of every upstream.
func WithGate(opts ...gate.Option) Option { return func(f *Front) { f.gateOpts = opts } }

// WithLog sets the logger. The default is the standard logger.
func WithLog(log *logrus.Entry) Option { return func(f *Front) { f.log = log } }

// WithTransport sets the URL scheme and a function that modifies the HTTP
// transport of every upstream, for example to enable TLS.
func WithTransport(scheme string, change func(*http.Transport)) Option {
	return func(f *Front) { f.scheme, f.transport = scheme, change }
}

// New returns a Front that finds upstreams with lookup and records in tracker
// which requests were in flight when an upstream crashed.
func New(lookup func(id string) (*layout.Upstream, bool), tracker *poison.Tracker, opts ...Option) *Front {
	f := &Front{
		lookup:    lookup,
		tracker:   tracker,
		dial:      (&net.Dialer{Timeout: time.Second}).DialContext,
		notify:    func(peer.Notices) {},
		claimants: defaultClaimants,
		slots:     (*layout.Upstream).Slots,
		log:       logrus.NewEntry(logrus.StandardLogger()),
		scheme:    "http",
		transport: func(*http.Transport) {},
	}
	for _, opt := range opts {
		opt(f)
	}
	f.links = links.New(linked{f}, links.WithLog(f.log), links.WithChanged(f.linksChanged))
	return f
}

// Counters returns the counters of the front.
func (f *Front) Counters() *Counters { return &f.counter }

// Do queues one shard request for its upstream, sends it and returns the outcome.
// It returns early when the context ends.
func (f *Front) Do(ctx context.Context, shardReq *peer.ShardRequest) peer.ShardReply {
	if rejection, rejected := f.checkPoison(shardReq); rejected {
		return rejection
	}
	if f.IsCut() {
		return cutReply(true)
	}
	d, ok := f.dispatcher(shardReq.Upstream)
	if !ok {
		return peer.ShardReply{Cause: search.CauseVersionGone, Unsent: true}
	}
	ctx, cancel := context.WithTimeout(ctx, shardReq.Budget)
	defer cancel()
	reply := d.do(ctx, shardReq)
	if reply.Unsent {
		f.counter.rejected[shardReq.Priority].Add(1)
	}
	return reply
}

// checkPoison rejects a quarantined request and marks a suspect one to run alone
// on its upstream, unless the sender marked it as proven.
func (f *Front) checkPoison(shardReq *peer.ShardRequest) (peer.ShardReply, bool) {
	switch f.tracker.Verdict(shardReq.Fingerprint) {
	case poison.Quarantined:
		return peer.ShardReply{Cause: search.CauseQuarantined, Unsent: true}, true
	case poison.Suspect:
		shardReq.Solo = !shardReq.Proven
	case poison.Novel, poison.Proven:
	}
	return peer.ShardReply{}, false
}

// dispatcher creates the dispatcher of an upstream if needed. It returns false for
// an upstream that lookup does not find.
func (f *Front) dispatcher(id string) (*dispatcher, bool) {
	if d, ok := f.dispatchers.Load(id); ok {
		return d.(*dispatcher), true
	}
	u, ok := f.lookup(id)
	if !ok {
		return nil, false
	}
	created := newDispatcher(f, u)
	d, loaded := f.dispatchers.LoadOrStore(id, created)
	if loaded {
		return d.(*dispatcher), true
	}
	if started, ok := f.drains.Load(id); ok {
		created.applyDrain(started.(int64))
	}
	return created, true
}

// ApplyNotices applies crash reports and drains received from another node.
func (f *Front) ApplyNotices(n peer.Notices) {
	f.tracker.Merge(n.Reports)
	for _, drain := range n.Drains {
		f.drains.Store(drain.Upstream, drain.Started)
		if d, ok := f.dispatchers.Load(drain.Upstream); ok {
			d.(*dispatcher).applyDrain(drain.Started)
		}
	}
}

// Notices returns the recorded crash reports and drains, for a node that has just
// started.
func (f *Front) Notices() peer.Notices {
	n := peer.Notices{Reports: f.tracker.Reports()}
	f.drains.Range(func(id, started any) bool {
		n.Drains = append(n.Drains, peer.Drain{Upstream: id.(string), Started: started.(int64)})
		return true
	})
	return n
}

// Draining reports whether a drain of the upstream is recorded.
func (f *Front) Draining(id string) bool {
	_, ok := f.drains.Load(id)
	return ok
}

// Wait returns the estimated queueing time of a priority at an upstream whose front
// is this node, or zero if this node has not sent it any request.
func (f *Front) Wait(id string, p prio.Priority) time.Duration {
	d, ok := f.dispatchers.Load(id)
	if !ok {
		return 0
	}
	return d.(*dispatcher).gate.Wait(p)
}

// InFlight returns the number of shard requests in flight at upstreams.
func (f *Front) InFlight() int {
	n := 0
	f.dispatchers.Range(func(_, d any) bool {
		n += d.(*dispatcher).gate.InFlight()
		return true
	})
	return n
}

// Actor returns the execute and interrupt functions of a run.Group actor that
// polls the health of upstreams until it is interrupted.
func (f *Front) Actor() (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	return func() error { return f.poll(ctx) }, func(error) { cancel() }
}

func (f *Front) poll(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.closeIdleConnections()
			f.links.Close()
			return nil
		case <-ticker.C:
			f.pollOnce(ctx)
		}
	}
}

// pollOnce requests the health of all upstreams of this front in parallel, except
// idle ones, and waits for the replies.
func (f *Front) pollOnce(ctx context.Context) {
	var group run.Group
	n := 0
	f.dispatchers.Range(func(_, d any) bool {
		if d.(*dispatcher).idle() {
			return true
		}
		n++
		group.Add(func() error { return d.(*dispatcher).checkHealth(ctx) }, func(error) {})
		return true
	})
	if n > 0 {
		_ = group.Run()
	}
}

func (f *Front) closeIdleConnections() {
	f.dispatchers.Range(func(_, d any) bool {
		d.(*dispatcher).transport.CloseIdleConnections()
		return true
	})
}
