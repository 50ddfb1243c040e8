package relay

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/quota"
)

// clockTolerance is how far the clock of an upstream may be behind this node's, when it states
// the time of its start.
const clockTolerance = time.Second

// coldRule bounds the requests to a cold upstream in any second. The zero value bounds none.
type coldRule struct {
	inForce       bool
	excess, slack float64
	// share tells the other nodes that an upstream is cold.
	share func(quota.ColdNews)
}

// WithCold bounds the requests that a cold upstream gets in any second from all nodes: excess
// times the rate that the configuration states for its service, and slack. share tells the
// other nodes that an upstream is cold. By default they are not bounded.
func WithCold(excess, slack float64, share func(quota.ColdNews)) Option {
	return func(e *Engine) { e.cold = coldRule{inForce: true, excess: excess, slack: slack, share: share} }
}

// boundCold sets what the upstream handles while it is cold by the configuration in force, and
// until when it is cold after its start. An upstream whose start is not known counts as started
// when this node first knew it.
func (e *Engine) boundCold(u *upstream) {
	routes := e.routes.Load()
	if !e.cold.inForce || routes == nil {
		return
	}
	c := routes.Cold(u.entry.Service())
	b := quota.NewBound(c.PerSecond, e.cold.excess, e.cold.slack).
		From(e.regions[u.entry.Domain()], routes.IsShard(u.entry.Service()))
	u.quota.SetBound(b)
	if !b.InForce() || c.For <= 0 {
		return
	}
	until := u.seenAt.Add(c.For)
	if started := u.entry.Started(); started > 0 {
		if t := time.UnixMilli(started).Add(c.For + clockTolerance); t.Before(until) {
			until = t
		}
	}
	e.coldUntil(u, until, "start")
}

// coldByEntry records until when the upstream is cold by an entry, which may be newer than the
// one with which the upstream was created.
func (e *Engine) coldByEntry(u *upstream, entry fleet.Entry) {
	if e.cold.inForce {
		e.coldUntil(u, entry.ColdUntil(), "entry")
	}
}

func (e *Engine) coldUntil(u *upstream, t time.Time, source string) {
	now := time.Now()
	wasCold := u.quota.ColdLeft(now) > 0
	u.quota.ColdUntil(t)
	if !wasCold && t.After(now) {
		e.logCold(u, source)
	}
	u.recoversWhenWarm(now)
}

// recoversWhenWarm makes the upstream's pace low after the time in which its requests are bounded.
func (u *upstream) recoversWhenWarm(now time.Time) {
	if left := u.quota.ColdLeft(now); left > 0 && u.quota.Bounded() {
		u.recoversAt(now.Add(left))
	}
}

// heardCold records what an answer to a request that was sent at a time states about whether the
// upstream is cold, and tells the other nodes if it is new.
func (e *Engine) heardCold(u *upstream, r proto.Reply, sentAt time.Time) {
	if !e.cold.inForce || !r.HasCold || !u.quota.HeardCold(r.ColdFor, sentAt) {
		return
	}
	e.logCold(u, "answer")
	u.recoversWhenWarm(time.Now())
	e.cold.share(quota.ColdNews{Upstream: u.entry.ID(), Started: u.entry.Started(), Left: r.ColdFor})
}

// LearnCold records the news of another node that an upstream is cold, and reports whether it
// was new.
func (e *Engine) LearnCold(n quota.ColdNews) bool {
	u, ok := e.upstreams.Load().byID[n.Upstream]
	if !e.cold.inForce || !ok || u.entry.Started() != n.Started || !u.quota.ToldCold(n.Left) {
		return false
	}
	e.logCold(u, "node")
	u.recoversWhenWarm(time.Now())
	return true
}

func (e *Engine) logCold(u *upstream, source string) {
	if !u.quota.Bounded() {
		return
	}
	e.log.WithFields(logrus.Fields{
		"upstream": u.entry.ID(), "service": u.entry.Service(), "source": source,
		"cold_ms": u.quota.ColdLeft(time.Now()).Milliseconds(), "part_per_s": u.quota.ColdPart(e.quotaNodes.Load()),
	}).Info("relay: upstream is cold and gets few requests.")
}

// isColdBound reports whether the upstream is cold and its requests are bounded for that.
func (e *Engine) isColdBound(u *upstream, now time.Time) bool {
	return e.cold.inForce && u.quota.ColdLeft(now) > 0 && u.quota.Bounded()
}

// mayProbe reports whether a probe now would be within what a cold upstream handles.
func (e *Engine) mayProbe(u *upstream, now time.Time) bool {
	if !e.isColdBound(u, now) {
		return true
	}
	_, ok := u.quota.Wait(e.quotaNodes.Load(), prio.Urgent, 0)
	return ok
}

// awaitColdTurn waits for the turn of a probe of a cold upstream. It returns false if there is
// none before the context is done. The probe itself is counted when it is sent.
func (e *Engine) awaitColdTurn(ctx context.Context, u *upstream) bool {
	if !e.isColdBound(u, time.Now()) {
		return true
	}
	wait, ok := u.quota.Wait(e.quotaNodes.Load(), prio.Urgent, probeTimeout)
	return ok && tasks.Sleep(ctx, wait)
}

// countUpstreams returns the number of upstreams for which the function is true.
func (e *Engine) countUpstreams(counts func(u *upstream, now time.Time) bool) float64 {
	now, n := time.Now(), 0
	for _, u := range e.upstreams.Load().byID {
		if counts(u, now) {
			n++
		}
	}
	return float64(n)
}

// upstreamGauges returns the metrics that are computed from the state of the upstreams.
func (e *Engine) upstreamGauges() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "geraniumstep_relay_cold_upstreams", Help: "Upstreams that are cold and get few requests."},
			func() float64 { return e.countUpstreams(e.isColdBound) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "geraniumstep_relay_recovering_upstreams", Help: "Upstreams that get less than their share of the requests, because they have started or recovered or are slow."},
			func() float64 { return e.countUpstreams(e.isBelowPace) }),
	}
}
