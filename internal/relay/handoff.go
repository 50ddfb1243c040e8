package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/internal/inner"
	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/gather"
	"geraniumstep.org/geraniumstep/pkg/place"
	"geraniumstep.org/geraniumstep/pkg/prio"
)

const (
	// leastGroup is the fewest legs that are worth a call to another node.
	leastGroup = 3
	// firstTrip is the way to another region that is assumed before the
	// first answer from there.
	firstTrip = 20 * time.Millisecond
	// tripSlack is kept of the target beside the way back, because a reply
	// that is late costs all its legs: two busy VMs may each take some
	// milliseconds to turn to it.
	tripSlack = 14 * time.Millisecond
	// tripSmooth is the weight of a new measurement of the way.
	tripSmooth = 0.2
	// maxHops bounds how often a search is handed on.
	maxHops = 2
)

// Caller calls a method of another node.
type Caller func(ctx context.Context, addr, method string, args, reply any) error

// peer is another node that gathers, with this node's evidence about it.
type peer struct {
	node  gather.Node
	stats *place.Stats
	// trip is the time of the way there, in ns.
	trip atomic.Int64
}

// travelled records how long a call took beyond the peer's own work.
func (p *peer) travelled(both time.Duration) {
	old := p.trip.Load()
	p.trip.Store(old + int64(tripSmooth*float64(int64(max(both, 0)/2)-old)))
}

// peers is an immutable view of the nodes that gather.
type peers struct {
	set  *gather.Set
	byVM map[string]*peer
}

