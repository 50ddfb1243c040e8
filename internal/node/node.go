// Package node implements the process of an entry VM, which receives the requests of
// callers. The process also acts as the front of upstreams in its failure domain (it
// holds their queues and connections), takes part in membership, follows the
// configuration and owns a share of the idempotency keys.
//
//	n, err := node.New(settings, store)
//	n.Handle(api.New(n))
//	err = n.Run(ctx) // serves until ctx ends, then stops gracefully
package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/front"
	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/random"
	"geraniumstep.org/geraniumstep/internal/roster"
	"geraniumstep.org/geraniumstep/internal/setup"
	"geraniumstep.org/geraniumstep/internal/submit"
	"geraniumstep.org/geraniumstep/internal/syncer"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/budget"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/finish"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/life"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/route"
	"geraniumstep.org/geraniumstep/pkg/store"
)

// Network opens connections and datagram sockets for a node.
type Network interface {
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	Listen(network, addr string) (net.Listener, error)
	ListenPacket(network, addr string) (net.PacketConn, error)
}

// Node is one process of the tier.
type Node struct {
	settings setup.Settings
	started  time.Time
	log      *logrus.Logger
	network  Network
	store    store.Store

	callers net.Listener
	inner   net.Listener
	packets net.PacketConn
	server  *http.Server

	life    *life.Node
	ready   atomic.Bool
	syncer  *syncer.Syncer
	view    atomic.Pointer[roster.View]
	table   *route.Table
	tracker *poison.Tracker
	// finish decides what is sent while the node stops. answering is done when all requests
	// must have been answered.
	finish      *finish.Stop
	answering   context.Context
	endAnswers  context.CancelFunc
	front       *front.Front
	peers       *peer.Peers
	admission   *admission
	hedges      *budget.Budget
	rescues     *budget.Budget
	retries     *budget.Budget
	latency     sync.Map // latencyKey to *quant.Window
	members     *members
	submissions *submit.Executor
	remote      remoteRuns
	excluded    sync.Map // inner address to time of exclusion (time.Time)
	cutNodes    sync.Map // VM to the time at which it was found cut off (time.Time)
	registry    *prometheus.Registry
	metrics     *metrics
	random      *random.Source
	notices     chan peer.Notices
	requests    atomic.Uint64

	work        context.Context
	stop        context.CancelFunc
	loaded      chan struct{}
	tasks       tasks.Group
	credentials credentials
}

// Option configures a Node.
type Option func(*Node)

// WithNetwork sets how connections are opened. The default is the network of the
// host.
func WithNetwork(network Network) Option { return func(n *Node) { n.network = network } }

// WithLog sets the logger. The default writes to standard error.
func WithLog(log *logrus.Logger) Option { return func(n *Node) { n.log = log } }

