package fakes

import (
	"fmt"
	"sync"
	"time"
)

// Recorder records what the fake upstreams ran. Checkers compare it with the
// replies that callers received.
type Recorder struct {
	mu        sync.Mutex
	traces    map[string]*Record
	keys      map[string]int
	necessary int64
	extra     int64
	keyedRuns int64
	crashes   map[string]int
	lateWork  int64
	effects   map[string]int64
	served    int64
}

// Record counts the shard requests that started for one request of a caller, and
// lists those that were answered completely. Its keys are those of ShardKey.
type Record struct {
	started   map[string]int
	completed map[string]bool
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		traces:  make(map[string]*Record),
		keys:    make(map[string]int),
		crashes: make(map[string]int),
		effects: make(map[string]int64),
	}
}

// ShardKey returns the key under which a Recorder lists one shard of one archive
// at one version.
func ShardKey(archive string, version uint64, shard int) string {
	return fmt.Sprintf("%s/%d/%d", archive, version, shard)
}

func (rec *Recorder) requestRecord(trace string) *Record {
	r, ok := rec.traces[trace]
	if !ok {
		r = &Record{started: make(map[string]int), completed: make(map[string]bool)}
		rec.traces[trace] = r
	}
	return r
}

// Begin records that an upstream started a shard request. A non-empty key marks
// a submission.
func (rec *Recorder) Begin(trace, shard, key string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if key != "" {
		rec.keyedRuns++
		rec.keys[key]++
	}
	r := rec.requestRecord(trace)
	r.started[shard]++
	if r.started[shard] > 1 {
		rec.extra++
	} else {
		rec.necessary++
	}
}

// Complete records that an upstream sends the complete reply to a shard request.
func (rec *Recorder) Complete(trace, shard string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requestRecord(trace).completed[shard] = true
	rec.served++
}

// Crash records that a request crashed an upstream.
func (rec *Recorder) Crash(query string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.crashes[query]++
}

// LateWork counts a request to a draining upstream if the drain began longer than
// drainGracePeriod before. since is the time from then until the request.
func (rec *Recorder) LateWork(since time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if since > drainGracePeriod {
		rec.lateWork++
	}
}

// Effect counts a request that a fault affected.
func (rec *Recorder) Effect(fault string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.effects[fault]++
}

// Effects returns the number of requests that a fault affected.
func (rec *Recorder) Effects(fault string) int64 {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.effects[fault]
}

// Ran reports whether any upstream started a shard request of the request.
func (rec *Recorder) Ran(trace string) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r, ok := rec.traces[trace]
	return ok && len(r.started) > 0
}

// Completed reports whether Complete was called for the shard of the request.
func (rec *Recorder) Completed(trace, shard string) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r, ok := rec.traces[trace]
	return ok && r.completed[shard]
}

// Forget deletes the record of a request, which is not needed after its check.
func (rec *Recorder) Forget(trace string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	delete(rec.traces, trace)
}

// KeyRuns returns how often a submission with the key was started.
func (rec *Recorder) KeyRuns(key string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.keys[key]
}

// Totals contains sums over all requests, including those whose record was
// forgotten. Necessary counts the first run of each shard of a request, and Extra
// the further runs. KeyedRuns counts the runs of submissions, DoubleRuns the
// idempotency keys that ran more than once, and Served the complete replies.
type Totals struct {
	Necessary, Extra, KeyedRuns, DoubleRuns, LateWork, Served int64
	// MaxCrashes is the largest number of upstreams that one query crashed, and
	// Crashes the number of all crashes.
	MaxCrashes, Crashes int
}

// Totals returns the sums over all requests recorded so far.
func (rec *Recorder) Totals() Totals {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	t := Totals{Necessary: rec.necessary, Extra: rec.extra, KeyedRuns: rec.keyedRuns, LateWork: rec.lateWork, Served: rec.served}
	for _, n := range rec.keys {
		if n > 1 {
			t.DoubleRuns++
		}
	}
	for _, n := range rec.crashes {
		t.Crashes += n
		t.MaxCrashes = max(t.MaxCrashes, n)
	}
	return t
}
