// Package daemon runs a process that relays requests: it follows the platform's
// store, answers the load balancer's readiness checks, serves callers, and shuts
// down without interrupting requests.
//
//	d, err := daemon.New(settings, dialect, source)
//	err = d.Run(ctx) // until ctx is done, then shuts down gracefully
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/alexedwards/flow"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/internal/keep"
	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/mesh"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/internal/relay"
	"geraniumstep.org/geraniumstep/internal/setup"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/internal/tokens"
	"geraniumstep.org/geraniumstep/pkg/advice"
	"geraniumstep.org/geraniumstep/pkg/canary"
	"geraniumstep.org/geraniumstep/pkg/gather"
	"geraniumstep.org/geraniumstep/pkg/life"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/quota"
	"geraniumstep.org/geraniumstep/pkg/retry"
)

const (
	// headerTimeout bounds how long a caller may take to send the header of a
	// request. The users' limit is 3 s.
	headerTimeout = 10 * time.Second
	// idleTimeout keeps callers' idle connections longer than any limit that
	// callers use, so that a new request never races with a close.
	idleTimeout    = 5 * time.Minute
	maxHeaderBytes = 64 << 10
	// messageMemoryRatio is the fraction of the configured memory that bodies of
	// callers and responses of upstreams may take. Garbage, connections and the
	// state of the node need the rest.
	messageMemoryRatio = 0.25
	// stopReserve is the part of the grace period that is left for the process
	// to exit.
	stopReserve = 400 * time.Millisecond
)

// Daemon is one process of the tier.
type Daemon struct {
	settings setup.Relay
	log      *logrus.Entry
	source   follow.Source
	engine   *relay.Engine
	handler  *relay.Handler
	state    *state
	mesh     *mesh.Mesh
	self     member.Record
	life     *life.Node
	registry *prometheus.Registry
	crashes  *poison.Tracker
	// keeper saves quarantines in the store; nil if they are not saved.
	keeper *keep.Keeper
	// tokens takes part in the allotments of workspaces; nil if they are not enforced.
	tokens *tokens.Tokens

	callers net.Listener
	ready   net.Listener
	metrics net.Listener
	// drained is closed when no more callers are served.
	drained chan struct{}
}

// Option configures a Daemon at construction.
type Option func(*Daemon)

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Entry) Option { return func(d *Daemon) { d.log = log } }

// WithRecords sets where quarantines are saved. By default they are lost when all nodes
// end.
func WithRecords(s keep.Store) Option {
	return func(d *Daemon) { d.keeper = keep.New(s, d.crashes, keep.WithLog(d.log)) }
}

// New returns a daemon that listens on the configured addresses. It serves nothing
// until Run is called.
func New(settings setup.Relay, dialect proto.Dialect, source follow.Source, opts ...Option) (*Daemon, error) {
	d := &Daemon{settings: settings, source: source, log: logrus.NewEntry(logrus.StandardLogger()), registry: prometheus.NewRegistry(), crashes: poison.New(), drained: make(chan struct{})}
	for _, opt := range opts {
		opt(d)
	}
	b := settings.Budget
	mode, ok := canary.ParseMode(settings.Canary)
	if !ok {
		return nil, fmt.Errorf("canary is %q; write never, on_alert or always", settings.Canary)
	}
	paces, ok := relay.ParsePaceMode(settings.Pace)
	if !ok {
		return nil, fmt.Errorf("pace is %q; write auto, always or never", settings.Pace)
	}
	d.engine = relay.New(dialect,
		relay.WithLog(d.log),
		relay.WithLocality(settings.FailureDomain, settings.Regions),
		relay.WithBudget(retry.WithRatio(b.Ratio), retry.WithAllowance(b.Allowance), retry.WithWindow(b.Window)),
		relay.WithMemory(int64(messageMemoryRatio*float64(settings.MemoryMB)*(1<<20))),
		relay.WithCanary(mode),
		relay.WithCrashes(d.crashes, d.shareCrashes),
		relay.WithQuarantined(d.saveQuarantine),
		relay.WithReachable(d.heardSince),
		relay.WithLimitNews(d.shareLimit),
		relay.WithLeavingNews(d.shareLeaving),
		relay.WithRegistry(d.registry),
		d.cold(),
		relay.WithPace(paces),
		relay.WithPaceNews(d.sharePaces),
	)
	d.engine.SetNodes(b.Nodes, b.Nodes)
	d.handler = d.engine.Handler()
	d.state = newState(d.engine, source, d.log)
	if settings.Evacuation > 0 {
		d.state.followEvacuations()
	}
	d.life = life.NewNode(d.logStateChange)
	if err := d.listen(); err != nil {
		return nil, err
	}
	return d, d.openMesh()
}

