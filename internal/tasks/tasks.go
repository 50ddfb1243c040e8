// Package tasks provides groups of goroutines that their owner waits for. Unlike with
// a sync.WaitGroup, it is safe to call Go during or after Wait; Go then starts
// nothing.
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

// Group is a set of goroutines that are waited for together. The zero value is ready
// to use. A Group is safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	running sync.WaitGroup
	closed  bool
}

// Go runs f in a goroutine and reports whether it did so. It returns false once Wait
// has been called.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Go(f)
	return true
}

// Wait prevents further goroutines from starting and waits for the running ones.
func (g *Group) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}

// Sleep waits for d or until the context ends, and reports whether d elapsed first.
// If d is not positive, it reports whether the context is still active.
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
