package poison

import (
	"slices"
	"time"
)

const (
	// crashesAlone is the number of crashing trials after which a fingerprint is
	// quarantined if it was the only suspect of one of them. One crash may be a
	// coincidence.
	crashesAlone = 2
	// crashesToConvict is that number if it always had company, or if it has
	// completed before.
	crashesToConvict = 3
	// TrialGap is the time after a crash within which further crashes belong to the
	// same trial. Upstreams of a failure domain that goes down crash one after the
	// other, and requests are sent again at once to some that are about to.
	TrialGap = 300 * time.Millisecond
	// clockTolerance is the error of a time that another node reported as an age,
	// because of the message's delay.
	clockTolerance = 200 * time.Millisecond
	// rejectionInterval is the resolution at which rejections are recorded. It is
	// longer than the delay of messages, so that a report that returns to its
	// sender is not taken for a new rejection.
	rejectionInterval = 5 * time.Second
	// maxTrials bounds the crashes kept for each fingerprint.
	maxTrials = 32
)

// record holds what is known against one fingerprint. It is immutable.
type record struct {
	// trials is sorted by the time of the crash.
	trials []trial
	// rejectedAt is when a request was last rejected. clearedAt is when one last
	// completed while under suspicion.
	rejectedAt time.Time
	clearedAt  time.Time
}

// trial is a send that ended in a crash.
type trial struct {
	crash string
	sent  time.Time
	ended time.Time
	// canceled reports that the request may not have run, and separate that it is a
	// trial of its own whenever it was sent.
	canceled bool
	separate bool
}

// suspects holds who may have caused one crash, without canceled requests.
type suspects struct {
	first Fingerprint
	// several reports whether there are more suspects than first.
	several bool
}

// crashed returns the record with the trial added, or false if it is known already or
// began before the last success.
func (r record) crashed(t trial) (record, bool) {
	known := slices.ContainsFunc(r.trials, func(k trial) bool { return k.crash == t.crash })
	if known || len(r.trials) >= maxTrials || !t.sent.After(r.clearedAt.Add(clockTolerance)) {
		return r, false
	}
	r.trials = append(slices.Clone(r.trials), t)
	slices.SortStableFunc(r.trials, func(a, b trial) int { return a.ended.Compare(b.ended) })
	return r, true
}

// cleared returns the record without the trials that began before the success, or
// false if the success adds nothing to the last one.
func (r record) cleared(at time.Time) (record, bool) {
	trials := slices.DeleteFunc(slices.Clone(r.trials), func(t trial) bool { return !t.sent.After(at) })
	if len(trials) == len(r.trials) && !at.After(r.clearedAt.Add(clockTolerance)) {
		return r, false
	}
	r.trials = trials
	if at.After(r.clearedAt) {
		r.clearedAt = at
	}
	return r, true
}

// rejected returns the record with the time of a rejection, or false if that adds
// nothing to the last one.
func (r record) rejected(at time.Time) (record, bool) {
	if len(r.trials) == 0 || !at.After(r.rejectedAt.Add(rejectionInterval)) {
		return r, false
	}
	r.rejectedAt = at
	return r, true
}

// count returns the number of consecutive trials, and whether any of them was alone.
// Those that were not sent TrialGap after the crash of another count once.
func (r record) count(alone func(crash string) bool) (trials int, anyAlone bool) {
	var end time.Time
	for _, t := range r.trials {
		if trials == 0 || t.separate || !t.sent.Before(end.Add(TrialGap)) {
			trials++
			end = t.ended
		}
		anyAlone = anyAlone || alone(t.crash)
	}
	return trials, anyAlone
}

// expiry returns when the record ends if nothing more is reported.
func (r record) expiry(retention time.Duration) time.Time {
	crashed := r.clearedAt
	if n := len(r.trials); n > 0 {
		crashed = r.trials[n-1].ended
	}
	end := crashed.Add(retention)
	if prolonged := r.rejectedAt.Add(retention); prolonged.After(end) {
		end = prolonged
	}
	if latest := crashed.Add(max(maxQuarantine, retention)); end.After(latest) {
		end = latest
	}
	return end
}

func (r record) expired(now time.Time, retention time.Duration) bool {
	return !now.Before(r.expiry(retention))
}
