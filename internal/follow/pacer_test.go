package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// The reply that other nodes miss when a reader has lost its connection to the store must be due soon, at
// no more calls than without a pacer.
func TestRepliesToTwoTopicsAreSpread(t *testing.T) {
	for name, offset := range map[string]time.Duration{"started together": 0, "a little apart": 100 * time.Millisecond, "evenly": watchWait / 2, "almost in step": watchWait - time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length, settled = 30 * time.Second, 3 * time.Second
				pacer, start := NewPacer(), time.Now()
				var mu sync.Mutex
				last, longest, calls := start, time.Duration(0), 0
				ctx, cancel := context.WithTimeout(context.Background(), length)
				defer cancel()
				var followers sync.WaitGroup
				for topic, delay := range map[Topic]time.Duration{Routes: 0, Upstreams: offset} {
					source := &fakeSource{watch: func(ctx context.Context, revision uint64, wait time.Duration) (Batch, error) {
						b, err := idleWatch(ctx, revision, wait)
						mu.Lock()
						defer mu.Unlock()
						if time.Since(start) > settled {
							longest = max(longest, time.Since(last))
						}
						last, calls = time.Now(), calls+1
						return b, err
					}}
					sink := newSink()
					sink.view.Apply(Batch{Full: true, Revision: 5})
					f := newFollower(source, sink)
					f.topic = topic
					WithPacer(pacer)(f)
					followers.Go(func() {
						time.Sleep(delay)
						_ = f.Run(ctx)
					})
				}
				followers.Wait()
				if got, limit := longest, watchWait/2; got > limit {
					t.Errorf("longest time between replies = %v, want at most %v", got, limit)
				}
				if got, limit := calls, 2*int(length/watchWait)+3; got > limit {
					t.Errorf("calls in %v = %d, want at most %d", length, got, limit)
				}
			})
		})
	}
}
