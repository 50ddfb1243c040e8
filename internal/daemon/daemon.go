// Package daemon is the life of a process that relays requests: it follows the
// platform's store, answers the balancer, serves callers, and stops without
// cutting anyone off.
//
//	t, err := daemon.New(settings, dialect, source)
//	err = t.Run(ctx) // until ctx ends, then stops gracefully
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
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/mesh"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/internal/relay"
	"geraniumstep.org/geraniumstep/internal/setup"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/gather"
	"geraniumstep.org/geraniumstep/pkg/life"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/retry"
)

const (
	// headerTimeout bounds how long a caller may take over the head of a
	// request; the users' limit is 3 s.
	headerTimeout = 10 * time.Second
	// idleTimeout keeps callers' idle connections longer than any limit in
	// use, so that a request never crosses a close.
	idleTimeout = 5 * time.Minute
	headerBytes = 64 << 10
	// stopReserve is kept of the grace for the end of the process.
	stopReserve = 400 * time.Millisecond
)

// Daemon is one process.
type Daemon struct {
	set      setup.Relay
	log      *logrus.Entry
	source   follow.Source
	engine   *relay.Engine
	handler  *relay.Handler
	state    *state
	mesh     *mesh.Mesh
	self     member.Record
	life     *life.Node
	registry *prometheus.Registry

	callers net.Listener
	ready   net.Listener
	metrics net.Listener
	// drained is closed when no caller is served any more.
	drained chan struct{}
}

// Option changes a Tier at construction.
type Option func(*Daemon)

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Entry) Option { return func(t *Daemon) { t.log = log } }

// New opens the addresses. The process does nothing until Run.
func New(set setup.Relay, d proto.Dialect, source follow.Source, opts ...Option) (*Daemon, error) {
	t := &Daemon{set: set, source: source, log: logrus.NewEntry(logrus.StandardLogger()), registry: prometheus.NewRegistry(), drained: make(chan struct{})}
	for _, opt := range opts {
		opt(t)
	}
	b := set.Budget
	t.engine = relay.New(d,
		relay.WithLog(t.log),
		relay.WithPlace(set.FailureDomain, set.Regions),
		relay.WithBudget(retry.WithRatio(b.Ratio), retry.WithAllowance(b.Allowance), retry.WithWindow(b.Window)),
		relay.WithRegistry(t.registry),
	)
	t.engine.SetNodes(b.Nodes, b.Nodes)
	t.handler = t.engine.Handler()
	t.state = newState(t.engine, source, t.log)
	t.life = life.NewNode(t.lifeChanged)
	if err := t.listen(); err != nil {
		return nil, err
	}
	return t, t.join()
}

// join prepares the connection to the other nodes.
func (t *Daemon) join() error {
	l, err := listen("inner", t.set.Listen.Inner)
	if err != nil {
		return err
	}
	packets, err := net.ListenPacket("udp", t.set.Listen.Inner)
	if err != nil {
		return fmt.Errorf("cannot listen on listen.inner %s for datagrams: %w; choose a free address of this VM", t.set.Listen.Inner, err)
	}
	addr := t.set.Listen.Announced()
	self := member.Record{
		VM: t.set.VM, Domain: t.set.FailureDomain, Addr: addr, Gossip: addr,
		Caller: t.set.Listen.Caller, Started: time.Now().UnixMilli(), Capacity: t.set.Capacity,
	}
	t.self = self
	t.mesh = mesh.New(self, l, packets, t.state, link.Dial,
		mesh.WithSeeds(t.set.Peers), mesh.WithFirstStart(t.set.FirstStart), mesh.WithLog(t.log), mesh.WithChanged(t.membersChanged),
		mesh.WithService(relay.GatherService, t.engine.Gatherer()))
	t.state.publish, t.state.age = t.mesh.Publish, t.mesh.BestStoreAge
	return nil
}

// membersChanged shares the budget and the connections among all nodes that are
// known, and chooses those that gather. Nodes that have died count on for the
// budget: what they spent is still in the window.
func (t *Daemon) membersChanged(records []member.Record) {
	var alive, known []gather.Node
	for _, r := range records {
		known = append(known, t.nodeOf(r))
		if r.Status == member.Alive {
			alive = append(alive, t.nodeOf(r))
		}
	}
	nodes, gatherers := len(records), gather.New(t.nodeOf(t.self), known).Total()
	if nodes == 1 {
		nodes, gatherers = t.set.Budget.Nodes, t.set.Budget.Nodes
	}
	set := gather.New(t.nodeOf(t.self), alive)
	t.engine.SetNodes(nodes, max(gatherers, set.Total()))
	t.engine.SetPeers(set, t.mesh.Call)
}

