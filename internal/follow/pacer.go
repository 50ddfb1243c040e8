package follow

import (
	"sync"
	"time"
)

// Pacer spreads the watches of two topics, so that one of them is answered each half of the
// time that a watch may wait. Other nodes notice by a missing reply that a reader has lost its
// connection to the store, and notice it sooner this way without more calls. It is safe for
// concurrent use.
type Pacer struct {
	mu sync.Mutex
	// ends is when the newest watch of each topic ends if nothing changes.
	ends [Upstreams + 1]time.Time
}

// NewPacer returns a Pacer without watches.
func NewPacer() *Pacer { return &Pacer{} }

// wait returns how long a watch of the topic waits that begins now, after a pause since the
// last reply.
func (p *Pacer) wait(t Topic, paused time.Duration) time.Duration {
	const half = watchWait / 2
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	replied := now.Add(-paused)
	end := replied.Add(watchWait)
	if other := p.ends[Upstreams-t]; other.After(now) {
		if other.Sub(replied) > half {
			end = other.Add(-half)
		} else {
			end = other.Add(half)
		}
	}
	p.ends[t] = end
	return max(end.Sub(now), 0)
}
