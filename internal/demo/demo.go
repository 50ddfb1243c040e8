package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/setup"
	"geraniumstep.org/geraniumstep/pkg/prio"
)

// Options sets how a demo runs.
type Options struct {
	Deployment string
	Duration   time.Duration
	Seed       uint64
	// Rate is the search rate as a share of the busiest archive's capacity.
	Rate   float64
	Faults []string
	// Change, if not nil, adjusts the settings of every node, for example to
	// measure a baseline.
	Change func(*setup.Settings)
	// Progress, if not nil, receives a line of progress every second.
	Progress io.Writer
	Log      io.Writer
	Level    logrus.Level
	// ReportDir, if not empty, is the directory for the report and its plots.
	ReportDir string
}

// Report is the result of a demo.
type Report struct {
	Deployment       string             `json:"deployment"`
	Seed             uint64             `json:"seed"`
	Fault            string             `json:"fault"`
	FaultApplied     bool               `json:"fault_applied"`
	Priorities       map[string]Outcome `json:"priorities"`
	CoverageMean     float64            `json:"coverage_mean"`
	ExtraLoad        float64            `json:"extra_load"`
	GoodputRatio     float64            `json:"goodput_ratio"`
	HoldsRun         int64              `json:"holds_run"`
	UpstreamsCrashed int                `json:"upstreams_crashed"`
	// CrashedPerRequest is the largest number of upstreams that one request
	// crashed, counting its resends.
	CrashedPerRequest int        `json:"upstreams_crashed_per_request"`
	Violations        Violations `json:"violations"`
	// Refusals counts the rejected requests by priority, template, kind and detail.
	Refusals      map[string]int `json:"refusals,omitempty"`
	Notes         []string       `json:"notes,omitempty"`
	PlatformCalls map[string]int `json:"platform_calls"`
	MostConns     int            `json:"most_connections"`
	Goroutines    int            `json:"goroutines"`
	HeapBytes     uint64         `json:"heap_bytes"`
	samples       []sample
	targets       [prio.Count]time.Duration
}

const (
	startTimeout = 30 * time.Second
	// recoveryTime is how long the load continues after the faults have ended.
	recoveryTime = time.Second
	restartDelay = 3 * time.Second
)

// Run runs a demo for o.Duration and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	d, err := Find(o.Deployment)
	if err != nil {
		return nil, err
	}
	if o.Change == nil {
		o.Change = func(*setup.Settings) {}
	}
	f, err := newFleet(d, o.Seed, o.Change, newLogger(o.Log, o.Level))
	if err != nil {
		return nil, err
	}
	defer f.close()
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.startAll(starting); err != nil {
		return nil, err
	}
	return f.measure(ctx, o)
}

