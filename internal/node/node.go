// Package node is one entry VM's process: it serves callers, fronts upstreams
// of its failure domain, takes part in membership, follows the configuration
// and owns a share of the idempotency keys.
//
//	n, err := node.New(settings, store)
//	n.Handle(api.New(n))
//	err = n.Run(ctx) // until ctx ends, then stops gracefully
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
	set     setup.Settings
	started time.Time
	log     *logrus.Logger
	network Network
	store   store.Store

	callers net.Listener
	inner   net.Listener
	packets net.PacketConn
	server  *http.Server

	life     *life.Node
	ready    atomic.Bool
	confs    *syncer.Syncer
	view     atomic.Pointer[roster.View]
	table    *route.Table
	tracker  *poison.Tracker
	front    *front.Front
	peers    *peer.Peers
	admit    *admission
	hedges   *budget.Budget
	rescues  *budget.Budget
	retries  *budget.Budget
	latency  sync.Map // archive name to *quant.Window
	members  *members
	holds    *submit.Executor
	remote   remoteRuns
	shunned  sync.Map // inner address to time.Time
	registry *prometheus.Registry
	metrics  *metrics
	random   *random.Source
	notices  chan peer.Notices
	requests atomic.Uint64

	work   context.Context
	stop   context.CancelFunc
	loaded chan struct{}
	tasks  tasks.Group
	secure secure
}

// Option changes a Node at construction.
type Option func(*Node)

// WithNetwork sets how connections are opened. The default is the machine's own.
func WithNetwork(network Network) Option { return func(n *Node) { n.network = network } }

// WithLog sets the log. The default writes to standard error.
func WithLog(log *logrus.Logger) Option { return func(n *Node) { n.log = log } }

// New opens the node's addresses. The node does nothing until Run.
func New(set setup.Settings, st store.Store, opts ...Option) (*Node, error) {
	n := &Node{
		set:      set,
		started:  time.Now(),
		log:      logrus.StandardLogger(),
		network:  hostNetwork{},
		store:    st,
		tracker:  poison.New(),
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
	if err := n.secure.load(set.TLS); err != nil {
		return nil, err
	}
	n.work, n.stop = context.WithCancel(context.Background())
	n.build()
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.members = newMembers(n)
	n.holds = submit.New(n.work, submit.Self{VM: set.VM, Started: n.Started()}, set.Leases, inside{n}, st)
	self := syncer.Self{VM: set.VM, Domain: set.FailureDomain, Addr: n.InnerAddr(), Peers: set.Peers}
	n.confs = syncer.New(self, inside{n}, st, syncer.WithLog(n.log), syncer.WithRandom(n.random), syncer.WithChanged(n.table.Update))
	n.metrics = newMetrics(n)
	n.rebuildView()
	return n, nil
}

// build makes the parts that need no address.
func (n *Node) build() {
	n.life = life.NewNode(n.lifeChanged)
	n.peers = peer.NewPeers(n.dialInner)
	n.table = route.New(rand.New(rand.NewPCG(n.set.Seed, n.random.Uint64())), route.WithPolicy(n.policy()))
	n.admit = newAdmission(n.set.Limits)
	n.front = front.New(n.upstream, n.tracker, n.frontOptions()...)
}

func (n *Node) frontOptions() []front.Option {
	r := n.set.Routing
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
	return append(opts, n.secure.frontOptions()...)
}

// slotsOf is how many slots of an upstream this node may use: all when it is
// the only front, or its share when every node calls upstreams itself.
func (n *Node) slotsOf(u *layout.Upstream) int {
	if n.set.Routing.Mode != modeShared {
		return u.Slots()
	}
	return max(u.Slots()/max(n.view.Load().Size(), 1), 1)
}

func (n *Node) policy() route.Policy {
	if n.set.Routing.Policy == "random" {
		return route.PolicyRandom
	}
	return route.PolicyLeastCost
}

func (n *Node) listen() error {
	var err error
	if n.callers, err = n.network.Listen("tcp", n.set.Listen.Caller); err != nil {
		return listenError("caller", n.set.Listen.Caller, err)
	}
	if n.inner, err = n.network.Listen("tcp", n.set.Listen.Inner); err != nil {
		return listenError("inner", n.set.Listen.Inner, err)
	}
	if n.packets, err = n.network.ListenPacket("udp", n.set.Listen.Gossip); err != nil {
		return listenError("gossip", n.set.Listen.Gossip, err)
	}
	n.callers = n.secure.listener(n.callers, n.secure.caller)
	n.inner = n.secure.listener(n.inner, n.secure.inner)
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

// Handle sets what serves the callers and operators.
func (n *Node) Handle(h http.Handler) {
	n.server = &http.Server{
		Handler:           h,
		MaxHeaderBytes:    n.set.Limits.HeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * time.Minute,
		ErrorLog:          nil,
	}
}

// Settings gives the node's settings.
func (n *Node) Settings() setup.Settings { return n.set }

// Ready tells whether the node takes requests of callers.
func (n *Node) Ready() bool { return n.ready.Load() }

// State is the node's stage of life.
func (n *Node) State() life.NodeState { return n.life.State() }

// Config gives the configuration in force.
func (n *Node) Config() *config.State { return n.confs.Config() }

// Catalogue gives the newest snapshot of the archives.
func (n *Node) Catalogue() *layout.Catalogue { return n.confs.Catalogue() }

// Gatherer gives the node's metrics.
func (n *Node) Gatherer() prometheus.Gatherer { return n.registry }

// Addr is the address for callers and operators.
func (n *Node) Addr() string { return n.callers.Addr().String() }

// InnerAddr is the address for other nodes.
func (n *Node) InnerAddr() string { return n.inner.Addr().String() }

// GossipAddr is the address for membership datagrams.
func (n *Node) GossipAddr() string { return n.packets.LocalAddr().String() }

// Started is when the process began, in milliseconds since 1970; with the VM's
// name it identifies this incarnation.
func (n *Node) Started() int64 { return n.started.UnixMilli() }

func (n *Node) upstream(id string) (*layout.Upstream, bool) { return n.Catalogue().Upstream(id) }

func (n *Node) lifeChanged(from, to life.NodeState) {
	n.log.Infof("node: %s went from %s to %s.", n.set.VM, from, to)
	n.ready.Store(to == life.NodeReady)
}

// hostNetwork uses the machine's own network.
type hostNetwork struct{}

// Dial, Listen and ListenPacket implement Network.
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
