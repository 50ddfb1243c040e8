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

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/advice"
	"geraniumstep.org/geraniumstep/pkg/allot"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/quota"
)

const (
	// tickInterval is how often the membership protocol advances. Its probes
	// are about a second apart, so a coarse step is enough.
	tickInterval = 100 * time.Millisecond
	// probePeriod, probeTimeout and suspicionTimeout are longer than the
	// defaults, because a busy VM may stall for some hundred milliseconds.
	probePeriod      = 800 * time.Millisecond
	probeTimeout     = 400 * time.Millisecond
	suspicionTimeout = 2 * time.Second
	// startupDelay is how long a node that has just started waits for state
	// from the others before it reads the store itself. It covers two round
	// trips to another region and the start-up of a peer. When the tier starts
	// for the first time there are no callers yet, so all other nodes wait for
	// the seeds to start and read the store, for firstStartDelay.
	startupDelay    = 250 * time.Millisecond
	firstStartDelay = 1200 * time.Millisecond
	// remoteProbePeriods is the number of probe periods between probes of
	// other failure domains. A larger number saves traffic between domains. The
	// view of their members may then lag by some seconds, which is acceptable
	// because nodes also choose among them by the results of their calls.
	remoteProbePeriods = 4
	// joinInterval is how often the seeds are contacted while no other node is
	// known. After a power loss nodes start within a second or two of each other.
	joinInterval = 300 * time.Millisecond
	// callTimeout bounds calls between nodes that exchange state.
	callTimeout      = 1500 * time.Millisecond
	maxDatagramBytes = 16 << 10
	// storeStaleAfter is the age of the domain's newest reply from the store
	// beyond which state is pulled from other domains. The next reader of the
	// domain takes over before that.
	storeStaleAfter = 3500 * time.Millisecond
	// remoteSyncDivisor is how many times less often full views are exchanged
	// with members of other failure domains than within the domain. Updates are
	// sent with the probes, regardless of these exchanges.
	remoteSyncDivisor = 8
	// heartbeatRetention is how long after its last heartbeat a node is listed
	// as a reader.
	heartbeatRetention = time.Minute
)

// Mesh connects one node to the other nodes of the tier.
type Mesh struct {
	self     member.Record
	listener net.Listener
	packets  net.PacketConn
	seeds    []string
	// startupDelay is how long a node that is not a seed waits before it may
	// read the store.
	startupDelay time.Duration
	state        State
	log          *logrus.Entry
	// peers carries the exchange of state, and calls the calls of WithService, which must
	// not wait behind large messages.
	peers, calls *peer.Peers
	server       *rpc.Server
	changed      func(records []member.Record)
	evidence     Evidence
	learnLimit   func(quota.News) bool
	learnLeaving func(advice.News) bool
	learnCold    func(quota.ColdNews) bool
	learnPaces   func(data []byte) bool
	// receivePledge and receiveAck receive what concerns the allotments of workspaces.
	receivePledge func(allot.Pledge)
	receiveAck    func(allot.Ack)

	mu         sync.Mutex
	tracker    *member.Tracker
	heartbeats map[string]receivedHeartbeat
	conns      map[net.Conn]bool

	// evacuations is whether this node follows the evacuations.
	evacuations bool
	readsStore  atomic.Bool
	// readsEvacuations is whether it reads them, which it also does while the readers of its
	// domain are of older builds that do not.
	readsEvacuations atomic.Bool
	// heardAt is when the last datagram of another node arrived, in nanoseconds
	// since 1970.
	heardAt atomic.Int64
	// readerSeen is when a heartbeat of an up-to-date reader was last
	// available. Only Run uses it.
	readerSeen time.Time
	// evacuationReaderSeen is the same for readers that follow the evacuations.
	evacuationReaderSeen time.Time
	// lastHeartbeat is when the last heartbeat was sent, reportedFailing whether it
	// reported the store as failing, and reportedReply the reply of the store that it
	// reported. Only Run uses them.
	lastHeartbeat   time.Time
	reportedFailing bool
	reportedReply   time.Time
	// lastAsk is when other failure domains were last asked for replies of the store.
	// Only Run uses it.
	lastAsk time.Time
	started time.Time
	// lastExchange is when crash reports were last exchanged. Only Run uses it.
	lastExchange time.Time
	pulling      [follow.TopicCount]atomic.Bool
	syncing      atomic.Bool
	tasks        tasks.Group
	work         context.Context
	stop         context.CancelFunc
}

// Option configures a Mesh at construction.
type Option func(*Mesh)

// WithSeeds sets the addresses of the nodes to contact at start-up. The default
// is none.
func WithSeeds(addresses []string) Option { return func(m *Mesh) { m.seeds = addresses } }

// WithFirstStart sets whether all nodes of the tier start for the first time.
// The default is no.
func WithFirstStart(yes bool) Option {
	return func(m *Mesh) {
		if yes {
			m.startupDelay = firstStartDelay
		}
	}
}

// WithEvacuations sets whether the node follows the evacuations. The default is no.
func WithEvacuations(yes bool) Option { return func(m *Mesh) { m.evacuations = yes } }

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Entry) Option { return func(m *Mesh) { m.log = log } }

// WithChanged sets a function that is called with all member records after the
// membership has changed.
func WithChanged(f func(records []member.Record)) Option { return func(m *Mesh) { m.changed = f } }

// WithService registers another net/rpc service that the nodes provide to each
// other.
func WithService(name string, receiver any) Option {
	return func(m *Mesh) {
		if err := m.server.RegisterName(name, receiver); err != nil {
			panic(err) // programming error
		}
	}
}