func (t *Daemon) nodeOf(r member.Record) gather.Node {
	return gather.Node{VM: r.VM, Addr: r.Addr, Domain: r.Domain, Region: t.set.Regions[r.Domain], Capacity: r.Capacity}
}

func (t *Daemon) listen() error {
	var err error
	if t.callers, err = listen("caller", t.set.Listen.Caller); err != nil {
		return err
	}
	if t.ready, err = listen("ready", t.set.Listen.Ready); err != nil {
		return err
	}
	if t.set.Listen.Metrics != "" {
		t.metrics, err = listen("metrics", t.set.Listen.Metrics)
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

func (t *Daemon) lifeChanged(from, to life.NodeState) {
	t.log.WithFields(logrus.Fields{"from": from.String(), "to": to.String()}).Info("tier: state changed.")
}

// Run serves until the context ends and then stops gracefully.
func (t *Daemon) Run(ctx context.Context) error {
	t.log.WithFields(logrus.Fields{"vm": t.set.VM, "failure_domain": t.set.FailureDomain, "caller": t.set.Listen.Caller}).Info("tier: started.")
	defer t.engine.Close()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	callers := t.server(t.handler)
	var group run.Group
	for _, topic := range topics {
		f := follow.New(t.source, topic, t.state, follow.WithLog(t.log), follow.WithActive(t.mesh.ReadsStore))
		group.Add(func() error { return f.Run(work) }, func(error) { stop() })
	}
	group.Add(func() error { return t.state.run(work) }, func(error) { stop() })
	group.Add(func() error { return t.mesh.Run(work) }, func(error) { stop() })
	group.Add(func() error {
		err := serve(callers, t.callers)
		<-t.drained
		return err
	}, func(error) { _ = callers.Close() })
	addServer(&group, t.server(t.readiness()), t.ready)
	if t.metrics != nil {
		addServer(&group, t.server(promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})), t.metrics)
	}
	group.Add(func() error { return t.untilStopped(ctx, work, callers) }, func(error) { stop() })
	err := group.Run()
	t.log.Info("tier: stopped.")
	return err
}

// untilStopped waits for the end of ctx and then stops in steps: no longer
// ready, no new connections once the balancer has noticed, and the requests in
// flight finished.
func (t *Daemon) untilStopped(ctx, work context.Context, callers *http.Server) error {
	defer close(t.drained)
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	begun := time.Now()
	t.fire(life.OrderLeave)
	t.handler.Stop()
	t.mesh.Leave()
	tasks.Sleep(work, t.set.Stop.Notice)
	end, cancel := context.WithDeadline(work, begun.Add(t.set.Stop.Grace-stopReserve))
	defer cancel()
	if err := callers.Shutdown(end); err != nil {
		t.log.WithField("error", err.Error()).Warn("tier: requests were still in flight at the end of the grace.")
	}
	return nil
}

func (t *Daemon) fire(o life.Order) {
	if err := t.life.Fire(o); err != nil {
		t.log.WithField("error", err.Error()).Warn("tier: order does not fit the state.")
	}
}

func (t *Daemon) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
}

// addServer serves a listener in the group.
func addServer(group *run.Group, s *http.Server, l net.Listener) {
	group.Add(func() error { return serve(s, l) }, func(error) { _ = s.Close() })
}

// serve serves a listener until the server is closed.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// readiness answers the balancer: ready with a configuration, until the stop.
func (t *Daemon) readiness() http.Handler {
	mux := flow.New()
	mux.HandleFunc(t.set.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !t.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, http.MethodGet)
	return mux
}

// Ready tells whether the process takes callers.
func (t *Daemon) Ready() bool {
	if t.life.State() == life.NodeStarting && t.engine.Routes() != nil && t.state.knowsUpstreams() {
		t.fire(life.OrderReady)
	}
	return t.life.State() == life.NodeReady
}
