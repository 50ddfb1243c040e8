// Package poison identifies requests that crash upstreams, and distinguishes them
// from requests that were merely in flight at the same time.
//
// A request is identified by its fingerprint. A fingerprint that has completed on any
// upstream is proven. When an upstream crashes, every unproven fingerprint in flight
// on it becomes a suspect, and a success clears it. A fingerprint is quarantined for a
// bounded time after two trials that ended in a crash, if it was the only suspect of
// one of them, and after three trials otherwise. A trial is a send that began some time
// after the crash of the trial before: crashes at the same moment, such as those of a
// failure domain or of all shards of one search, are one trial.
//
// A crash that is only presumed never counts as that of an only suspect, nor against a
// proven fingerprint, and can be withdrawn. A trial without a result yet is doubted; two of
// them hold the fingerprint. A crash does not count against a suspect if another one of it
// has crashed more upstreams, which explains it.
//
//	t := poison.New()
//	reports := t.RecordCrash("seat-finder-3-a/1", crashedAt, inFlight)
//	switch t.Verdict(fingerprint) { case poison.Quarantined: … }
//
// Equal requests of several callers have a content fingerprint in common. It has trials and
// successes of its own, and is quarantined only if requests of two callers have crashed
// upstreams and none has completed since: a request may crash upstreams for one caller and
// be proper for another.
//
// Reports are small and idempotent. Nodes send them to each other and pass the
// received ones to Merge.
package poison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

//go:generate go tool stringer -type Verdict,Kind -linecomment -output enums_string.go

// Verdict classifies a fingerprint.
type Verdict uint8

// The verdicts.
const (
	Novel       Verdict = iota // novel
	Proven                     // proven
	Suspect                    // suspect
	Quarantined                // quarantined
)

// Fingerprint identifies equal requests.
type Fingerprint uint64

// FingerprintOf computes the fingerprint of a request from its body and other parts.
func FingerprintOf(body []byte, parts ...string) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Run is a request that was in flight on an upstream.
type Run struct {
	Fingerprint Fingerprint
	// Sent is when it was sent there. If it is zero, the crash is a trial of its
	// own, as for senders that send unproven requests to one upstream at a time.
	Sent time.Time
	// Canceled reports that the call was canceled shortly before the crash, so that
	// the upstream may or may not have run it.
	Canceled bool
	// Spread reports that the request was sent to other upstreams too.
	Spread bool
	// Content identifies requests that differ only in their caller, or is 0. Their
	// crashes count together, beside those of each caller.
	Content Fingerprint
}

const (
	// heldInterval is how often a request that is held asks whether it still is.
	heldInterval     = 50 * time.Millisecond
	defaultRetention = 10 * time.Minute
	// maxQuarantine bounds a quarantine that repeated requests prolong. It counts
	// from the last crash.
	maxQuarantine  = 24 * time.Hour
	defaultProven  = 1 << 16
	defaultRecords = 1 << 14
)

// Tracker records the crashes and the proven fingerprints known to one node. It is
// safe for concurrent use.
type Tracker struct {
	retention time.Duration
	// proven maps a fingerprint to the time of its last success.
	proven  *lru.Cache[Fingerprint, time.Time]
	records *lru.Cache[Fingerprint, record]
	// crashes holds the suspects of each crash.
	crashes *lru.Cache[string, suspects]

	mu      sync.Mutex
	claimed map[Fingerprint]bool
	alert   alert
}

// Option configures a Tracker at construction.
type Option func(*options)

type options struct {
	retention time.Duration
	proven    int
	records   int
}

// WithRetention sets how long a crash counts against a fingerprint, and therefore how
// long a quarantine lasts after the last crash or the last rejected request. The
// default is 10 minutes.
func WithRetention(d time.Duration) Option { return func(o *options) { o.retention = d } }

// WithProven sets the maximum number of recorded proven fingerprints. The default
// is 65,536.
func WithProven(n int) Option { return func(o *options) { o.proven = n } }

// New returns a Tracker without records.
func New(opts ...Option) *Tracker {
	o := options{retention: defaultRetention, proven: defaultProven, records: defaultRecords}
	for _, opt := range opts {
		opt(&o)
	}
	return &Tracker{
		retention: o.retention,
		proven:    newCache[Fingerprint, time.Time](o.proven),
		records:   newCache[Fingerprint, record](o.records),
		crashes:   newCache[string, suspects](o.records),
		claimed:   make(map[Fingerprint]bool),
	}
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	c, err := lru.New[K, V](max(size, 1))
	if err != nil {
		panic("poison: create LRU cache: " + err.Error())
	}
	return c
}

