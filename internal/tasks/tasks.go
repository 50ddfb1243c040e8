// Package tasks holds goroutines that their owner waits for. Unlike a
// sync.WaitGroup, a Group may be asked to start one while its owner waits; it
// then starts none.
//
//	var g tasks.Group
//	started := g.Go(func() { … })
//	g.Wait()
package tasks

import (
	"context"
	"sync"
	"time"
)

// Group is a set of goroutines with one end. The zero value is ready for use. It
// is safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	running sync.WaitGroup
	closed  bool
}

// Go runs f in a goroutine and tells whether it did: not once Wait was called.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Go(f)
	return true
}

// Wait starts no more and waits for those that run.
func (g *Group) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}

// Sleep waits and tells whether the context is still alive.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
