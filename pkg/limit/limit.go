// Package limit adapts a concurrency limit to the capacity of a server. The limit
// increases additively while it is in use and replies are healthy, and decreases
// multiplicatively on overload, at most once per cooldown.
//
//	l := limit.New(8, limit.WithMax(64))
//	l.Success(inFlight)
//	l.Overload()
//	n := l.Limit()
package limit

import "time"

const (
	defaultMax      = 1024
	defaultDecrease = 0.7
	defaultCooldown = 100 * time.Millisecond
)

// Limiter is an adaptive concurrency limit. It is not safe for concurrent use.
type Limiter struct {
	limit        float64
	min          float64
	max          float64
	decrease     float64
	increase     float64
	cooldown     time.Duration
	lastDecrease time.Time
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithMax sets the maximum limit. The default is 1024.
func WithMax(n int) Option { return func(l *Limiter) { l.max = float64(n) } }

// WithMin sets the minimum limit. The default is 1.
func WithMin(n int) Option { return func(l *Limiter) { l.min = float64(n) } }

// WithDecrease sets the factor applied to the limit on overload. The default is
// 0.7.
func WithDecrease(f float64) Option { return func(l *Limiter) { l.decrease = f } }

// WithIncrease sets how much the limit grows per round of healthy replies. The
// default is 1.
func WithIncrease(step float64) Option { return func(l *Limiter) { l.increase = step } }

// WithCooldown sets the minimum time between two decreases, so that the many
// signals of a single overload count once. The default is 100 ms.
func WithCooldown(d time.Duration) Option { return func(l *Limiter) { l.cooldown = d } }

// New returns a Limiter with the initial limit n.
func New(n int, opts ...Option) *Limiter {
	l := &Limiter{limit: float64(n), min: 1, max: defaultMax, decrease: defaultDecrease, increase: 1, cooldown: defaultCooldown}
	for _, opt := range opts {
		opt(l)
	}
	l.clamp()
	return l
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// Success records a healthy reply that arrived while inFlight requests were
// running. The limit grows by the configured step per round of replies, and only
// if at least half of it is in use.
func (l *Limiter) Success(inFlight int) {
	if float64(inFlight)*2 < l.limit {
		return
	}
	l.limit += l.increase / l.limit
	l.clamp()
}

// Overload records a sign of overload, such as a shed request or a reply that
// queued too long, and reports whether the limit was lowered.
func (l *Limiter) Overload() bool {
	now := time.Now()
	if now.Sub(l.lastDecrease) < l.cooldown {
		return false
	}
	l.lastDecrease = now
	l.limit *= l.decrease
	l.clamp()
	return true
}

// Reset sets the current limit, for example after a restart of the server.
func (l *Limiter) Reset(n int) {
	l.limit = float64(n)
	l.clamp()
}

// Resize sets the maximum limit and resets the current limit to it.
func (l *Limiter) Resize(n int) {
	l.max = float64(n)
	l.Reset(n)
}

func (l *Limiter) clamp() {
	l.limit = min(max(l.limit, l.min), l.max)
}
