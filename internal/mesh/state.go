package mesh

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/outage"
	"geraniumstep.org/geraniumstep/pkg/reader"
)

// State is the copy of the platform's store that the nodes replicate to each
// other.
type State interface {
	// Revisions returns the revisions that this node has.
	Revisions() Revisions
	// Merge applies a batch that another node has sent. It reports false when
	// changes before the batch are missing.
	Merge(t follow.Topic, b follow.Batch) bool
	// Since returns the batch that brings a node at the given revision of a
	// topic up to date.
	Since(t follow.Topic, revision uint64) follow.Batch
	// StoreAge returns the time since the store last answered this node about the topic
	// that it was answered about longest ago, and StoreReplyAge about any topic.
	StoreAge() time.Duration
	StoreReplyAge() time.Duration
	// StoreFailing returns how long this node's calls to the store have been
	// failing, or 0 if the last call succeeded.
	StoreFailing() time.Duration
	// StoreReplies returns the last period, without an outage, of the replies of the store
	// that are known to this node, those to other nodes included.
	StoreReplies() outage.Span
	// AddStoreReplies adds replies of the store that are known to another node.
	AddStoreReplies(s outage.Span)
	// StoreInDoubt reports whether the known replies leave open that the store is, or was a
	// moment ago, unavailable.
	StoreInDoubt() bool
}

// receivedHeartbeat is a heartbeat and the time of its arrival.
type receivedHeartbeat struct {
	heartbeat heartbeat
	at        time.Time
	// began is the arrival of the first heartbeat since the sender last paused.
	began time.Time
	// local holds this node's revisions, unchanged since the time since.
	local Revisions
	since time.Time
}

// stuckFor returns how long this node has failed to obtain the newer revisions of
// the heartbeat's sender.
func (h receivedHeartbeat) stuckFor(local Revisions, now time.Time) time.Duration {
	if local != h.local || local.covers(h.heartbeat.Have) {
		return 0
	}
	return now.Sub(h.since)
}

// receiveHeartbeat records a heartbeat and pulls what its sender has newer.
func (m *Mesh) receiveHeartbeat(b heartbeat) {
	b.Have = m.followed(b.Have)
	local, now := m.state.Revisions(), time.Now()
	m.mu.Lock()
	h := receivedHeartbeat{heartbeat: b, at: now, began: now, local: local, since: now}
	if old, known := m.heartbeats[b.VM]; known {
		if old.stuckFor(local, now) > 0 {
			h.since = old.since
		}
		if now.Sub(old.at) < reader.HeartbeatTimeout {
			h.began = old.began
		}
	}
	m.heartbeats[b.VM] = h
	m.mu.Unlock()
	m.state.AddStoreReplies(b.replies(now))
	m.pullNewer(b.Addr, b.Have)
}

// handleVersions pulls newer state from a member that has announced its versions.
// It pulls from another failure domain only when the local domain cannot reach
// the store, because traffic between domains costs more than a call to the store.
func (m *Mesh) handleVersions(h member.PeerVersions) {
	if m.inLocalDomain(h.Addr) || m.BestStoreAge() > storeStaleAfter {
		m.pullNewer(h.Addr, revisionsOf(h.Versions))
	}
}

// followed returns the revisions of the topics that this node follows. It never has those of
// another, which would look as if it failed to receive them.
func (m *Mesh) followed(have Revisions) Revisions {
	if !m.evacuations {
		have.Evacuations = 0
	}
	return have
}

// pullNewer pulls the topics of which another node has a newer revision.
func (m *Mesh) pullNewer(addr string, have Revisions) {
	local := m.state.Revisions()
	have = m.followed(have)
	for _, t := range []follow.Topic{follow.Evacuations, follow.Routes, follow.Upstreams} {
		if have.Of(t) > local.Of(t) {
			m.pull(addr, t)
		}
	}
}

// pull requests the changes of a topic from another node in the background. It
// does nothing while a pull of the same topic is running.
func (m *Mesh) pull(addr string, t follow.Topic) {
	if !m.pulling[t].CompareAndSwap(false, true) {
		return
	}
	m.spawn(func(ctx context.Context) {
		defer m.pulling[t].Store(false)
		var reply PullReply
		args := Pull{Topic: t, Have: m.state.Revisions().Of(t)}
		if err := m.peers.Call(ctx, addr, methodOf(t, methodPull, methodPullEvacuations), &args, &reply); err != nil {
			m.log.WithFields(logrus.Fields{"peer": addr, "topic": t.String(), "error": err.Error()}).Debug("mesh: pull failed.")
			return
		}
		if reply.Batch != nil {
			m.state.Merge(t, *reply.Batch)
		}
	})
}

// methodOf returns which of two methods serves the topic.
func methodOf(t follow.Topic, general, evacuations string) string {
	if t == follow.Evacuations {
		return evacuations
	}
	return general
}

