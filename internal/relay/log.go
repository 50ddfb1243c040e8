package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/fanout"
)

// logAttempt logs the end of an attempt. A traced search sends too many that answer for a line
// each; its trace shows the slowest.
func (r *run) logAttempt(d attemptDone) {
	if !r.engine.log.Logger.IsLevelEnabled(logrus.DebugLevel) || d.ok && r.tracer != nil {
		return
	}
	a := d.attempt
	fields := logrus.Fields{
		"request": r.req.ID, "leg": fanout.Leg(a.number), "upstream": a.upstream.entry.ID(), "domain": a.upstream.entry.Domain(),
		"reason": a.reason.String(), "ok": d.ok, "cause": d.cause, "waited_ms": d.waited.Milliseconds(),
		"took_ms": time.Since(a.placedAt).Milliseconds(),
	}
	if d.err != nil {
		fields["error"] = d.err.Error()
	}
	r.engine.log.WithFields(fields).Debug("relay: attempt ended.")
}

// log logs the answer to the request and updates the metrics.
func (r *run) log(a proto.Answer) {
	took := time.Since(r.req.Arrived)
	kind := proto.Kind(a)
	priority := r.route.Priority().String()
	r.engine.metrics.requests.WithLabelValues(priority, kind).Inc()
	r.engine.metrics.latency.WithLabelValues(priority).Observe(took.Seconds())
	answered := 0
	if r.machine != nil {
		answered = r.machine.Answered()
	}
	fields := logrus.Fields{
		"request": r.req.ID, "route": r.route.Name(), "version": r.version, "answer": kind, "verdict": r.verdict,
		"legs": len(r.plan.Services), "answered": answered, "extra": r.extras, "took_ms": took.Milliseconds(),
	}
	if r.lastCause != "" {
		fields["last_failure"] = r.lastCause
		fields["fingerprint"] = formatFingerprint(r.fingerprint)
	}
	if trials := r.engine.tracker.Trials(r.fingerprint); trials > 0 {
		fields["crash_trials"] = trials
	}
	r.engine.log.WithFields(fields).Info("relay: request ended.")
	r.logLegs()
}