// openMesh listens on the address listen.inner and creates the mesh.
func (d *Daemon) openMesh() error {
	l, err := listen("inner", d.settings.Listen.Inner)
	if err != nil {
		return err
	}
	packets, err := net.ListenPacket("udp", d.settings.Listen.Inner)
	if err != nil {
		return fmt.Errorf("cannot listen on listen.inner %s for datagrams: %w; choose a free address of this VM", d.settings.Listen.Inner, err)
	}
	addr := d.settings.Listen.Announced()
	self := member.Record{
		VM: d.settings.VM, Domain: d.settings.FailureDomain, Addr: addr, Gossip: addr,
		Caller: d.settings.Listen.Caller, Started: time.Now().UnixMilli(), Capacity: d.settings.Capacity,
	}
	d.self = self
	if d.settings.Budget.Nodes == 1 {
		d.engine.SetQuotaNodes(quota.NewNodes(d.soleNode(), nil).Sole())
	}
	opts := d.openTokens()
	d.mesh = mesh.New(self, l, packets, d.state, link.Dial, append(opts,
		mesh.WithSeeds(d.settings.Peers), mesh.WithFirstStart(d.settings.FirstStart), mesh.WithLog(d.log), mesh.WithChanged(d.membersChanged), mesh.WithEvacuations(d.settings.Evacuation > 0),
		mesh.WithService(relay.GatherService, d.engine.Gatherer()), mesh.WithEvidence(crashEvidence{Tracker: d.crashes, engine: d.engine}), mesh.WithLimits(d.engine.LearnLimit), mesh.WithLeaving(d.engine.LearnLeaving), mesh.WithCold(d.engine.LearnCold), mesh.WithPaces(d.engine.LearnPace))...)
	d.state.publish, d.state.restored = d.mesh.Publish, d.storeRestored
	return nil
}

// shareCrashes sends reports of crashed upstreams to the other nodes.
func (d *Daemon) shareCrashes(reports []poison.Report) { d.mesh.Share(reports) }

// shareLimit sends news of an upstream's limit to the other nodes.
func (d *Daemon) shareLimit(n quota.News) { d.mesh.ShareLimit(n) }

// shareLeaving tells the other nodes that an upstream leaves.
func (d *Daemon) shareLeaving(n advice.News) { d.mesh.ShareLeaving(n) }

// shareCold tells the other nodes that an upstream is cold.
func (d *Daemon) shareCold(n quota.ColdNews) { d.mesh.ShareCold(n) }

// sharePaces sends the paces that this node has found to the other nodes.
func (d *Daemon) sharePaces(data []byte) { d.mesh.SharePaces(data) }

// cold returns the option that bounds the requests to cold upstreams, if the settings do.
func (d *Daemon) cold() relay.Option {
	c := d.settings.Cold
	if c == nil {
		return func(*relay.Engine) {}
	}
	return relay.WithCold(c.Excess, c.Slack, d.shareCold)
}

// heardSince reports whether another node or the store has been heard of since the time.
func (d *Daemon) heardSince(t time.Time) bool {
	return d.mesh.HeardSince(t) || time.Since(t) > d.state.StoreAge()
}

// saveQuarantine saves a quarantine that this node has imposed.
func (d *Daemon) saveQuarantine(f poison.Fingerprint) {
	if d.keeper != nil {
		d.keeper.Save(f)
	}
}

