package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/pkg/gather"
	"geraniumstep.org/geraniumstep/pkg/place"
)

// CallFunc calls a method of another node.
type CallFunc func(ctx context.Context, addr, method string, args, reply any) error

// peerNode is another gatherer, with this node's statistics about it.
type peerNode struct {
	node  gather.Node
	stats *place.Stats
	// oneWay is the one-way network latency to the node, in nanoseconds.
	oneWay atomic.Int64
	// cutUntil is how long the node counts as cut off from the upstreams, in nanoseconds
	// since 1970.
	cutUntil atomic.Int64
}

// recordRoundTrip updates the latency with the duration of a call less the peer's
// processing time.
func (p *peerNode) recordRoundTrip(roundTrip time.Duration) {
	old := p.oneWay.Load()
	p.oneWay.Store(old + int64(oneWaySmoothing*float64(int64(max(roundTrip, 0)/2)-old)))
}

// peers is an immutable view of the gatherers.
type peers struct {
	set  *gather.Set
	byVM map[string]*peerNode
	call CallFunc
	// gatherersIn and nodesIn are the numbers of live gatherers and of all live nodes in each
	// region, this one included.
	gatherersIn, nodesIn map[string]int
}

// SetPeers replaces the gatherers and the function that calls them. Statistics about
// nodes in both sets are kept.
func (e *Engine) SetPeers(set *gather.Set, call CallFunc) {
	old := e.peers.Load()
	next := &peers{set: set, byVM: make(map[string]*peerNode), call: call, gatherersIn: make(map[string]int), nodesIn: make(map[string]int)}
	add := func(list []gather.Node) {
		for _, n := range list {
			if p, ok := old.byVM[n.VM]; ok && p.node.Addr == n.Addr {
				next.byVM[n.VM] = p
				continue
			}
			p := &peerNode{node: n, stats: place.NewStats(e.distance(n.Domain), peerSlots, time.Time{})}
			if p.stats.Distance() == place.OtherRegion {
				p.oneWay.Store(int64(initialOneWay))
			}
			next.byVM[n.VM] = p
		}
	}
	add(set.Gatherers())
	add(set.Others())
	for _, n := range set.Gatherers() {
		next.gatherersIn[n.Region]++
		next.nodesIn[n.Region]++
	}
	for _, n := range set.Others() {
		next.nodesIn[n.Region]++
	}
	e.peers.Store(next)
	if !maps.Equal(old.gatherersIn, next.gatherersIn) || !maps.Equal(old.nodesIn, next.nodesIn) {
		e.resize()
	}
}

// peerSlots is how many searches a node is assumed to gather concurrently without
// delay.
const peerSlots = 8

// pick chooses one of the nodes by their statistics. It returns nil if none is known
// that reaches the upstreams.
func (p *peers) pick(nodes []gather.Node) *peerNode {
	now := time.Now()
	list := make([]*peerNode, 0, len(nodes))
	stats := make([]*place.Stats, 0, len(nodes))
	for _, n := range nodes {
		if peer, ok := p.byVM[n.VM]; ok && peer.cutUntil.Load() <= now.UnixNano() {
			list = append(list, peer)
			stats = append(stats, peer.stats)
		}
	}
	if len(list) == 0 {
		return nil
	}
	i := place.Pick(stats, now, place.RemotePenalty{}, rand.IntN(len(stats)), func(int) bool { return false })
	return list[i]
}

// pickOrReuse chooses one of the nodes for a set of services. A set too small for a
// call of its own uses an already chosen node if one of them can gather it.
func (p *peers) pickOrReuse(nodes []gather.Node, chosen []*peerNode, small bool) *peerNode {
	if small {
		for _, c := range chosen {
			if slices.ContainsFunc(nodes, func(n gather.Node) bool { return n.VM == c.node.VM }) {
				return c
			}
		}
	}
	return p.pick(nodes)
}