// measure runs the load, the prober and the faults on a fleet that is ready, and
// returns the report.
func (f *fleet) measure(ctx context.Context, o Options) (*Report, error) {
	rate := o.Rate * f.deployment.capacity()
	check := newChecker(f.deployment, f.recorder)
	check.recordCatalogue(f.spec.Revision, pinnedVersions(f.spec))
	load := newCallers(f, check, o.Seed, rate)
	probe := newProber(f, check, load)
	in := &injector{
		fleet: f, callers: load, prober: probe, check: check, rate: rate,
		random: rand.New(rand.NewPCG(o.Seed, 4)), applied: make(map[string]bool),
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var all, faults sync.WaitGroup
	all.Go(func() { load.run(ctx, rate) })
	all.Go(func() { probe.run(ctx) })
	all.Go(func() { f.restartCrashed(ctx, restartDelay) })
	all.Go(func() { check.printProgress(ctx, o) })
	faultTime, stop := context.WithTimeout(ctx, o.Duration-recoveryTime)
	defer stop()
	goodput := 0.0
	all.Go(func() { goodput = f.goodput(faultTime) })
	for _, name := range o.Faults {
		faults.Go(func() {
			if wait(faultTime, min(faultDelay, o.Duration/5)) {
				in.faults()[name](faultTime)
			}
		})
	}
	faults.Wait()
	all.Wait()
	report := f.report(o, check, in)
	report.GoodputRatio = goodput
	report.Goroutines = runtime.NumGoroutine()
	return report, report.write(o.ReportDir)
}

func (f *fleet) report(o Options, check *checker, in *injector) *Report {
	violations, outcomes, coverage := check.finish()
	totals := f.recorder.Totals()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r := &Report{
		Deployment: f.deployment.name, Seed: o.Seed, Fault: strings.Join(o.Faults, ","),
		FaultApplied: len(o.Faults) > 0, Priorities: outcomes, CoverageMean: coverage,
		HoldsRun: totals.KeyedRuns, UpstreamsCrashed: totals.Crashes, CrashedPerRequest: totals.MaxCrashes,
		Violations: violations, Notes: check.notes, Refusals: check.refusalCounts, PlatformCalls: f.platform.Calls(), HeapBytes: memory.HeapAlloc,
		samples: check.samples,
	}
	for _, name := range o.Faults {
		r.FaultApplied = r.FaultApplied && in.applied[name]
	}
	if totals.Necessary > 0 {
		r.ExtraLoad = float64(totals.Extra) / float64(totals.Necessary)
	}
	for _, u := range f.upstreams {
		r.MostConns = max(r.MostConns, u.PeakConns())
	}
	for _, p := range prio.All() {
		r.targets[p] = f.deployment.target(p)
	}
	return r
}

// goodput returns the share of the busiest archive's slot time that was spent on
// shard requests with a complete reply. It measures from shortly after the faults
// begin until the context ends.
func (f *fleet) goodput(ctx context.Context) float64 {
	wait(ctx, faultDelay+faultDelay/2)
	started, before := time.Now(), f.completedServiceTime()
	<-ctx.Done()
	slots := 0
	for _, u := range f.byArchive[f.deployment.busiestArchive] {
		slots += u.Slots()
	}
	return (f.completedServiceTime() - before).Seconds() / (float64(slots) * time.Since(started).Seconds())
}

// completedServiceTime sums Upstream.CompletedServiceTime over the busiest archive.
func (f *fleet) completedServiceTime() time.Duration {
	sum := time.Duration(0)
	for _, u := range f.byArchive[f.deployment.busiestArchive] {
		sum += u.CompletedServiceTime()
	}
	return sum
}

// printProgress writes a line of progress every second until the context ends.
func (c *checker) printProgress(ctx context.Context, o Options) {
	if o.Progress == nil {
		return
	}
	for wait(ctx, time.Second) {
		c.mu.Lock()
		line := fmt.Sprintf("%3.0fs", time.Since(c.started).Seconds())
		for _, p := range prio.All() {
			line += fmt.Sprintf("  %s %d answered, %d refused, p99 %.0f ms", p, c.outcomes[p].Answered, c.outcomes[p].RefusedNotRun, quantile(c.latency[p], 99))
		}
		line += fmt.Sprintf("  violations %d", c.violations.Total())
		c.mu.Unlock()
		fmt.Fprintf(o.Progress, "\r%s", line)
	}
	fmt.Fprintln(o.Progress)
}

// JSON returns the report as one line of JSON.
func (r *Report) JSON() (string, error) {
	data, err := json.Marshal(r)
	return string(data), err
}

// Table returns the report as a table in plain text.
func (r *Report) Table() string {
	var b strings.Builder
	fault := r.Fault
	if fault == "" {
		fault = "none"
	}
	fmt.Fprintf(&b, "deployment %s, seed %d, fault %s (applied: %v)\n\n", r.Deployment, r.Seed, fault, r.FaultApplied)
	fmt.Fprintf(&b, "%-9s %8s %9s %8s %8s %8s %7s %8s %8s %8s\n", "priority", "sent", "answered", "within", "not run", "unknown", "errors", "p50 ms", "p99 ms", "p999 ms")
	for _, p := range prio.All() {
		o := r.Priorities[p.String()]
		within := 0.0
		if o.Answered > 0 {
			within = 100 * float64(o.WithinTarget) / float64(o.Answered)
		}
		fmt.Fprintf(&b, "%-9s %8d %9d %7.2f%% %8d %8d %7d %8.1f %8.1f %8.1f\n", p, o.Sent, o.Answered, within, o.RefusedNotRun, o.Unknown, o.Errors, o.P50, o.P99, o.P999)
	}
	fmt.Fprintf(&b, "\ncoverage %.5f, extra load %.2f%%, goodput %.1f%%, holds run %d, upstreams crashed %d\n",
		r.CoverageMean, 100*r.ExtraLoad, 100*r.GoodputRatio, r.HoldsRun, r.UpstreamsCrashed)
	fmt.Fprintf(&b, "violations %+v\n", r.Violations)
	for _, n := range r.Notes {
		fmt.Fprintf(&b, "  %s\n", n)
	}
	return b.String()
}
