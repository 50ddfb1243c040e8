// Package retry is the retry budget of a node: it bounds the extra sends to a
// service beyond the first of each request, which are hedges, retries and resends
// of work handed over by another node. The bound is a ratio of the requests in a
// sliding window plus this node's part of an allowance that all nodes share.
//
//	b := retry.New(retry.WithRatio(0.2), retry.WithAllowance(58))
//	b.Count("shard-3", 1)
//	if b.Spend("shard-3", retry.Needed) { … }
package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// buckets is the number of steps that the window is divided into.
	buckets = 20
	// ratioSafety leaves room for nodes that restart and lose their count of
	// extra sends, and for windows that are not aligned between nodes.
	ratioSafety = 0.8
	// allowanceSafety does the same for the shared allowance, of which a
	// restarted node can spend its part a second time.
	allowanceSafety = 0.6
	// reservedForNeeded is the share of the budget that speculative hedges
	// leave to sends without which a request would fail.
	reservedForNeeded = 0.4

	defaultRatio     = 0.2
	defaultAllowance = 20
	defaultWindow    = 10 * time.Second
)

// Purpose is what an extra send is for, which decides how much of the budget it
// may use.
type Purpose uint8

// The purposes.
const (
	// Speculative is a hedge that may prove unnecessary.
	Speculative Purpose = iota
	// Needed is a retry, or a hedge without which the answer would be late.
	Needed
)

// Budget counts the requests and extra sends of one node for each service. It is
// safe for concurrent use.
type Budget struct {
	ratio     float64
	allowance float64
	step      time.Duration
	nodes     atomic.Int64
	start     time.Time

	mu       sync.Mutex
	services map[string]*count
}

// count holds the sliding-window sums of one service.
type count struct {
	bucket   int64 // the current one, counted from start
	requests [buckets]int
	extras   [buckets]int
	sumReq   int
	sumExtra int
}

// Option configures a Budget at construction.
type Option func(*Budget)

// WithRatio sets the extra sends allowed for each request. The default is 0.2.
func WithRatio(r float64) Option { return func(b *Budget) { b.ratio = r } }

// WithAllowance sets the extra sends that all nodes together may make in a window
// on top of the ratio. The default is 20.
func WithAllowance(n int) Option { return func(b *Budget) { b.allowance = float64(n) } }

// WithWindow sets the length of the sliding window. The default is 10 s.
func WithWindow(d time.Duration) Option { return func(b *Budget) { b.step = d / buckets } }

// WithNodes sets the number of nodes that share the allowance. The default is 1.
func WithNodes(n int) Option { return func(b *Budget) { b.nodes.Store(int64(n)) } }

// New returns a Budget without any counts.
func New(opts ...Option) *Budget {
	b := &Budget{
		ratio: defaultRatio, allowance: defaultAllowance, step: defaultWindow / buckets,
		start: time.Now(), services: make(map[string]*count),
	}
	b.nodes.Store(1)
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// SetNodes changes the number of nodes that share the allowance.
func (b *Budget) SetNodes(n int) { b.nodes.Store(int64(max(n, 1))) }

// Count records n requests to the service.
func (b *Budget) Count(service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service)
	c.requests[c.bucket%buckets] += n
	c.sumReq += n
}

// Spend takes one extra send to the service from the budget and reports whether
// the budget allows it.
func (b *Budget) Spend(service string, purpose Purpose) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service)
	limit := ratioSafety*b.ratio*float64(c.sumReq) + allowanceSafety*b.allowance/float64(b.nodes.Load())
	if purpose == Speculative {
		limit *= 1 - reservedForNeeded
	}
	if float64(c.sumExtra+1) > limit {
		return false
	}
	c.extras[c.bucket%buckets]++
	c.sumExtra++
	return true
}

// countsOf returns the counts of the service, with the window advanced to now.
func (b *Budget) countsOf(service string) *count {
	bucket := int64(time.Since(b.start) / b.step)
	c, ok := b.services[service]
	if !ok {
		c = &count{bucket: bucket}
		b.services[service] = c
	}
	for c.bucket < bucket {
		if bucket-c.bucket > buckets {
			*c = count{bucket: bucket}
			break
		}
		c.bucket++
		i := c.bucket % buckets
		c.sumReq -= c.requests[i]
		c.sumExtra -= c.extras[i]
		c.requests[i], c.extras[i] = 0, 0
	}
	return c
}
