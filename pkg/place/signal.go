package place

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// signalMemory is the number of reports over which the mean of a figure and the errors
	// of its predictions are averaged. At ten reports a second that is about six seconds.
	signalMemory = 64
	// priorError is the error, as a share of the variance, that a horizon is charged for each
	// doubling of its distance from defaultHorizon before the first reports.
	priorError = 0.02
)

// horizons are the times among which the one is chosen in which the deviation of a figure from
// its mean falls to 1/e. With 0, a report says nothing about the time after it.
var horizons = [...]time.Duration{
	0, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 80 * time.Millisecond,
	160 * time.Millisecond, 320 * time.Millisecond, 640 * time.Millisecond,
}

// defaultHorizon is the index of the horizon that is assumed without reports.
const defaultHorizon = 3

// signal estimates the present value of a figure that an upstream reports from time to time.
// Between reports the estimate returns to the mean, at the rate at which the figure has been
// observed to change: each horizon predicts each report from the one before it, and the
// one with the smallest squared error is used. The mean itself fades with latencyHalfLife, so
// that an upstream which was slow is tried again. It is safe for concurrent use.
type signal struct {
	// rest is the value to which the mean fades.
	rest  float64
	state atomic.Pointer[signalState]

	mu     sync.Mutex // serializes report
	count  int
	errors [len(horizons)]float64
}

// signalState is what estimate reads. It is immutable.
type signalState struct {
	value, mean float64
	at          time.Time
	horizon     time.Duration
}

// report records a reported value.
func (s *signal) report(value float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.state.Load()
	if last == nil {
		for i := range s.errors {
			s.errors[i] = priorError * math.Abs(float64(i-defaultHorizon))
		}
		s.state.Store(&signalState{value: value, mean: value, at: now, horizon: horizons[defaultHorizon]})
		return
	}
	s.count = min(s.count+1, signalMemory)
	weight := 1 / float64(s.count+1)
	best := 0
	for i, h := range horizons {
		e := last.predict(now, h) - value
		s.errors[i] += weight * (e*e - s.errors[i])
		if s.errors[i] < s.errors[best] {
			best = i
		}
	}
	s.state.Store(&signalState{value: value, mean: last.mean + weight*(value-last.mean), at: now, horizon: horizons[best]})
}

func (s *signalState) predict(now time.Time, horizon time.Duration) float64 {
	return s.mean + (s.value-s.mean)*weightAt(now.Sub(s.at), horizon)
}

// weightAt returns the weight of a report of the given age.
func weightAt(age, horizon time.Duration) float64 {
	if horizon == 0 {
		return 0
	}
	return math.Exp(-float64(max(age, 0)) / float64(horizon))
}

// estimate returns the estimate of the present value, and whether any was reported.
func (s *signal) estimate(now time.Time) (float64, bool) {
	last := s.state.Load()
	if last == nil {
		return 0, false
	}
	return s.rest + (last.predict(now, last.horizon)-s.rest)*decay(now, last.at.UnixNano(), latencyHalfLife), true
}

// average returns the mean of the reports, or the default if there are none.
func (s *signal) average(def float64) float64 {
	if last := s.state.Load(); last != nil {
		return last.mean
	}
	return def
}
