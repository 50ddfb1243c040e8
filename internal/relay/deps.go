package relay

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/retry"
)

// Pick implements fanout.Deps.
func (r *run) Pick(service string, tried []fanout.Upstream) (fanout.Upstream, bool) {
	if g, ok := r.grouped[service]; ok && len(tried) == 0 {
		delete(r.grouped, service)
		return g, true
	}
	u := r.directory.pick(service, time.Until(r.plan.SoftDeadline), func(u *upstream) bool { return contains(tried, u) })
	return u, u != nil
}

// ExpectedLatency implements fanout.Deps.
func (r *run) ExpectedLatency(service string, tried []fanout.Upstream) (time.Duration, bool) {
	u := r.directory.pick(service, time.Until(r.plan.SoftDeadline), func(u *upstream) bool { return contains(tried, u) })
	if u == nil {
		return 0, false
	}
	return u.stats.ExpectedLatency(time.Now()), true
}

// MaxUpstreams implements fanout.Deps.
func (r *run) MaxUpstreams(u fanout.Upstream) int {
	if _, ok := u.(*group); ok {
		return r.plan.MaxAttempts
	}
	return 1
}

// Reliable implements fanout.Deps.
func (r *run) Reliable(u fanout.Upstream) bool { return u.(*upstream).stats.Reliable(time.Now()) }

// HedgeAfter implements fanout.Deps.
func (r *run) HedgeAfter(u fanout.Upstream) time.Duration {
	return max(hedgeFactor*u.(*upstream).stats.ServiceTime(time.Now()), hedgeFloor)
}

// SpendSpeculative implements fanout.Deps.
func (r *run) SpendSpeculative(service string) bool { return r.spend(service, retry.Speculative) }

// SpendNeeded implements fanout.Deps.
func (r *run) SpendNeeded(service string) bool { return r.spend(service, retry.Needed) }

// count tells the budget about a first attempt that this node makes.
func (r *run) count(service string) { r.ledger().Count(service, 1) }

// ledger is the budget that the run's extra arrivals come from: nodes that reach
// shards share one among themselves.
func (r *run) ledger() *retry.Budget {
	if set := r.engine.peers.Load().set; r.gather && (set == nil || set.Gathers()) {
		return r.engine.shards
	}
	return r.engine.budget
}

func (r *run) spend(service string, use retry.Purpose) bool {
	if r.ledger().Spend(service, use) {
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