// New returns a Node with its listeners open. It does nothing until Run.
func New(set setup.Settings, st store.Store, opts ...Option) (*Node, error) {
	n := &Node{
		settings: set,
		started:  time.Now(),
		log:      logrus.StandardLogger(),
		network:  hostNetwork{},
		store:    st,
		tracker:  poison.New(),
		finish:   finish.New(),
		hedges:   budget.New(set.Routing.HedgeBudget),
		rescues:  budget.New(set.Routing.RescueBudget),
		retries:  budget.New(set.Routing.RetryBudget),
		registry: prometheus.NewRegistry(),
		random:   random.New(set.Seed, set.VM),
		notices:  make(chan peer.Notices, 64),
		loaded:   make(chan struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	if err := n.credentials.load(set.TLS); err != nil {
		return nil, err
	}
	n.work, n.stop = context.WithCancel(context.Background())
	n.answering, n.endAnswers = context.WithCancel(n.work)
	n.buildParts()
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.members = newMembers(n)
	n.submissions = submit.New(n.work, submit.Self{VM: set.VM, Started: n.Started()}, set.Leases, adapter{n}, st)
	self := syncer.Self{VM: set.VM, Domain: set.FailureDomain, Addr: n.InnerAddr(), Peers: set.Peers}
	n.syncer = syncer.New(self, adapter{n}, st, syncer.WithLog(n.log), syncer.WithRandom(n.random), syncer.WithChanged(n.table.Update))
	n.metrics = newMetrics(n)
	n.rebuildView()
	return n, nil
}

// buildParts creates the components that need no listen address.
func (n *Node) buildParts() {
	n.life = life.NewNode(n.stateChanged)
	n.peers = peer.NewPeers(n.dialInner)
	n.table = route.New(rand.New(rand.NewPCG(n.settings.Seed, n.random.Uint64())), route.WithPolicy(n.policy()))
	n.admission = newAdmission(n.settings.Limits)
	n.front = front.New(n.upstream, n.tracker, n.frontOptions()...)
}

func (n *Node) frontOptions() []front.Option {
	r := n.settings.Routing
	opts := []front.Option{
		front.WithDial(n.network.Dial),
		front.WithNotify(n.broadcast),
		front.WithClaimants(r.Claimants),
		front.WithSlots(n.slotsOf),
		front.WithLog(logrus.NewEntry(n.log)),
		front.WithGate(
			gate.WithFIFO(r.Queue == "fifo"),
			gate.WithShare(prio.Standard, r.StandardShare),
			gate.WithShare(prio.Bulk, r.BulkShare),
			gate.WithReservedSlots(prio.Bulk, r.BulkSpare),
		),
	}
	return append(opts, n.credentials.frontOptions()...)
}

// slotsOf returns how many slots of an upstream this node may use: an equal share
// in modeShared, where every node sends to upstreams directly, and all of them in
// the other modes.
func (n *Node) slotsOf(u *layout.Upstream) int {
	if n.settings.Routing.Mode != modeShared {
		return u.Slots()
	}
	return max(u.Slots()/max(n.view.Load().Size(), 1), 1)
}

func (n *Node) policy() route.Policy {
	if n.settings.Routing.Policy == "random" {
		return route.PolicyRandom
	}
	return route.PolicyLeastCost
}

func (n *Node) listen() error {
	var err error
	if n.callers, err = n.network.Listen("tcp", n.settings.Listen.Caller); err != nil {
		return listenError("caller", n.settings.Listen.Caller, err)
	}
	if n.inner, err = n.network.Listen("tcp", n.settings.Listen.Inner); err != nil {
		return listenError("inner", n.settings.Listen.Inner, err)
	}
	if n.packets, err = n.network.ListenPacket("udp", n.settings.Listen.Gossip); err != nil {
		return listenError("gossip", n.settings.Listen.Gossip, err)
	}
	n.callers = n.credentials.wrapListener(n.callers, n.credentials.caller)
	n.inner = n.credentials.wrapListener(n.inner, n.credentials.inner)
	return nil
}

func listenError(key, addr string, err error) error {
	return fmt.Errorf("cannot listen on listen.%s %s: %w; choose a free address of this VM", key, addr, err)
}

func (n *Node) closeListeners() {
	for _, c := range []io.Closer{n.callers, n.inner, n.packets} {
		if c != nil {
			_ = c.Close()
		}
	}
}

// Handle sets the HTTP handler for callers and operators. It must be called
// before Run.
func (n *Node) Handle(h http.Handler) {
	n.server = &http.Server{
		Handler:           h,
		MaxHeaderBytes:    n.settings.Limits.HeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * time.Minute,
		ErrorLog:          nil,
	}
}

// Settings returns the settings of the node.
func (n *Node) Settings() setup.Settings { return n.settings }

// Ready reports whether the node accepts requests from callers.
func (n *Node) Ready() bool { return n.ready.Load() }

// State returns the lifecycle state of the node.
func (n *Node) State() life.NodeState { return n.life.State() }

// Config returns the configuration in effect.
func (n *Node) Config() *config.State { return n.syncer.Config() }

// Catalogue returns the newest snapshot of the archives.
func (n *Node) Catalogue() *layout.Catalogue { return n.syncer.Catalogue() }

// Gatherer returns the Prometheus gatherer of the node's metrics.
func (n *Node) Gatherer() prometheus.Gatherer { return n.registry }

// Addr returns the address for callers and operators.
func (n *Node) Addr() string { return n.callers.Addr().String() }

// InnerAddr returns the address for other nodes.
func (n *Node) InnerAddr() string { return n.inner.Addr().String() }

// GossipAddr returns the address for membership datagrams.
func (n *Node) GossipAddr() string { return n.packets.LocalAddr().String() }

// Started returns the start time of the process in milliseconds since 1970.
// Together with the name of the VM it identifies the incarnation.
func (n *Node) Started() int64 { return n.started.UnixMilli() }

func (n *Node) upstream(id string) (*layout.Upstream, bool) { return n.Catalogue().Upstream(id) }

func (n *Node) stateChanged(from, to life.NodeState) {
	n.log.Infof("node: %s went from %s to %s.", n.settings.VM, from, to)
	n.ready.Store(to == life.NodeReady)
}

// hostNetwork implements Network with the network of the host.
type hostNetwork struct{}

// Dial connects with a timeout of 1 s.
func (hostNetwork) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(ctx, network, addr)
}

func (hostNetwork) Listen(network, addr string) (net.Listener, error) {
	return net.Listen(network, addr)
}

func (hostNetwork) ListenPacket(network, addr string) (net.PacketConn, error) {
	return net.ListenPacket(network, addr)
}
