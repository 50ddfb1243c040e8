// Package poison identifies requests that crash upstreams, and distinguishes them
// from requests that were merely in flight at the same time.
//
// A request is identified by its fingerprint. A fingerprint that has completed on
// any upstream is proven. When an upstream crashes, every unproven fingerprint in
// flight on it becomes a suspect. Suspects run alone on an upstream, so that a
// second crash identifies exactly one of them. A fingerprint that was in flight in
// two separate crashes is quarantined for a bounded time:
//
//	t := poison.New()
//	reports := t.RecordCrash("seat-finder-3-a/1", inFlight)
//	switch t.Verdict(fingerprint) { case poison.Quarantined: … }
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

//go:generate go tool stringer -type Verdict -linecomment

// Verdict classifies a fingerprint.
type Verdict uint8

// The verdicts.
const (
	Novel       Verdict = iota // novel
	Proven                     // proven
	Suspect                    // suspect
	Quarantined                // quarantined
)

// Fingerprint identifies equal requests, regardless of the sender.
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

// Report records that one fingerprint was in flight in one crash.
type Report struct {
	Fingerprint Fingerprint `msgpack:"f"`
	// Crash identifies the crash by the upstream and the start time of its
	// process.
	Crash string    `msgpack:"c"`
	At    time.Time `msgpack:"t"`
}

const (
	defaultRetention = 10 * time.Minute
	defaultProven    = 1 << 16
	defaultRecords   = 1 << 14
	// quarantineCrashes is the number of separate crashes after which a
	// fingerprint is quarantined.
	quarantineCrashes = 2
)

// Tracker records the crashes and the proven fingerprints known to one node. It is
// safe for concurrent use.
type Tracker struct {
	retention time.Duration
	proven    *lru.Cache[Fingerprint, struct{}]
	records   *lru.Cache[Fingerprint, []Report]

	mu sync.Mutex
}

// Option configures a Tracker at construction.
type Option func(*options)

type options struct {
	retention time.Duration
	proven    int
	records   int
}

// WithRetention sets how long a crash counts against a fingerprint, and therefore
// how long a quarantine lasts. The default is 10 minutes.
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
	t := &Tracker{retention: o.retention}
	t.proven = newCache[struct{}](o.proven)
	t.records = newCache[[]Report](o.records)
	return t
}

func newCache[V any](size int) *lru.Cache[Fingerprint, V] {
	c, err := lru.New[Fingerprint, V](max(size, 1))
	if err != nil {
		panic("poison: create LRU cache: " + err.Error())
	}
	return c
}

// Verdict returns the classification of the fingerprint. Crashes take precedence
// over proof.
func (t *Tracker) Verdict(f Fingerprint) Verdict {
	if n := t.crashes(f); n >= quarantineCrashes {
		return Quarantined
	} else if n > 0 {
		return Suspect
	}
	if t.proven.Contains(f) {
		return Proven
	}
	return Novel
}

func (t *Tracker) crashes(f Fingerprint) int {
	if t.records.Len() == 0 {
		return 0
	}
	list, ok := t.records.Peek(f)
	if !ok {
		return 0
	}
	n := 0
	for _, r := range list {
		if time.Since(r.At) < t.retention {
			n++
		}
	}
	return n
}

// RecordCrash records a crash with the fingerprints in flight and returns the
// reports that other nodes should merge. Proven fingerprints are excluded, unless
// they ran alone.
func (t *Tracker) RecordCrash(crash string, inFlight []Fingerprint) []Report {
	var reports []Report
	for _, f := range inFlight {
		if len(inFlight) > 1 && t.proven.Contains(f) {
			continue
		}
		reports = append(reports, Report{Fingerprint: f, Crash: crash, At: time.Now()})
	}
	t.Merge(reports)
	return reports
}

// Merge adds reports from other nodes. A report that is already recorded has no
// effect.
func (t *Tracker) Merge(reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		t.add(r)
	}
}

func (t *Tracker) add(r Report) {
	if time.Since(r.At) >= t.retention {
		return
	}
	list, _ := t.records.Peek(r.Fingerprint)
	next := make([]Report, 0, len(list)+1)
	for _, known := range list {
		if known.Crash == r.Crash {
			return
		}
		if time.Since(known.At) < t.retention {
			next = append(next, known)
		}
	}
	t.records.Add(r.Fingerprint, append(next, r))
}

// RecordSuccess records that a request with the fingerprint completed, which clears
// a suspect but not a quarantined fingerprint.
func (t *Tracker) RecordSuccess(f Fingerprint) {
	if t.proven.Contains(f) && t.records.Len() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashes(f) >= quarantineCrashes {
		return
	}
	t.records.Remove(f)
	t.proven.Add(f, struct{}{})
}

// Reports returns all recorded crash reports, for a node that has just started.
func (t *Tracker) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Report
	for _, f := range t.records.Keys() {
		list, _ := t.records.Peek(f)
		all = append(all, list...)
	}
	return all
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