// storeRestored saves the quarantines again that the store may have lost. The nodes that
// read the store also save those of nodes that may have ended.
func (d *Daemon) storeRestored() {
	if d.keeper == nil {
		return
	}
	if d.mesh.ReadsStore() {
		for _, f := range d.crashes.Quarantined() {
			d.keeper.Save(f)
		}
	}
	d.keeper.SaveAgain()
}

// membersChanged divides the budget, the connections and the limits of upstreams among
// all known nodes, and selects the gatherers, which send shard requests for the other
// nodes. Dead nodes still count for the budget, because what they spent is still within
// the window.
func (d *Daemon) membersChanged(records []member.Record) {
	var alive, known []gather.Node
	for _, r := range records {
		known = append(known, d.nodeOf(r))
		if r.Status == member.Alive {
			alive = append(alive, d.nodeOf(r))
		}
	}
	if d.tokens != nil {
		d.tokens.SetMembers(records)
	}
	quotas := quota.NewNodes(quota.Node{VM: d.self.VM, Domain: d.self.Domain}, d.quotaNodes(records))
	if len(records) == 1 && d.settings.Budget.Nodes == 1 {
		quotas = quota.NewNodes(d.soleNode(), nil).Sole()
	}
	d.engine.SetQuotaNodes(quotas)
	nodes, gatherers := len(records), gather.New(d.nodeOf(d.self), known).Total()
	if nodes == 1 {
		nodes, gatherers = d.settings.Budget.Nodes, d.settings.Budget.Nodes
	}
	set := gather.New(d.nodeOf(d.self), alive)
	d.engine.SetNodes(nodes, max(gatherers, set.Total()))
	d.engine.SetPeers(set, d.mesh.Call)
}

// soleNode returns this node as the only one of the tier.
func (d *Daemon) soleNode() quota.Node {
	return quota.Node{VM: d.self.VM, Domain: d.self.Domain, Region: d.settings.Regions[d.self.Domain], Gathers: true}
}

// quotaNodes returns the nodes that divide the limits of upstreams, and if requests to cold
// upstreams are bounded also what that needs.
func (d *Daemon) quotaNodes(records []member.Record) []quota.Node {
	list := quotaNodes(records)
	if d.settings.Cold == nil {
		return list
	}
	var known []gather.Node
	for _, r := range records {
		if r.Status != member.Left {
			known = append(known, d.nodeOf(r))
		}
	}
	gathers := make(map[string]bool)
	for _, n := range gather.New(d.nodeOf(d.self), known).Gatherers() {
		gathers[n.VM] = true
	}
	for i, n := range list {
		list[i].Region, list[i].Gathers = d.settings.Regions[n.Domain], gathers[n.VM]
	}
	return list
}

// quotaNodes returns the nodes that divide the limits of upstreams. Those that are only
// unreachable may be sending on behind a cut, and keep their part.
func quotaNodes(records []member.Record) []quota.Node {
	var list []quota.Node
	for _, r := range records {
		if r.Status != member.Left {
			list = append(list, quota.Node{VM: r.VM, Domain: r.Domain})
		}
	}
	return list
}

func (d *Daemon) nodeOf(r member.Record) gather.Node {
	return gather.Node{VM: r.VM, Addr: r.Addr, Domain: r.Domain, Region: d.settings.Regions[r.Domain], Capacity: r.Capacity}
}

func (d *Daemon) listen() error {
	var err error
	if d.callers, err = listen("caller", d.settings.Listen.Caller); err != nil {
		return err
	}
	if d.ready, err = listen("ready", d.settings.Listen.Ready); err != nil {
		return err
	}
	if d.settings.Listen.Metrics != "" {
		d.metrics, err = listen("metrics", d.settings.Listen.Metrics)
	}
	return err
}

func listen(key, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("cannot listen on listen.%s %s: %w; choose a free address of this VM", key, addr, err)
	}
	return l, nil
}

func (d *Daemon) logStateChange(from, to life.NodeState) {
	d.log.WithFields(logrus.Fields{"from": from.String(), "to": to.String()}).Info("tier: state changed.")
}

