package daemon

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/internal/relay"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// textSource is a source of which an upstream's object is "STATE REPORT", and the object of
// the routes their version.
type textSource struct{ idSource }

func (textSource) Decode(t follow.Topic, c follow.Change) (follow.Event, bool) {
	var state string
	var number uint64
	switch {
	case t == follow.Routes:
		_, err := fmt.Sscan(string(c.Raw), &number)
		return follow.NewRoutes{Snapshot: vhost.New(number, nil)}, err == nil
	case c.Deleted:
		return follow.UpstreamRemoved{ID: c.Name}, true
	}
	_, err := fmt.Sscan(string(c.Raw), &state, &number)
	return follow.UpstreamUpdated{Entry: fleet.NewEntry(c.Name, "svc", "127.0.0.1:1", fleet.WithStarted(1), fleet.WithReport(number), fleet.WithDraining(state == "draining"))}, err == nil
}

func newTextState(t *testing.T) *state {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	engine := relay.New(nil, relay.WithLog(logrus.NewEntry(log)))
	t.Cleanup(engine.Close)
	return newState(engine, textSource{}, logrus.NewEntry(log))
}

// list returns a full batch of objects that are written as "NAME CONTENT".
func list(era, revision uint64, objects ...string) follow.Batch {
	b := follow.Batch{Full: true, Revision: follow.At(era, revision)}
	for _, o := range objects {
		name, content, _ := strings.Cut(o, " ")
		b.Changes = append(b.Changes, follow.Change{Name: name, Raw: []byte(content)})
	}
	return b
}

// usable returns the ids of the upstreams that are not draining.
func usable(s *state) string {
	var ids []string
	for _, e := range s.directory.Entries() {
		if !e.Draining() {
			ids = append(ids, e.ID())
		}
	}
	return strings.Join(ids, " ")
}

// A node that starts after the store came back older, and has its list from it, must not undo
// a drain or a removal at the nodes that it passes the list to, nor a node that has the list
// of a peer.
func TestListOfRestartedNodeUndoesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTextState(t)
		s.Apply(follow.Upstreams, list(0, 5, "a ready 1", "b ready 1", "c ready 1"))
		s.Apply(follow.Upstreams, list(0, 8, "a draining 3", "b ready 1"))
		s.Apply(follow.Upstreams, list(1, 6, "a ready 1", "b ready 1", "c ready 1"))
		if got, want := usable(s), "b"; got != want {
			t.Errorf("usable after the first list = %q, want %q", got, want)
		}
		s.Merge(follow.Upstreams, list(1, 9, "a ready 1", "b ready 1", "c ready 1", "d ready 1"))
		if got, want := usable(s), "b d"; got != want {
			t.Errorf("usable after the list of a restarted node = %q, want %q", got, want)
		}
		started := newTextState(t)
		started.Merge(follow.Upstreams, s.Since(follow.Upstreams, 0))
		if got, want := usable(started), "b c d"; got != want {
			t.Errorf("usable at a node with the list of a peer = %q, want %q", got, want)
		}
	})
}

// An older copy of the store must not give a node that starts an older configuration by way of a
// peer.
func TestPeerPassesOnItsRoutesAfterRestore(t *testing.T) {
	s := newTextState(t)
	s.Apply(follow.Routes, list(0, 5, "main 4"))
	s.Apply(follow.Routes, list(0, 8, "main 7"))
	s.Apply(follow.Routes, list(1, 6, "main 4"))
	if got, want := string(s.Since(follow.Routes, 0).Changes[0].Raw), "7"; got != want {
		t.Errorf("version that a peer gets = %s, want %s", got, want)
	}
	s.Apply(follow.Routes, list(1, 9, "main 8"))
	if got, want := s.engine.Routes().Version(), uint64(8); got != want {
		t.Errorf("version in force = %d, want %d", got, want)
	}
}

// A removed upstream that a restored store lists comes into use if it is still listed when one
// without heartbeats would have been removed, and not before.
func TestRemovedUpstreamIsNotUsedBecauseOfAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTextState(t)
		s.Apply(follow.Upstreams, list(0, 5, "a ready 1", "b ready 1", "c ready 1", "d ready 1"))
		s.Apply(follow.Upstreams, list(0, 8, "d ready 1"))
		s.Apply(follow.Upstreams, list(1, 6, "a ready 1", "b ready 1", "c ready 4", "d ready 1"))
		if got, want := usable(s), "c d"; got != want {
			t.Errorf("usable after the first list = %q, want %q", got, want)
		}
		time.Sleep(2 * time.Second)
		s.Apply(follow.Upstreams, follow.Batch{From: follow.At(1, 6), Revision: follow.At(1, 7), Changes: []follow.Change{{Name: "a", Deleted: true}}})
		for range 8 {
			time.Sleep(time.Second)
			s.lastAnswer[follow.Upstreams].Store(new(time.Now()))
			s.lastAnswer[follow.Routes].Store(new(time.Now()))
			s.checkStore()
		}
		if got, want := usable(s), "b c d"; got != want {
			t.Errorf("usable at last = %q, want %q", got, want)
		}
	})
}

// A node that joins while the store is away, and has the list from a peer, must not undo a drain
// or a removal when it reads the restored store, nor when that is restored again.
func TestNodeThatJoinsDuringOutageUndoesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, joined := newTextState(t), newTextState(t)
		peer.Apply(follow.Upstreams, list(0, 5, "a ready 1", "b ready 1"))
		peer.Apply(follow.Upstreams, list(0, 8, "a draining 3", "b ready 1", "c ready 1"))
		joined.Merge(follow.Upstreams, peer.Since(follow.Upstreams, 0))
		for era := range uint64(2) {
			joined.Apply(follow.Upstreams, list(era+1, 6, "a ready 1", "b draining 4"))
			if got, want := usable(joined), "c"; got != want {
				t.Errorf("usable after restore %d = %q, want %q, which is missing but kept", era+1, got, want)
			}
			time.Sleep(time.Second)
		}
	})
}
