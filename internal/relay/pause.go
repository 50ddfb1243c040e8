package relay

import (
	"sync"
	"time"
)

// attemptStalled reports that the upstream of the attempt is paused.
type attemptStalled struct{ attempt *attempt }

// waiters holds the attempts at an upstream that states its pace, from the wait for a slot on,
// and whether they know that the upstream is paused.
type waiters struct {
	mu   sync.Mutex
	runs map[*attempt]*waiter
}

type waiter struct {
	run  *run
	told bool
}

// add registers the attempt if it may be hedged, and reports whether it has.
func (w *waiters) add(a *attempt, r *run) bool {
	if !r.plan.Idempotent || !a.upstream.stats.Paced() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = make(map[*attempt]*waiter)
	}
	w.runs[a] = &waiter{run: r}
	return true
}

func (w *waiters) remove(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.runs, a)
}

// untold returns the attempts that have not been told of a pause, and marks them as told.
func (w *waiters) untold() map[*attempt]*run {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make(map[*attempt]*run)
	for a, x := range w.runs {
		if !x.told {
			x.told = true
			list[a] = x.run
		}
	}
	return list
}

// pauseWatch looks for a pause of the upstream while an exchange takes longer than usual. A nil
// pauseWatch belongs to an upstream that states no pace.
type pauseWatch struct {
	upstream *upstream
	begun    time.Time
	interval time.Duration

	mu    sync.Mutex
	ended bool
	timer *time.Timer
}

// watchPause watches an exchange that is about to begin.
func (r *run) watchPause(u *upstream) *pauseWatch {
	if !u.stats.Paced() {
		return nil
	}
	p := &pauseWatch{upstream: u, begun: u.stats.BeginExchange()}
	if limit, ok := u.stats.UsualLimit(); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.interval = limit
		p.timer = time.AfterFunc(limit, p.check)
	}
	return p
}

// end ends the watch.
func (p *pauseWatch) end(answered bool) {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.ended = true
	if p.timer != nil {
		p.timer.Stop()
	}
	p.mu.Unlock()
	p.upstream.stats.EndExchange(p.begun, answered)
}

// check tells all that wait for the upstream if it is paused, and looks again later otherwise.
func (p *pauseWatch) check() {
	if p.upstream.stats.Paused(time.Now()) {
		for a, r := range p.upstream.waiting.untold() {
			r.post(attemptStalled{attempt: a})
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		p.timer.Reset(p.interval)
	}
}
