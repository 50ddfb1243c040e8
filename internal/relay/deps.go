package relay

import (
	"slices"
	"time"

	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/place"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/retry"
)

// Pick implements fanout.Deps.
func (r *run) Pick(service string, tried []fanout.Upstream) (fanout.Upstream, bool) {
	if !r.fitsStop() {
		return nil, false
	}
	if g, ok := r.pendingGroups[service]; ok && len(tried) == 0 {
		delete(r.pendingGroups, service)
		return g, true
	}
	if r.engine.links.IsCut() {
		return r.pickInCut(service, tried)
	}
	u := r.pick(service, len(tried) > 0, func(u *upstream) bool { return contains(tried, u) })
	if u != nil && len(tried) > 0 {
		if g := r.hedgeGroup(u, tried); g != nil {
			return g, true
		}
	}
	return u, u != nil
}

// pickInCut chooses an upstream with a live connection, or a peer.
func (r *run) pickInCut(service string, tried []fanout.Upstream) (fanout.Upstream, bool) {
	if r.engine.links.HasLive() {
		if u := r.pick(service, true, func(u *upstream) bool { return contains(tried, u) || !u.pool.HasIdle() }); u != nil {
			return u, true
		}
	}
	if !r.mustDetour() {
		return nil, false
	}
	g := r.detour(tried, r.plan.MaxAttempts-r.reached(service))
	return g, g != nil
}

// reached returns how many upstreams the leg of the service may have reached.
func (r *run) reached(service string) int {
	return r.machine.Reached(slices.Index(r.plan.Services, service))
}

// ExpectedLatency implements fanout.Deps.
func (r *run) ExpectedLatency(service string, tried []fanout.Upstream) (time.Duration, bool) {
	u := r.pick(service, true, func(u *upstream) bool { return contains(tried, u) })
	if u == nil {
		return 0, false
	}
	return u.stats.ExpectedLatency(time.Now()) + r.engine.connectTime(u), true
}

// MaxUpstreams implements fanout.Deps. A group may use all attempts of a leg.
func (r *run) MaxUpstreams(u fanout.Upstream) int {
	if g, ok := u.(*peerGroup); ok {
		return g.upstreamLimit
	}
	return 1
}

// Reliable implements fanout.Deps.
func (r *run) Reliable(u fanout.Upstream) bool { return statsOf(u).Reliable(time.Now()) }

// statsOf returns the statistics of an upstream or a peer.
func statsOf(u fanout.Upstream) *place.Stats {
	if g, ok := u.(*peerGroup); ok {
		return g.peer.stats
	}
	return u.(*upstream).stats
}

// SpendSpeculative implements fanout.Deps.
func (r *run) SpendSpeculative(service string) bool { return r.spend(service, retry.Speculative) }

// SpendNeeded implements fanout.Deps.
func (r *run) SpendNeeded(service string) bool { return r.spend(service, retry.Needed) }

// Blocked implements fanout.Deps.
func (r *run) Blocked() bool {
	return r.classify() == poison.Quarantined
}

// uncheckedInterval is how often it is reviewed whether upstreams have been checked.
const uncheckedInterval = 20 * time.Millisecond

// NextTrial implements fanout.Deps. A trial that is sent before it is known whether the
// upstream of the last one has ended would not count.
func (r *run) NextTrial() time.Time {
	now := time.Now()
	for _, u := range r.broken {
		if u.down.isUncertain(now) && !u.down.isSet(now) {
			return now.Add(uncheckedInterval)
		}
	}
	next := r.engine.tracker.NextTrial(r.fingerprint)
	if t := r.engine.tracker.NextTrial(r.content); t.After(next) && !r.isProven() {
		return t
	}
	return next
}

// countFirst counts a first attempt by this node, which adds to the budget.
func (r *run) countFirst(service string) { r.extraBudget().Count(service, 1) }

// extraBudget returns the budget for the run's hedges and retries. Nodes that send
// requests to shards share a separate one.
func (r *run) extraBudget() *retry.Budget {
	if set := r.engine.peers.Load().set; r.gather && (set == nil || set.Gathers()) {
		return r.engine.shardBudget
	}
	return r.engine.budget
}

func (r *run) spend(service string, use retry.Purpose) bool {
	if r.extraBudget().Spend(service, use) {
		return true
	}
	r.engine.metrics.denied.Inc()
	return false
}

func contains(tried []fanout.Upstream, u *upstream) bool {
	for _, t := range tried {
		if t == fanout.Upstream(u) {
			return true
		}
	}
	return false
}
