// Package relay forwards requests unchanged to upstreams: to one upstream of a
// service, to services chosen by weight, or to one upstream of each shard, whose
// records are merged. It connects the decisions of pkg/fanout, pkg/place,
// pkg/admit, pkg/retry, pkg/gather and pkg/gate with connections to upstreams and
// calls to other nodes.
//
//	e := relay.New(dialect, relay.WithLog(log))
//	e.SetRoutes(snapshot)
//	e.SetUpstreams(entries)
//	http.Serve(listener, e.Handler())
package relay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/links"
	"geraniumstep.org/geraniumstep/internal/memory"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/admit"
	"geraniumstep.org/geraniumstep/pkg/advice"
	"geraniumstep.org/geraniumstep/pkg/allot"
	"geraniumstep.org/geraniumstep/pkg/canary"
	"geraniumstep.org/geraniumstep/pkg/crash"
	"geraniumstep.org/geraniumstep/pkg/finish"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/pace"
	"geraniumstep.org/geraniumstep/pkg/place"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/quota"
	"geraniumstep.org/geraniumstep/pkg/retry"
	"geraniumstep.org/geraniumstep/pkg/split"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// Engine serves relayed requests. It is safe for concurrent use.
type Engine struct {
	dialect proto.Dialect
	log     *logrus.Entry
	dial    link.Dialer
	domain  string
	regions map[string]string
	nodes   atomic.Int64
	// gatherers is the number of nodes that send requests to shards. They
	// share the retry budget and the connections of the shards.
	gatherers   atomic.Int64
	budget      *retry.Budget
	shardBudget *retry.Budget
	splitter    *split.Splitter
	lead        time.Duration
	canaryMode  canary.Mode
	// alerted is whether the last search found the alert raised.
	alerted atomic.Bool
	// restart is the average time from the crash of an upstream to its successor, in
	// nanoseconds.
	restart atomic.Int64
	memory  *memory.Pool
	tracker *poison.Tracker
	// share sends crash reports to the other nodes.
	share func([]poison.Report)
	// quarantined is called when this node quarantines a request.
	quarantined func(poison.Fingerprint)
	// quotaNodes are the nodes that divide the limits of upstreams, and shareLimit
	// sends them what an upstream has stated.
	quotaNodes atomic.Pointer[quota.Nodes]
	shareLimit func(quota.News)
	// shareLeaving tells the other nodes that an upstream leaves.
	shareLeaving func(advice.News)
	// cold bounds the requests to cold upstreams.
	cold coldRule
	// pace is where upstreams that recover get requests at a pace.
	pace paceRule
	// allotments limits the requests of workspaces; nil if their limits are not enforced.
	// turns assigns when callers over the limit return.
	allotments Allotments
	turns      *allot.Turns
	// reachable reports whether anything but upstreams has been heard of since a time.
	reachable func(since time.Time) bool
	// links is what is known of this node's links to the upstreams.
	links *links.Links
	// lastHeard is the last response of any upstream, or nil.
	lastHeard atomic.Pointer[heard]
	metrics   *metrics
	tickets   atomic.Uint64
	legTimes  legTimes
	dialTimes dialTimes
	// shares decides on the requests of workspaces when room is short.
	shares *admit.Shares

	peers atomic.Pointer[peers]
	// peerCalls is the number of calls of other nodes in progress.
	peerCalls     atomic.Int64
	gatherCancels sync.Map // maps the ID of a gather for another node to its cancel function

	// finish decides what is sent while the node stops.
	finish *finish.Stop

	routes    atomic.Pointer[vhost.Snapshot]
	upstreams atomic.Pointer[directory]
	mu        sync.Mutex // serializes SetUpstreams and SetEvacuated
	// entries and evacuated are what the directory was last made of.
	entries   []fleet.Entry
	evacuated map[string]bool

	baseCtx context.Context
	stop    context.CancelFunc
	tasks   tasks.Group
}

// directory is an immutable view of the upstreams. byService holds only those that
// accept new work. A service of which all are evacuated stays listed without any, because it is
// known that it has none.
type directory struct {
	byID      map[string]*upstream
	byService map[string]*serviceUpstreams
	byPaceKey map[pace.Key]*upstream
}

// serviceUpstreams holds the upstreams of one service and, at the same indexes,
// their statistics.
type serviceUpstreams struct {
	upstreams []*upstream
	stats     []*place.Stats
}

// Option configures an Engine at construction.
type Option func(*Engine)

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Entry) Option { return func(e *Engine) { e.log = log } }

// WithDial sets how connections to upstreams are opened. The default is link.Dial.
func WithDial(dial link.Dialer) Option {
	return func(e *Engine) { e.dial = dial }
}

// WithLocality sets this node's failure domain and the region of each domain. By
// default all upstreams count as being in the local failure domain.
func WithLocality(domain string, regions map[string]string) Option {
	return func(e *Engine) { e.domain, e.regions = domain, regions }
}

// WithBudget sets the options of the budgets for hedges and retries. By default
// they use the defaults of package retry.
func WithBudget(opts ...retry.Option) Option {
	return func(e *Engine) { e.budget, e.shardBudget = retry.New(opts...), retry.New(opts...) }
}

