// Package random is a seeded source of random choices that goroutines share:
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
	// backoffFirst and backoffMost bound the delay before a retry: a round
	// trip to another region, and what callers still bear.
	backoffFirst = 10 * time.Millisecond
	backoffMost  = 250 * time.Millisecond
	// backoffSteps is after how many doublings the longest delay is reached.
	backoffSteps = 5
)

// Source is a source of random choices. It is safe for concurrent use.
type Source struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// New returns the source of a VM: equal seeds give different nodes
// different, repeatable sequences.
func New(seed uint64, vm string) *Source {
	return &Source{rand: rand.New(rand.NewPCG(seed, xxhash.Sum64String(vm)))}
}

// Uint64 draws a number.
func (r *Source) Uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Uint64()
}

// Jitter draws a duration between half and all of d.
func (r *Source) Jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.rand.Int64N(int64(d/2)+1))
}

// Pick draws n of the list without repetition.
func (r *Source) Pick(list []string, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	shuffled := append([]string(nil), list...)
	r.rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(n, len(shuffled))]
}

// Backoff is the delay before a retry, counted from 0: it doubles from one to the
// next, with jitter.
func (r *Source) Backoff(retry int) time.Duration {
	d := backoffMost
	if retry < backoffSteps {
		d = min(backoffFirst<<retry, backoffMost)
	}
	return r.Jitter(d)
}
