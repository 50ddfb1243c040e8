package relay

import (
	"math/rand/v2"
	"time"

	"geraniumstep.org/geraniumstep/pkg/canary"
	"geraniumstep.org/geraniumstep/pkg/place"
)

// pick chooses an upstream of the service by its statistics, its limit and the time left
// until the target. It returns nil if there is none that may be sent the request in time. Extra
// requests are no trials of upstreams that recover.
func (r *run) pick(service string, extra bool, excluded func(u *upstream) bool) *upstream {
	p, ok := r.upstreams().byService[service]
	if !ok || len(p.stats) == 0 {
		return nil
	}
	nodes, left, now := r.engine.quotaNodes.Load(), r.timeLeft(), time.Now()
	penalty := place.RemotePenaltyWithin(time.Until(r.plan.SoftDeadline))
	usable := func(i int) (time.Duration, bool) {
		u := p.upstreams[i]
		if excluded(u) || u.down.isSet(now) || !u.advice.Accepts(now) {
			return 0, false
		}
		wait, ok := u.quota.Wait(nodes, r.route.Priority(), left)
		return wait + r.engine.connectTime(u), ok
	}
	selected, some := r.selectByPace(p, extra, now, usable)
	if some && selected.Trial >= 0 {
		return p.upstreams[selected.Trial]
	}
	i := place.PickDelayed(p.stats, now, penalty, rand.IntN(len(p.stats)), func(i int) (time.Duration, bool) {
		if some && selected.Held[i] {
			return 0, false
		}
		return usable(i)
	})
	if i < 0 {
		return nil
	}
	return p.upstreams[i]
}

// timeLeft returns the time until the target, or until the deadline once it has passed.
func (r *run) timeLeft() time.Duration {
	if left := time.Until(r.plan.SoftDeadline); left > 0 {
		return left
	}
	return time.Until(r.plan.Deadline)
}

// Down implements fanout.Deps.
func (r *run) Down(service string) bool {
	s, ok := r.upstreams().byService[service]
	return ok && r.gather && s.live(time.Now()) == 0
}

// MayRisk implements fanout.Deps.
func (r *run) MayRisk(service string, suspect bool) bool {
	if !r.gather {
		return true
	}
	d, now := r.upstreams(), time.Now()
	s, ok := d.byService[service]
	if !ok {
		return false
	}
	return canary.MayRisk(s.shard(now), d.lost(r.plan.Services, now), suspect)
}

// AvailableIn implements fanout.Deps. A service without upstreams may get one at any time.
func (r *run) AvailableIn(service string) (time.Duration, bool) {
	if !time.Now().Before(r.slotDeadline()) {
		return 0, false
	}
	p, ok := r.upstreams().byService[service]
	if !ok {
		return 0, true
	}
	if r.engine.links.IsCut() && !r.canServe() {
		return 0, false
	}
	return r.shortestWait(p)
}

// shortestWait returns the shortest time until one of the upstreams may be sent the request.
// It returns false if none may be before it is too late.
func (r *run) shortestWait(p *serviceUpstreams) (shortest time.Duration, ok bool) {
	nodes, left, now := r.engine.quotaNodes.Load(), r.timeLeft(), time.Now()
	for _, u := range p.upstreams {
		rest, accepts := u.advice.Wait(now, left)
		if !accepts {
			continue
		}
		wait, open := u.quota.Wait(nodes, r.route.Priority(), left)
		if wait = max(wait, rest); open && (!ok || wait < shortest) {
			shortest, ok = wait, true
		}
	}
	return shortest, ok
}

// nextTurn returns the time after which the request would find a turn in time at an upstream
// of one of its services that all limit their requests, rest or leave, or 0 if there is none. A node that
// has no part of the limits does not know, and returns defaultRetryAfter.
func (r *run) nextTurn() time.Duration {
	nodes, left, now := r.engine.quotaNodes.Load(), r.timeLeft(), time.Now()
	next := time.Duration(0)
	for _, service := range r.plan.Services {
		p, ok := r.directory.byService[service]
		if !ok {
			continue
		}
		if _, open := r.shortestWait(p); open {
			continue
		}
		earliest := time.Duration(0)
		for _, u := range p.upstreams {
			if u.advice.Leaving() {
				continue
			}
			late := max(u.quota.Late(nodes, r.route.Priority(), left), u.advice.RestLeft(now))
			if late > 0 && (earliest == 0 || late < earliest) {
				earliest = late
			}
		}
		if earliest == 0 {
			earliest = defaultRetryAfter
		}
		if next == 0 || earliest < next {
			next = earliest
		}
	}
	return next
}

// expected returns the estimated time to an answer of the service. It returns false if none
// of its upstreams may be sent the request in time.
func (r *run) expected(service string, now time.Time) (time.Duration, bool) {
	p, ok := r.directory.byService[service]
	if !ok {
		return 0, false
	}
	if r.gather && p.count(now, (*upstream).isUp) == 0 {
		return 0, false
	}
	wait, ok := r.shortestWait(p)
	if !ok {
		return 0, false
	}
	return wait + r.expectedOf(r.engine.atFullPace(p, now), now), true
}

// accepts reports whether the upstream neither leaves nor rests.
func (u *upstream) accepts(now time.Time) bool { return u.advice.Accepts(now) }
