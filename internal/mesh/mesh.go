package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/member"
)

const (
	// tick drives the membership's time. Its probes are a second apart, so
	// coarse steps do.
	tick = 100 * time.Millisecond
	// probePeriod, probeTimeout and suspicion are slower than the defaults:
	// a busy VM may stand still for some hundred milliseconds.
	probePeriod  = 800 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	suspicion    = 2 * time.Second
	// startWait is how long a node that has just started waits for the others
	// to tell what they know, before it reads the store itself: two round trips
	// to another region and a start of theirs. When the whole tier starts for the
	// first time there are no callers yet, and all wait for the seeds.
	startWait      = 250 * time.Millisecond
	firstStartWait = 1200 * time.Millisecond
	// remoteEvery spares bytes between domains: membership of other domains
	// may lag by some seconds, calls to their nodes show more.
	remoteEvery = 4
	// greetEvery is how often seeds are tried while no other node is known. After
	// a power loss nodes start within a second or two of each other.
	greetEvery = 300 * time.Millisecond
	// callTimeout bounds calls between nodes that carry state.
	callTimeout = 1500 * time.Millisecond
	maxDatagram = 16 << 10
	// storeLost is the age of the domain's newest answer from the store at
	// which other domains are asked; a reader's turn comes before that.
	storeLost = 3500 * time.Millisecond
	// farSyncs is how many times as often whole views are compared within a
	// failure domain as between two; news travels on the probes in any case.
	farSyncs = 8
	// forgetBeats is when a node that no longer reads is forgotten as a reader.
	forgetBeats = time.Minute
)

// Mesh is one node's connection to the others.
type Mesh struct {
	self     member.Record
	listener net.Listener
	packets  net.PacketConn
	seeds    []string
	// startWait is how long a node that is no seed waits before it reads.
	startWait time.Duration
	state     State
	log       *logrus.Entry
	peers     *peer.Peers
	server    *rpc.Server
	changed   func(records []member.Record)

	mu      sync.Mutex
	tracker *member.Tracker
	beats   map[string]heardBeat
	conns   map[net.Conn]bool

	reads atomic.Bool
	// heardReader is when a fresh reader was last heard; only Run uses it.
	heardReader time.Time
	// beaten is when the last beat was sent, and saidFailing what it said of
	// the store; only Run uses them.
	beaten      time.Time
	saidFailing bool
	pulling     [2]atomic.Bool
	syncing     atomic.Bool
	tasks       tasks.Group
	work        context.Context
	stop        context.CancelFunc
}

// Option changes a Mesh at construction.
type Option func(*Mesh)

// WithSeeds sets addresses of other nodes to begin with. The default is none.
func WithSeeds(addresses []string) Option { return func(m *Mesh) { m.seeds = addresses } }

// WithFirstStart tells that all nodes start for the first time. The default is no.
func WithFirstStart(yes bool) Option {
	return func(m *Mesh) {
		if yes {
			m.startWait = firstStartWait
		}
	}
}

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Entry) Option { return func(m *Mesh) { m.log = log } }

// WithChanged sets a function that is called with all members after a change.
func WithChanged(f func(records []member.Record)) Option { return func(m *Mesh) { m.changed = f } }

// WithService registers the methods of another service that nodes call.
func WithService(name string, receiver any) Option {
	return func(m *Mesh) {
		if err := m.server.RegisterName(name, receiver); err != nil {
			panic(err) // a mistake of the program
		}
	}
}

// New returns a mesh on a listener and a datagram socket, which Run closes.
func New(self member.Record, l net.Listener, packets net.PacketConn, state State, dial peer.Dial, opts ...Option) *Mesh {
	m := &Mesh{
		self: self, listener: l, packets: packets, state: state,
		log: logrus.NewEntry(logrus.StandardLogger()), peers: peer.NewPeers(dial), server: rpc.NewServer(),
		startWait: startWait, changed: func([]member.Record) {}, beats: make(map[string]heardBeat), conns: make(map[net.Conn]bool),
	}
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m.tracker = member.New(self, source,
		member.WithPeriod(probePeriod), member.WithTimeout(probeTimeout), member.WithSuspicion(suspicion),
		member.WithRemoteEvery(remoteEvery))
	m.work, m.stop = context.WithCancel(context.Background())
	WithService(service, &methods{mesh: m})(m)
	for _, opt := range opts {
		opt(m)
	}
	m.heardReader = time.Now()
	if !m.isSeed() {
		m.heardReader = m.heardReader.Add(m.startWait)
	}
	return m
}

