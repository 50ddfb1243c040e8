package fanout

import "time"

// checkTime is how long a request pauses after a connection broke in a trial, so that
// the upstream can be checked and the result reach Deps.
const checkTime = 120 * time.Millisecond

// doubt limits the sends of a request that may be crashing its upstreams: one whose
// connections break before any upstream has run it to its end. Without it, a search
// that crashes upstreams would be sent to all replicas of all its shards. While the
// doubt lasts, the request is sent to one upstream at a time, the trial; all else waits.
type doubt struct {
	active bool
	// resolved is set once an upstream has run the request to its end.
	resolved bool
	// trial is the attempt of the trial in flight, if inTrial is set.
	trial   int
	inTrial bool
	// broken reports that a connection broke before any upstream had run the request
	// to its end.
	broken bool
	// pausedUntil is when the next trial may be sent, or zero. While the leader of
	// the request is ahead, it is when the other legs may be sent.
	pausedUntil time.Time
}

// lead holds all other legs until the given time, once the leader has been sent.
func (d *doubt) lead(until time.Time) {
	if !d.active {
		d.pausedUntil = until
	}
}

// resolve ends the doubt for good.
func (d *doubt) resolve() { *d = doubt{resolved: true} }

// failed updates the doubt with the end of an attempt.
func (d *doubt) failed(ev Failed, answered int, now time.Time) {
	wasTrial := d.inTrial && ev.Attempt == d.trial
	if wasTrial {
		d.inTrial = false
	}
	d.broken = d.broken || ev.Broken && !d.resolved
	switch {
	case ev.Ran:
		d.resolve()
	case !ev.Broken || d.resolved || answered > 0:
	case wasTrial:
		d.pausedUntil = now.Add(checkTime)
	case !d.active:
		d.active, d.pausedUntil = true, time.Time{}
	}
}

// updatePause extends a pause until the next trial counts, and ends it if its time has
// passed.
func (d *doubt) updatePause(now, nextTrial time.Time) {
	if d.active && !d.inTrial && nextTrial.After(d.pausedUntil) {
		d.pausedUntil = nextTrial
	}
	if !now.Before(d.pausedUntil) {
		d.pausedUntil = time.Time{}
	}
}

// sent records that an attempt is sent.
func (d *doubt) sent(attempt int) {
	if d.active {
		d.trial, d.inTrial, d.pausedUntil = attempt, true, time.Time{}
	}
}

// maySend reports whether the request may be sent to an upstream now.
func (f *Fanout) maySend() bool {
	if f.deps.Blocked() {
		return false
	}
	return f.doubt.pausedUntil.IsZero() && !(f.doubt.active && f.doubt.inTrial)
}

// mayTry reports whether the leg may be sent although the request may crash the upstream.
func (f *Fanout) mayTry(i int) bool {
	return !f.doubt.active || f.deps.MayRisk(f.plan.Services[i], f.doubt.broken || f.plan.Cautious)
}

// hold makes the leg wait until it may be sent.
func (f *Fanout) hold(i int) {
	f.legs[i].held = true
	f.holding = true
}

// releaseHeld sends the legs that were held and may be sent now. It fails them if the
// request is blocked, as soon as nothing is in flight whose answer would unblock it.
func (f *Fanout) releaseHeld(now time.Time) {
	if !f.holding {
		return
	}
	if f.deps.Blocked() {
		f.failIfIdle()
		return
	}
	if f.awaitsCanary() {
		f.nextCanary(now)
		return
	}
	f.holding = false
	for i := range f.legs {
		if !f.legs[i].held || f.legs[i].state != legOpen {
			continue
		}
		if !f.maySend() {
			f.holding = true
			return
		}
		if !f.mayTry(i) {
			f.holding = true
			continue
		}
		f.legs[i].held = false
		if f.legs[i].sends == 0 {
			f.startLeg(i, now)
		} else {
			f.retry(i, now)
		}
	}
	if f.holding && f.doubt.active && f.maySend() {
		f.failIfIdle()
	}
}

// failIfIdle fails all open legs if no attempt is in flight.
func (f *Fanout) failIfIdle() {
	for i := range f.legs {
		if len(f.legs[i].inFlight) > 0 {
			return
		}
	}
	for i := range f.legs {
		f.failLeg(i)
	}
}
