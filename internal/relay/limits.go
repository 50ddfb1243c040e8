package relay

import (
	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/pkg/quota"
)

// heardLimit logs what an answer states about the upstream's limit if it has changed.
func (e *Engine) heardLimit(u *upstream, l quota.Limit) {
	if l == quota.Unstated || u.limit.Load() == nil && l == quota.None {
		return
	}
	if old := u.limit.Swap(&l); old != nil && *old == l {
		return
	}
	fields := logrus.Fields{"upstream": u.entry.ID(), "service": u.entry.Service()}
	if rate, ok := l.Rate(); ok {
		fields["limit_per_s"] = rate
		e.log.WithFields(fields).Info("relay: upstream limits its requests.")
		return
	}
	e.log.WithFields(fields).Info("relay: upstream no longer limits its requests.")
}
