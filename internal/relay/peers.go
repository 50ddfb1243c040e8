package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/pkg/gather"
	"geraniumstep.org/geraniumstep/pkg/place"
)

// CallFunc calls a method of another node.
type CallFunc func(ctx context.Context, addr, method string, args, reply any) error

// peerNode is another node that gathers, with this node's evidence about it.
type peerNode struct {
	node  gather.Node
	stats *place.Stats
	// trip is the time of the way there, in ns.
	trip atomic.Int64
}

// travelled records how long a call took beyond the peer's own work.
func (p *peerNode) travelled(both time.Duration) {
	old := p.trip.Load()
	p.trip.Store(old + int64(tripSmooth*float64(int64(max(both, 0)/2)-old)))
}

// peers is an immutable view of the nodes that gather.
type peers struct {
	set  *gather.Set
	byVM map[string]*peerNode
	call CallFunc
}

// SetPeers replaces the other nodes and how they are called. Evidence about those
// that stay is kept.
func (e *Engine) SetPeers(set *gather.Set, call CallFunc) {
	old := e.peers.Load()
	next := &peers{set: set, byVM: make(map[string]*peerNode), call: call}
	add := func(list []gather.Node) {
		for _, n := range list {
			if p, ok := old.byVM[n.VM]; ok && p.node.Addr == n.Addr {
				next.byVM[n.VM] = p
				continue
			}
			p := &peerNode{node: n, stats: place.NewStats(e.distance(n.Domain), peerSlots, time.Time{})}
			if p.stats.Distance() == place.OtherRegion {
				p.trip.Store(int64(firstTrip))
			}
			next.byVM[n.VM] = p
		}
	}
	add(set.Own())
	for domain := range e.regions {
		add(set.Domain(domain))
	}
	for _, region := range e.regions {
		add(set.Region(region))
	}
	e.peers.Store(next)
}

// peerSlots is how many searches a node is taken to gather at once without delay.
const peerSlots = 8

// pick chooses one of the nodes by the evidence.
func (p *peers) pick(nodes []gather.Node) *peerNode {
	list := make([]*peerNode, 0, len(nodes))
	stats := make([]*place.Stats, 0, len(nodes))
	for _, n := range nodes {
		if peer, ok := p.byVM[n.VM]; ok {
			list = append(list, peer)
			stats = append(stats, peer.stats)
		}
	}
	if len(list) == 0 {
		return nil
	}
	i := place.Pick(stats, time.Now(), place.Detour{}, rand.IntN(len(stats)), func(int) bool { return false })
	return list[i]
}

// pickAmong chooses one of the nodes by the evidence. A small set joins a node
// that was chosen already, if that can take it.
func (p *peers) pickAmong(nodes []gather.Node, chosen []*peerNode, small bool) *peerNode {
	if small {
		for _, c := range chosen {
			if slices.ContainsFunc(nodes, func(n gather.Node) bool { return n.VM == c.node.VM }) {
				return c
			}
		}
	}
	return p.pick(nodes)
}
