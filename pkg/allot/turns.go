package allot

import (
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

// maxTurn bounds the time after which a caller is told to return.
const maxTurn = 10 * time.Second

// Turns assigns the times at which callers over the allotment return: one after another, the
// urgent ones first. It is safe for concurrent use.
type Turns struct {
	mu   sync.Mutex
	last map[string]*[prio.Count]time.Time
}

// NewTurns returns Turns without any.
func NewTurns() *Turns { return &Turns{last: make(map[string]*[prio.Count]time.Time)} }

// Next returns when a caller of the workspace should return, if a token is there after the
// wait and further ones at the rate, in tokens per second.
func (t *Turns) Next(workspace string, p prio.Priority, wait time.Duration, rate float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	last, ok := t.last[workspace]
	if !ok {
		last = new([prio.Count]time.Time)
		t.last[workspace] = last
	}
	spacing := maxTurn
	if rate > 0 {
		spacing = time.Duration(min(float64(time.Second)/rate, float64(maxTurn)))
	}
	first := now.Add(wait)
	for q := p; q < prio.Count; q++ {
		if last[q].After(now) {
			first = maxTime(first, last[q].Add(spacing))
		}
	}
	if first.Sub(now) > maxTurn {
		first = now.Add(maxTurn)
	}
	last[p] = first
	return first.Sub(now)
}
