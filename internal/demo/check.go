package demo

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumstep.org/geraniumstep/internal/fakes"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// Violations counts the violations of the guarantees of the tier, which must all
// be zero.
type Violations struct {
	MixedSnapshot  int `json:"mixed_snapshot"`
	FalseCoverage  int `json:"false_coverage"`
	WrongAnswer    int `json:"wrong_answer"`
	NotRunButRan   int `json:"not_run_but_ran"`
	DoubleRun      int `json:"double_run"`
	WorkAfterDrain int `json:"work_after_drain"`
	CutOff         int `json:"cut_off"`
	ConfigReverted int `json:"config_reverted"`
	ConfigLate     int `json:"config_late"`
}

// Total returns the sum of all counters.
func (v Violations) Total() int {
	return v.MixedSnapshot + v.FalseCoverage + v.WrongAnswer + v.NotRunButRan + v.DoubleRun +
		v.WorkAfterDrain + v.CutOff + v.ConfigReverted + v.ConfigLate
}

// Outcome summarizes the requests of one priority.
type Outcome struct {
	Sent          int64   `json:"sent"`
	Answered      int64   `json:"answered"`
	WithinTarget  int64   `json:"within_target"`
	RefusedNotRun int64   `json:"refused_not_run"`
	Unknown       int64   `json:"unknown"`
	Errors        int64   `json:"errors"`
	P50           float64 `json:"p50_ms"`
	P99           float64 `json:"p99_ms"`
	P999          float64 `json:"p999_ms"`
	RefusalP99    float64 `json:"refusal_p99_ms"`
}

// sample is the latency of one answered request, for the plots.
type sample struct {
	at       time.Duration
	took     time.Duration
	priority prio.Priority
}

