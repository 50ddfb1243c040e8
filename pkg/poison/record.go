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
	// doubtTime is how long a trial without a result counts. It is longer than the
	// check of an upstream usually takes.
	doubtTime = 3 * time.Second
	// heldTrials is the number of trials, with and without a result, from which a
	// request is held until those without have one.
	heldTrials = 2
)

// record holds what is known against one fingerprint. It is immutable.
type record struct {
	// trials is sorted by the time of the crash. doubted holds the trials without a
	// result, the oldest first.
	trials  []trial
	doubted []trial
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
	// presumed reports that the upstream was only unreachable after the send, and
	// withdrawn that it has responded since.
	presumed  bool
	withdrawn bool
	// spread reports that the request was sent to other upstreams too.
	spread bool
	// caller is the fingerprint of the caller's own request in the record of a content.
	caller Fingerprint
}

// maxSuspects bounds the suspects kept for each crash.
const maxSuspects = 16

// suspects holds who may have caused one crash, without canceled requests.
type suspects struct{ list []Fingerprint }

// crashed returns the record with the trial added, or false if it is known already or
// began before the last success.
func (r record) crashed(t trial) (record, bool) {
	if !t.sent.After(r.clearedAt.Add(clockTolerance)) {
		return r, false
	}
	doubted := len(r.doubted)
	r = r.resolved(t.crash)
	if i := slices.IndexFunc(r.trials, t.sameCrash); i >= 0 {
		if t.presumed || !r.trials[i].presumed {
			return r, len(r.doubted) != doubted
		}
		r.trials = slices.Delete(slices.Clone(r.trials), i, i+1)
	}
	trials := append(slices.Clone(r.trials), t)
	slices.SortStableFunc(trials, func(a, b trial) int { return a.ended.Compare(b.ended) })
	if len(trials) > maxTrials {
		i := redundant(trials)
		if i < 0 || trials[i].sameCrash(t) {
			return r, len(r.doubted) != doubted
		}
		trials = slices.Delete(trials, i, i+1)
	}
	r.trials = trials
	return r, true
}

// redundant returns the index of the last trial that counts together with one before it, or
// -1 if there is none. A search that crashes an upstream of each of many shards fills a
// record with such trials, and later ones must still count.
func redundant(trials []trial) int {
	last := -1
	var end time.Time
	for i, t := range trials {
		if i == 0 || t.separate || !t.sent.Before(end.Add(TrialGap)) {
			end = t.ended
			continue
		}
		last = i
	}
	return last
}

// sameCrash reports whether both trials ended in the same crash.
func (t trial) sameCrash(other trial) bool { return t.crash == other.crash }

// doubt returns the record with a trial added that has no result yet, or false if it is
// known already or began before the last success.
func (r record) doubt(t trial) (record, bool) {
	known := slices.ContainsFunc(r.trials, t.sameCrash) || slices.ContainsFunc(r.doubted, t.sameCrash)
	if known || len(r.doubted) >= maxTrials || !t.sent.After(r.clearedAt.Add(clockTolerance)) {
		return r, false
	}
	r.doubted = append(slices.Clone(r.doubted), t)
	return r, true
}

// withdraw returns the record without the doubt whether the upstream has crashed and, if
// the trial is presumed, without the presumption that it has. It returns false if there
// was neither.
func (r record) withdraw(t trial) (record, bool) {
	doubted := len(r.doubted)
	r = r.resolved(t.crash)
	i := slices.IndexFunc(r.trials, t.sameCrash)
	if i < 0 || !t.presumed || !r.trials[i].presumed || r.trials[i].withdrawn {
		return r, len(r.doubted) != doubted
	}
	r.trials = slices.Clone(r.trials)
	r.trials[i].withdrawn = true
	return r, true
}

// completed returns the record with crashes only that were not presumed, or false if it
// holds no other trials.
func (r record) completed() (record, bool) {
	trials := slices.DeleteFunc(slices.Clone(r.trials), func(t trial) bool { return t.presumed })
	if len(trials) == len(r.trials) && len(r.doubted) == 0 {
		return r, false
	}
	r.trials, r.doubted = trials, nil
	return r, true
}

// resolved returns the record without the trial that had no result.
func (r record) resolved(crash string) record {
	r.doubted = slices.DeleteFunc(slices.Clone(r.doubted), func(t trial) bool { return t.crash == crash })
	return r
}

// held reports whether the request must wait for the results of its trials.
func (r record) held(now time.Time) bool {
	open := 0
	for _, t := range r.doubted {
		if now.Sub(t.ended) < doubtTime {
			open++
		}
	}
	if open == 0 {
		return false
	}
	trials, _ := r.count(never, never)
	return open+trials >= heldTrials
}

// cleared returns the record without the trials that began before the success, or
// false if the success adds nothing to the last one.
func (r record) cleared(at time.Time) (record, bool) {
	trials := slices.DeleteFunc(slices.Clone(r.trials), func(t trial) bool { return !t.sent.After(at) })
	doubted := slices.DeleteFunc(slices.Clone(r.doubted), func(t trial) bool { return !t.sent.After(at) })
	if len(trials) == len(r.trials) && len(doubted) == len(r.doubted) && !at.After(r.clearedAt.Add(clockTolerance)) {
		return r, false
	}
	r.trials, r.doubted = trials, doubted
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

// count returns the number of consecutive trials that are not explained, and whether any
// of them was alone. Those that were not sent TrialGap after the crash of another count once.
func (r record) count(explained, alone func(t trial) bool) (trials int, anyAlone bool) {
	var end time.Time
	for _, t := range r.trials {
		if t.withdrawn || explained(t) {
			continue
		}
		if trials == 0 || t.separate || !t.sent.Before(end.Add(TrialGap)) {
			trials++
			end = t.ended
		}
		anyAlone = anyAlone || alone(t)
	}
	return trials, anyAlone
}

// isContent reports whether this is the record of a content.
func (r record) isContent() bool { return len(r.trials) > 0 && r.trials[0].caller != 0 }

// oneCaller reports whether this is the record of a content, and all its trials are of the
// same caller.
func (r record) oneCaller() bool {
	for i, t := range r.trials {
		if t.caller == 0 || i > 0 && t.caller != r.trials[0].caller {
			return false
		}
	}
	return len(r.trials) > 0
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
	if n := len(r.doubted); n > 0 && r.doubted[n-1].ended.Add(doubtTime).After(end) {
		end = r.doubted[n-1].ended.Add(doubtTime)
	}
	return end
}

func (r record) expired(now time.Time, retention time.Duration) bool {
	return !now.Before(r.expiry(retention))
}
