// Package budget is a token bucket that bounds extra requests, such as hedges and
// retries, to a share of the primary requests: every primary request earns a fraction
// of a token and every extra request spends one token.
//
//	b := budget.New(0.04, budget.WithBurst(20))
//	b.Earn(20)           // 20 primary shard requests
//	if b.Spend() { … }   // one hedge
package budget

import "sync/atomic"

// unit is one token in the integer arithmetic of a Budget.
const unit = 1_000_000

const defaultBurst = 20

// Budget is a token budget. It is safe for concurrent use and takes no lock.
type Budget struct {
	share  int64
	burst  int64
	level  atomic.Int64
	spent  atomic.Int64
	denied atomic.Int64
}

// Option configures a Budget at construction.
type Option func(*Budget)

// WithBurst sets the maximum number of saved tokens. The default is 20.
func WithBurst(tokens int) Option { return func(b *Budget) { b.burst = int64(tokens) * unit } }

// New returns a Budget that allows the given share of extra requests. It starts with
// half of the burst.
func New(share float64, opts ...Option) *Budget {
	b := &Budget{share: int64(share * unit), burst: defaultBurst * unit}
	for _, opt := range opts {
		opt(b)
	}
	b.level.Store(b.burst / 2)
	return b
}

// Earn adds the tokens earned by n primary requests.
func (b *Budget) Earn(n int) {
	gain := b.share * int64(n)
	for {
		old := b.level.Load()
		now := min(old+gain, b.burst)
		if old == now || b.level.CompareAndSwap(old, now) {
			return
		}
	}
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool { return b.SpendAbove(0) }

// SpendAbove takes one token only if the given share of the burst remains, and reports
// whether it did. The remaining tokens are reserved for more urgent requests.
func (b *Budget) SpendAbove(share float64) bool {
	minLevel := unit + int64(share*float64(b.burst))
	for {
		old := b.level.Load()
		if old < minLevel {
			b.denied.Add(1)
			return false
		}
		if b.level.CompareAndSwap(old, old-unit) {
			b.spent.Add(1)
			return true
		}
	}
}

// Spent returns the number of tokens taken so far.
func (b *Budget) Spent() int64 { return b.spent.Load() }

// Denied returns the number of extra requests that were denied a token.
func (b *Budget) Denied() int64 { return b.denied.Load() }
