package tier

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/internal/relay"
	"geraniumstep.org/geraniumstep/pkg/fleet"
)

// settleTick is how often the directory looks at entries in doubt.
const settleTick = 200 * time.Millisecond

// state passes what is learned of the store on to the engine. It implements
// follow.Sink.
type state struct {
	engine *relay.Engine
	log    *logrus.Entry

	mu        sync.Mutex
	directory *fleet.Directory
	listed    bool
}

func newState(e *relay.Engine, log *logrus.Entry) *state {
	return &state{engine: e, log: log, directory: fleet.New()}
}

// Apply implements follow.Sink.
func (s *state) Apply(t follow.Topic, b follow.Batch) {
	if t == follow.Upstreams {
		s.applyUpstreams(b)
		return
	}
	for _, ev := range b.Events {
		routes, ok := ev.(follow.NewRoutes)
		if !ok {
			continue
		}
		if s.engine.SetRoutes(routes.Snapshot) {
			s.log.WithFields(logrus.Fields{"version": routes.Snapshot.Version(), "revision": b.Revision, "routes": len(routes.Snapshot.Routes())}).
				Info("tier: routes are in force.")
		}
	}
}

func (s *state) applyUpstreams(b follow.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = true
	changed := false
	if b.Whole {
		changed = s.directory.Step(fleet.Listed{Entries: seen(b.Events)})
	} else {
		changed = s.applyChanges(b.Events)
	}
	if changed {
		s.publish(b.Revision)
	}
}

func seen(events []follow.Event) []fleet.Entry {
	var list []fleet.Entry
	for _, ev := range events {
		if e, ok := ev.(follow.Seen); ok {
			list = append(list, e.Entry)
		}
	}
	return list
}

func (s *state) applyChanges(events []follow.Event) bool {
	changed := false
	for _, ev := range events {
		switch ev := ev.(type) {
		case follow.Seen:
			changed = s.directory.Step(fleet.Seen{Entry: ev.Entry}) || changed
		case follow.Gone:
			changed = s.directory.Step(fleet.Gone{ID: ev.ID}) || changed
		case follow.NewRoutes:
		}
	}
	return changed
}

// publish gives the upstreams to the engine. The lock is held.
func (s *state) publish(revision uint64) {
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

// Lost implements follow.Sink.
func (s *state) Lost(t follow.Topic, _ error) { s.disturb(t, fleet.Disturbed{}) }

// Regained implements follow.Sink.
func (s *state) Regained(t follow.Topic) { s.disturb(t, fleet.Calm{}) }

func (s *state) disturb(t follow.Topic, ev fleet.Event) {
	if t != follow.Upstreams {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.Step(ev)
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directory.Step(fleet.Tick{}) {
		s.publish(0)
	}
}

// knowsUpstreams tells whether the upstreams have been listed once.
func (s *state) knowsUpstreams() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}
