package relay

import (
	"slices"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/gather"
	"geraniumstep.org/geraniumstep/pkg/place"
	"geraniumstep.org/geraniumstep/pkg/quant"
)

const (
	// hedgeQuantile is the quantile of the legs of a route after which an attempt is hedged.
	// The tenth of the legs that is then hedged at most is half of what budgets allow.
	hedgeQuantile = 0.9
	// minQuantileDelay keeps routes whose legs take a few milliseconds from hedging on the
	// variation of this node's own scheduling.
	minQuantileDelay = 10 * time.Millisecond
	// maxLegRoutes bounds the routes and distances that are tracked, of some 40 KB each.
	maxLegRoutes = 64
)

// legTimes tracks how long answered legs of searches took, by route and distance. The zero value
// is ready to use. It is safe for concurrent use.
type legTimes struct {
	mu      sync.Mutex
	windows map[legKind]*quant.Window
}

// legKind is what legs have in common that take about as long.
type legKind struct {
	route    string
	distance place.Distance
}

func (l *legTimes) window(k legKind) *quant.Window {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.windows[k]
	if ok {
		return w
	}
	if l.windows == nil || len(l.windows) >= maxLegRoutes {
		l.windows = make(map[legKind]*quant.Window) // routes come and go with configurations
	}
	w = quant.New(quant.WithTarget(hedgeQuantile), quant.WithInitial(neverHedge))
	l.windows[k] = w
	return w
}

// neverHedge is longer than any other bound on the delay of a hedge.
const neverHedge = time.Hour

// recordLeg records how long an answered attempt of a search took, its waits included.
func (r *run) recordLeg(a *attempt) {
	if r.gather {
		r.engine.legTimes.window(r.legKind(a.upstream)).Record(time.Since(a.placedAt))
	}
}

func (r *run) legKind(u *upstream) legKind {
	return legKind{route: r.route.Name(), distance: u.stats.Distance()}
}

// HedgeAfter implements fanout.Deps. A leg that takes longer than most legs of its route at that
// distance is hedged, however slow other routes to the upstream are.
func (r *run) HedgeAfter(u fanout.Upstream) time.Duration {
	usual := max(hedgeFactor*statsOf(u).HedgeBase(time.Now()), minHedgeDelay)
	up, ok := u.(*upstream)
	if !ok || !r.gather {
		return usual
	}
	return min(usual, max(r.engine.legTimes.window(r.legKind(up)).Cached(), minQuantileDelay))
}

// hedgeGroup returns the group that sends an extra attempt of a leg from a node in the
// upstream's region, or nil if this node had better send it itself. A node there has open
// connections to the upstream, where this one would first open one, which takes another round
// trip between the regions. Attempts that are sent at the same time share a call.
func (r *run) hedgeGroup(u *upstream, tried []fanout.Upstream) *peerGroup {
	if !r.gather || r.cautious || r.hops >= maxHops || u.stats.Distance() != place.OtherRegion || u.pool.HasIdle() {
		return nil
	}
	// The parts of two groups could not be told apart if both held the same leg.
	if slices.ContainsFunc(tried, isGroup) {
		return nil
	}
	p, region := r.engine.peers.Load(), r.engine.regions[u.entry.Domain()]
	for _, g := range r.groups {
		if g.hedge && g.startedAt.IsZero() && g.peer.node.Region == region {
			return g
		}
	}
	if p.set == nil || region == "" {
		return nil
	}
	nodes := p.set.Region(region)
	inDomain := func(n gather.Node) bool { return n.Domain == u.entry.Domain() }
	best := p.pick(filterNodes(nodes, inDomain))
	if best == nil {
		best = p.pick(nodes)
	}
	if best == nil || best.stats.Excluded(time.Now()) {
		return nil
	}
	g := r.newGroup(p.call, best, nil, 1)
	g.hedge = true
	r.groups = append(r.groups, g)
	return g
}

func isGroup(u fanout.Upstream) bool {
	_, ok := u.(*peerGroup)
	return ok
}

func filterNodes(nodes []gather.Node, keep func(gather.Node) bool) []gather.Node {
	var kept []gather.Node
	for _, n := range nodes {
		if keep(n) {
			kept = append(kept, n)
		}
	}
	return kept
}