// Verdict returns the classification of the fingerprint. Crashes take precedence
// over proof.
func (t *Tracker) Verdict(f Fingerprint) Verdict {
	proven := t.proven.Contains(f)
	trials, alone := t.count(f)
	r, all := t.recordOf(f)
	if (trials >= crashesToConvict || trials >= crashesAlone && alone && !proven) && !r.oneCaller() {
		return Quarantined
	}
	if all > 0 {
		return Suspect
	}
	if proven {
		return Proven
	}
	return Novel
}

// Trials returns the number of trials of the fingerprint that ended in a crash and count
// against it.
func (t *Tracker) Trials(f Fingerprint) int {
	trials, _ := t.count(f)
	return trials
}

// count returns the number of trials of the fingerprint that ended in a crash and that no
// other request explains, and whether it was the only suspect of one of them.
func (t *Tracker) count(f Fingerprint) (trials int, alone bool) {
	if t.records.Len() == 0 {
		return 0, false
	}
	r, all := t.recordOf(f)
	if all == 0 {
		return 0, false
	}
	return r.count(func(tr trial) bool { return t.isExplained(tr, f, all) }, func(tr trial) bool { return t.isAlone(tr, f) })
}

// recordOf returns the record of a fingerprint unless it has expired, and the number of its
// trials, explained or not.
func (t *Tracker) recordOf(f Fingerprint) (record, int) {
	r, ok := t.records.Peek(f)
	if !ok || r.expired(time.Now(), t.retention) {
		return record{}, 0
	}
	trials, _ := r.count(never, never)
	return r, trials
}

func never(trial) bool { return false }

// isAlone reports whether the fingerprint is the only suspect of a crash that is proven.
func (t *Tracker) isAlone(tr trial, f Fingerprint) bool {
	s, _ := t.crashes.Peek(tr.crash)
	return !tr.presumed && len(s.list) == 1 && s.list[0] == f
}

// isExplained reports whether the crash is explained by another of its suspects, which has
// crashed upstreams more often. Of two that did equally often, one explains the other; if it
// is the wrong one, the other's next crash corrects it.
func (t *Tracker) isExplained(tr trial, f Fingerprint, trials int) bool {
	s, _ := t.crashes.Peek(tr.crash)
	for _, other := range s.list {
		if other == f {
			continue
		}
		_, n := t.recordOf(other)
		if n >= crashesToConvict && (n > trials || n == trials && other > f) {
			return true
		}
	}
	return false
}

// NextTrial returns the time from which another crash of the fingerprint would be another
// trial. It is in the past if none is on record. While the fingerprint is held, it is a
// time at which to ask again.
func (t *Tracker) NextTrial(f Fingerprint) time.Time {
	r, ok := t.records.Peek(f)
	if !ok {
		return time.Time{}
	}
	if now := time.Now(); r.held(now) {
		return now.Add(heldInterval)
	}
	if len(r.trials) == 0 {
		return time.Time{}
	}
	return r.trials[len(r.trials)-1].ended.Add(TrialGap)
}

// Succeeded reports whether a request with the fingerprint has completed since the
// given time.
func (t *Tracker) Succeeded(f Fingerprint, since time.Time) bool {
	at, ok := t.proven.Peek(f)
	return ok && at.After(since)
}

// RecordCrash records a crash at the given time with the requests in flight and
// returns the reports that other nodes should merge. Proven fingerprints are excluded,
// unless they ran alone. The crash is identified by the upstream and the start time of its
// process.
func (t *Tracker) RecordCrash(crash string, at time.Time, inFlight []Run) []Report {
	return t.record(Report{Kind: Crashed, Crash: crash}, at, inFlight)
}

// RecordPresumedCrash is RecordCrash for an upstream that was only found unreachable. It
// takes three such trials to quarantine a fingerprint, and a proven one is not suspected.
func (t *Tracker) RecordPresumedCrash(crash string, at time.Time, inFlight []Run) []Report {
	return t.record(Report{Kind: Crashed, Crash: crash, Presumed: true}, at, inFlight)
}

// RecordDoubt records that an upstream may have crashed. RecordCrash,
// RecordPresumedCrash, EndDoubt or Withdraw resolve the doubt.
func (t *Tracker) RecordDoubt(crash string, at time.Time, inFlight []Run) []Report {
	return t.record(Report{Kind: Doubted, Crash: crash, Presumed: true}, at, inFlight)
}

