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

// Violations counts what must never happen.
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

// Total adds all counters up.
func (v Violations) Total() int {
	return v.MixedSnapshot + v.FalseCoverage + v.WrongAnswer + v.NotRunButRan + v.DoubleRun +
		v.WorkAfterDrain + v.CutOff + v.ConfigReverted + v.ConfigLate
}

// Outcome sums up the requests of one priority.
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

// sample is one answered search, for plots.
type sample struct {
	at       time.Duration
	took     time.Duration
	priority prio.Priority
}

const (
	topMicros = 60_000_000
	digits    = 3
)

// checker compares what callers got with what the stand-ins recorded.
type checker struct {
	deployment Deployment
	ledger     *fakes.Recorder
	templates  map[string]config.TemplateSpec
	begun      time.Time

	mu         sync.Mutex
	layouts    map[uint64]map[string]version // catalogue revision to archive
	outcomes   [prio.Count]Outcome
	latency    [prio.Count]*hdrhistogram.Histogram
	refusals   [prio.Count]*hdrhistogram.Histogram
	requests   map[string]string
	notRun     []string
	notRunKeys map[string]bool
	coverage   float64
	answers    int64
	samples    []sample
	refused    map[string]int
	found      Violations
	notes      []string
}

// version is an archive as one catalogue pins it.
type version struct {
	number uint64
	shards int
}

func newChecker(d Deployment, ledger *fakes.Recorder) *checker {
	c := &checker{
		deployment: d, ledger: ledger, begun: time.Now(),
		templates:  make(map[string]config.TemplateSpec),
		layouts:    make(map[uint64]map[string]version),
		requests:   make(map[string]string),
		notRunKeys: make(map[string]bool),
		refused:    make(map[string]int),
	}
	for _, t := range d.templates {
		c.templates[t.Name] = t
	}
	for p := range c.latency {
		c.latency[p] = hdrhistogram.New(1, topMicros, digits)
		c.refusals[p] = hdrhistogram.New(1, topMicros, digits)
	}
	return c
}

// published notes what a catalogue pins.
func (c *checker) published(revision uint64, archives map[string]version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layouts[revision] = archives
}

// violate counts a violation and keeps the first few for the report.
func (c *checker) violate(counter *int, format string, args ...any) {
	*counter++
	const keep = 20
	if len(c.notes) < keep {
		c.notes = append(c.notes, fmt.Sprintf("%.1fs ", time.Since(c.begun).Seconds())+fmt.Sprintf(format, args...))
	}
}

// searched checks the end of a search.
func (c *checker) searched(q call, r result) {
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
	c.coverage += search.Ratio(r.answer.Coverage)
	c.checkAnswer(q, r.answer)
	c.ledger.Forget(q.trace)
}

// count adds the request to the outcomes of its priority.
func (c *checker) count(q call, r result, took time.Duration) {
	o := &c.outcomes[q.priority]
	o.Sent++
	if r.problem != nil {
		c.refused[q.priority.String()+" "+q.template+" "+r.problem.Kind+": "+r.problem.Detail]++
	}
	switch {
	case r.answer != nil:
		o.Answered++
		if took <= c.deployment.target(q.priority) {
			o.WithinTarget++
		}
		_ = c.latency[q.priority].RecordValue(min(max(took.Microseconds(), 1), topMicros))
		c.samples = append(c.samples, sample{at: q.due.Sub(c.begun), took: took, priority: q.priority})
	case r.kind() == wire.KindNotRun, r.kind() == wire.KindQuarantined:
		o.RefusedNotRun++
		_ = c.refusals[q.priority].RecordValue(min(max(r.took.Microseconds(), 1), topMicros))
	case r.kind() == wire.KindUnknown:
		o.Unknown++
	default:
		o.Errors++
		c.broken(q, r)
	}
}

// broken judges a connection that ended without an answer. On a VM that was
// neither killed nor frozen it is a request cut off.
func (c *checker) broken(q call, r result) {
	if r.err == nil || r.refused || r.entry.disturbed() {
		return
	}
	c.violate(&c.found.CutOff, "cut off: %s by %s: %v", q.trace, r.entry.vm, r.err)
}

