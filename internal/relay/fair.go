package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/pkg/admit"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/place"
)

// isFair reports whether the configuration has workspaces, which then share the upstreams by
// max-min fairness.
func (e *Engine) isFair() bool {
	s := e.routes.Load()
	return s != nil && s.Workspaces() != nil
}

// setFair makes the gates of all upstreams follow the configuration.
func (e *Engine) setFair() {
	on := e.isFair()
	for _, u := range e.upstreams.Load().byID {
		if u.fair.Swap(on) != on {
			u.gate.Apply(gate.SetFair{On: on})
		}
	}
}

// expectedOf returns the estimated time to an answer of one of the upstreams.
func (r *run) expectedOf(p *serviceUpstreams, now time.Time) time.Duration {
	list, stats := p.candidates(now)
	if !r.engine.isFair() {
		return place.ExpectedLatency(stats, now)
	}
	d, _ := place.ShortestExpected(stats, now, func(i int) time.Duration {
		return stats[i].ExpectedAmong(now, stats[i].InFlight(), int(list[i].slots.Load()))
	})
	return d
}

// candidates returns the upstreams that accept requests, or all if none does, and their
// statistics.
func (s *serviceUpstreams) candidates(now time.Time) ([]*upstream, []*place.Stats) {
	if s.count(now, (*upstream).accepts) == len(s.upstreams) {
		return s.upstreams, s.stats
	}
	accepting := s.filter(func(u *upstream) bool { return u.accepts(now) })
	if len(accepting.upstreams) == 0 {
		return s.upstreams, s.stats
	}
	return accepting.upstreams, accepting.stats
}

// decideShare decides on a request that is expected later than the target. The workspace's
// requests above its share are rejected, the others if they cannot meet the deadline.
func (r *run) decideShare(now time.Time) admit.Decision {
	legs := make([]admit.Leg, 0, len(r.plan.Services))
	for _, service := range r.plan.Services {
		if _, ok := r.expected(service, now); !ok {
			continue
		}
		wait, _ := r.shortestWait(r.directory.byService[service])
		legs = append(legs, r.leg(service, wait, now))
	}
	untilTarget, untilDeadline := r.plan.SoftDeadline.Sub(now), r.plan.Deadline.Sub(now)
	if r.machine != nil {
		// The request has ended, and only the time after which to return is asked for.
		return admit.DecideShare(legs, r.plan.MinAnswered, untilTarget, untilDeadline)
	}
	return r.engine.shares.Decide(now, admit.Request{
		Workspace: r.share(), Priority: r.route.Priority(), Legs: legs, MinAnswered: r.plan.MinAnswered,
		UntilTarget: untilTarget, UntilDeadline: untilDeadline,
	})
}

// leg returns what the request expects at the upstream whose turn comes first.
func (r *run) leg(service string, wait time.Duration, now time.Time) admit.Leg {
	list, stats := r.engine.atFullPace(r.directory.byService[service], now).candidates(now)
	positions := make([]gate.Position, len(list))
	turn, best := place.ShortestExpected(stats, now, func(i int) time.Duration {
		positions[i] = list[i].gate.Position(r.route.Priority(), r.share())
		return stats[i].ExpectedBehind(now, positions[i].Running+positions[i].Ahead, positions[i].Limit)
	})
	pos, share := positions[best], time.Duration(0)
	if stats[best].InFlight() > 0 {
		share = stats[best].ExpectedAmong(now, pos.Share, pos.Limit)
	}
	return admit.Leg{Share: wait + share, Turn: wait + turn, Own: pos.Own}
}

// rejected records a rejection and returns its reason.
func (r *run) rejected(reject admit.Reject) (reason string) {
	e := r.engine
	e.metrics.rejected.WithLabelValues(reject.Cause.String()).Inc()
	switch reject.Cause {
	case admit.CauseShare:
		r.verdict = "above_share"
		if e.shares.RecordAbove(time.Now(), r.share()) {
			e.log.WithFields(logrus.Fields{"request": r.req.ID, "workspace": r.workspace, "route": r.route.Name(), "priority": r.route.Priority().String()}).
				Info("relay: workspace exceeds its share while room is short; its requests above the share are rejected.")
		}
		return "the workspace has more requests in progress than its share"
	case admit.CauseDeadline:
		r.verdict = "rejected"
		return "queues are longer than the time until the deadline"
	case admit.CauseQueues:
	}
	r.verdict = "rejected"
	return "queues are longer than the target"
}
