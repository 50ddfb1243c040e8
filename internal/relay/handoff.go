package relay

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/fanout"
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

// group is a set of legs that another node gathers. It takes the place of an
// upstream in the first attempt of each leg.
type group struct {
	peer     *peerNode
	call     CallFunc
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

// planGroups decides which legs other nodes gather: all of them when this node
// is not one that gathers, else those without an upstream in this region.
func (r *run) planGroups() {
	r.grouped = make(map[string]*group)
	p := r.engine.peers.Load()
	if !r.gather || p.set == nil || r.hops >= maxHops {
		return
	}
	if r.hops == 0 && !p.set.Gathers() {
		r.group(p.call, p.pick(p.set.Own()), r.plan.Services)
		return
	}
	var chosen []*peerNode
	services := make(map[*peerNode][]string)
	for _, set := range r.awaySets() {
		best := p.pickAmong(set.nodes(p.set), chosen, len(set.services) < leastGroup)
		if best == nil {
			continue
		}
		if !slices.Contains(chosen, best) {
			chosen = append(chosen, best)
		}
		services[best] = append(services[best], set.services...)
	}
	for _, best := range chosen {
		r.group(p.call, best, services[best])
	}
}

// group hands services to a peer, if there is one and they are worth it.
func (r *run) group(call CallFunc, p *peerNode, services []string) {
	if p == nil || len(services) < leastGroup || p.stats.Shut(time.Now()) {
		return
	}
	g := &group{peer: p, call: call, services: services, id: r.req.ID + "/" + strconv.FormatUint(r.engine.tickets.Add(1), 36)}
	r.groups = append(r.groups, g)
	for _, s := range services {
		r.grouped[s] = g
	}
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
			d.err = g.call(ctx, g.peer.node.Addr, GatherService+".Gather", call, &d.reply)
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
		Header: r.endToEnd(), Body: r.req.Body, Services: g.services, TopK: r.topK, MinLegs: least,
		Attempts: r.plan.Attempts, Priority: r.route.Priority(), Hops: r.hops + 1, Version: r.version,
		Soft: soft.Sub(now), Deadline: r.plan.Deadline.Sub(now) - tripSlack,
	}
}

// groupEnded takes a peer's reply apart into the ends of its legs.
func (r *run) groupEnded(d groupDone) (fanout.Outcome, bool) {
	g := d.group
	unsent := d.err != nil && errors.Is(d.err, peer.ErrUnsent)
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

// reached tells how many upstreams each service of the group may have reached:
// as many as it was allowed if the peer does not tell, none if the peer rejected
// the call.
func (g *group) reached(d groupDone, allowed int) map[string]int {
	reached := make(map[string]int, len(g.services))
	rejected := d.err == nil && d.reply.NotRun && d.reply.RetryAfter > 0
	told := d.err == nil && len(d.reply.Reached) == len(g.services)
	for i, s := range g.services {
		switch {
		case rejected:
			reached[s] = 0
		case told:
			reached[s] = min(max(d.reply.Reached[i], 0), allowed)
		default:
			reached[s] = allowed
		}
	}
	return reached
}

// applyGroup feeds the end of each leg of a group to the machine.
func (r *run) applyGroup(g *group, d groupDone, unsent bool) (fanout.Outcome, bool) {
	reached := g.reached(d, r.plan.Attempts)
	for _, n := range g.attempts {
		k := reached[r.plan.Services[fanout.Leg(n)]]
		var ev fanout.Event = fanout.Failed{
			Attempt: n, NotRun: unsent || d.reply.NotRun, Unsent: unsent || k == 0, Left: r.plan.Attempts - k,
		}
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
	case errors.Is(err, peer.ErrUnsent):
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
			_ = g.call(ctx, g.peer.node.Addr, GatherService+".Cancel", &CancelCall{ID: g.id}, &None{})
		})
	}
}