// New returns a mesh that uses a listener and a datagram socket. Run closes both.
func New(self member.Record, l net.Listener, packets net.PacketConn, state State, dial peer.Dial, opts ...Option) *Mesh {
	m := &Mesh{
		self: self, listener: l, packets: packets, state: state,
		log: logrus.NewEntry(logrus.StandardLogger()), peers: peer.NewPeers(dial), calls: peer.NewPeers(dial), server: rpc.NewServer(),
		startupDelay: startupDelay, changed: func([]member.Record) {}, learnLimit: func(quota.News) bool { return false }, learnLeaving: func(advice.News) bool { return false }, learnCold: func(quota.ColdNews) bool { return false }, learnPaces: func([]byte) bool { return false },
		receivePledge: func(allot.Pledge) {}, receiveAck: func(allot.Ack) {}, heartbeats: make(map[string]receivedHeartbeat), conns: make(map[net.Conn]bool),
	}
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m.tracker = member.New(self, source,
		member.WithPeriod(probePeriod), member.WithTimeout(probeTimeout), member.WithSuspicion(suspicionTimeout),
		member.WithRemoteInterval(remoteProbePeriods))
	m.work, m.stop = context.WithCancel(context.Background())
	WithService(service, &methods{mesh: m})(m)
	for _, opt := range opts {
		opt(m)
	}
	m.started = time.Now()
	m.readerSeen = m.started
	if !m.isSeed() {
		m.readerSeen = m.readerSeen.Add(m.startupDelay)
	}
	m.evacuationReaderSeen = m.readerSeen
	return m
}

// ReadsStore reports whether this node reads the platform's store.
func (m *Mesh) ReadsStore() bool { return m.readsStore.Load() }

// ReadsEvacuations reports whether this node reads the evacuations from the platform's store.
func (m *Mesh) ReadsEvacuations() bool { return m.readsEvacuations.Load() }

// HeardSince reports whether a datagram of another node has arrived since the time.
func (m *Mesh) HeardSince(t time.Time) bool { return time.Unix(0, m.heardAt.Load()).After(t) }

// Call calls a method of the node at the address.
func (m *Mesh) Call(ctx context.Context, addr, method string, args, reply any) error {
	return m.calls.Call(ctx, addr, method, args, reply)
}

// Run serves the other nodes until the context is done.
func (m *Mesh) Run(ctx context.Context) error {
	go m.receive()
	go m.accept()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastJoin := time.Time{}
	for {
		now := time.Now()
		if m.hasNoPeers() && now.Sub(lastJoin) >= joinInterval {
			lastJoin = now
			m.contactSeeds()
		}
		m.updateReader()
		m.heartbeatIfDue(now)
		m.askIfDue(now)
		m.exchangeIfDue(now)
		select {
		case <-ctx.Done():
			m.close()
			return nil
		case <-ticker.C:
			m.step(member.Tick{})
		}
	}
}

// Leave announces to the other nodes that this node takes no more work. The node
// continues to serve calls until Run returns.
func (m *Mesh) Leave() { m.step(member.Leave{}) }

// close announces that the node leaves and closes all connections.
func (m *Mesh) close() {
	m.step(member.Leave{})
	m.stop()
	_ = m.packets.Close()
	_ = m.listener.Close()
	m.peers.Close()
	m.calls.Close()
	m.mu.Lock()
	for c := range m.conns {
		_ = c.Close()
	}
	m.mu.Unlock()
	m.tasks.Wait()
}

// step passes an event to the membership tracker and executes the resulting
// actions.
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
			if m.inLocalDomain(a.Addr) || rand.IntN(remoteSyncDivisor) == 0 {
				m.startExchange(a.Addr)
			}
		case member.PeerVersions:
			m.handleVersions(a)
		case member.Changed:
		}
	}
	if records != nil {
		m.changed(records)
	}
}

// send sends one datagram. The protocol repeats lost datagrams.
func (m *Mesh) send(addr string, d datagram) {
	data, err := msgpack.Marshal(&d)
	if err != nil {
		m.log.WithField("error", err.Error()).Warn("mesh: failed to encode message.")
		return
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return // the member has not announced an address yet
	}
	_, _ = m.packets.WriteTo(data, to)
}

// receive reads and handles datagrams until the socket is closed.
func (m *Mesh) receive() {
	buffer := make([]byte, maxDatagramBytes)
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
			continue // not a message of a node
		}
		m.heardAt.Store(time.Now().UnixNano())
		if d.Message != nil {
			m.step(member.Received{Message: *d.Message})
		}
		if d.Heartbeat != nil {
			m.receiveHeartbeat(*d.Heartbeat)
		}
		if d.Crashes != nil {
			m.receiveReports(*d.Crashes)
		}
		if d.Limit != nil {
			m.receiveLimit(*d.Limit)
		}
		if d.Leaving != nil {
			m.receiveLeaving(*d.Leaving)
		}
		if d.Cold != nil {
			m.receiveCold(*d.Cold)
		}
		if d.Paces != nil {
			m.receivePaces(*d.Paces)
		}
		if d.Pledge != nil {
			m.receivePledge(*d.Pledge)
		}
		if d.Ack != nil {
			m.receiveAck(*d.Ack)
		}
	}
}

// spawn runs f in the background. Its context ends after callTimeout or when the
// mesh is closed.
func (m *Mesh) spawn(f func(ctx context.Context)) {
	m.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(m.work, callTimeout)
		defer cancel()
		f(ctx)
	})
}

// domainMembers returns the other live members of this failure domain.
func (m *Mesh) domainMembers() []member.Record {
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