// Run serves until the context is done and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.WithFields(logrus.Fields{"vm": d.settings.VM, "failure_domain": d.settings.FailureDomain, "caller": d.settings.Listen.Caller}).Info("tier: started.")
	defer d.engine.Close()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	callers := d.server(d.handler)
	var group run.Group
	pacer := follow.NewPacer()
	for _, topic := range d.state.topics() {
		opts := []follow.Option{follow.WithLog(d.log), follow.WithActive(d.mesh.ReadsStore), follow.WithPacer(pacer)}
		if topic == follow.Evacuations {
			opts = append(opts, follow.WithActive(d.mesh.ReadsEvacuations), follow.WithBound(d.settings.Evacuation))
		}
		f := follow.New(d.source, topic, d.state, opts...)
		group.Add(func() error { return f.Run(work) }, func(error) { stop() })
	}
	group.Add(func() error { return d.state.run(work) }, func(error) { stop() })
	if d.keeper != nil {
		group.Add(func() error { return d.keepRecords(work) }, func(error) { stop() })
	}
	if d.tokens != nil {
		group.Add(func() error { return d.tokens.Run(work) }, func(error) { stop() })
	}
	group.Add(func() error { return d.mesh.Run(work) }, func(error) { stop() })
	group.Add(func() error {
		err := serve(callers, d.callers)
		<-d.drained
		return err
	}, func(error) { _ = callers.Close() })
	addServer(&group, d.server(d.readiness()), d.ready)
	if d.metrics != nil {
		addServer(&group, d.server(d.operation()), d.metrics)
	}
	group.Add(func() error { return d.awaitStop(ctx, work, callers) }, func(error) { stop() })
	err := group.Run()
	d.log.Info("tier: stopped.")
	return err
}

// keepRecords runs the keeper until the context is done.
func (d *Daemon) keepRecords(work context.Context) error {
	err := d.keeper.Run(work)
	<-work.Done()
	return err
}

// awaitStop waits until ctx is done and then shuts down in steps: it reports not
// ready, waits until the load balancer has noticed, accepts no more connections,
// and waits for the requests in flight.
func (d *Daemon) awaitStop(ctx, work context.Context, callers *http.Server) error {
	defer close(d.drained)
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	stopEnd := time.Now().Add(d.settings.Stop.Grace - stopReserve)
	d.fire(life.OrderLeave)
	d.handler.Stop(stopEnd)
	if d.tokens != nil {
		d.tokens.Stop()
	}
	d.mesh.Leave()
	tasks.Sleep(work, d.settings.Stop.Notice)
	end, cancel := context.WithDeadline(work, stopEnd)
	defer cancel()
	if err := callers.Shutdown(end); err != nil {
		d.log.WithField("error", err.Error()).Warn("tier: requests were still in flight at the end of the grace period.")
	}
	if !d.engine.AwaitPeerCalls(end) {
		d.log.Warn("tier: calls of other nodes were still in progress at the end of the grace period.")
	}
	return nil
}

func (d *Daemon) fire(o life.Order) {
	if err := d.life.Fire(o); err != nil {
		d.log.WithField("error", err.Error()).Warn("tier: order is not allowed in this state.")
	}
}

func (d *Daemon) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
}

// addServer adds a server for the listener to the group.
func addServer(group *run.Group, s *http.Server, l net.Listener) {
	group.Add(func() error { return serve(s, l) }, func(error) { _ = s.Close() })
}

// serve serves a listener and returns nil when the server is closed.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// readiness returns the handler for the load balancer. It answers 503 while the
// process is not ready.
func (d *Daemon) readiness() http.Handler {
	mux := flow.New()
	mux.HandleFunc(d.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, http.MethodGet)
	return mux
}

// Ready reports whether the process accepts callers. A starting process becomes
// ready once it has routes and upstreams, and remains ready until it is stopped.
func (d *Daemon) Ready() bool {
	if d.life.State() == life.NodeStarting && d.engine.Routes() != nil && d.state.hasUpstreams() {
		d.fire(life.OrderReady)
	}
	return d.life.State() == life.NodeReady
}
