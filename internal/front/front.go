// Package front is the one place in the fleet where work for an upstream
// meets: its slots, its connections, its queue and its life cycle. Each
// upstream is fronted by one node of its failure domain; other nodes send that
// node their sub-requests.
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

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/search"
)

const (
	healthEvery   = 250 * time.Millisecond
	healthTimeout = 400 * time.Millisecond
	// spareConns is how many connections beyond its slots a front opens, to
	// replace those that cancellations close.
	spareConns       = 2
	defaultClaimants = 3
)

// Front sends sub-requests to upstreams. It is safe for concurrent use.
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

	lines   sync.Map // upstream identifier to *line
	drains  sync.Map // upstream identifier to the incarnation that drains
	nextID  atomic.Uint64
	counter Counters
}

// Counters counts what a front has done since it was made.
type Counters struct {
	sent    atomic.Int64
	refused [prio.Count]atomic.Int64
	crashes atomic.Int64
	drained atomic.Int64
}

// Sent counts the sub-requests sent to upstreams.
func (c *Counters) Sent() int64 { return c.sent.Load() }

// Refused counts the sub-requests of a priority that no upstream saw.
func (c *Counters) Refused(p prio.Priority) int64 { return c.refused[p].Load() }

// Crashes counts the crashes of upstreams that were noticed.
func (c *Counters) Crashes() int64 { return c.crashes.Load() }

// Drained counts the drains of upstreams that were noticed.
func (c *Counters) Drained() int64 { return c.drained.Load() }

// Option changes a Front at construction.
type Option func(*Front)

// WithDial sets how connections to upstreams are opened. The default is plain TCP.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(f *Front) { f.dial = dial }
}

// WithNotify sets who tells the other nodes of crashes and drains. By default
// nobody is told.
func WithNotify(notify func(peer.Notices)) Option { return func(f *Front) { f.notify = notify } }

// WithClaimants sets how many nodes may take themselves for the front of one
// upstream while their views differ. Together they stay below the upstream's
// cap on connections. The default is 3.
func WithClaimants(n int) Option { return func(f *Front) { f.claimants = max(n, 1) } }

// WithSlots sets how many slots of an upstream this front may use. The default
// is all.
func WithSlots(slots func(u *layout.Upstream) int) Option { return func(f *Front) { f.slots = slots } }

// WithGate passes options to the gate of every upstream.
func WithGate(opts ...gate.Option) Option { return func(f *Front) { f.gateOpts = opts } }

// WithLog sets the log. The default discards nothing and uses the standard logger.
func WithLog(log *logrus.Entry) Option { return func(f *Front) { f.log = log } }

// WithTransport changes the HTTP transport of every upstream, as for TLS, and
// sets the URL scheme.
func WithTransport(scheme string, change func(*http.Transport)) Option {
	return func(f *Front) { f.scheme, f.transport = scheme, change }
}

// New returns a Front that finds upstreams with lookup and holds crashes
// against requests in tracker.
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
	return f
}

// Counters gives the front's counters.
func (f *Front) Counters() *Counters { return &f.counter }

// Do sends one sub-request when its turn comes and returns what became of it.
// It returns early when the context ends.
func (f *Front) Do(ctx context.Context, sub *peer.ShardRequest) peer.ShardReply {
	if refusal, refused := f.judge(sub); refused {
		return refusal
	}
	l, ok := f.line(sub.Upstream)
	if !ok {
		return peer.ShardReply{Cause: search.CauseVersionGone, Unsent: true}
	}
	ctx, cancel := context.WithTimeout(ctx, sub.Budget)
	defer cancel()
	reply := l.do(ctx, sub)
	if reply.Unsent {
		f.counter.refused[sub.Priority].Add(1)
	}
	return reply
}

// judge refuses a quarantined request and makes a suspect run alone.
func (f *Front) judge(sub *peer.ShardRequest) (peer.ShardReply, bool) {
	switch f.tracker.Verdict(sub.Fingerprint) {
	case poison.Quarantined:
		return peer.ShardReply{Cause: search.CauseQuarantined, Unsent: true}, true
	case poison.Suspect:
		sub.Solo = !sub.Proven
	case poison.Novel, poison.Proven:
	}
	return peer.ShardReply{}, false
}

func (f *Front) line(id string) (*line, bool) {
	if l, ok := f.lines.Load(id); ok {
		return l.(*line), true
	}
	u, ok := f.lookup(id)
	if !ok {
		return nil, false
	}
	fresh := newLine(f, u)
	l, loaded := f.lines.LoadOrStore(id, fresh)
	if loaded {
		return l.(*line), true
	}
	if started, ok := f.drains.Load(id); ok {
		fresh.drainNotice(started.(int64))
	}
	return fresh, true
}

// Notice applies what another node learned of upstreams.
func (f *Front) Notice(n peer.Notices) {
	f.tracker.Merge(n.Reports)
	for _, d := range n.Drains {
		f.drains.Store(d.Upstream, d.Started)
		if l, ok := f.lines.Load(d.Upstream); ok {
			l.(*line).drainNotice(d.Started)
		}
	}
}

// Notices lists what a node that has just started should know.
func (f *Front) Notices() peer.Notices {
	n := peer.Notices{Reports: f.tracker.Reports()}
	f.drains.Range(func(id, started any) bool {
		n.Drains = append(n.Drains, peer.Drain{Upstream: id.(string), Started: started.(int64)})
		return true
	})
	return n
}

// Drains tells whether an upstream is known to drain.
func (f *Front) Drains(id string) bool {
	_, ok := f.drains.Load(id)
	return ok
}

// Wait estimates the queueing time for a priority at an upstream that this
// node fronts.
func (f *Front) Wait(id string, p prio.Priority) time.Duration {
	l, ok := f.lines.Load(id)
	if !ok {
		return 0
	}
	return l.(*line).gate.Wait(p)
}

// InFlight counts the sub-requests that are at upstreams now.
func (f *Front) InFlight() int {
	n := 0
	f.lines.Range(func(_, l any) bool {
		n += l.(*line).gate.InFlight()
		return true
	})
	return n
}

// Actor returns the functions of a run group's member that polls the health
// of upstreams until it is stopped.
func (f *Front) Actor() (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	return func() error { return f.poll(ctx) }, func(error) { cancel() }
}

func (f *Front) poll(ctx context.Context) error {
	ticker := time.NewTicker(healthEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.closeLines()
			return nil
		case <-ticker.C:
			f.pollOnce(ctx)
		}
	}
}

// pollOnce asks all upstreams of this front for their health and waits for
// the answers.
func (f *Front) pollOnce(ctx context.Context) {
	var group run.Group
	n := 0
	f.lines.Range(func(_, l any) bool {
		if l.(*line).idle() {
			return true
		}
		n++
		group.Add(func() error { return l.(*line).checkHealth(ctx) }, func(error) {})
		return true
	})
	if n > 0 {
		_ = group.Run()
	}
}

func (f *Front) closeLines() {
	f.lines.Range(func(_, l any) bool {
		l.(*line).transport.CloseIdleConnections()
		return true
	})
}