// WithQuarantined sets a function that is called when this node quarantines a request.
func WithQuarantined(f func(poison.Fingerprint)) Option {
	return func(e *Engine) { e.quarantined = f }
}

// WithReachable sets a function that reports whether this node has heard of other nodes or
// of the store since a time. Without that, and without a response of any other upstream,
// no crash is presumed. By default it has not.
func WithReachable(f func(since time.Time) bool) Option { return func(e *Engine) { e.reachable = f } }

// defaultLead is short compared with any target in use. A crash in the failure domain
// shows within it.
const defaultLead = 2 * time.Millisecond

// WithLead sets how long one leg of a new search is ahead of the others. The default is
// 2 ms.
func WithLead(d time.Duration) Option { return func(e *Engine) { e.lead = d } }

// WithCanary sets when unproven searches wait for the result of one shard request before
// the others are sent. The default is canary.OnAlert.
func WithCanary(m canary.Mode) Option { return func(e *Engine) { e.canaryMode = m } }

// WithMemory sets how many bytes of callers' bodies and upstreams' responses the engine
// holds at a time. The default is 64 MB.
func WithMemory(bytes int64) Option { return func(e *Engine) { e.memory = memory.New(bytes) } }

const defaultMemoryBytes = 64 << 20

// WithCrashes sets the tracker of requests that crash upstreams and the function that
// sends its reports to the other nodes. By default the node has a tracker of its own.
func WithCrashes(t *poison.Tracker, share func([]poison.Report)) Option {
	return func(e *Engine) { e.tracker, e.share = t, share }
}

// WithRegistry registers the metrics. By default they are not registered.
func WithRegistry(r prometheus.Registerer) Option {
	return func(e *Engine) {
		r.MustRegister(e.metrics.all()...)
		r.MustRegister(e.upstreamGauges()...)
	}
}

// New returns an Engine without routes, upstreams and peers.
func New(d proto.Dialect, opts ...Option) *Engine {
	e := &Engine{
		dialect: d, log: logrus.NewEntry(logrus.StandardLogger()), dial: link.Dial,
		budget: retry.New(), shardBudget: retry.New(), splitter: split.New(), shares: admit.NewShares(),
		lead: defaultLead, canaryMode: canary.OnAlert, memory: memory.New(defaultMemoryBytes), tracker: poison.New(), finish: finish.New(), share: func([]poison.Report) {}, quarantined: func(poison.Fingerprint) {},
		turns: allot.NewTurns(), reachable: func(time.Time) bool { return false }, shareLimit: func(quota.News) {}, shareLeaving: func(advice.News) {},
	}
	e.metrics = newMetrics(func() int { return e.shares.Above(time.Now()) })
	e.nodes.Store(1)
	e.restart.Store(int64(initialRestart))
	e.gatherers.Store(1)
	e.pace.share = func([]byte) {}
	e.baseCtx, e.stop = context.WithCancel(context.Background())
	e.peers.Store(&peers{})
	e.upstreams.Store(&directory{byService: map[string]*serviceUpstreams{}})
	for _, opt := range opts {
		opt(e)
	}
	e.links = links.New(linked{e}, links.WithLog(e.log), links.WithChanged(e.linksChanged))
	return e
}

// Close cancels all requests in flight and waits until they have ended.
func (e *Engine) Close() {
	e.stop()
	e.links.Close()
	e.tasks.Wait()
	for _, u := range e.upstreams.Load().byID {
		u.pool.Close()
	}
}

// Routes returns the snapshot in force, or nil before the first SetRoutes.
func (e *Engine) Routes() *vhost.Snapshot { return e.routes.Load() }

// SetRoutes puts a snapshot in force and reports whether it is newer than the
// current one. Otherwise the snapshot is ignored.
func (e *Engine) SetRoutes(s *vhost.Snapshot) bool {
	for {
		old := e.routes.Load()
		if old != nil && old.Version() >= s.Version() {
			return false
		}
		if e.routes.CompareAndSwap(old, s) {
			e.metrics.version.Set(float64(s.Version()))
			e.resize()
			e.setFair()
			return true
		}
	}
}

// SetNodes sets how many nodes share the upstreams and budgets, and how many of
// them send requests to shards.
func (e *Engine) SetNodes(nodes, gatherers int) {
	nodes = max(nodes, 1)
	gatherers = min(max(gatherers, 1), nodes)
	if e.nodes.Swap(int64(nodes)) == int64(nodes) && e.gatherers.Swap(int64(gatherers)) == int64(gatherers) {
		return
	}
	e.gatherers.Store(int64(gatherers))
	e.budget.SetNodes(nodes)
	e.shardBudget.SetNodes(gatherers)
	e.resize()
}

// resize adapts the slots of all upstreams to the number of nodes, and their limits to the
// configuration.
func (e *Engine) resize() {
	for _, u := range e.upstreams.Load().byID {
		if slots := e.slots(u.entry); u.slots.Swap(int64(slots)) != int64(slots) {
			u.gate.Apply(gate.Resize{Slots: slots})
		}
		e.boundCold(u)
	}
}

