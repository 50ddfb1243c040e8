package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// lockedRand shares one seeded source between goroutines.
type lockedRand struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// newRand returns the source of a VM: equal seeds give different nodes
// different, repeatable sequences.
func newRand(seed uint64, vm string) *lockedRand {
	return &lockedRand{rand: rand.New(rand.NewPCG(seed, xxhash.Sum64String(vm)))}
}

func (r *lockedRand) uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Uint64()
}

// jitter draws a duration between half and all of d.
func (r *lockedRand) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.rand.Int64N(int64(d/2)+1))
}

// pick draws n of the list without repetition.
func (r *lockedRand) pick(list []string, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	shuffled := append([]string(nil), list...)
	r.rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(n, len(shuffled))]
}
