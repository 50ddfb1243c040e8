package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/internal/mesh"
	"geraniumstep.org/geraniumstep/internal/relay"
	"geraniumstep.org/geraniumstep/pkg/fleet"
)

const (
	// settleTick is how often the directory looks at entries in doubt.
	settleTick = 200 * time.Millisecond
	// disturbedAfter is the age of the newest answer from the store at which
	// what vanishes from it is doubted. It is above the time that a watch may
	// wait and below the time after which silent upstreams are removed.
	disturbedAfter = 2600 * time.Millisecond
	// outage is how long the store must have failed before what vanishes from
	// it is doubted: silent upstreams are removed after three intervals of a
	// second or more, so that less than two intervals make nothing vanish.
	outage = 1500 * time.Millisecond
)

// topics lists what is followed.
var topics = [...]follow.Topic{follow.Routes, follow.Upstreams}

// state holds what the node knows of the store and passes it on to the engine
// and to the other nodes. It implements follow.Sink and mesh.State.
type state struct {
	engine *relay.Engine
	source follow.Source
	log    *logrus.Entry
	views  [len(topics)]*follow.View
	// answered is when the store last answered, by topic, and began when the
	// process started.
	answered [len(topics)]atomic.Pointer[time.Time]
	began    time.Time
	// failing is since when the store has failed each topic, nil while it
	// answers.
	failing [len(topics)]atomic.Pointer[time.Time]
	// publish passes changes on to the other nodes, and age is how old the
	// newest answer from the store is that this node can rely on.
	publish func(t follow.Topic, b follow.Batch)
	age     func() time.Duration

	mu        sync.Mutex
	directory *fleet.Directory
}

func newState(e *relay.Engine, source follow.Source, log *logrus.Entry) *state {
	s := &state{engine: e, source: source, log: log, began: time.Now(), directory: fleet.New()}
	for t := range s.views {
		s.views[t] = follow.NewView()
	}
	s.publish = func(follow.Topic, follow.Batch) {}
	s.age = s.StoreAge
	return s
}

// Position implements follow.Sink.
func (s *state) Position(t follow.Topic) (uint64, bool) { return s.views[t].Position() }

// Apply implements follow.Sink. The other nodes get what the batch changes here.
func (s *state) Apply(t follow.Topic, b follow.Batch) {
	from := s.views[t].LastChangeRevision()
	changes, ok := s.take(t, b)
	if !ok || len(changes) == 0 {
		return
	}
	s.publish(t, follow.Batch{Changes: changes, Full: from == 0, From: from, Revision: b.Revision})
}

// Merge implements mesh.State.
func (s *state) Merge(t follow.Topic, b follow.Batch) bool {
	_, ok := s.take(t, b)
	return ok
}

// take applies a batch and gives what it changes.
func (s *state) take(t follow.Topic, b follow.Batch) ([]follow.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes, ok := s.views[t].Apply(b)
	if !ok || len(changes) == 0 {
		return nil, ok
	}
	if t == follow.Routes {
		s.applyRoutes(changes, b.Revision)
	} else if s.applyUpstreams(changes) {
		s.publishUpstreams(b.Revision)
	}
	return changes, true
}

func (s *state) applyRoutes(changes []follow.Change, revision uint64) {
	for _, c := range changes {
		ev, ok := s.decode(follow.Routes, c)
		routes, isRoutes := ev.(follow.NewRoutes)
		if !ok || !isRoutes || !s.engine.SetRoutes(routes.Snapshot) {
			continue
		}
		s.log.WithFields(logrus.Fields{"version": routes.Snapshot.Version(), "revision": revision, "routes": len(routes.Snapshot.Routes())}).
			Info("tier: routes are in force.")
	}
}

func (s *state) decode(t follow.Topic, c follow.Change) (follow.Event, bool) {
	ev, ok := s.source.Decode(t, c)
	if !ok {
		s.log.WithFields(logrus.Fields{"topic": t.String(), "name": c.Name}).Warn("tier: object cannot be read and is left out.")
	}
	return ev, ok
}

