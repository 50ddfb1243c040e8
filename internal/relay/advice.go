package relay

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/pkg/advice"
)

// WithLeavingNews sets the function that tells the other nodes that an upstream leaves. By
// default they are not told.
func WithLeavingNews(share func(advice.News)) Option {
	return func(e *Engine) { e.shareLeaving = share }
}

// heardAdvice records what an answer says of its upstream, and tells the other nodes if it
// leaves. A rest is asked of this node alone.
func (e *Engine) heardAdvice(u *upstream, a advice.Advice) {
	if a.Rest > 0 {
		e.metrics.rests.Inc()
		e.log.WithFields(logrus.Fields{"upstream": u.entry.ID(), "service": u.entry.Service(), "rest_ms": a.Rest.Milliseconds()}).
			Info("relay: upstream asks for no requests for some time.")
	}
	leaves := u.advice.Hear(a, time.Now(), rand.Float64())
	u.recoversAfterRest(a)
	if a.Rest > 0 {
		u.intake.withdraw(withdrawResting)
	}
	if leaves {
		u.intake.end(withdrawLeaving)
		e.logLeaving(u, "answer")
		e.shareLeaving(advice.News{Upstream: u.entry.ID(), Started: u.entry.Started()})
	}
}

// LearnLeaving records the news of another node, and reports whether it was new.
func (e *Engine) LearnLeaving(n advice.News) bool {
	u, ok := e.upstreams.Load().byID[n.Upstream]
	if !ok || u.entry.Started() != n.Started || !u.advice.Hear(advice.Advice{Leaving: true}, time.Now(), 0) {
		return false
	}
	u.intake.end(withdrawLeaving)
	e.logLeaving(u, "node")
	return true
}

func (e *Engine) logLeaving(u *upstream, source string) {
	e.log.WithFields(logrus.Fields{"upstream": u.entry.ID(), "service": u.entry.Service(), "source": source}).
		Info("relay: upstream says that it leaves; it gets no new requests.")
}
