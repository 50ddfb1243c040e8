package tasks

import (
	"sync/atomic"
	"testing"
)

// Goroutines that start others while the owner waits: Wait returns when all that
// were started have ended, and none starts after that.
func TestNothingStartsAfterWait(t *testing.T) {
	for range 200 {
		var g Group
		var running atomic.Int64
		var again func()
		again = func() {
			running.Add(1)
			g.Go(again)
			running.Add(-1)
		}
		for range 4 {
			g.Go(again)
		}
		g.Wait()
		if got := running.Load(); got != 0 {
			t.Fatalf("goroutines that run after Wait() = %d, want 0", got)
		}
		if g.Go(func() {}) {
			t.Fatal("Go() after Wait() = true, want false")
		}
	}
}