// checkAnswer compares an answer with what the stand-ins recorded and with
// the answer computed from the data.
func (c *checker) checkAnswer(q call, a *wire.Answer) {
	if other, seen := c.requests[a.Request]; seen && other != q.trace {
		c.violate(&c.found.WrongAnswer, "answer %s went to %s and %s", a.Request, other, q.trace)
	}
	c.requests[a.Request] = q.trace
	layout := c.layouts[a.Snapshot]
	for _, cov := range a.Coverage {
		v, ok := layout[cov.Archive]
		if !ok || v.number != cov.Version {
			c.violate(&c.found.MixedSnapshot, "%s: snapshot %d has archive %s at %d, answer says %d", q.trace, a.Snapshot, cov.Archive, v.number, cov.Version)
			return
		}
		if v.shards != cov.Shards {
			c.violate(&c.found.FalseCoverage, "%s: archive %s has %d shards, answer says %d", q.trace, cov.Archive, v.shards, cov.Shards)
			return
		}
	}
	c.checkCoverage(q, a)
	c.checkHits(q, a)
}

// checkCoverage wants every shard that the answer counts to have been
// answered by an upstream.
func (c *checker) checkCoverage(q call, a *wire.Answer) {
	for _, cov := range a.Coverage {
		for s := range cov.Shards {
			if contains(cov.Missing, s) {
				continue
			}
			if !c.ledger.Completed(q.trace, fakes.ShardKey(cov.Archive, cov.Version, s)) {
				c.violate(&c.found.FalseCoverage, "%s: no upstream answered shard %d of %s at version %d", q.trace, s, cov.Archive, cov.Version)
				return
			}
		}
	}
}

// checkHits wants exactly the hits that the data give for the covered shards.
func (c *checker) checkHits(q call, a *wire.Answer) {
	want := c.expected(q, a.Coverage)
	t := c.templates[q.template]
	if t.Merge == search.MergeSum {
		if a.Sum == nil || int(*a.Sum) != len(want) {
			c.violate(&c.found.WrongAnswer, "%s: sum is wrong", q.trace)
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
		c.violate(&c.found.WrongAnswer, "%s: %d hits, want %d", q.trace, len(a.Hits), len(want))
		return
	}
	for i := range want {
		if a.Hits[i] != want[i] {
			c.mixedOrWrong(q, a, a.Hits[i], want[i])
			return
		}
	}
}

// mixedOrWrong tells a hit of another version from one that is wrong otherwise.
func (c *checker) mixedOrWrong(q call, a *wire.Answer, got, want search.Hit) {
	for _, cov := range a.Coverage {
		if strings.HasPrefix(got.ID, cov.Archive+"/") && !strings.HasPrefix(got.ID, fmt.Sprintf("%s/v%d/", cov.Archive, cov.Version)) {
			c.violate(&c.found.MixedSnapshot, "%s: hit %s in an answer at version %d", q.trace, got.ID, cov.Version)
			return
		}
	}
	c.violate(&c.found.WrongAnswer, "%s: hit %+v, want %+v", q.trace, got, want)
}

func (c *checker) expected(q call, coverage []search.Coverage) []search.Hit {
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

// keyed notes a key that was refused as not run.
func (c *checker) keyed(key string, r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.kind() == wire.KindNotRun {
		c.notRunKeys[key] = true
	}
}

// held checks the end of a non-idempotent request.
func (c *checker) held(q call, key string, r result) {
	c.keyed(key, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(q, r, time.Since(q.due))
	if r.answer != nil && c.ledger.KeyRuns(key) == 0 {
		c.violate(&c.found.WrongAnswer, "%s: answered but never run", q.trace)
	}
}

// finish checks what can only be known at the end and gives the sums.
func (c *checker) finish() (Violations, map[string]Outcome, float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, trace := range c.notRun {
		if c.ledger.Ran(trace) {
			c.violate(&c.found.NotRunButRan, "%s was refused as not run and ran", trace)
		}
	}
	for key := range c.notRunKeys {
		if c.ledger.KeyRuns(key) > 0 {
			c.violate(&c.found.NotRunButRan, "key %s was refused as not run and ran", key)
		}
	}
	totals := c.ledger.Totals()
	c.found.DoubleRun = int(totals.DoubleRuns)
	c.found.WorkAfterDrain = int(totals.LateWork)
	outcomes := make(map[string]Outcome)
	for _, p := range prio.All() {
		o := c.outcomes[p]
		o.P50, o.P99, o.P999 = quantile(c.latency[p], 50), quantile(c.latency[p], 99), quantile(c.latency[p], 99.9)
		o.RefusalP99 = quantile(c.refusals[p], 99)
		outcomes[p.String()] = o
	}
	mean := 1.0
	if c.answers > 0 {
		mean = c.coverage / float64(c.answers)
	}
	return c.found, outcomes, mean
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
