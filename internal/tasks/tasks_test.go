package tasks

import (
	"sync/atomic"
	"testing"
)

// Goroutines start others while the owner waits. Wait must return only when all
// started goroutines have ended, and none may start after that.
func TestNothingStartsAfterWait(t *testing.T) {
	for range 200 {
		var g Group
		var running atomic.Int64
		var spawn func()
		spawn = func() {
			running.Add(1)
			g.Go(spawn)
			running.Add(-1)
		}
		for range 4 {
			g.Go(spawn)
		}
		g.Wait()
		if got := running.Load(); got != 0 {
			t.Fatalf("running goroutines after Wait() = %d, want 0", got)
		}
		if g.Go(func() {}) {
			t.Fatal("Go() after Wait() = true, want false")
		}
	}
}
