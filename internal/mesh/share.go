package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/reader"
)

// State is what the nodes pass on to each other.
type State interface {
	// Revisions tells what this node knows.
	Revisions() Revisions
	// Merge applies what another node knows of a topic. It reports false when
	// changes in between are missing.
	Merge(t follow.Topic, b follow.Batch) bool
	// Since gives what a node lacks that knows a topic up to a revision.
	Since(t follow.Topic, revision uint64) follow.Batch
	// StoreAge is how old this node's last answer from the store is.
	StoreAge() time.Duration
	// StoreFailing is for how long the store has failed this node, 0 when it
	// answered the last call.
	StoreFailing() time.Duration
}

// heardBeat is a beat and when it came.
type heardBeat struct {
	beat beat
	at   time.Time
	// own is what this node has known since the time since.
	own   Revisions
	since time.Time
}

// stuck is for how long this node has not got what the beat's sender has.
func (h heardBeat) stuck(own Revisions, now time.Time) time.Duration {
	if own != h.own || own.covers(h.beat.Have) {
		return 0
	}
	return now.Sub(h.since)
}

func (m *Mesh) hear(b beat) {
	own, now := m.state.Revisions(), time.Now()
	m.mu.Lock()
	h := heardBeat{beat: b, at: now, own: own, since: now}
	if old, known := m.beats[b.VM]; known && old.stuck(own, now) > 0 {
		h.since = old.since
	}
	m.beats[b.VM] = h
	m.mu.Unlock()
	m.heard(b.Addr, b.Have)
}

// heardMember pulls from a member of another domain only when the own domain
// has no way to the store: bytes between domains cost more than a call.
func (m *Mesh) heardMember(h member.Heard) {
	if m.isNear(h.Addr) || m.BestStoreAge() > storeLost {
		m.heard(h.Addr, revisionsOf(h.Versions))
	}
}

// heard pulls what another node knows more than this one.
func (m *Mesh) heard(addr string, have Revisions) {
	own := m.state.Revisions()
	for _, t := range []follow.Topic{follow.Routes, follow.Upstreams} {
		if have.Of(t) > own.Of(t) {
			m.pull(addr, t)
		}
	}
}

// pull takes a whole topic from another node, one pull of a topic at a time.
func (m *Mesh) pull(addr string, t follow.Topic) {
	if !m.pulling[t].CompareAndSwap(false, true) {
		return
	}
	m.spawn(func(ctx context.Context) {
		defer m.pulling[t].Store(false)
		var reply PullReply
		args := Pull{Topic: t, Have: m.state.Revisions().Of(t)}
		if err := m.peers.Call(ctx, addr, methodPull, &args, &reply); err != nil {
			m.log.WithFields(logrus.Fields{"peer": addr, "topic": t.String(), "error": err.Error()}).Debug("mesh: pull failed.")
			return
		}
		if reply.Batch != nil {
			m.state.Merge(t, *reply.Batch)
		}
	})
}

// Publish passes changes on to the other nodes of the domain.
func (m *Mesh) Publish(t follow.Topic, b follow.Batch) {
	for _, r := range m.domain() {
		m.spawn(func(ctx context.Context) {
			if err := m.peers.Call(ctx, r.Addr, methodPush, &Push{Topic: t, Batch: b}, &Empty{}); err != nil {
				m.log.WithFields(logrus.Fields{"peer": r.VM, "topic": t.String(), "error": err.Error()}).Debug("mesh: push failed.")
			}
		})
	}
}

// decide settles whether this node reads the store.
func (m *Mesh) decide() {
	now := time.Now()
	peers := m.readers(now)
	if reader.Heard(m.self.VM, peers) {
		m.heardReader = now
	}
	var names []string
	for _, r := range m.domain() {
		names = append(names, r.VM)
	}
	reads := reader.Decide(m.self.VM, names, peers, now.Sub(m.heardReader))
	if m.reads.Swap(reads) != reads {
		m.log.WithFields(logrus.Fields{"reads": reads, "members": len(names), "readers": len(peers)}).Info("mesh: changed who reads the store.")
	}
}

// readers lists the nodes of the domain that have sent beats.
func (m *Mesh) readers(now time.Time) []reader.Peer {
	own := m.state.Revisions()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []reader.Peer
	for name, b := range m.beats {
		if now.Sub(b.at) > forgetBeats {
			delete(m.beats, name)
			continue
		}
		list = append(list, reader.Peer{
			Name: name, Silent: now.Sub(b.at), StoreAge: b.beat.StoreAge, Failing: b.beat.StoreFailing, Stuck: b.stuck(own, now),
		})
	}
	return list
}

// BestStoreAge is how old the newest answer from the store is that this node
// or the reader of its domain has.
func (m *Mesh) BestStoreAge() time.Duration {
	best := m.state.StoreAge()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.beats {
		best = min(best, b.beat.StoreAge+now.Sub(b.at))
	}
	return best
}

// beatIfDue sends beats while this node reads, and at once when the store turns
// out to fail it or to answer again.
func (m *Mesh) beatIfDue(now time.Time) {
	failing := m.state.StoreFailing() >= reader.FailingAfter
	if !m.ReadsStore() || (now.Sub(m.beaten) < reader.BeatEvery && failing == m.saidFailing) {
		return
	}
	m.beaten, m.saidFailing = now, failing
	m.sendBeats()
}

// sendBeats tells the domain what this node has.
func (m *Mesh) sendBeats() {
	b := beat{
		VM: m.self.VM, Addr: m.self.Addr, Have: m.state.Revisions(),
		StoreAge: m.state.StoreAge(), StoreFailing: m.state.StoreFailing(),
	}
	for _, r := range m.domain() {
		m.send(r.Gossip, datagram{Beat: &b})
	}
}

// pullFirst asks another node of the domain for all that it knows, once this node
// has met the others and knows nothing yet.
func (m *Mesh) pullFirst() {
	near := m.domain()
	if m.state.Revisions() != (Revisions{}) || len(near) == 0 {
		return
	}
	r := near[rand.IntN(len(near))]
	m.pull(r.Addr, follow.Routes)
	m.pull(r.Addr, follow.Upstreams)
}
