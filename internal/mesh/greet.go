package mesh

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/pkg/member"
)

// isSeed tells whether the others begin with this node.
func (m *Mesh) isSeed() bool {
	return len(m.seeds) == 0 || slices.Contains(m.seeds, m.self.Addr)
}

// isNear tells whether the address is of a member of this failure domain.
func (m *Mesh) isNear(addr string) bool {
	for _, r := range m.domain() {
		if r.Addr == addr {
			return true
		}
	}
	return false
}

// alone tells whether no other member is known.
func (m *Mesh) alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.tracker.Records() {
		if r.VM != m.self.VM && r.Status < member.Dead {
			return false
		}
	}
	return true
}

// greet exchanges views with the seeds.
func (m *Mesh) greet() {
	for _, addr := range m.seeds {
		if addr != m.self.Addr {
			m.spawn(func(ctx context.Context) { m.exchangeNow(ctx, addr) })
		}
	}
}

// exchange compares whole views with a member, one at a time.
func (m *Mesh) exchange(addr string) {
	if !m.syncing.CompareAndSwap(false, true) {
		return
	}
	m.spawn(func(ctx context.Context) {
		defer m.syncing.Store(false)
		m.exchangeNow(ctx, addr)
	})
}

func (m *Mesh) exchangeNow(ctx context.Context, addr string) {
	var reply Views
	if err := m.peers.Call(ctx, addr, methodViews, &Views{Records: m.records()}, &reply); err != nil {
		m.log.WithFields(logrus.Fields{"peer": addr, "error": err.Error()}).Debug("mesh: views were not exchanged.")
		return
	}
	m.step(member.ViewReceived{Records: reply.Records})
	m.pullFirst()
}

func (m *Mesh) records() []member.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Records()
}