// ReadsStore tells whether this node reads the store.
func (m *Mesh) ReadsStore() bool { return m.reads.Load() }

// Call calls a method of the node at the address.
func (m *Mesh) Call(ctx context.Context, addr, method string, args, reply any) error {
	return m.peers.Call(ctx, addr, method, args, reply)
}

// Run serves the other nodes until the context ends.
func (m *Mesh) Run(ctx context.Context) error {
	go m.receive()
	go m.accept()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	greeted := time.Time{}
	for {
		now := time.Now()
		if m.alone() && now.Sub(greeted) >= greetEvery {
			greeted = now
			m.greet()
		}
		m.decide()
		m.beatIfDue(now)
		select {
		case <-ctx.Done():
			m.close()
			return nil
		case <-ticker.C:
			m.step(member.Tick{})
		}
	}
}

// Leave tells the others that this node takes no more work. It goes on serving
// calls until Run ends.
func (m *Mesh) Leave() { m.step(member.Leave{}) }

// close says farewell and ends all connections.
func (m *Mesh) close() {
	m.step(member.Leave{})
	m.stop()
	_ = m.packets.Close()
	_ = m.listener.Close()
	m.peers.Close()
	m.mu.Lock()
	for c := range m.conns {
		_ = c.Close()
	}
	m.mu.Unlock()
	m.tasks.Wait()
}

// step feeds the membership and carries out its actions.
func (m *Mesh) step(ev member.Event) {
	m.mu.Lock()
	m.tracker.SetVersions(m.state.Revisions().versions())
	actions := append([]member.Action(nil), m.tracker.Step(ev)...)
	var records []member.Record
	for _, a := range actions {
		if _, ok := a.(member.Changed); ok {
			records = m.tracker.Records()
			break
		}
	}
	m.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case member.Send:
			m.send(a.Addr, datagram{Message: &a.Message})
		case member.Sync:
			if m.isNear(a.Addr) || rand.IntN(farSyncs) == 0 {
				m.exchange(a.Addr)
			}
		case member.Heard:
			m.heardMember(a)
		case member.Changed:
		}
	}
	if records != nil {
		m.changed(records)
	}
}

// send sends one datagram. One that is lost is sent again by the protocol.
func (m *Mesh) send(addr string, d datagram) {
	data, err := msgpack.Marshal(&d)
	if err != nil {
		m.log.WithField("error", err.Error()).Warn("mesh: message could not be encoded.")
		return
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return // a member that has announced no address yet
	}
	_, _ = m.packets.WriteTo(data, to)
}

// receive reads datagrams until the socket is closed.
func (m *Mesh) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := m.packets.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var d datagram
		if err := msgpack.Unmarshal(buffer[:n], &d); err != nil {
			continue // not from a node
		}
		if d.Message != nil {
			m.step(member.Received{Message: *d.Message})
		}
		if d.Beat != nil {
			m.hear(*d.Beat)
		}
	}
}

// spawn runs a call in the background until the mesh is closed.
func (m *Mesh) spawn(f func(ctx context.Context)) {
	m.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(m.work, callTimeout)
		defer cancel()
		f(ctx)
	})
}

// domain lists the other live members of this failure domain.
func (m *Mesh) domain() []member.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []member.Record
	for _, r := range m.tracker.Records() {
		if r.Domain == m.self.Domain && r.VM != m.self.VM && r.Status < member.Dead && r.Addr != "" {
			list = append(list, r)
		}
	}
	return list
}
