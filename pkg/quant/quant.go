// Package quant tracks the latency quantiles of a service over a sliding window.
// It rotates two HDR histograms, so that a quantile always covers between one and
// two windows of samples.
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
	// minSamples is the minimum number of samples in a histogram for its
	// quantiles to be used.
	minSamples = 64
	// refreshSamples is the number of samples between two updates of the cached
	// quantiles.
	refreshSamples    = 32
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 2
)

// Window tracks the latency of one service. It is safe for concurrent use. Cached
// and Median are a single atomic load.
type Window struct {
	window  time.Duration
	initial time.Duration
	target  float64

	cached atomic.Int64
	median atomic.Int64

	mu           sync.Mutex
	current      *hdrhistogram.Histogram
	previous     *hdrhistogram.Histogram
	rotatedAt    time.Time
	sinceRefresh int
}

// Option configures a Window.
type Option func(*Window)

// WithWindow sets how long one histogram collects samples. The default is 5 s.
func WithWindow(d time.Duration) Option { return func(w *Window) { w.window = d } }

// WithInitial sets the value of all quantiles until there are enough samples. The
// default is 100 ms.
func WithInitial(d time.Duration) Option { return func(w *Window) { w.initial = d } }

// WithTarget sets which quantile Cached returns. The default is 0.98.
func WithTarget(q float64) Option { return func(w *Window) { w.target = q } }

// New returns an empty Window.
func New(opts ...Option) *Window {
	w := &Window{window: defaultWindow, initial: defaultInitial, target: 0.98}
	for _, opt := range opts {
		opt(w)
	}
	w.current = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	w.previous = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	w.rotatedAt = time.Now()
	w.cached.Store(int64(w.initial))
	w.median.Store(int64(w.initial))
	return w
}

// Record adds a latency sample.
func (w *Window) Record(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate()
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	if err := w.current.RecordValue(micros); err != nil {
		return
	}
	w.sinceRefresh++
	if w.sinceRefresh >= refreshSamples {
		w.sinceRefresh = 0
		median := w.quantile(0.5)
		w.median.Store(int64(median))
		w.cached.Store(int64(min(w.quantile(w.target), maxMedianRatio*median)))
	}
}

// Cached returns the target quantile as of the last update, bounded by a multiple
// of the median.
func (w *Window) Cached() time.Duration { return time.Duration(w.cached.Load()) }

// Median returns the median as of the last update.
func (w *Window) Median() time.Duration { return time.Duration(w.median.Load()) }

// Quantile computes the quantile q, between 0 and 1, from the current samples.
func (w *Window) Quantile(q float64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate()
	return w.quantile(q)
}

func (w *Window) rotate() {
	if time.Since(w.rotatedAt) < w.window {
		return
	}
	w.rotatedAt = time.Now()
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
}

// maxMedianRatio is the maximum ratio of Cached to the median. While some replicas
// are slow, the unbounded quantile is the latency of the slow ones.
const maxMedianRatio = 4

// quantile returns the larger of the values of both histograms. A service that
// becomes slow is thus noticed immediately, and one that becomes fast only after a
// full window.
func (w *Window) quantile(q float64) time.Duration {
	highest := int64(0)
	for _, h := range []*hdrhistogram.Histogram{w.current, w.previous} {
		if h.TotalCount() < minSamples {
			continue
		}
		highest = max(highest, h.ValueAtQuantile(q*100))
	}
	if highest == 0 {
		return w.initial
	}
	return time.Duration(highest) * time.Microsecond
}
