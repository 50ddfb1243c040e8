// Package retry bounds the arrivals at a service beyond the first of each
// request: hedges, retries and handed-over work that is sent again. The bound
// is a share of the requests in a sliding window plus this node's part of an
// allowance that all nodes share.
//
//	l := retry.New(retry.WithRatio(0.2), retry.WithAllowance(58))
//	l.Count("shard-3", 1)
//	if l.Spend("shard-3", retry.Needed) { … }
package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// buckets is into how many steps a window is cut.
	buckets = 20
	// safety leaves room for requests of nodes that restarted and forgot
	// what they had spent, and for windows that lie differently.
	safety = 0.8
	// allowanceSafety is the same for the shared allowance, which a
	// restarted node would get a second time.
	allowanceSafety = 0.6
	// keptForNeeded is the share of the budget that early hedges leave to
	// extra work without which a request would fail.
	keptForNeeded = 0.4

	defaultRatio     = 0.2
	defaultAllowance = 20
	defaultWindow    = 10 * time.Second
)

// Purpose tells how much depends on an extra arrival.
type Purpose uint8

// The uses.
const (
	// Speculative is a hedge that may turn out needless.
	Speculative Purpose = iota
	// Needed is a retry, or a hedge without which the answer would be late.
	Needed
)

// Budget keeps the counts of all services at one node. It is safe for
// concurrent use.
type Budget struct {
	ratio     float64
	allowance float64
	step      time.Duration
	nodes     atomic.Int64
	start     time.Time

	mu       sync.Mutex
	services map[string]*count
}

// count holds the sliding sums of one service.
type count struct {
	slot     int64
	requests [buckets]int
	extras   [buckets]int
	sumReq   int
	sumExtra int
}

// Option changes a Ledger at construction.
type Option func(*Budget)

// WithRatio sets the share of the requests. The default is 0.2.
func WithRatio(r float64) Option { return func(l *Budget) { l.ratio = r } }

// WithAllowance sets the allowance that all nodes share. The default is 20.
func WithAllowance(n int) Option { return func(l *Budget) { l.allowance = float64(n) } }

// WithWindow sets the length of the window. The default is 10 s.
func WithWindow(d time.Duration) Option { return func(l *Budget) { l.step = d / buckets } }

// WithNodes sets how many nodes share the allowance. The default is 1.
func WithNodes(n int) Option { return func(l *Budget) { l.nodes.Store(int64(n)) } }

// New returns an empty Ledger.
func New(opts ...Option) *Budget {
	l := &Budget{
		ratio: defaultRatio, allowance: defaultAllowance, step: defaultWindow / buckets,
		start: time.Now(), services: make(map[string]*count),
	}
	l.nodes.Store(1)
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetNodes changes how many nodes share the allowance.
func (l *Budget) SetNodes(n int) { l.nodes.Store(int64(max(n, 1))) }

// Count adds n requests for the service.
func (l *Budget) Count(service string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.at(service)
	c.requests[c.slot%buckets] += n
	c.sumReq += n
}

// Spend takes one extra arrival at the service and tells whether the budget
// allows it.
func (l *Budget) Spend(service string, use Purpose) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.at(service)
	limit := safety*l.ratio*float64(c.sumReq) + allowanceSafety*l.allowance/float64(l.nodes.Load())
	if use == Speculative {
		limit *= 1 - keptForNeeded
	}
	if float64(c.sumExtra+1) > limit {
		return false
	}
	c.extras[c.slot%buckets]++
	c.sumExtra++
	return true
}

// at finds the counts of the service, with the window moved up to now.
func (l *Budget) at(service string) *count {
	slot := int64(time.Since(l.start) / l.step)
	c, ok := l.services[service]
	if !ok {
		c = &count{slot: slot}
		l.services[service] = c
	}
	for c.slot < slot {
		if slot-c.slot > buckets {
			*c = count{slot: slot}
			break
		}
		c.slot++
		i := c.slot % buckets
		c.sumReq -= c.requests[i]
		c.sumExtra -= c.extras[i]
		c.requests[i], c.extras[i] = 0, 0
	}
	return c
}
