package relay

import (
	"math/rand/v2"
	"net/http"
	"time"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/links"
	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/gather"
	"geraniumstep.org/geraniumstep/pkg/place"
)

const (
	// peerCutTime is how long a peer that is cut off from the upstreams gets no calls.
	// Then one of them shows whether it still is.
	peerCutTime = time.Second
	// maxDetourSample bounds the nodes that are considered beside the gatherers.
	maxDetourSample = 16
)

// isUsable reports whether the peer is worth a call.
func (p *peerNode) isUsable(now time.Time) bool {
	return now.UnixNano() >= p.cutUntil.Load() && !p.stats.Excluded(now)
}

// markCut records that the peer cannot reach the upstreams.
func (p *peerNode) markCut(now time.Time) { p.cutUntil.Store(now.Add(peerCutTime).UnixNano()) }

// pickDetour chooses the peer that takes requests in this node's place: the best gatherer,
// or another node if no gatherer is usable. It returns nil if there is none.
func (p *peers) pickDetour(excluded func(*peerNode) bool) *peerNode {
	if p.set == nil {
		return nil
	}
	now := time.Now()
	usable := func(nodes []gather.Node) (list []*peerNode) {
		for _, n := range nodes {
			if peer := p.byVM[n.VM]; peer != nil && n.VM != p.set.Self().VM && peer.isUsable(now) && !excluded(peer) {
				list = append(list, peer)
			}
		}
		return list
	}
	if best := pickBest(usable(p.set.Gatherers()), now); best != nil {
		return best
	}
	others := p.set.Others()
	first := rand.IntN(max(len(others), 1))
	sample := make([]gather.Node, 0, maxDetourSample)
	for i := range min(len(others), maxDetourSample) {
		sample = append(sample, others[(first+i)%len(others)])
	}
	return pickBest(usable(sample), now)
}

// pickBest returns the peer with the lowest cost, or nil if there is none.
func pickBest(list []*peerNode, now time.Time) *peerNode {
	if len(list) == 0 {
		return nil
	}
	stats := make([]*place.Stats, len(list))
	for i, p := range list {
		stats[i] = p.stats
	}
	return list[place.Pick(stats, now, place.RemotePenalty{}, rand.IntN(len(list)), func(int) bool { return false })]
}

// mustDetour reports whether the run's requests to upstreams go by way of a peer. A peer
// does not pass on what it was sent that way.
func (r *run) mustDetour() bool { return r.hops == 0 && r.engine.links.IsCut() }

// canDetour reports whether a peer may be able to reach the upstreams.
func (r *run) canDetour() bool {
	return r.mustDetour() && r.engine.peers.Load().pickDetour(func(n *peerNode) bool { return !r.isHome(n) }) != nil
}

// canServe reports whether the run may reach upstreams although this node is cut off.
func (r *run) canServe() bool { return r.engine.links.HasLive() || r.canDetour() }

// detour returns the group for the next attempt of a leg that has been tried by way of the
// given upstreams, or nil if no other peer is usable. Legs that are sent at the same time
// share a call.
func (r *run) detour(tried []fanout.Upstream, attempts int) *peerGroup {
	if attempts <= 0 {
		return nil
	}
	for _, g := range r.groups {
		if g.detour && g.startedAt.IsZero() && g.upstreamLimit == attempts && !hasTried(tried, g.peer) {
			return g
		}
	}
	p := r.engine.peers.Load()
	best := p.pickDetour(func(n *peerNode) bool { return hasTried(tried, n) || !r.isHome(n) })
	if best == nil {
		return nil
	}
	g := r.newGroup(p.call, best, nil, attempts)
	g.detour = true
	r.groups = append(r.groups, g)
	return g
}

func hasTried(tried []fanout.Upstream, n *peerNode) bool {
	for _, t := range tried {
		if g, ok := t.(*peerGroup); ok && g.peer == n {
			return true
		}
	}
	return false
}

// leaveUpstreams ends the attempts that wait for the upstreams when this node is found cut
// off: those that have sent nothing, and those that may be repeated unless connections still
// carry answers. They are then sent by way of a peer.
func (r *run) leaveUpstreams() {
	live := time.Since(r.engine.links.AnsweredAt()) < links.SilenceInterval
	for _, a := range r.attempts {
		if !a.sending() || r.plan.Idempotent && !live {
			a.cancel()
		}
	}
}

// keepResponse keeps the response that a peer returns for a request to one service. Without
// a valid one, the reply answers nothing.
func (r *run) keepResponse(reply *GatherReply) {
	p := reply.Response
	if p == nil || p.Status < http.StatusOK || p.Status > maxStatus {
		reply.Legs, reply.Proofs = nil, nil
		return
	}
	res := link.NewResponse(p.Status, p.Header, p.Body)
	if len(reply.Legs) > 0 {
		r.parts[0] = res
		return
	}
	r.failure = res
}

// maxStatus is the greatest status code of a response.
const maxStatus = 599