// SetPeers replaces the other nodes and how they are called. Evidence about those
// that stay is kept.
func (e *Engine) SetPeers(set *gather.Set, call Caller) {
	old := e.peers.Load()
	next := &peers{set: set, byVM: make(map[string]*peer)}
	add := func(list []gather.Node) {
		for _, n := range list {
			if p, ok := old.byVM[n.VM]; ok && p.node.Addr == n.Addr {
				next.byVM[n.VM] = p
				continue
			}
			p := &peer{node: n, stats: place.NewStats(e.distance(n.Domain), peerSlots, time.Time{})}
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
	e.mu.Lock()
	e.call = call
	e.mu.Unlock()
	e.peers.Store(next)
}

// peerSlots is how many searches a node is taken to gather at once without delay.
const peerSlots = 8

// pick chooses one of the nodes by the evidence.
func (p *peers) pick(nodes []gather.Node) *peer {
	list := make([]*peer, 0, len(nodes))
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

// group is a set of legs that another node gathers. It takes the place of an
// upstream in the first attempt of each leg.
type group struct {
	peer     *peer
	services []string
	attempts []int
	id       string
	begun    time.Time

	// answered tells that body and proofs hold the parts of legs.
	answered bool
	legs     map[int]bool
	body     []byte
	proofs   []string
	// order holds the leg of each proof.
	order []int
}

// groupDone tells how a call to another node ended.
type groupDone struct {
	group *group
	reply GatherReply
	err   error
}

// GatherCall asks a node to gather a part of a search.
type GatherCall struct {
	ID       string              `msgpack:"i"`
	Request  string              `msgpack:"r"`
	Route    string              `msgpack:"n"`
	Method   string              `msgpack:"m"`
	Host     string              `msgpack:"h"`
	Target   string              `msgpack:"t"`
	Header   map[string][]string `msgpack:"e"`
	Body     []byte              `msgpack:"b"`
	Services []string            `msgpack:"s"`
	TopK     int                 `msgpack:"k"`
	Least    int                 `msgpack:"l"`
	Attempts int                 `msgpack:"a"`
	Priority prio.Priority       `msgpack:"p"`
	// Soft and Deadline are counted from the arrival of the call.
	Soft     time.Duration `msgpack:"so"`
	Deadline time.Duration `msgpack:"d"`
	Hops     int           `msgpack:"ho"`
	Version  uint64        `msgpack:"v"`
}

// GatherReply is the merged part of a search.
type GatherReply struct {
	// Legs are the places of the answered services in the call.
	Legs   []int    `msgpack:"l"`
	Proofs []string `msgpack:"p"`
	Body   []byte   `msgpack:"b"`
	// NotRun tells that nothing ran, and RetryAfter when to come back if the
	// node rejected the call for load.
	NotRun     bool          `msgpack:"n"`
	RetryAfter time.Duration `msgpack:"r"`
	// Took is how long the called node worked on it.
	Took time.Duration `msgpack:"t"`
}

// CancelCall names a gather whose result is no longer wanted.
type CancelCall struct {
	ID string `msgpack:"i"`
}

// None is the answer to a call that returns nothing.
type None struct {
	_ struct{}
}

// GatherService is the name under which Gatherer is registered.
const GatherService = "Gather"

// planGroups decides which legs other nodes gather: all of them when this node
// is not one that gathers, else those without an upstream in this region.
func (r *run) planGroups() {
	r.grouped = make(map[string]*group)
	p := r.engine.peers.Load()
	if !r.gather || p.set == nil || r.hops >= maxHops {
		return
	}
	if r.hops == 0 && !p.set.Gathers() {
		r.group(p.pick(p.set.Own()), r.plan.Services)
		return
	}
	for where, services := range r.awayLegs() {
		nodes := p.set.Region(where.region)
		if where.domain != "" {
			nodes = p.set.Domain(where.domain)
		}
		r.group(p.pick(nodes), services)
	}
}

// group hands services to a peer, if there is one and they are worth it.
func (r *run) group(p *peer, services []string) {
	if p == nil || len(services) < leastGroup || p.stats.Shut(time.Now()) {
		return
	}
	g := &group{peer: p, services: services, id: r.req.ID + "/" + strconv.FormatUint(r.engine.tickets.Add(1), 36)}
	r.groups = append(r.groups, g)
	for _, s := range services {
		r.grouped[s] = g
	}
}

// away names where legs are gathered by another node: a failure domain of this
// region, or another region.
type away struct{ domain, region string }

// awayLegs lists the services that have no upstream in this failure domain, by
// the place that takes most of them.
func (r *run) awayLegs() map[away][]string {
	counts := make(map[away]int)
	choices := make(map[string][]away)
	for _, s := range r.plan.Services {
		choices[s] = r.engine.awayFrom(r.directory, s)
		for _, where := range choices[s] {
			counts[where]++
		}
	}
	out := make(map[away][]string)
	for _, s := range r.plan.Services {
		if len(choices[s]) == 0 {
			continue
		}
		best := choices[s][0]
		for _, where := range choices[s][1:] {
			if counts[where] > counts[best] || counts[where] == counts[best] && where.before(best) {
				best = where
			}
		}
		out[best] = append(out[best], s)
	}
	return out
}

func (a away) before(b away) bool {
	return a.region < b.region || a.region == b.region && a.domain < b.domain
}

// awayFrom lists where a service can be gathered by another node: nowhere if this
// domain has an upstream, in the other domains of this region if one of them
// has, else in other regions.
func (e *Engine) awayFrom(d *directory, service string) []away {
	p, ok := d.byService[service]
	if !ok {
		return nil
	}
	nearest := place.OtherRegion
	for _, u := range p.upstreams {
		nearest = min(nearest, u.stats.Distance())
	}
	var list []away
	for _, u := range p.upstreams {
		domain := u.entry.Domain()
		if u.stats.Distance() != nearest || nearest == place.SameDomain {
			continue
		}
		where := away{region: e.regions[domain]}
		if nearest == place.SameRegion {
			where.domain = domain
		}
		if !slices.Contains(list, where) {
			list = append(list, where)
		}
	}
	return list
}

// startGroups calls the peers once the machine has placed all legs.
func (r *run) startGroups() {
	for _, g := range r.groups {
		if len(g.attempts) == 0 || !r.claims.take() {
			continue
		}
		g.begun = time.Now()
		g.peer.stats.Begin()
		call := r.gatherCall(g)
		r.engine.tasks.Go(func() {
			defer g.peer.stats.End()
			ctx, cancel := context.WithDeadline(r.engine.work, r.plan.Deadline)
			defer cancel()
			d := groupDone{group: g}
			d.err = r.engine.call(ctx, g.peer.node.Addr, GatherService+".Gather", call, &d.reply)
			r.tell(d)
		})
	}
}

func (r *run) gatherCall(g *group) *GatherCall {
	// Both ways count: the called node reckons from the arrival.
	soft := r.plan.Soft.Add(-2*time.Duration(g.peer.trip.Load()) - tripSlack)
	now := time.Now()
	whole := len(g.services) == len(r.plan.Services)
	least := 1
	if whole {
		least = r.plan.Least
	}
	return &GatherCall{
		ID: g.id, Request: r.req.ID, Route: r.route.Name(), Method: r.req.Method, Host: r.req.Host, Target: r.req.Target,
		Header: r.endToEnd(), Body: r.req.Body, Services: g.services, TopK: r.topK, Least: least,
		Attempts: r.plan.Attempts, Priority: r.route.Priority(), Hops: r.hops + 1, Version: r.version,
		Soft: soft.Sub(now), Deadline: r.plan.Deadline.Sub(now) - tripSlack,
	}
}

// groupEnded takes a peer's reply apart into the ends of its legs.
func (r *run) groupEnded(d groupDone) (fanout.Outcome, bool) {
	g := d.group
	unsent := d.err != nil && errors.Is(d.err, inner.ErrUnsent)
	r.judgePeer(d)
	if unsent || d.err == nil && d.reply.NotRun {
		r.claims.giveBack()
		r.refused = max(r.refused, d.reply.RetryAfter)
	}
	g.take(d, r.plan.Services)
	if d.err == nil && d.reply.RetryAfter > 0 && len(g.services) == len(r.plan.Services) {
		return fanout.OutcomeFailed, true
	}
	return r.applyGroup(g, d, unsent)
}

// take keeps the parts of a reply whose legs and proofs fit together.
func (g *group) take(d groupDone, services []string) {
	g.legs = make(map[int]bool)
	if d.err != nil || len(d.reply.Proofs) != len(d.reply.Legs) {
		return
	}
	place := make(map[string]int, len(services))
	for i, s := range services {
		place[s] = i
	}
	for _, k := range d.reply.Legs {
		if k < 0 || k >= len(g.services) {
			return
		}
		leg := place[g.services[k]]
		g.legs[leg] = true
		g.order = append(g.order, leg)
	}
	g.answered, g.body, g.proofs = true, d.reply.Body, d.reply.Proofs
}

// applyGroup feeds the end of each leg of a group to the machine.
func (r *run) applyGroup(g *group, d groupDone, unsent bool) (fanout.Outcome, bool) {
	for _, n := range g.attempts {
		var ev fanout.Event = fanout.Failed{Attempt: n, NotRun: unsent || d.reply.NotRun, Unsent: unsent}
		if g.legs[fanout.Leg(n)] {
			ev = fanout.Answered{Attempt: n}
		} else {
			r.cause = "peer"
		}
		if outcome, finished := r.apply(ev); finished {
			return outcome, true
		}
	}
	return 0, false
}

// judgePeer records what the call shows of the peer.
func (r *run) judgePeer(d groupDone) {
	g, err := d.group, d.err
	took := time.Since(g.begun)
	switch {
	case err == nil:
		g.peer.stats.Answered(took)
		g.peer.travelled(took - d.reply.Took)
	case errors.Is(err, inner.ErrUnsent):
		g.peer.stats.Gone()
	default:
		g.peer.stats.Failed()
		g.peer.stats.Outlived(took)
	}
	if err != nil {
		r.engine.log.WithField("request", r.req.ID).WithField("peer", g.peer.node.VM).WithField("error", err.Error()).
			Warn("relay: peer did not gather.")
	}
}

// inGroup tells whether the leg's part is in the body of a group.
func (r *run) inGroup(leg int) bool {
	for _, g := range r.groups {
		if g.answered && g.legs[leg] {
			return true
		}
	}
	return false
}

// cancelGroups tells the peers that have not answered to stop.
func (r *run) cancelGroups() {
	for _, g := range r.groups {
		if len(g.attempts) == 0 || g.legs != nil {
			continue
		}
		g.peer.stats.Outlived(time.Since(g.begun))
		r.engine.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(r.engine.work, time.Second)
			defer cancel()
			// A peer that cannot be told stops at its deadline.
			_ = r.engine.call(ctx, g.peer.node.Addr, GatherService+".Cancel", &CancelCall{ID: g.id}, &None{})
		})
	}
}
