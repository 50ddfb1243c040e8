package daemon

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/internal/relay"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/outage"
)

// idSource is a source in which each object is an upstream whose id is the object's
// name.
type idSource struct{}

func (idSource) List(context.Context, follow.Topic) (follow.Batch, error) {
	return follow.Batch{}, nil
}

func (idSource) Watch(context.Context, follow.Topic, uint64, time.Duration) (follow.Batch, error) {
	return follow.Batch{}, nil
}

func (idSource) Decode(_ follow.Topic, c follow.Change) (follow.Event, bool) {
	if c.Deleted {
		return follow.UpstreamRemoved{ID: c.Name}, true
	}
	return follow.UpstreamUpdated{Entry: fleet.NewEntry(c.Name, "svc", "127.0.0.1:1")}, true
}

// A removal applies at once after a short failure of the store. After an outage in
// which the store may have removed upstreams only because their heartbeats were
// missing, the removed upstream must be retained.
func TestRemovedUpstreamIsRetainedAfterOutageOnly(t *testing.T) {
	errDown := errors.New("down")
	for _, c := range []struct {
		name   string
		events func(s *state)
		want   int
	}{
		{"no failure", func(*state) {}, 2},
		{"short failure", func(s *state) {
			s.Failed(follow.Upstreams, errDown)
			time.Sleep(outage.MinFailing / 2)
			s.Answered(follow.Upstreams)
		}, 2},
		{"outage", func(s *state) {
			s.Failed(follow.Upstreams, errDown)
			time.Sleep(outage.MinFailing)
			s.Answered(follow.Upstreams)
		}, 3},
		{"failure before a pause", func(s *state) {
			s.Failed(follow.Upstreams, errDown)
			s.Paused(follow.Upstreams)
			time.Sleep(outage.MinFailing)
			s.Answered(follow.Upstreams)
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				entry := logrus.NewEntry(log)
				engine := relay.New(nil, relay.WithLog(entry))
				defer engine.Close()
				s := newState(engine, idSource{}, entry)
				s.Apply(follow.Upstreams, follow.Batch{Full: true, Revision: 5, Changes: []follow.Change{{Name: "a"}, {Name: "b"}, {Name: "c"}}})
				s.Answered(follow.Upstreams)
				c.events(s)
				s.Apply(follow.Upstreams, follow.Batch{From: 5, Revision: 6, Changes: []follow.Change{{Name: "a", Deleted: true}}})
				if got := len(s.directory.Entries()); got != c.want {
					t.Errorf("upstreams after a removal = %d, want %d", got, c.want)
				}
			})
		})
	}
}

// A change that arrives from another node while a batch of the store is applied must not be missing at
// a third node that has only what this one publishes.
func TestPublishedBatchSkipsNoChangeOfAnotherNode(t *testing.T) {
	s, third := newTextState(t), newTextState(t)
	first := list(0, 5, "a ready 1", "b ready 1")
	s.Apply(follow.Upstreams, first)
	third.Apply(follow.Upstreams, first)
	var published []follow.Batch
	s.publish = func(_ follow.Topic, b follow.Batch) { published = append(published, b) }

	s.mu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Apply(follow.Upstreams, list(0, 7, "a draining 2", "b draining 2"))
	}()
	time.Sleep(20 * time.Millisecond) // until it waits for the lock
	s.views[follow.Upstreams].Apply(follow.Batch{From: 5, Revision: 6, Changes: []follow.Change{{Name: "a", Raw: []byte("draining 2")}}})
	s.mu.Unlock()
	<-done

	if len(published) != 1 {
		t.Fatalf("published batches = %d, want 1", len(published))
	}
	if !third.Merge(follow.Upstreams, published[0]) {
		third.Merge(follow.Upstreams, s.Since(follow.Upstreams, 5)) // as a node does that misses a change
	}
	if got, want := usable(third), ""; got != want {
		t.Errorf("usable at the third node = %q, want %q", got, want)
	}
}

// An object that cannot be decoded is logged when it changes, and not with each list.
func TestOddObjectIsNotLoggedWithEachList(t *testing.T) {
	log, hook := test.NewNullLogger()
	engine := relay.New(nil, relay.WithLog(logrus.NewEntry(log)))
	defer engine.Close()
	s := newState(engine, textSource{}, logrus.NewEntry(log))
	for revision := range uint64(5) {
		s.Apply(follow.Upstreams, list(0, revision+1, "a ready 1", "odd"))
	}
	lines := 0
	for _, e := range hook.AllEntries() {
		if e.Data["name"] == "odd" {
			lines++
		}
	}
	if got, want := lines, 1; got != want {
		t.Errorf("lines about the object = %d, want %d", got, want)
	}
}
