// Package quant follows the latency quantiles of a service while they change.
// It keeps two HDR histograms that take turns, so that a quantile always
// rests on between one and two windows of samples.
//
//	w := quant.New(quant.WithWindow(5 * time.Second))
//	w.Record(12 * time.Millisecond)
//	hedgeAfter := w.Quantile(0.98)
package quant

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	defaultWindow  = 5 * time.Second
	defaultInitial = 100 * time.Millisecond
	// minSamples is how many samples a quantile needs before it is believed.
	minSamples = 64
	// refreshEvery is how many samples pass between two readings of a quantile.
	refreshEvery = 32
	lowestMicros = 1
	topMicros    = 60_000_000
	digits       = 2
)

// Window follows the latency of one service. It is safe for concurrent use;
// reading the quantile is one atomic load.
type Window struct {
	window  time.Duration
	initial time.Duration
	target  float64

	cached atomic.Int64
	median atomic.Int64

	mu       sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	turned   time.Time
	since    int
}

// Option changes a Window at construction.
type Option func(*Window)

// WithWindow sets how long one histogram collects. The default is 5 s.
func WithWindow(d time.Duration) Option { return func(w *Window) { w.window = d } }

// WithInitial sets the quantile reported before there are enough samples. The
// default is 50 ms.
func WithInitial(d time.Duration) Option { return func(w *Window) { w.initial = d } }

// WithTarget sets which quantile Cached reports. The default is 0.98.
func WithTarget(q float64) Option { return func(w *Window) { w.target = q } }

// New returns an empty Window.
func New(opts ...Option) *Window {
	w := &Window{window: defaultWindow, initial: defaultInitial, target: 0.98}
	for _, opt := range opts {
		opt(w)
	}
	w.current = hdrhistogram.New(lowestMicros, topMicros, digits)
	w.previous = hdrhistogram.New(lowestMicros, topMicros, digits)
	w.turned = time.Now()
	w.cached.Store(int64(w.initial))
	w.median.Store(int64(w.initial))
	return w
}

// Record adds one latency.
func (w *Window) Record(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn()
	micros := min(max(d.Microseconds(), lowestMicros), topMicros)
	if err := w.current.RecordValue(micros); err != nil {
		return
	}
	w.since++
	if w.since >= refreshEvery {
		w.since = 0
		median := w.quantile(0.5)
		w.median.Store(int64(median))
		w.cached.Store(int64(min(w.quantile(w.target), tailFactor*median)))
	}
}

// Cached is the target quantile as of the last few samples, bounded by a
// multiple of the median.
func (w *Window) Cached() time.Duration { return time.Duration(w.cached.Load()) }

// Median is the median as of the last few samples.
func (w *Window) Median() time.Duration { return time.Duration(w.median.Load()) }

// Quantile computes any quantile between 0 and 1 now.
func (w *Window) Quantile(q float64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn()
	return w.quantile(q)
}

func (w *Window) turn() {
	if time.Since(w.turned) < w.window {
		return
	}
	w.turned = time.Now()
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
}

// tailFactor bounds Cached to so many times the median: when a part of the
// replicas is slow, the quantile itself is that of the slow ones.
const tailFactor = 4

// quantile reads the fuller picture: the larger of both histograms' values, so
// that a service that has just become slow is noticed at once and one that has
// become fast is believed after a full window.
func (w *Window) quantile(q float64) time.Duration {
	best := int64(0)
	for _, h := range []*hdrhistogram.Histogram{w.current, w.previous} {
		if h.TotalCount() < minSamples {
			continue
		}
		best = max(best, h.ValueAtQuantile(q*100))
	}
	if best == 0 {
		return w.initial
	}
	return time.Duration(best) * time.Microsecond
}
