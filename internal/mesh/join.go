package mesh

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/pkg/member"
)

// isSeed reports whether other nodes contact this node at start-up. A node without
// seeds counts as one, because it has no other node to wait for.
func (m *Mesh) isSeed() bool {
	return len(m.seeds) == 0 || slices.Contains(m.seeds, m.self.Addr)
}

// inLocalDomain reports whether the address belongs to another live member of
// this failure domain.
func (m *Mesh) inLocalDomain(addr string) bool {
	for _, r := range m.domainMembers() {
		if r.Addr == addr {
			return true
		}
	}
	return false
}

// hasNoPeers reports whether no other live member is known.
func (m *Mesh) hasNoPeers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.tracker.Records() {
		if r.VM != m.self.VM && r.Status < member.Dead {
			return false
		}
	}
	return true
}

// contactSeeds exchanges membership views with all seeds.
func (m *Mesh) contactSeeds() {
	for _, addr := range m.seeds {
		if addr != m.self.Addr {
			m.spawn(func(ctx context.Context) { m.exchangeViews(ctx, addr) })
		}
	}
}

// startExchange exchanges full membership views with a member in the background.
// It does nothing while another exchange is running.
func (m *Mesh) startExchange(addr string) {
	if !m.syncing.CompareAndSwap(false, true) {
		return
	}
	m.spawn(func(ctx context.Context) {
		defer m.syncing.Store(false)
		m.exchangeViews(ctx, addr)
	})
}

// exchangeViews sends this node's view to the address and merges the reply.
func (m *Mesh) exchangeViews(ctx context.Context, addr string) {
	var reply Views
	if err := m.peers.Call(ctx, addr, methodViews, &Views{Records: m.records()}, &reply); err != nil {
		m.log.WithFields(logrus.Fields{"peer": addr, "error": err.Error()}).Debug("mesh: failed to exchange views.")
		return
	}
	m.step(member.ViewReceived{Records: reply.Records})
	m.pullInitial()
}

func (m *Mesh) records() []member.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Records()
}