const (
	// Longer latencies count as maxLatencyMicros.
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// checker compares the replies that callers receive with what the fake upstreams
// recorded.
type checker struct {
	deployment Deployment
	recorder   *fakes.Recorder
	templates  map[string]config.TemplateSpec
	started    time.Time

	mu             sync.Mutex
	catalogues     map[uint64]map[string]version // by catalogue revision and archive
	outcomes       [prio.Count]Outcome
	latency        [prio.Count]*hdrhistogram.Histogram
	refusalLatency [prio.Count]*hdrhistogram.Histogram
	requestTraces  map[string]string
	notRun         []string
	notRunKeys     map[string]bool
	coverageSum    float64
	answers        int64
	samples        []sample
	refusalCounts  map[string]int
	violations     Violations
	notes          []string
}

// version is the version and the number of shards of an archive in one catalogue.
type version struct {
	number uint64
	shards int
}

func newChecker(d Deployment, recorder *fakes.Recorder) *checker {
	c := &checker{
		deployment: d, recorder: recorder, started: time.Now(),
		templates:     make(map[string]config.TemplateSpec),
		catalogues:    make(map[uint64]map[string]version),
		requestTraces: make(map[string]string),
		notRunKeys:    make(map[string]bool),
		refusalCounts: make(map[string]int),
	}
	for _, t := range d.templates {
		c.templates[t.Name] = t
	}
	for p := range c.latency {
		c.latency[p] = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
		c.refusalLatency[p] = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	}
	return c
}

func (c *checker) recordCatalogue(revision uint64, archives map[string]version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catalogues[revision] = archives
}

// addViolation counts a violation and keeps the first 20 for the report. It must be
// called with mu held.
func (c *checker) addViolation(counter *int, format string, args ...any) {
	*counter++
	const maxNotes = 20
	if len(c.notes) < maxNotes {
		c.notes = append(c.notes, fmt.Sprintf("%.1fs ", time.Since(c.started).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (c *checker) checkSearch(q call, r result) {
	took := time.Since(q.due)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(q, r, took)
	if r.answer == nil {
		if r.kind() == wire.KindNotRun {
			c.notRun = append(c.notRun, q.trace)
		}
		return
	}
	c.answers++
	c.coverageSum += search.Ratio(r.answer.Coverage)
	c.checkAnswer(q, r.answer)
	c.recorder.Forget(q.trace)
}

// count adds the request to the outcomes of its priority.
func (c *checker) count(q call, r result, took time.Duration) {
	o := &c.outcomes[q.priority]
	o.Sent++
	if r.problem != nil {
		c.refusalCounts[q.priority.String()+" "+q.template+" "+r.problem.Kind+": "+r.problem.Detail]++
	}
	switch {
	case r.answer != nil:
		o.Answered++
		if took <= c.deployment.target(q.priority) {
			o.WithinTarget++
		}
		_ = c.latency[q.priority].RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros))
		c.samples = append(c.samples, sample{at: q.due.Sub(c.started), took: took, priority: q.priority})
	case r.kind() == wire.KindNotRun, r.kind() == wire.KindQuarantined:
		o.RefusedNotRun++
		_ = c.refusalLatency[q.priority].RecordValue(min(max(r.took.Microseconds(), 1), maxLatencyMicros))
	case r.kind() == wire.KindUnknown:
		o.Unknown++
	default:
		o.Errors++
		c.checkBroken(q, r)
	}
}

// checkBroken checks a request that failed without a reply. It counts as cut off,
// unless the connection was refused or the node was killed or frozen recently.
func (c *checker) checkBroken(q call, r result) {
	if r.err == nil || r.connRefused || r.entry.recentlyKilledOrFrozen() {
		return
	}
	c.addViolation(&c.violations.CutOff, "cut off: %s by %s: %v", q.trace, r.entry.vm, r.err)
}

// checkAnswer compares an answer with the catalogue of its snapshot, with what the
// fake upstreams recorded, and with the expected hits.
func (c *checker) checkAnswer(q call, a *wire.Answer) {
	if other, seen := c.requestTraces[a.Request]; seen && other != q.trace {
		c.addViolation(&c.violations.WrongAnswer, "answer %s went to %s and %s", a.Request, other, q.trace)
	}
	c.requestTraces[a.Request] = q.trace
	versions := c.catalogues[a.Snapshot]
	for _, cov := range a.Coverage {
		v, ok := versions[cov.Archive]
		if !ok || v.number != cov.Version {
			c.addViolation(&c.violations.MixedSnapshot, "%s: snapshot %d has archive %s at %d, answer has %d", q.trace, a.Snapshot, cov.Archive, v.number, cov.Version)
			return
		}
		if v.shards != cov.Shards {
			c.addViolation(&c.violations.FalseCoverage, "%s: archive %s has %d shards, answer has %d", q.trace, cov.Archive, v.shards, cov.Shards)
			return
		}
	}
	c.checkCoverage(q, a)
	c.checkHits(q, a)
}

// checkCoverage checks that an upstream sent a complete reply for every shard that
// the answer does not list as missing.
func (c *checker) checkCoverage(q call, a *wire.Answer) {
	for _, cov := range a.Coverage {
		for s := range cov.Shards {
			if contains(cov.Missing, s) {
				continue
			}
			if !c.recorder.Completed(q.trace, fakes.ShardKey(cov.Archive, cov.Version, s)) {
				c.addViolation(&c.violations.FalseCoverage, "%s: no upstream answered shard %d of %s at version %d", q.trace, s, cov.Archive, cov.Version)
				return
			}
		}
	}
}

// checkHits checks that the answer has exactly the expected hits of the covered
// shards.
func (c *checker) checkHits(q call, a *wire.Answer) {
	want := c.expectedHits(q, a.Coverage)
	t := c.templates[q.template]
	if t.Merge == search.MergeSum {
		if a.Sum == nil || int(*a.Sum) != len(want) {
			c.addViolation(&c.violations.WrongAnswer, "%s: sum is wrong", q.trace)
		}
		return
	}
	if t.Merge == search.MergeTopK {
		sort.Slice(want, func(i, j int) bool {
			if want[i].Score != want[j].Score {
				return want[i].Score > want[j].Score
			}
			return want[i].ID < want[j].ID
		})
		want = want[:min(len(want), t.Limit)]
	}
	if len(a.Hits) != len(want) {
		c.addViolation(&c.violations.WrongAnswer, "%s: %d hits, want %d", q.trace, len(a.Hits), len(want))
		return
	}
	for i := range want {
		if a.Hits[i] != want[i] {
			c.checkWrongHit(q, a, a.Hits[i], want[i])
			return
		}
	}
}

// checkWrongHit counts a wrong hit: as a mixed snapshot if it is of another
// version, as a wrong answer otherwise.
func (c *checker) checkWrongHit(q call, a *wire.Answer, got, want search.Hit) {
	for _, cov := range a.Coverage {
		if strings.HasPrefix(got.ID, cov.Archive+"/") && !strings.HasPrefix(got.ID, fmt.Sprintf("%s/v%d/", cov.Archive, cov.Version)) {
			c.addViolation(&c.violations.MixedSnapshot, "%s: hit %s in an answer at version %d", q.trace, got.ID, cov.Version)
			return
		}
	}
	c.addViolation(&c.violations.WrongAnswer, "%s: hit %+v, want %+v", q.trace, got, want)
}

func (c *checker) expectedHits(q call, coverage []search.Coverage) []search.Hit {
	var hits []search.Hit
	for _, cov := range coverage {
		for s := range cov.Shards {
			if !contains(cov.Missing, s) {
				hits = append(hits, fakes.Hits(cov.Archive, cov.Version, s, cov.Shards, q.query, q.trace)...)
			}
		}
	}
	return hits
}

func contains(list []int, n int) bool {
	for _, m := range list {
		if m == n {
			return true
		}
	}
	return false
}

// recordNotRunKey records the key if the request was rejected as not run.
func (c *checker) recordNotRunKey(key string, r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.kind() == wire.KindNotRun {
		c.notRunKeys[key] = true
	}
}

func (c *checker) checkSubmission(q call, key string, r result) {
	c.recordNotRunKey(key, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(q, r, time.Since(q.due))
	if r.answer != nil && c.recorder.KeyRuns(key) == 0 {
		c.addViolation(&c.violations.WrongAnswer, "%s: answered but never run", q.trace)
	}
}

// finish makes the checks that are possible only after the last request: that
// requests rejected as not run did not run, that no key ran twice, and that no
// upstream received requests long after its drain began. It returns all violations,
// the outcomes by priority and the mean coverage.
func (c *checker) finish() (Violations, map[string]Outcome, float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, trace := range c.notRun {
		if c.recorder.Ran(trace) {
			c.addViolation(&c.violations.NotRunButRan, "%s was refused as not run and ran", trace)
		}
	}
	for key := range c.notRunKeys {
		if c.recorder.KeyRuns(key) > 0 {
			c.addViolation(&c.violations.NotRunButRan, "key %s was refused as not run and ran", key)
		}
	}
	totals := c.recorder.Totals()
	c.violations.DoubleRun = int(totals.DoubleRuns)
	c.violations.WorkAfterDrain = int(totals.LateWork)
	outcomes := make(map[string]Outcome)
	for _, p := range prio.All() {
		o := c.outcomes[p]
		o.P50, o.P99, o.P999 = quantile(c.latency[p], 50), quantile(c.latency[p], 99), quantile(c.latency[p], 99.9)
		o.RefusalP99 = quantile(c.refusalLatency[p], 99)
		outcomes[p.String()] = o
	}
	mean := 1.0
	if c.answers > 0 {
		mean = c.coverageSum / float64(c.answers)
	}
	return c.violations, outcomes, mean
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
