package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/store"
)

const (
	gossipTick     = 25 * time.Millisecond
	maxDatagram    = 16 << 10
	viewsTimeout   = 2 * time.Second
	viewRefresh    = 500 * time.Millisecond
	vmListInterval = time.Second
)

// members runs the membership state machine on the node's datagram socket.
type members struct {
	node *Node

	mu      sync.Mutex
	tracker *member.Tracker

	bytesOut atomic.Int64
	messages atomic.Int64
	syncing  atomic.Bool
	changed  atomic.Bool
}

func newMembers(n *Node) *members {
	self := member.Record{
		VM:      n.set.VM,
		Domain:  n.set.FailureDomain,
		Addr:    n.InnerAddr(),
		Gossip:  n.GossipAddr(),
		Caller:  n.Addr(),
		Started: n.Started(),
	}
	source := rand.New(rand.NewPCG(n.set.Seed, n.random.Uint64()))
	return &members{node: n, tracker: member.New(self, source)}
}

// snapshot copies the records and a test for reachable domains.
func (m *members) snapshot() ([]member.Record, func(string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := m.tracker.Records()
	reach := make(map[string]bool)
	for _, r := range records {
		reach[r.Domain] = m.tracker.Reachable(r.Domain)
	}
	return records, func(domain string) bool { return reach[domain] }
}

// step feeds one event to the state machine and carries out its actions.
func (m *members) step(ev member.Event) {
	m.mu.Lock()
	m.tracker.SetVersions(m.node.confs.Versions())
	actions := append([]member.Action(nil), m.tracker.Step(ev)...)
	m.mu.Unlock()
	changed := false
	for _, a := range actions {
		switch a := a.(type) {
		case member.Send:
			m.send(a)
		case member.Sync:
			m.exchange(a.Addr)
		case member.Changed:
			changed = true
		case member.PeerVersions:
			m.node.confs.PullIfNewer(a)
		}
	}
	if changed {
		m.changed.Store(true)
	}
}

func (m *members) send(s member.Send) {
	data, err := msgpack.Marshal(s.Message)
	if err != nil {
		return
	}
	addr, err := net.ResolveUDPAddr("udp", s.Addr)
	if err != nil {
		return
	}
	data = m.node.secure.gossip.Seal(data)
	m.bytesOut.Add(int64(len(data)))
	m.messages.Add(1)
	_, _ = m.node.packets.WriteTo(data, addr)
}

// exchange compares whole views with a peer in the background.
func (m *members) exchange(addr string) {
	if !m.syncing.CompareAndSwap(false, true) {
		return
	}
	m.node.goServe(func() {
		defer m.syncing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), viewsTimeout)
		defer cancel()
		_ = m.exchangeNow(ctx, addr)
	})
}

func (m *members) exchangeNow(ctx context.Context, addr string) error {
	records, _ := m.snapshot()
	var reply peer.Views
	args := peer.Views{Records: records, Notices: m.node.front.Notices()}
	if err := m.node.peers.Call(ctx, addr, peer.MethodViews, &args, &reply); err != nil {
		return err
	}
	m.node.front.Notice(reply.Notices)
	m.step(member.ViewReceived{Records: reply.Records})
	return nil
}

// receive reads datagrams until the socket is closed.
func (m *members) receive() error {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := m.node.packets.ReadFrom(buffer)
		if err != nil {
			return nil
		}
		var msg member.Message
		data, err := m.node.secure.gossip.Unseal(buffer[:size])
		if err == nil {
			err = msgpack.Unmarshal(data, &msg)
		}
		if err != nil {
			m.node.metrics.malformed.Inc()
			continue
		}
		m.step(member.Received{Message: msg})
	}
}

// run lets time pass for the state machine until the context ends.
func (m *members) run(ctx context.Context) error {
	ticker := time.NewTicker(gossipTick)
	defer ticker.Stop()
	refreshed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.step(member.Tick{})
		}
		if m.changed.Swap(false) || time.Since(refreshed) > viewRefresh && m.reachChanged() {
			refreshed = time.Now()
			m.node.rebuildView()
		}
	}
}

// reachChanged tells whether a domain has become reachable or unreachable, or
// a node that was routed around may be tried again.
func (m *members) reachChanged() bool {
	v := m.node.view.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.ReachabilityChanged(m.tracker.Reachable) {
		return true
	}
	stale := false
	m.node.shunned.Range(func(addr, _ any) bool {
		stale = stale || !m.node.shuns(addr.(string))
		return !stale
	})
	return stale
}

// listed takes the platform's list: new members to greet, and upstreams that leave.
func (m *members) listed(vms []store.VM) {
	var records []member.Record
	var notices peer.Notices
	for _, vm := range vms {
		switch vm.Role {
		case store.RoleEntry:
			if vm.Name != m.node.set.VM && vm.Addr != "" && !vm.Leaving {
				records = append(records, member.Record{VM: vm.Name, Domain: vm.Domain, Addr: vm.Addr, Started: vm.Started})
			}
		case store.RoleUpstream:
			if vm.Leaving && !m.node.front.Drains(vm.Name) {
				notices.Drains = append(notices.Drains, peer.Drain{Upstream: vm.Name, Started: vm.Started})
			}
		}
	}
	m.greet(records)
	if len(notices.Drains) > 0 {
		m.node.front.Notice(notices)
		m.node.broadcast(notices)
	}
}

// greet exchanges views with a few listed members that are not known. The
// list names their inner address; the exchange brings the rest.
func (m *members) greet(listed []member.Record) {
	known, _ := m.snapshot()
	have := make(map[string]int64, len(known))
	for _, r := range known {
		have[r.VM] = r.Started
	}
	var fresh []string
	for _, r := range listed {
		if started, ok := have[r.VM]; !ok || started < r.Started {
			fresh = append(fresh, r.Addr)
		}
	}
	for _, addr := range m.node.random.Pick(fresh, 3) {
		ctx, cancel := context.WithTimeout(context.Background(), viewsTimeout)
		err := m.exchangeNow(ctx, addr)
		cancel()
		if err != nil {
			m.node.log.Debugf("member: views were not exchanged with %s: %v.", addr, err)
		}
	}
}

// followList reads the platform's list of VMs while this node is a watcher.
func (m *members) followList(ctx context.Context) error {
	for ctx.Err() == nil {
		if m.node.confs.Watching() {
			vms, err := m.node.store.VMs(ctx)
			if err == nil {
				m.step(member.PlatformReachable{})
				m.listed(vms)
			}
		}
		tasks.Sleep(ctx, m.node.random.Jitter(vmListInterval))
	}
	return nil
}
