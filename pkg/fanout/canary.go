package fanout

import "time"

// awaitsCanary reports whether the legs wait until an upstream has run the canary to its
// end. The canary is a trial of the doubt, which its result resolves.
func (f *Fanout) awaitsCanary() bool { return len(f.plan.Canaries) > 0 && f.doubt.active }

// startCanary sends the canary, if there is to be one.
func (f *Fanout) startCanary(now time.Time) {
	if f.awaitsCanary() {
		f.nextCanary(now)
	}
}

// tickCanary sends another canary beside one that has had no result for too long, unless the
// upstream of an earlier one may have ended.
func (f *Fanout) tickCanary(now time.Time) {
	if !f.awaitsCanary() || f.secondCanary.IsZero() || now.Before(f.secondCanary) {
		return
	}
	f.secondCanary = time.Time{}
	if f.doubt.inTrial && !f.doubt.broken {
		f.doubt.inTrial = false
		if !f.sendCanary(now) {
			f.doubt.inTrial = true
		}
	}
}

// nextCanary sends the next canary if none is in flight. If no leg is left for it, the
// others are sent, unless one has crashed its upstream or would be too great a risk.
func (f *Fanout) nextCanary(now time.Time) {
	if !f.maySend() || f.sendCanary(now) {
		return
	}
	if f.doubt.broken || f.tooRisky {
		f.failIfIdle()
		return
	}
	f.doubt.active = false
}

// sendCanary sends the first of the legs left for it that has an upstream.
func (f *Fanout) sendCanary(now time.Time) bool {
	for f.maySend() && len(f.canaries) > 0 {
		i := f.canaries[0]
		f.canaries = f.canaries[1:]
		if f.legs[i].state != legOpen || f.legs[i].sends > 0 {
			continue
		}
		if !f.mayTry(i) {
			f.tooRisky = true
			continue
		}
		f.legs[i].held = false
		f.startLeg(i, now)
		if f.legs[i].sends > 0 {
			return true
		}
	}
	return false
}
