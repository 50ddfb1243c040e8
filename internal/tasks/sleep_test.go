package tasks

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleepEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for _, c := range []struct {
			wait, took time.Duration
			want       bool
		}{{-1, 0, true}, {200 * time.Millisecond, 200 * time.Millisecond, true}, {time.Hour, 800 * time.Millisecond, false}, {0, 0, false}} {
			start := time.Now()
			if got := Sleep(ctx, c.wait); got != c.want || time.Since(start) != c.took {
				t.Errorf("Sleep(%v) = %v after %v, want %v after %v", c.wait, got, time.Since(start), c.want, c.took)
			}
		}
	})
}
