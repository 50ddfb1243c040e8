// Package poison tells requests that crash upstreams from the innocent ones
// that were in flight beside them.
//
// A request is known by its fingerprint. One that has completed anywhere is
// proven. When an upstream crashes, every unproven fingerprint in flight on it
// becomes a suspect, and suspects run alone on an upstream, so that a second
// crash convicts exactly one. A fingerprint that was in flight in two separate
// crashes is quarantined for a bounded time:
//
//	t := poison.New()
//	news := t.Crashed("seat-finder-3-a/1", inFlight)
//	switch t.Judge(fingerprint) { case poison.Quarantined: … }
//
// Reports are small and idempotent; nodes send them to each other and Merge
// what they receive.
package poison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

//go:generate go tool stringer -type Verdict -linecomment

// Verdict is what is known of a fingerprint.
type Verdict uint8

// The verdicts.
const (
	Novel       Verdict = iota // novel
	Proven                     // proven
	Suspect                    // suspect
	Quarantined                // quarantined
)

// Fingerprint identifies equal requests, whoever sends them.
type Fingerprint uint64

// FingerprintOf computes the fingerprint of a request from its parts.
func FingerprintOf(parts ...string) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return Fingerprint(d.Sum64())
}

// Report tells of one fingerprint in flight in one crash.
type Report struct {
	Fingerprint Fingerprint `msgpack:"f"`
	// Crash identifies the crash: the upstream and when it came up.
	Crash string    `msgpack:"c"`
	At    time.Time `msgpack:"t"`
}

const (
	defaultMemory  = 10 * time.Minute
	defaultProven  = 1 << 16
	defaultRecords = 1 << 14
	convictions    = 2
)

// Tracker holds the verdicts of one node. It is safe for concurrent use.
type Tracker struct {
	memory  time.Duration
	proven  *lru.Cache[Fingerprint, struct{}]
	records *lru.Cache[Fingerprint, []Report]

	mu sync.Mutex
}

// Option changes a Tracker at construction.
type Option func(*options)

type options struct {
	memory  time.Duration
	proven  int
	records int
}

// WithRetention sets how long a crash is held against a fingerprint, and so how
// long a quarantine lasts. The default is 10 minutes.
func WithRetention(d time.Duration) Option { return func(o *options) { o.memory = d } }

// WithProven sets how many proven fingerprints are remembered. The default is 65,536.
func WithProven(n int) Option { return func(o *options) { o.proven = n } }

// New returns a Tracker that knows nothing yet.
func New(opts ...Option) *Tracker {
	o := options{memory: defaultMemory, proven: defaultProven, records: defaultRecords}
	for _, opt := range opts {
		opt(&o)
	}
	t := &Tracker{memory: o.memory}
	t.proven = newCache[struct{}](o.proven)
	t.records = newCache[[]Report](o.records)
	return t
}

func newCache[V any](size int) *lru.Cache[Fingerprint, V] {
	c, err := lru.New[Fingerprint, V](max(size, 1))
	if err != nil {
		panic("poison: the cache refused a positive size: " + err.Error())
	}
	return c
}

// Verdict tells what is known of the fingerprint. A quarantine goes before proof.
func (t *Tracker) Verdict(f Fingerprint) Verdict {
	if n := t.crashes(f); n >= convictions {
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
		if time.Since(r.At) < t.memory {
			n++
		}
	}
	return n
}

// RecordCrash records a crash with the fingerprints in flight and returns the
// reports that other nodes should merge. Proven fingerprints are not held to
// account, unless they ran alone.
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

// Merge takes reports from other nodes. A report that is known changes nothing.
func (t *Tracker) Merge(reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		t.add(r)
	}
}

func (t *Tracker) add(r Report) {
	if time.Since(r.At) >= t.memory {
		return
	}
	list, _ := t.records.Peek(r.Fingerprint)
	next := make([]Report, 0, len(list)+1)
	for _, known := range list {
		if known.Crash == r.Crash {
			return
		}
		if time.Since(known.At) < t.memory {
			next = append(next, known)
		}
	}
	t.records.Add(r.Fingerprint, append(next, r))
}

// RecordSuccess records that a request of the fingerprint completed, which clears
// a suspicion but not a quarantine.
func (t *Tracker) RecordSuccess(f Fingerprint) {
	if t.proven.Contains(f) && t.records.Len() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashes(f) >= convictions {
		return
	}
	t.records.Remove(f)
	t.proven.Add(f, struct{}{})
}

// Reports lists what is held against all fingerprints, for a node that has
// just started.
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

// Counts counts the fingerprints under suspicion and in quarantine.
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