// EndDoubt records that the doubt whether an upstream has crashed under the requests is
// resolved: it has not, or it did not run them.
func (t *Tracker) EndDoubt(crash string, runs []Run) []Report {
	return t.mergeEach(Report{Kind: Withdrawn, Crash: crash}, runs)
}

// Withdraw records that an upstream whose crash was presumed has not crashed.
func (t *Tracker) Withdraw(crash string, runs []Run) []Report {
	return t.mergeEach(Report{Kind: Withdrawn, Crash: crash, Presumed: true}, runs)
}

// mergeEach merges the reports about each run, which the template completes.
func (t *Tracker) mergeEach(template Report, runs []Run) []Report {
	var reports []Report
	for _, run := range runs {
		reports = append(reports, template.about(run)...)
	}
	return t.Merge(reports)
}

// Held reports whether the fingerprint must wait until it is known whether upstreams have
// crashed under it.
func (t *Tracker) Held(f Fingerprint) bool {
	r, ok := t.records.Peek(f)
	return ok && len(r.doubted) > 0 && r.held(time.Now())
}

// record merges a report for each run, which the template completes.
func (t *Tracker) record(template Report, at time.Time, inFlight []Run) []Report {
	now := time.Now()
	template.Age = max(now.Sub(at), 0)
	var reports []Report
	for _, run := range inFlight {
		r := template
		r.Canceled, r.Separate, r.Spread = run.Canceled, run.Sent.IsZero(), run.Spread
		if !run.Sent.IsZero() {
			r.Ran = max(at.Sub(run.Sent), 0)
		}
		for _, r := range r.about(run) {
			if (len(inFlight) == 1 && !template.Presumed) || !t.proven.Contains(r.Fingerprint) {
				reports = append(reports, r)
			}
		}
	}
	t.mergeAt(reports, now)
	return reports
}

// RecordSuccess records that a request with the fingerprint completed, which clears
// a suspect, and a quarantined content, but not a quarantined request. It returns the reports that other
// nodes should merge.
func (t *Tracker) RecordSuccess(f Fingerprint) []Report {
	now := time.Now()
	if t.records.Len() == 0 {
		t.proven.Add(f, now)
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records.Peek(f)
	if t.Verdict(f) == Quarantined && !r.isContent() {
		return nil
	}
	t.proven.Add(f, now)
	t.alert.clear(f)
	if !ok || len(r.trials)+len(r.doubted) == 0 {
		return nil
	}
	t.records.Add(f, record{clearedAt: now})
	return []Report{{Kind: Cleared, Fingerprint: f}}
}

// Clear ends the suspicion against a fingerprint as if a request with it had just
// completed. It returns the reports that other nodes should merge.
func (t *Tracker) Clear(f Fingerprint) []Report {
	return t.Merge([]Report{{Kind: Cleared, Fingerprint: f}})
}

// Remaining returns how long the quarantine of the fingerprint lasts, provided that no
// further request with it arrives.
func (t *Tracker) Remaining(f Fingerprint) time.Duration {
	r, ok := t.records.Peek(f)
	if !ok {
		return 0
	}
	return max(time.Until(r.expiry(t.retention)), 0)
}

// RecordRejection records that a quarantined request has been rejected. Its quarantine
// lasts for the retention from now, because it is still being sent, but at most
// maxQuarantine from the last crash.
func (t *Tracker) RecordRejection(f Fingerprint) {
	t.Merge([]Report{{Kind: Rejected, Fingerprint: f}})
}

// Claim reports whether a suspect may be sent now, and reserves it if so. Equal
// requests run one at a time while they are under suspicion. The caller must call
// Release afterward.
func (t *Tracker) Claim(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.claimed[f] {
		return false
	}
	t.claimed[f] = true
	return true
}

// Release ends a reservation by Claim.
func (t *Tracker) Release(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.claimed, f)
}

// Quarantined returns the fingerprints that are quarantined.
func (t *Tracker) Quarantined() []Fingerprint {
	var list []Fingerprint
	for _, f := range t.records.Keys() {
		if t.Verdict(f) == Quarantined {
			list = append(list, f)
		}
	}
	return list
}

// Counts returns the number of suspect and of quarantined fingerprints.
func (t *Tracker) Counts() (suspects, quarantined int) {
	for _, f := range t.records.Keys() {
		switch t.Verdict(f) {
		case Suspect:
			suspects++
		case Quarantined:
			quarantined++
		case Novel, Proven:
		}
	}
	return suspects, quarantined
}
