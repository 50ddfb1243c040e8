// Package random provides a seeded source of random choices that goroutines can share:
// delays with jitter, backoff between retries, and picks from a list.
//
//	source := random.New(seed, vm)
//	time.Sleep(source.Backoff(retry))
package random

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minBackoff and maxBackoff bound the delay before a retry. The minimum is a
	// round trip to another region, the maximum a delay that callers still accept.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// backoffDoublings is the number of doublings after which the delay has
	// reached maxBackoff.
	backoffDoublings = 5
)

// Source is a source of random choices. It is safe for concurrent use.
type Source struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// New returns the source of a VM. The sequence is repeatable for a seed and a VM, and
// differs between VMs with the same seed.
func New(seed uint64, vm string) *Source {
	return &Source{rand: rand.New(rand.NewPCG(seed, xxhash.Sum64String(vm)))}
}

// Uint64 returns a random number.
func (r *Source) Uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Uint64()
}

// Jitter returns a random duration between d/2 and d.
func (r *Source) Jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.rand.Int64N(int64(d/2)+1))
}

// Pick returns n random elements of the list, each at most once, or all elements if
// there are fewer.
func (r *Source) Pick(list []string, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	shuffled := append([]string(nil), list...)
	r.rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(n, len(shuffled))]
}

// Backoff returns the delay before a retry, counted from 0. The delay doubles with
// each retry up to maxBackoff, with jitter.
func (r *Source) Backoff(retry int) time.Duration {
	d := maxBackoff
	if retry < backoffDoublings {
		d = min(minBackoff<<retry, maxBackoff)
	}
	return r.Jitter(d)
}
