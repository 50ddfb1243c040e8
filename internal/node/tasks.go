package node

import "sync"

// tasks are goroutines that their owner waits for. Unlike a sync.WaitGroup it
// may be asked to start one while the owner waits; it then starts none.
type tasks struct {
	mu      sync.Mutex
	running sync.WaitGroup
	closed  bool
}

// start runs f in a goroutine and tells whether it did.
func (t *tasks) start(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.running.Go(f)
	return true
}

// wait starts no more and waits for those that run.
func (t *tasks) wait() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.running.Wait()
}
