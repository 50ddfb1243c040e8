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
	// minGroupLegs is the minimum number of legs that justify a call to
	// another node.
	minGroupLegs = 3
	// initialOneWay is the one-way latency to another region that is assumed
	// until the first reply from there.
	initialOneWay = 20 * time.Millisecond
	// replyMargin is subtracted from the target, in addition to the network
	// latency, and from the timeout. Two busy VMs may each take some milliseconds before they
	// process the call or the reply, and a late reply loses all its legs.
	replyMargin = 14 * time.Millisecond
	// oneWaySmoothing is the weight of a new measurement in the moving average
	// of the one-way latency.
	oneWaySmoothing = 0.2
	// maxHops limits how often a search is forwarded from node to node.
	maxHops = 2
)

// peerGroup is a set of legs that another node gathers. It takes the place of an
// upstream in the first attempt of each leg.
type peerGroup struct {
	peer     *peerNode
	call     CallFunc
	services []string
	attempts []int
	// upstreamLimit is how many upstreams each leg may reach.
	upstreamLimit int
	// detour reports that the peer takes the legs because this node reaches no upstream.
	// services then holds those that have been assigned.
	detour bool
	// hedge reports that the peer sends extra attempts of legs, from the budget of this node
	// and to upstreams in its own region. services then holds those that have been assigned.
	hedge bool
	id    string
	// startedAt is when the peer was called, or zero before that.
	startedAt time.Time

	// answered reports that the reply was accepted: body holds the merged
	// records of legs, and proofs their proofs.
	answered bool
	legs     map[int]bool
	body     []byte
	proofs   []string
	// proofLegs holds the leg of each element of proofs.
	proofLegs []int
}

// groupDone reports how a call to another node ended.
type groupDone struct {
	group *peerGroup
	reply GatherReply
	err   error
}

// planGroups decides which legs other nodes gather: all legs if the search comes from
// a caller and this node is not a gatherer, otherwise those without an upstream in
// the local failure domain. A search that was forwarded maxHops times stays here.
func (r *run) planGroups() {
	r.pendingGroups = make(map[string]*peerGroup)
	if r.mustDetour() && r.gather {
		if g := r.detour(nil, r.plan.MaxAttempts); g != nil {
			r.takeLegs(g, r.plan.Services)
			r.plan.Cautious = false // the peer is cautious in this node's place
		}
		return
	}
	p := r.engine.peers.Load()
	if !r.gather || p.set == nil || r.hops >= maxHops {
		return
	}
	if r.hops == 0 && !p.set.Gathers() && r.homes.Allows(p.set.Self().Region) {
		r.addGroup(p.call, p.pick(p.set.Local()), r.plan.Services)
		// A peer that takes all legs is cautious in this node's place.
		r.plan.Cautious = r.cautious && len(r.groups) == 0
		return
	}
	if r.cautious {
		return // the first upstream's result decides about all other sends
	}
	var chosen []*peerNode
	services := make(map[*peerNode][]string)
	for _, set := range r.remoteSets() {
		best := p.pickOrReuse(set.nodes(p.set), chosen, len(set.services) < minGroupLegs)
		if best == nil {
			continue
		}
		if !slices.Contains(chosen, best) {
			chosen = append(chosen, best)
		}
		services[best] = append(services[best], set.services...)
	}
	for _, best := range chosen {
		r.addGroup(p.call, best, services[best])
	}
}

// addGroup assigns the services to the peer, unless there is no peer, the peer is
// excluded after an error, or there are fewer than minGroupLegs services.
func (r *run) addGroup(call CallFunc, p *peerNode, services []string) {
	if p == nil || len(services) < minGroupLegs || p.stats.Excluded(time.Now()) {
		return
	}
	g := r.newGroup(call, p, services, r.plan.MaxAttempts)
	r.groups = append(r.groups, g)
	r.takeLegs(g, services)
}

func (r *run) newGroup(call CallFunc, p *peerNode, services []string, attempts int) *peerGroup {
	return &peerGroup{
		peer: p, call: call, services: services, upstreamLimit: attempts,
		id: r.req.ID + "/" + strconv.FormatUint(r.engine.tickets.Add(1), 36),
	}
}

