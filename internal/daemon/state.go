package daemon

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/internal/mesh"
	"geraniumstep.org/geraniumstep/internal/relay"
	"geraniumstep.org/geraniumstep/pkg/evac"
	"geraniumstep.org/geraniumstep/pkg/fleet"
)

const (
	// recheckInterval is how often the directory rechecks removed entries that
	// it retains.
	recheckInterval = 200 * time.Millisecond
	// maxLoggedEntries bounds the entries that one line of the log names.
	maxLoggedEntries = 8
)

// state holds the node's copy of the store and passes changes to the engine and to
// the other nodes. It implements follow.Sink and mesh.State.
type state struct {
	engine *relay.Engine
	source follow.Source
	log    *logrus.Entry
	views  [follow.TopicCount]*follow.View
	// lastAnswer is when the store last answered, by topic, and started when the
	// process started.
	lastAnswer [follow.TopicCount]atomic.Pointer[time.Time]
	started    time.Time
	// failingSince is when the current series of failed calls began, by topic,
	// or nil while the store answers.
	failingSince [follow.TopicCount]atomic.Pointer[time.Time]
	// replies records the replies of the store to this node and to others.
	replies storeReplies
	// publish sends changes to the other nodes.
	publish func(t follow.Topic, b follow.Batch)
	// restored is called when the store has been restored from an older copy.
	restored func()

	mu        sync.Mutex
	directory *fleet.Directory
	// evacuations is nil if they are not followed.
	evacuations *evac.Set
	// availability is what the directory was last told of the store, and retained the number
	// of removed upstreams that it kept.
	availability availability
	retained     int
}

func newState(e *relay.Engine, source follow.Source, log *logrus.Entry) *state {
	s := &state{engine: e, source: source, log: log, started: time.Now(), directory: fleet.New()}
	for t := range s.views {
		s.views[t] = follow.NewView()
	}
	s.publish = func(follow.Topic, follow.Batch) {}
	s.restored = func() {}
	return s
}

// Position implements follow.Sink.
func (s *state) Position(t follow.Topic) (uint64, bool) { return s.views[t].Position() }

// Apply implements follow.Sink. It sends the changes that the batch makes to this
// node's copy to the other nodes.
func (s *state) Apply(t follow.Topic, b follow.Batch) {
	changes, from, ok := s.apply(t, b)
	if !ok || len(changes) == 0 {
		return
	}
	s.publish(t, follow.Batch{Changes: changes, Full: from == 0, From: from, Revision: b.Revision})
}

// Merge implements mesh.State.
func (s *state) Merge(t follow.Topic, b follow.Batch) bool {
	_, _, ok := s.apply(t, b)
	return ok
}

// apply applies a batch. It returns the changes that it makes and the revision of the last
// change before it. It reports false when changes before the batch are missing.
func (s *state) apply(t follow.Topic, b follow.Batch) (changes []follow.Change, from uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from = s.views[t].LastChangeRevision()
	before, loaded := s.views[t].Position()
	listed := loaded && b.Revision > before && (b.Full || isNewEra(before, b.Revision))
	if listed {
		b.Changes = s.keepLater(t, b.Changes)
	}
	changes, ok = s.views[t].Apply(b)
	if ok && loaded && isNewEra(before, b.Revision) {
		s.noteEra(t, b.Revision)
	}
	if t == follow.Evacuations && ok {
		s.applyEvacuations(changes, b.Revision, loaded && isNewEra(before, b.Revision))
	}
	if !ok || len(changes) == 0 {
		return nil, from, ok
	}
	switch t {
	case follow.Routes:
		s.applyRoutes(changes, b.Revision)
	case follow.Upstreams:
		if s.applyUpstreams(changes, listed) {
			s.updateEngine(b.Revision)
		}
	case follow.Evacuations:
	}
	return changes, from, true
}

// keepLater returns the changes of a list with the objects that this node has in place of those
// that are older, so that other nodes get these from it. mu must be held.
func (s *state) keepLater(t follow.Topic, changes []follow.Change) []follow.Change {
	kept := slices.Clone(changes)
	var ignored []string
	for i, c := range changes {
		raw, known := s.views[t].Object(c.Name)
		if c.Deleted || !known || bytes.Equal(raw, c.Raw) {
			continue
		}
		ev, ok := s.source.Decode(t, c)
		if !ok {
			continue
		}
		switch ev := ev.(type) {
		case follow.NewRoutes:
			if now := s.engine.Routes(); now != nil && now.Version() > ev.Snapshot.Version() {
				kept[i].Raw = raw
			}
		case follow.UpstreamUpdated:
			if s.directory.IsOutdated(ev.Entry, true) {
				kept[i].Raw = raw
				ignored = append(ignored, describeEntry(ev.Entry, c.Revision))
			}
		case follow.UpstreamRemoved, follow.EvacuationBegun, follow.EvacuationEnded:
		}
	}
	s.logIgnored(ignored)
	return kept
}

