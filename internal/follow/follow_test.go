package follow

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// fakeSource answers calls with functions that a test sets.
type fakeSource struct {
	mu      sync.Mutex
	lists   int
	watches int
	list    func() (Batch, error)
	watch   func(ctx context.Context, revision uint64, wait time.Duration) (Batch, error)
}

func (s *fakeSource) List(context.Context, Topic) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.list()
}

func (s *fakeSource) Watch(ctx context.Context, _ Topic, revision uint64, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	s.watches++
	watch := s.watch
	s.mu.Unlock()
	return watch(ctx, revision, wait)
}

func (s *fakeSource) Decode(Topic, Change) (Event, bool) { return nil, false }

// fakeSink keeps a view and counts full batches, outages and recoveries.
type fakeSink struct {
	view                *View
	fullBatches         int
	down                bool
	outages, recoveries int
}

func newSink() *fakeSink { return &fakeSink{view: NewView()} }

func (s *fakeSink) Position(Topic) (uint64, bool) { return s.view.Position() }

func (s *fakeSink) Apply(_ Topic, b Batch) {
	if b.Full {
		s.fullBatches++
	}
	s.view.Apply(b)
}

func (s *fakeSink) Answered(Topic) {
	if s.down {
		s.down = false
		s.recoveries++
	}
}

func (s *fakeSink) Paused(Topic) {}

func (s *fakeSink) Failed(Topic, error) {
	if !s.down {
		s.down = true
		s.outages++
	}
}

func newFollower(source Source, sink Sink) *Follower {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(source, Upstreams, sink, WithLog(logrus.NewEntry(log)))
}

// idleWatch is a watch that returns no changes.
func idleWatch(ctx context.Context, revision uint64, wait time.Duration) (Batch, error) {
	select {
	case <-time.After(wait):
		return Batch{From: revision, Revision: revision}, nil
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}
}

// A store that discards its history leaves a pending watch without changes. A
// change that is made meanwhile must be applied within 3 s.
func TestWatchIsRenewedAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		source := &fakeSource{list: func() (Batch, error) {
			return Batch{Full: true, Revision: uint64(time.Since(start)/time.Second) + 1}, nil
		}}
		source.watch = func(ctx context.Context, revision uint64, wait time.Duration) (Batch, error) {
			if time.Since(start) > time.Second && revision == 1 {
				return Batch{}, ErrCompacted
			}
			return idleWatch(ctx, revision, wait)
		}
		sink := newSink()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if err := newFollower(source, sink).Run(ctx); err != nil {
			t.Errorf("Run() = %v, want nil", err)
		}
		if got, want := sink.fullBatches, 2; got != want {
			t.Errorf("applied full batches = %d, want %d", got, want)
		}
		if sink.outages != 0 {
			t.Errorf("outages = %d, want 0", sink.outages)
		}
	})
}

// While the store is down for 9 s the follower must make few calls, and must detect
// the recovery within a bounded time.
func TestOutageIsReportedOnceAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		down := func() bool { return time.Since(start) > time.Second && time.Since(start) < 10*time.Second }
		source := &fakeSource{list: func() (Batch, error) { return Batch{Full: true, Revision: 1}, nil }}
		source.watch = func(ctx context.Context, revision uint64, wait time.Duration) (Batch, error) {
			if down() {
				return Batch{}, errors.New("down")
			}
			return idleWatch(ctx, revision, min(wait, time.Second))
		}
		sink := newSink()
		ctx, cancel := context.WithTimeout(context.Background(), 13*time.Second)
		defer cancel()
		_ = newFollower(source, sink).Run(ctx)
		if sink.outages != 1 || sink.recoveries != 1 {
			t.Errorf("outages = %d, recoveries = %d, want 1 and 1", sink.outages, sink.recoveries)
		}
		if got, limit := source.watches, 30; got > limit {
			t.Errorf("watches in 13 s = %d, want at most %d", got, limit)
		}
	})
}

func TestFrequentChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		revision := uint64(1)
		source := &fakeSource{list: func() (Batch, error) { return Batch{Full: true, Revision: 1}, nil }}
		source.watch = func(context.Context, uint64, time.Duration) (Batch, error) {
			revision++
			return Batch{Changes: []Change{{Name: "x", Deleted: true}}, From: revision - 1, Revision: revision}, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		_ = newFollower(source, newSink()).Run(ctx)
		if got, limit := source.watches, 11; got > limit {
			t.Errorf("watches during 4 s of continuous changes = %d, want at most %d", got, limit)
		}
	})
}

// Other nodes take a reader's silence for a lost connection to the store. The pause after a change must
// not make it longer.
func TestRepliesAreNoMoreThanAWatchApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		source := &fakeSource{list: func() (Batch, error) { return Batch{Full: true, Revision: 1}, nil }}
		last, longest := start, time.Duration(0)
		source.watch = func(ctx context.Context, revision uint64, wait time.Duration) (Batch, error) {
			defer func() { longest, last = max(longest, time.Since(last)), time.Now() }()
			if revision%2 == 0 {
				return idleWatch(ctx, revision+1, wait)
			}
			time.Sleep(wait / 2)
			return Batch{Changes: []Change{{Name: "x", Deleted: true}}, From: revision, Revision: revision + 1}, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = newFollower(source, newSink()).Run(ctx)
		if got, limit := longest, watchWait; got > limit {
			t.Errorf("longest time between replies = %v, want at most %v", got, limit)
		}
	})
}

// A follower that becomes active must show at once that the store answers, or the
// next node would take over as reader too.
func TestFirstWatchAfterIdleReturnsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{watch: idleWatch}
		sink := newSink()
		sink.view.Apply(Batch{Full: true, Revision: 5})
		start := time.Now()
		active := func() bool { return time.Since(start) > time.Second }
		f := newFollower(source, sink)
		WithActive(active)(f)
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		defer cancel()
		_ = f.Run(ctx)
		if got, want := source.watches, 2; got != want {
			t.Errorf("watches in the first half second = %d, want %d: one that returns at once, one that waits", got, want)
		}
	})
}
