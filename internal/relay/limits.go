package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/pkg/quota"
)

// WithLimitNews sets the function that sends news of limits to the other nodes. By default
// they are not told.
func WithLimitNews(share func(quota.News)) Option { return func(e *Engine) { e.shareLimit = share } }

// SetQuotaNodes sets the nodes that divide the limits of upstreams.
func (e *Engine) SetQuotaNodes(n *quota.Nodes) {
	for {
		old := e.quotaNodes.Load()
		if e.quotaNodes.CompareAndSwap(old, n.After(old)) {
			return
		}
	}
}

// heardLimit records what an answer states about the upstream's limit, and sends it to the
// other nodes if it is new.
func (e *Engine) heardLimit(u *upstream, l quota.Limit) {
	if !u.quota.Heard(l) {
		return
	}
	e.logLimit(u, l, "answer")
	e.shareLimit(quota.NewsOf(u.entry.ID(), u.entry.Started(), l))
}

// LearnLimit records news of another node, and reports whether it was new.
func (e *Engine) LearnLimit(n quota.News) bool {
	u, ok := e.upstreams.Load().byID[n.Upstream]
	if !ok || u.entry.Started() != n.Started {
		return false
	}
	l := n.Limit()
	if !u.quota.Told(l, time.Now().Add(-max(n.Age, 0))) {
		return false
	}
	e.logLimit(u, l, "node")
	return true
}

func (e *Engine) logLimit(u *upstream, l quota.Limit, source string) {
	fields := logrus.Fields{"upstream": u.entry.ID(), "service": u.entry.Service(), "source": source}
	if rate, ok := l.Rate(); ok {
		fields["limit_per_s"], fields["part_per_s"] = rate, u.quota.Part(e.quotaNodes.Load())
		e.log.WithFields(fields).Info("relay: upstream limits its requests.")
		return
	}
	e.log.WithFields(fields).Info("relay: upstream no longer limits its requests.")
}
