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

// fakeSource answers from functions that a test sets.
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

// fakeSink keeps a view and counts what it is told.
type fakeSink struct {
	view           *View
	wholes         int
	down           bool
	lost, regained int
}

func newSink() *fakeSink { return &fakeSink{view: NewView()} }

func (s *fakeSink) Position(Topic) (uint64, bool) { return s.view.Position() }

func (s *fakeSink) Apply(_ Topic, b Batch) {
	if b.Full {
		s.wholes++
	}
	s.view.Apply(b)
}

func (s *fakeSink) Answered(Topic) {
	if s.down {
		s.down = false
		s.regained++
	}
}

func (s *fakeSink) Paused(Topic) {}

func (s *fakeSink) Failed(Topic, error) {
	if !s.down {
		s.down = true
		s.lost++
	}
}

func newFollower(source Source, sink Sink) *Follower {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(source, Upstreams, sink, WithLog(logrus.NewEntry(log)))
}

// idle is a watch that hears nothing.
func idle(ctx context.Context, revision uint64, wait time.Duration) (Batch, error) {
	select {
	case <-time.After(wait):
		return Batch{From: revision, Revision: revision}, nil
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}
}

// Replays a store that discards its history and leaves the watch waiting: a
// change that was made meanwhile must be seen within 3 s.
func TestDeafWatchIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		source := &fakeSource{list: func() (Batch, error) {
			return Batch{Full: true, Revision: uint64(time.Since(begun)/time.Second) + 1}, nil
		}}
		source.watch = func(ctx context.Context, revision uint64, wait time.Duration) (Batch, error) {
			if time.Since(begun) > time.Second && revision == 1 {
				return Batch{}, ErrCompacted
			}
			return idle(ctx, revision, wait)
		}
		sink := newSink()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if err := newFollower(source, sink).Run(ctx); err != nil {
			t.Errorf("Run() = %v, want nil", err)
		}
		if got, want := sink.wholes, 2; got != want {
			t.Errorf("lists that were applied = %d, want %d", got, want)
		}
		if sink.lost != 0 {
			t.Errorf("outages = %d, want 0", sink.lost)
		}
	})
}

// Replays a store that is down for 9 s: calls must be few, and the return noticed
// within a bounded time.
func TestOutageIsToldOnceAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		down := func() bool { return time.Since(begun) > time.Second && time.Since(begun) < 10*time.Second }
		source := &fakeSource{list: func() (Batch, error) { return Batch{Full: true, Revision: 1}, nil }}
		source.watch = func(ctx context.Context, revision uint64, wait time.Duration) (Batch, error) {
			if down() {
				return Batch{}, errors.New("down")
			}
			return idle(ctx, revision, min(wait, time.Second))
		}
		sink := newSink()
		ctx, cancel := context.WithTimeout(context.Background(), 13*time.Second)
		defer cancel()
		_ = newFollower(source, sink).Run(ctx)
		if sink.lost != 1 || sink.regained != 1 {
			t.Errorf("outages = %d, returns = %d, want 1 and 1", sink.lost, sink.regained)
		}
		if got, most := source.watches, 30; got > most {
			t.Errorf("watches in 13 s = %d, want at most %d", got, most)
		}
	})
}

func TestChangesThatComeTogetherAreReadTogether(t *testing.T) {
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
		if got, most := source.watches, 11; got > most {
			t.Errorf("watches during 4 s of steady changes = %d, want at most %d", got, most)
		}
	})
}

// A node that takes over the reading shows at once that the store answers it, so
// that the next one does not take over too.
func TestTakeOverAsksAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{watch: idle}
		sink := newSink()
		sink.view.Apply(Batch{Full: true, Revision: 5})
		begun := time.Now()
		active := func() bool { return time.Since(begun) > time.Second }
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