// isNewEra reports whether the store has been restored from an older copy between two revisions
// of a topic.
func isNewEra(before, after uint64) bool {
	old, _ := follow.Era(before)
	now, _ := follow.Era(after)
	return now > old
}

// noteEra notes that the store has been restored from an older copy. mu must be held.
func (s *state) noteEra(t follow.Topic, at uint64) {
	era, revision := follow.Era(at)
	s.log.WithFields(logrus.Fields{"topic": t.String(), "era": era, "revision": revision}).
		Warn("tier: store was restored from an older copy.")
	if t == follow.Upstreams {
		s.directory.Step(fleet.Restored{})
		s.restored()
	}
}

// applyRoutes must be called with mu held.
func (s *state) applyRoutes(changes []follow.Change, revision uint64) {
	_, own := follow.Era(revision)
	for _, c := range changes {
		ev, ok := s.decode(follow.Routes, c)
		routes, isRoutes := ev.(follow.NewRoutes)
		if !ok || !isRoutes || !s.engine.SetRoutes(routes.Snapshot) {
			continue
		}
		s.log.WithFields(logrus.Fields{"version": routes.Snapshot.Version(), "revision": own, "routes": len(routes.Snapshot.Routes())}).
			Info("tier: routes applied.")
	}
}

func (s *state) decode(t follow.Topic, c follow.Change) (follow.Event, bool) {
	ev, ok := s.source.Decode(t, c)
	if !ok {
		s.log.WithFields(logrus.Fields{"topic": t.String(), "name": c.Name}).Warn("tier: skipping an object that cannot be decoded.")
	}
	return ev, ok
}

// applyUpstreams passes changes to the directory and reports whether the entries
// have changed. Listed is whether the changes come from a list of the store. mu must be held.
func (s *state) applyUpstreams(changes []follow.Change, listed bool) bool {
	s.updateAvailability()
	changed := false
	var ignored []string
	for _, c := range changes {
		ev, ok := s.decode(follow.Upstreams, c)
		if !ok {
			continue
		}
		switch ev := ev.(type) {
		case follow.UpstreamUpdated:
			if s.directory.IsOutdated(ev.Entry, listed) {
				ignored = append(ignored, describeEntry(ev.Entry, c.Revision))
			}
			changed = s.directory.Step(fleet.Updated{Entry: ev.Entry, Listed: listed}) || changed
		case follow.UpstreamRemoved:
			changed = s.directory.Step(fleet.Removed{ID: ev.ID}) || changed
		case follow.NewRoutes, follow.EvacuationBegun, follow.EvacuationEnded:
		}
	}
	s.logIgnored(ignored)
	s.logRetained()
	return changed
}

// logIgnored logs the first of the entries that have no effect.
func (s *state) logIgnored(entries []string) {
	if len(entries) == 0 {
		return
	}
	s.log.WithFields(logrus.Fields{"ignored": len(entries), "entries": strings.Join(entries[:min(len(entries), maxLoggedEntries)], ", ")}).
		Info("tier: entries of which more is known are ignored.")
}

// describeEntry describes an entry and the store's revision of it in a log.
func describeEntry(e fleet.Entry, revision uint64) string {
	state := "ready"
	if e.Draining() {
		state = "draining"
	}
	return fmt.Sprintf("%s %s at %d", e.ID(), state, revision)
}

// updateEngine passes the upstreams to the engine. mu must be held.
func (s *state) updateEngine(revision uint64) {
	if s.evacuations != nil {
		if _, known := s.evacuations.Domains(); !known {
			return // any of them may be in an evacuated domain
		}
	}
	entries := s.directory.Entries()
	s.engine.SetUpstreams(entries)
	_, own := follow.Era(revision)
	draining := 0
	for _, e := range entries {
		if e.Draining() {
			draining++
		}
	}
	s.log.WithFields(logrus.Fields{"upstreams": len(entries), "draining": draining, "revision": own}).
		Info("tier: upstreams applied.")
}

// Since implements mesh.State.
func (s *state) Since(t follow.Topic, revision uint64) follow.Batch {
	return s.views[t].Since(revision)
}

// Revisions implements mesh.State.
func (s *state) Revisions() mesh.Revisions {
	return mesh.Revisions{
		Routes: s.views[follow.Routes].LastChangeRevision(), Upstreams: s.views[follow.Upstreams].LastChangeRevision(),
		Evacuations: s.evacuationRevision(),
	}
}

// run calls checkStore at intervals until the context is done.
func (s *state) run(ctx context.Context) error {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.checkStore()
		}
	}
}

// hasUpstreams reports whether the upstreams have been listed at least once, and the evacuations
// if they are followed.
func (s *state) hasUpstreams() bool {
	for _, t := range s.topics()[follow.Upstreams:] {
		if _, loaded := s.views[t].Position(); !loaded {
			return false
		}
	}
	return true
}