func (s *state) applyUpstreams(changes []follow.Change) bool {
	changed := false
	for _, c := range changes {
		ev, ok := s.decode(follow.Upstreams, c)
		if !ok {
			continue
		}
		switch ev := ev.(type) {
		case follow.UpstreamUpdated:
			changed = s.directory.Step(fleet.Seen{Entry: ev.Entry}) || changed
		case follow.UpstreamRemoved:
			changed = s.directory.Step(fleet.Gone{ID: ev.ID}) || changed
		case follow.NewRoutes:
		}
	}
	return changed
}

// publishUpstreams gives the upstreams to the engine. The lock is held.
func (s *state) publishUpstreams(revision uint64) {
	entries := s.directory.Entries()
	s.engine.SetUpstreams(entries)
	draining := 0
	for _, e := range entries {
		if e.Draining() {
			draining++
		}
	}
	s.log.WithFields(logrus.Fields{"upstreams": len(entries), "draining": draining, "revision": revision}).
		Info("tier: upstreams have changed.")
}

// Since implements mesh.State.
func (s *state) Since(t follow.Topic, revision uint64) follow.Batch {
	return s.views[t].Since(revision)
}

// Revisions implements mesh.State.
func (s *state) Revisions() mesh.Revisions {
	return mesh.Revisions{Routes: s.views[follow.Routes].LastChangeRevision(), Upstreams: s.views[follow.Upstreams].LastChangeRevision()}
}

// Answered implements follow.Sink.
func (s *state) Answered(t follow.Topic) {
	now := time.Now()
	if since := s.failing[t].Swap(nil); since != nil && t == follow.Upstreams && now.Sub(*since) >= outage {
		s.disturb()
	}
	s.answered[t].Store(&now)
}

// Failed implements follow.Sink.
func (s *state) Failed(t follow.Topic, _ error) {
	now := time.Now()
	s.failing[t].CompareAndSwap(nil, &now)
	if t == follow.Upstreams && s.StoreFailing() >= outage {
		s.disturb()
	}
}

// Paused implements follow.Sink. What the store did before a pause tells nothing
// of what it did during it.
func (s *state) Paused(t follow.Topic) { s.failing[t].Store(nil) }

// disturb makes the directory doubt what vanishes, unless another node's answers
// are fresher.
func (s *state) disturb() {
	if s.age() < s.StoreAge() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.Step(fleet.Disturbed{})
}

// StoreFailing implements mesh.State.
func (s *state) StoreFailing() time.Duration {
	longest := time.Duration(0)
	for t := range s.failing {
		if since := s.failing[t].Load(); since != nil {
			longest = max(longest, time.Since(*since))
		}
	}
	return longest
}

// StoreAge implements mesh.State.
func (s *state) StoreAge() time.Duration {
	oldest := time.Duration(0)
	for t := range s.answered {
		at := s.began
		if answered := s.answered[t].Load(); answered != nil {
			at = *answered
		}
		oldest = max(oldest, time.Since(at))
	}
	return oldest
}

// run lets time pass for entries in doubt until the context ends.
func (s *state) run(ctx context.Context) error {
	ticker := time.NewTicker(settleTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.settle()
		}
	}
}

func (s *state) settle() {
	disturbed := s.age() > disturbedAfter
	s.mu.Lock()
	defer s.mu.Unlock()
	if disturbed {
		s.directory.Step(fleet.Disturbed{})
	} else {
		s.directory.Step(fleet.Calm{})
	}
	if s.directory.Step(fleet.Tick{}) {
		s.publishUpstreams(0)
	}
}

// knowsUpstreams tells whether the upstreams have been listed once.
func (s *state) knowsUpstreams() bool {
	_, known := s.views[follow.Upstreams].Position()
	return known
}
