package fakes

import (
	"fmt"
	"sync"
	"time"
)

// Recorder is the stand-ins' own record of what ran.
type Recorder struct {
	mu        sync.Mutex
	traces    map[string]*Record
	keys      map[string]int
	necessary int64
	extra     int64
	holds     int64
	crashes   map[string]int
	lateWork  int64
	effects   map[string]int64
	served    int64
}

// Record is what ran for one request of a caller.
type Record struct {
	begun     map[string]int
	completed map[string]bool
}

// NewRecorder returns an empty Ledger.
func NewRecorder() *Recorder {
	return &Recorder{
		traces:  make(map[string]*Record),
		keys:    make(map[string]int),
		crashes: make(map[string]int),
		effects: make(map[string]int64),
	}
}

// ShardKey names one shard of one archive at one version.
func ShardKey(archive string, version uint64, shard int) string {
	return fmt.Sprintf("%s/%d/%d", archive, version, shard)
}

func (l *Recorder) record(trace string) *Record {
	r, ok := l.traces[trace]
	if !ok {
		r = &Record{begun: make(map[string]int), completed: make(map[string]bool)}
		l.traces[trace] = r
	}
	return r
}

// Begin records that an upstream began a sub-request.
func (l *Recorder) Begin(trace, part, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" {
		l.holds++
		l.keys[key]++
	}
	r := l.record(trace)
	r.begun[part]++
	if r.begun[part] > 1 {
		l.extra++
	} else {
		l.necessary++
	}
}

// Complete records that an upstream answered a sub-request whole.
func (l *Recorder) Complete(trace, part string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(trace).completed[part] = true
	l.served++
}

// Crash records that a request crashed an upstream.
func (l *Recorder) Crash(query string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[query]++
}

// LateWork records work that came to an upstream long after it began to drain.
func (l *Recorder) LateWork(since time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since > drainAllowance {
		l.lateWork++
	}
}

// Effect records that a fault met live traffic.
func (l *Recorder) Effect(fault string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects[fault]++
}

// Effects counts how often a fault met live traffic.
func (l *Recorder) Effects(fault string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effects[fault]
}

// Ran tells whether any upstream began any part of the request.
func (l *Recorder) Ran(trace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.traces[trace]
	return ok && len(r.begun) > 0
}

// Completed tells whether an upstream answered the part of the request whole.
func (l *Recorder) Completed(trace, part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.traces[trace]
	return ok && r.completed[part]
}

// Forget drops the record of a request that was checked.
func (l *Recorder) Forget(trace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.traces, trace)
}

// KeyRuns counts how often the request with the key was begun.
func (l *Recorder) KeyRuns(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[key]
}

// Totals sums up the ledger.
type Totals struct {
	Necessary, Extra, KeyedRuns, DoubleRuns, LateWork, Served int64
	// MaxCrashes is the largest number of upstreams that one request
	// crashed, and Crashes the number of all.
	MaxCrashes, Crashes int
}

// Totals sums up the ledger.
func (l *Recorder) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Totals{Necessary: l.necessary, Extra: l.extra, KeyedRuns: l.holds, LateWork: l.lateWork, Served: l.served}
	for _, n := range l.keys {
		if n > 1 {
			t.DoubleRuns++
		}
	}
	for _, n := range l.crashes {
		t.Crashes += n
		t.MaxCrashes = max(t.MaxCrashes, n)
	}
	return t
}