// takeLegs makes the group take the first attempts of the services.
func (r *run) takeLegs(g *peerGroup, services []string) {
	for _, s := range services {
		r.pendingGroups[s] = g
	}
}

// add assigns an attempt to the group.
func (g *peerGroup) add(s fanout.Send, service string) {
	g.attempts = append(g.attempts, s.Attempt)
	if g.detour || g.hedge {
		g.services = append(g.services, service)
	}
}

// startGroups calls the peers whose legs the machine has assigned.
func (r *run) startGroups() {
	for _, g := range r.groups {
		if len(g.attempts) == 0 || !g.startedAt.IsZero() || !r.permits.acquire() {
			continue
		}
		g.startedAt = time.Now()
		r.allotted.use()
		g.peer.stats.Begin()
		call := r.gatherCall(g)
		r.engine.tasks.Go(func() {
			defer g.peer.stats.End()
			ctx, cancel := context.WithDeadline(r.engine.baseCtx, r.plan.Deadline)
			defer cancel()
			reply := new(GatherReply)
			d := groupDone{group: g, err: g.call(ctx, g.peer.node.Addr, call.method(), call, reply)}
			if d.err == nil {
				d.reply = *reply // after an error it may still be written
			}
			r.post(d)
		})
	}
}

func (r *run) gatherCall(g *peerGroup) *GatherCall {
	// The latency counts in both directions, because the called node measures
	// the target from the arrival of the call.
	soft := r.engine.finish.Clip(r.plan.SoftDeadline).Add(-2*time.Duration(g.peer.oneWay.Load()) - replyMargin)
	now := time.Now()
	full := !g.hedge && len(g.services) == len(r.plan.Services)
	minLegs := 1
	if full {
		minLegs = r.plan.MinAnswered
	}
	homes := r.homes.Regions()
	if g.hedge {
		homes = []string{g.peer.node.Region} // it is one of the run's homes, if the run has any
	}
	return &GatherCall{
		ID: g.id, Request: r.req.ID, Route: r.route.Name(), Workspace: r.workspace, Homes: homes, Extra: g.hedge, Method: r.req.Method, Host: r.req.Host, Target: r.req.Target,
		Header: r.engine.endToEnd(r.req.Header), Body: r.req.Body, Services: g.services, TopK: r.topK, MinLegs: minLegs,
		Attempts: g.upstreamLimit, Single: !r.gather, Idempotent: r.plan.Idempotent, Priority: r.route.Priority(), Hops: r.hops + 1, Version: r.version, Fingerprint: r.fingerprint, Content: r.content, Cautious: r.cautious, Led: r.plan.Lead > 0 || r.led || r.awaited, Trace: r.tracer != nil,
		created: now, Soft: soft.Sub(now), Deadline: r.engine.finish.Clip(r.plan.Deadline).Sub(now) - replyMargin,
	}
}

// groupEnded records the end of a call to a peer and passes the result of each of
// its legs to the machine.
func (r *run) groupEnded(d groupDone) (fanout.Outcome, bool) {
	g := d.group
	unsent := d.err != nil && errors.Is(d.err, peer.ErrUnsent)
	r.recordPeer(d)
	r.tracer.peerEnded(d)
	if unsent || d.err == nil && d.reply.NotRun {
		r.permits.release()
		r.peerRetryAfter = max(r.peerRetryAfter, d.reply.RetryAfter)
	}
	r.engine.LearnCrashes(d.reply.Crashes)
	if !r.gather {
		r.keepResponse(&d.reply)
	}
	g.applyReply(d, r.plan.Services)
	if len(d.reply.Legs) > 0 {
		r.recordSuccess()
	}
	if d.err == nil && d.reply.RetryAfter > 0 && !g.hedge && len(g.services) == len(r.plan.Services) {
		return fanout.OutcomeFailed, true
	}
	return r.applyGroup(g, d, unsent)
}

