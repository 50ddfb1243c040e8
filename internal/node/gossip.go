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
	gossipInterval      = 25 * time.Millisecond
	maxDatagram         = 16 << 10
	viewsTimeout        = 2 * time.Second
	viewRefreshInterval = 500 * time.Millisecond
	vmListInterval      = time.Second
)

// members runs the membership state machine over the node's UDP socket.
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
		VM:      n.settings.VM,
		Domain:  n.settings.FailureDomain,
		Addr:    n.InnerAddr(),
		Gossip:  n.GossipAddr(),
		Caller:  n.Addr(),
		Started: n.Started(),
	}
	source := rand.New(rand.NewPCG(n.settings.Seed, n.random.Uint64()))
	return &members{node: n, tracker: member.New(self, source)}
}

// snapshot returns a copy of the records and a function that reports whether a
// domain is reachable.
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

// step passes one event to the state machine and executes the resulting actions.
func (m *members) step(ev member.Event) {
	m.mu.Lock()
	m.tracker.SetVersions(m.node.syncer.Versions())
	actions := append([]member.Action(nil), m.tracker.Step(ev)...)
	m.mu.Unlock()
	changed := false
	for _, a := range actions {
		switch a := a.(type) {
		case member.Send:
			m.send(a)
		case member.Sync:
			m.startExchange(a.Addr)
		case member.Changed:
			changed = true
		case member.PeerVersions:
			m.node.syncer.PullIfNewer(a)
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
	data = m.node.credentials.gossip.Seal(data)
	m.bytesOut.Add(int64(len(data)))
	m.messages.Add(1)
	_, _ = m.node.packets.WriteTo(data, addr)
}

// startExchange exchanges complete views with a peer in the background, unless an
// exchange is already running.
func (m *members) startExchange(addr string) {
	if !m.syncing.CompareAndSwap(false, true) {
		return
	}
	m.node.spawn(func() {
		defer m.syncing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), viewsTimeout)
		defer cancel()
		_ = m.exchangeViews(ctx, addr)
	})
}

func (m *members) exchangeViews(ctx context.Context, addr string) error {
	records, _ := m.snapshot()
	var reply peer.Views
	args := peer.Views{Records: records, Notices: m.node.front.Notices()}
	if err := m.node.peers.Call(ctx, addr, peer.MethodViews, &args, &reply); err != nil {
		return err
	}
	m.node.front.ApplyNotices(reply.Notices)
	m.step(member.ViewReceived{Records: reply.Records})
	return nil
}

// receive processes datagrams until the socket is closed.
func (m *members) receive() error {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := m.node.packets.ReadFrom(buffer)
		if err != nil {
			return nil
		}
		var msg member.Message
		data, err := m.node.credentials.gossip.Unseal(buffer[:size])
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

// run drives the timers of the state machine and rebuilds the view on changes
// until ctx ends.
func (m *members) run(ctx context.Context) error {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	refreshed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.step(member.Tick{})
		}
		if m.changed.Swap(false) || time.Since(refreshed) > viewRefreshInterval && m.reachabilityChanged() {
			refreshed = time.Now()
			m.node.rebuildView()
		}
	}
}

// reachabilityChanged reports whether a domain has become reachable or
// unreachable, or the exclusion of a node has expired.
func (m *members) reachabilityChanged() bool {
	v := m.node.view.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.ReachabilityChanged(m.tracker.Reachable) {
		return true
	}
	expired := false
	m.node.excluded.Range(func(addr, _ any) bool {
		expired = expired || !m.node.isExcluded(addr.(string))
		return !expired
	})
	return expired
}

// applyVMList processes the VM list of the platform: it contacts new members and
// broadcasts the drain of upstreams that are leaving.
func (m *members) applyVMList(vms []store.VM) {
	var records []member.Record
	var notices peer.Notices
	for _, vm := range vms {
		switch vm.Role {
		case store.RoleEntry:
			if vm.Name != m.node.settings.VM && vm.Addr != "" && !vm.Leaving {
				records = append(records, member.Record{VM: vm.Name, Domain: vm.Domain, Addr: vm.Addr, Started: vm.Started})
			}
		case store.RoleUpstream:
			if vm.Leaving && !m.node.front.Draining(vm.Name) {
				notices.Drains = append(notices.Drains, peer.Drain{Upstream: vm.Name, Started: vm.Started})
			}
		}
	}
	m.contactNew(records)
	if len(notices.Drains) > 0 {
		m.node.front.ApplyNotices(notices)
		m.node.broadcast(notices)
	}
}

// contactNew exchanges views with up to three of the listed members of which this
// node has no record, or only that of an earlier incarnation. The list contains only
// the addresses for other nodes; the exchange returns the complete records.
func (m *members) contactNew(listed []member.Record) {
	records, _ := m.snapshot()
	have := make(map[string]int64, len(records))
	for _, r := range records {
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
		err := m.exchangeViews(ctx, addr)
		cancel()
		if err != nil {
			m.node.log.Debugf("member: exchanging views with %s failed: %v.", addr, err)
		}
	}
}

// pollVMList polls the VM list of the platform while this node is one of those
// that watch the store on behalf of their failure domain.
func (m *members) pollVMList(ctx context.Context) error {
	for ctx.Err() == nil {
		if m.node.syncer.Watching() {
			vms, err := m.node.store.VMs(ctx)
			if err == nil {
				m.step(member.PlatformReachable{})
				m.applyVMList(vms)
			}
		}
		tasks.Sleep(ctx, m.node.random.Jitter(vmListInterval))
	}
	return nil
}
