// Package limit adapts a concurrency limit to what the far side can take:
// additive increase while the limit is in use and answers are healthy,
// multiplicative decrease on a sign of overload, at most one decrease in each
// round-trip.
//
//	l := limit.New(8, limit.WithMax(64))
//	l.Good(inFlight)
//	l.Overload()
//	n := l.Limit()
package limit

import "time"

const (
	defaultMax      = 1024
	defaultDecrease = 0.7
	defaultHold     = 100 * time.Millisecond
)

// Limiter holds one limit. It is not safe for concurrent use.
type Limiter struct {
	limit    float64
	min      float64
	max      float64
	decrease float64
	increase float64
	hold     time.Duration
	lastCut  time.Time
}

// Option changes a Limiter at construction.
type Option func(*Limiter)

// WithMax sets the highest limit. The default is 1024.
func WithMax(n int) Option { return func(l *Limiter) { l.max = float64(n) } }

// WithMin sets the lowest limit. The default is 1.
func WithMin(n int) Option { return func(l *Limiter) { l.min = float64(n) } }

// WithDecrease sets the factor applied on overload. The default is 0.7.
func WithDecrease(f float64) Option { return func(l *Limiter) { l.decrease = f } }

// WithIncrease sets by how much a full round of healthy answers raises the
// limit. The default is 1.
func WithIncrease(step float64) Option { return func(l *Limiter) { l.increase = step } }

// WithCooldown sets the least time between two decreases, so that the many signs
// of one overload count once. The default is 100 ms.
func WithCooldown(d time.Duration) Option { return func(l *Limiter) { l.hold = d } }

// New returns a Limiter that starts at n.
func New(n int, opts ...Option) *Limiter {
	l := &Limiter{limit: float64(n), min: 1, max: defaultMax, decrease: defaultDecrease, increase: 1, hold: defaultHold}
	for _, opt := range opts {
		opt(l)
	}
	l.clamp()
	return l
}

// Limit is the number of requests that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// Success reports a healthy answer that came while inFlight requests were
// running. The limit grows by a step for each round of answers, and only when
// at least half of it was in use.
func (l *Limiter) Success(inFlight int) {
	if float64(inFlight)*2 < l.limit {
		return
	}
	l.limit += l.increase / l.limit
	l.clamp()
}

// Overload reports a sign of overload: a shed request or an answer that
// queued too long. It tells whether the limit was lowered.
func (l *Limiter) Overload() bool {
	now := time.Now()
	if now.Sub(l.lastCut) < l.hold {
		return false
	}
	l.lastCut = now
	l.limit *= l.decrease
	l.clamp()
	return true
}

// Reset sets the limit, as after a restart of the far side.
func (l *Limiter) Reset(n int) {
	l.limit = float64(n)
	l.clamp()
}

// Resize changes the highest limit and starts from it.
func (l *Limiter) Resize(n int) {
	l.max = float64(n)
	l.Reset(n)
}

func (l *Limiter) clamp() {
	l.limit = min(max(l.limit, l.min), l.max)
}