// applyReply stores the results of a reply if its legs and proofs are consistent.
func (g *peerGroup) applyReply(d groupDone, services []string) {
	g.legs = make(map[int]bool)
	if d.err != nil || len(d.reply.Proofs) != len(d.reply.Legs) {
		return
	}
	indexes := make(map[string]int, len(services))
	for i, s := range services {
		indexes[s] = i
	}
	for _, k := range d.reply.Legs {
		if k < 0 || k >= len(g.services) {
			return
		}
		leg := indexes[g.services[k]]
		g.legs[leg] = true
		g.proofLegs = append(g.proofLegs, leg)
	}
	g.answered, g.body, g.proofs = true, d.reply.Body, d.reply.Proofs
}

// reachedByService returns, for each service of the group, how many upstreams may
// have received the request: none if the peer rejected the call, and the allowed
// number of attempts if the peer did not report it.
func (g *peerGroup) reachedByService(d groupDone, allowed int) map[string]int {
	reached := make(map[string]int, len(g.services))
	rejected := d.err == nil && d.reply.NotRun && (d.reply.RetryAfter > 0 || d.reply.Cut && len(d.reply.Reached) == 0)
	reported := d.err == nil && len(d.reply.Reached) == len(g.services)
	for i, s := range g.services {
		switch {
		case rejected:
			reached[s] = 0
		case reported:
			reached[s] = min(max(d.reply.Reached[i], 0), allowed)
		default:
			reached[s] = allowed
		}
	}
	return reached
}

// applyGroup passes the result of each leg of a group to the machine.
func (r *run) applyGroup(g *peerGroup, d groupDone, unsent bool) (fanout.Outcome, bool) {
	reached := g.reachedByService(d, g.upstreamLimit)
	for _, n := range g.attempts {
		k := reached[r.plan.Services[fanout.Leg(n)]]
		var ev fanout.Event = fanout.Failed{
			Attempt: n, NotRun: unsent || d.reply.NotRun, Broken: d.reply.InDoubt, Unsent: unsent || k == 0, Unreached: g.upstreamLimit - k,
		}
		if g.legs[fanout.Leg(n)] {
			ev = fanout.Answered{Attempt: n}
		} else {
			r.lastCause = "peer"
		}
		if outcome, finished := r.apply(ev); finished {
			return outcome, true
		}
	}
	return 0, false
}

// recordPeer updates the statistics of the peer with the result of a call.
func (r *run) recordPeer(d groupDone) {
	g, err := d.group, d.err
	took := time.Since(g.startedAt)
	if g.detour {
		r.engine.metrics.detours.WithLabelValues(outcomeOf(d)).Inc()
	}
	switch {
	case err == nil && d.reply.Cut:
		g.peer.markCut(time.Now())
		r.engine.log.WithField("request", r.req.ID).WithField("peer", g.peer.node.VM).
			Info("relay: peer is cut off from the upstreams.")
	case err == nil:
		g.peer.stats.Answered(took)
		g.peer.recordRoundTrip(took - d.reply.Took)
	case errors.Is(err, peer.ErrUnsent):
		g.peer.stats.MarkGone()
	default:
		g.peer.stats.Failed()
		g.peer.stats.Abandoned(took)
	}
	if err != nil {
		r.engine.log.WithField("request", r.req.ID).WithField("peer", g.peer.node.VM).WithField("error", err.Error()).
			Warn("relay: gather call to peer failed.")
	}
}

// outcomeOf returns how a call to a peer ended, as a label of the metrics.
func outcomeOf(d groupDone) string {
	switch {
	case d.err != nil:
		return "failed"
	case d.reply.Cut:
		return "cut"
	case d.reply.NotRun:
		return "rejected"
	}
	return "answered"
}

// inGroup reports whether the records of the leg are in the body of a group.
func (r *run) inGroup(leg int) bool {
	for _, g := range r.groups {
		if g.answered && g.legs[leg] {
			return true
		}
	}
	return false
}

// cancelGroups cancels the calls to peers that have not replied.
func (r *run) cancelGroups() {
	for _, g := range r.groups {
		if g.startedAt.IsZero() || g.legs != nil {
			continue
		}
		g.peer.stats.Abandoned(time.Since(g.startedAt))
		r.engine.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(r.engine.baseCtx, time.Second)
			defer cancel()
			// A peer that cannot be reached stops at its deadline.
			_ = g.call(ctx, g.peer.node.Addr, GatherService+".Cancel", &CancelCall{ID: g.id}, &None{})
		})
	}
}