// SetUpstreams replaces the upstreams. Statistics and connections of upstreams in
// both sets are kept. Draining upstreams get no new work, and what waits for upstreams that
// get none moves to others.
func (e *Engine) SetUpstreams(entries []fleet.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries = entries
	e.updateDirectory()
}

// updateDirectory makes the directory from the entries and the evacuations. mu must be held.
func (e *Engine) updateDirectory() {
	entries, old := e.entries, e.upstreams.Load()
	closed := make(map[*upstream]withdrawal)
	next := &directory{byID: make(map[string]*upstream, len(entries)), byService: make(map[string]*serviceUpstreams), byPaceKey: make(map[pace.Key]*upstream, len(entries))}
	for _, entry := range entries {
		u, ok := old.byID[entry.ID()]
		if !ok || !u.matches(entry) {
			u = e.newUpstream(entry)
			e.observeRestart(old, entry.Service())
		}
		next.byID[entry.ID()] = u
		next.byPaceKey[u.paceKey] = u
		e.coldByEntry(u, entry)
		if entry.Draining() {
			closed[u] = withdrawDraining
			continue
		}
		p, ok := next.byService[entry.Service()]
		if !ok {
			p = &serviceUpstreams{}
			next.byService[entry.Service()] = p
		}
		if e.evacuated[entry.Domain()] {
			closed[u], u.evacuated = withdrawEvacuated, true
			continue
		}
		if u.evacuated {
			u.evacuated = false
			u.recoversAt(time.Now())
		}
		u.intake.open()
		p.upstreams = append(p.upstreams, u)
		p.stats = append(p.stats, u.stats)
	}
	e.upstreams.Store(next)
	for u, why := range closed {
		u.intake.close(why)
	}
	e.setFair()
	for id, u := range old.byID {
		if now := next.byID[id]; now != u {
			if now != nil {
				u.intake.end(withdrawReplaced)
			} else {
				u.intake.end(withdrawGone)
			}
			u.pool.Close()
			e.stepCrash(u, crash.Left{Restarted: now != nil && now.entry.Started() != u.entry.Started()})
		}
	}
}

const (
	// connectionShare is the fraction of the connections accepted by an
	// upstream that all nodes together plan to use. Each node uses at least
	// one connection, so many nodes can exceed it.
	connectionShare = 0.8
	// queueFactor is the maximum number of requests that this node has at an
	// upstream per slot of the upstream, including those waiting there.
	queueFactor = 2
	// defaultConnections is the number of connections that an upstream is
	// assumed to accept if the configuration does not set it.
	defaultConnections = 16
	// gateQueue is how many requests may wait at this node for one upstream.
	gateQueue = 256
)

// slots returns how many requests this node may have at the upstream.
func (e *Engine) slots(entry fleet.Entry) int {
	conns, senders := defaultConnections, place.Senders{Total: int(e.nodes.Load())}
	p, region := e.peers.Load(), e.regions[entry.Domain()]
	count := p.nodesIn
	if s := e.routes.Load(); s != nil {
		if n := s.MaxConnections(entry.Service()); n > 0 {
			conns = n
		}
		if s.IsShard(entry.Service()) {
			senders.Total, count = int(e.gatherers.Load()), p.gatherersIn
		}
	}
	if e.distance(entry.Domain()) != place.OtherRegion {
		senders.Near = count[region]
	}
	return senders.Connections(connectionShare*float64(conns), queueFactor*entry.Slots())
}

func (e *Engine) newUpstream(entry fleet.Entry) *upstream {
	slots := e.slots(entry)
	u := &upstream{
		entry: entry,
		stats: place.NewStats(e.distance(entry.Domain()), entry.Slots(), entry.ColdUntil()),
		gate:  gate.NewShared(gate.WithSlots(slots), gate.WithQueue(gateQueue)),
		pool:  link.NewPool(entry.Addr(), e.dialerOf(entry.ID())),
	}
	u.intake = newIntake(e.baseCtx)
	u.slots.Store(int64(slots))
	u.crash = e.newCrashCheck(u)
	u.quota = quota.New(u.incarnation(), entry.Domain())
	u.pace, u.paceKey = e.newPace(entry), pace.KeyOf(u.incarnation())
	u.seenAt = time.Now()
	e.boundCold(u)
	return u
}

func (e *Engine) distance(domain string) place.Distance {
	switch {
	case domain == e.domain || e.domain == "":
		return place.SameDomain
	case e.regions[domain] != "" && e.regions[domain] == e.regions[e.domain]:
		return place.SameRegion
	}
	return place.OtherRegion
}

// isLocal reports whether the service has an upstream in the local failure domain that does
// not leave.
func (d *directory) isLocal(service string) bool {
	s, ok := d.byService[service]
	return ok && slices.ContainsFunc(s.upstreams, func(u *upstream) bool {
		return u.stats.Distance() == place.SameDomain && !u.advice.Leaving()
	})
}