// Publish sends changes to the other nodes of this failure domain.
func (m *Mesh) Publish(t follow.Topic, b follow.Batch) {
	for _, r := range m.domainMembers() {
		m.spawn(func(ctx context.Context) {
			if err := m.peers.Call(ctx, r.Addr, methodOf(t, methodPush, methodPushEvacuations), &Push{Topic: t, Batch: b}, &Empty{}); err != nil {
				m.log.WithFields(logrus.Fields{"peer": r.VM, "topic": t.String(), "error": err.Error()}).Debug("mesh: push failed.")
			}
		})
	}
}

// updateReader decides whether this node reads the store.
func (m *Mesh) updateReader() {
	now := time.Now()
	peers := m.readerPeers(now)
	if reader.HasReader(m.self.VM, peers) {
		m.readerSeen = now
	}
	var names []string
	for _, r := range m.domainMembers() {
		names = append(names, r.VM)
	}
	reads := reader.Decide(m.self.VM, names, peers, now.Sub(m.readerSeen))
	m.updateEvacuationReader(now, names, peers, reads)
	if m.readsStore.Swap(reads) != reads {
		m.log.WithFields(logrus.Fields{"reads": reads, "members": len(names), "readers": len(peers), "newest_reply": m.BestStoreAge().Round(time.Millisecond).String()}).Info("mesh: store reader role changed.")
	}
}

// updateEvacuationReader decides whether this node reads the evacuations. Readers that do not
// follow them do not count.
func (m *Mesh) updateEvacuationReader(now time.Time, names []string, peers []reader.Peer, reads bool) {
	if !m.evacuations {
		return
	}
	m.mu.Lock()
	following := slices.DeleteFunc(slices.Clone(peers), func(p reader.Peer) bool { return !m.heartbeats[p.Name].heartbeat.Evacuations })
	m.mu.Unlock()
	if reader.HasReader(m.self.VM, following) {
		m.evacuationReaderSeen = now
	}
	reads = reads || reader.Decide(m.self.VM, names, following, now.Sub(m.evacuationReaderSeen))
	m.readsEvacuations.Store(reads)
}

// readerPeers returns the nodes of this failure domain that have sent heartbeats,
// and drops those whose last heartbeat is older than heartbeatRetention.
func (m *Mesh) readerPeers(now time.Time) []reader.Peer {
	local := m.state.Revisions()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []reader.Peer
	for name, b := range m.heartbeats {
		if now.Sub(b.at) > heartbeatRetention {
			delete(m.heartbeats, name)
			continue
		}
		list = append(list, reader.Peer{
			Name: name, HeartbeatAge: now.Sub(b.at), ReplyAge: b.heartbeat.ReplyAge, StoreAge: b.heartbeat.StoreAge, Failing: b.heartbeat.StoreFailing, Stuck: b.stuckFor(local, now),
			Reading: now.Sub(b.began),
		})
	}
	return list
}

// BestStoreAge returns the age of the newest reply from the store that this node
// or a reader of its failure domain has received.
func (m *Mesh) BestStoreAge() time.Duration {
	best := m.state.StoreAge()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.heartbeats {
		best = min(best, b.heartbeat.StoreAge+now.Sub(b.at))
	}
	return best
}

// heartbeatIfDue sends heartbeats at intervals while this node reads the store, and at
// once when the store has answered, or begins to fail.
func (m *Mesh) heartbeatIfDue(now time.Time) {
	failing := m.state.StoreFailing() >= reader.FailingTimeout
	reply := now.Add(-m.state.StoreReplyAge())
	answered := reply.Sub(m.reportedReply) >= tickInterval
	if !m.ReadsStore() || (now.Sub(m.lastHeartbeat) < reader.HeartbeatInterval && failing == m.reportedFailing && !answered) {
		return
	}
	m.lastHeartbeat, m.reportedFailing, m.reportedReply = now, failing, reply
	m.sendHeartbeats()
}

// sendHeartbeats sends this node's revisions to the members of its failure domain.
func (m *Mesh) sendHeartbeats() {
	b := heartbeat{
		VM: m.self.VM, Addr: m.self.Addr, Have: m.state.Revisions(),
		StoreAge: m.state.StoreAge(), ReplyAge: m.state.StoreReplyAge(), StoreFailing: m.state.StoreFailing(),
		Replies: newReplyAges(m.state.StoreReplies(), time.Now()), Evacuations: m.evacuations,
	}
	for _, r := range m.domainMembers() {
		m.send(r.Gossip, datagram{Heartbeat: &b})
	}
}

// pullInitial pulls all topics from a random member of the failure domain if this
// node has found other members but has no state yet.
func (m *Mesh) pullInitial() {
	members := m.domainMembers()
	if m.state.Revisions() != (Revisions{}) || len(members) == 0 {
		return
	}
	r := members[rand.IntN(len(members))]
	m.pull(r.Addr, follow.Routes)
	m.pull(r.Addr, follow.Upstreams)
	if m.evacuations {
		m.pull(r.Addr, follow.Evacuations)
	}
}
