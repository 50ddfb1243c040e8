package relay

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/fanout"
)

const (
	// stopMargin is the time before the end of a stop by which all requests must have been
	// answered, so that the answers reach their callers.
	stopMargin = 100 * time.Millisecond
	// stopWaitDivisor is the part of the target, one in so many, that a request may wait for a
	// slot in a stop. A rejection within it leaves the caller time for another node.
	stopWaitDivisor = 4
)

// StopBy makes the engine answer all requests by the time at which the process stops to serve.
// From now on it sends none that is not known to be answered by then.
func (e *Engine) StopBy(end time.Time) { e.finish.Begin(end.Add(-stopMargin)) }

// clip makes a plan end before the end of a stop.
func (e *Engine) clip(p *fanout.Plan) {
	p.SoftDeadline, p.Deadline = e.finish.Clip(p.SoftDeadline), e.finish.Clip(p.Deadline)
}

// fitsStop reports whether the request may be sent although the node may be stopping.
func (r *run) fitsStop() bool { return r.engine.finish.Fits(r.route.Name(), r.plan.Deadline) }

// latestSend returns when the request must be sent at the latest, if a stop ends before its
// deadline.
func (r *run) latestSend() (at time.Time, limited bool) {
	return r.engine.finish.LatestStart(r.route.Name(), r.plan.Deadline)
}

// slotDeadline returns how long an attempt may wait for a slot. In a stop it is short: how long a
// slot takes is not known, and another node may have one.
func (r *run) slotDeadline() time.Time {
	latest, limited := r.latestSend()
	if !limited {
		return r.plan.Deadline
	}
	if soon := r.req.Arrived.Add(r.route.Target() / stopWaitDivisor); soon.Before(latest) {
		return soon
	}
	return latest
}

// withdrawUnsent ends the attempts that have sent nothing.
func (r *run) withdrawUnsent() {
	for _, a := range r.attempts {
		if !a.sending() {
			a.cancel()
		}
	}
}
