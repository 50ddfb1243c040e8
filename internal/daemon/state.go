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
	"geraniumstep.org/geraniumstep/pkg/fleet"
)

const (
	// recheckInterval is how often the directory rechecks removed entries that
	// it retains.
	recheckInterval = 200 * time.Millisecond
	// storeUnavailableAfter is the age of the newest reply from the store beyond
	// which the directory retains removed entries. It is longer than a watch
	// may take, and shorter than the time after which the store removes an
	// upstream without heartbeats.
	storeUnavailableAfter = 2600 * time.Millisecond
	// outageThreshold is how long calls to the store must have failed before the
	// directory retains removed entries. The store removes an upstream that has
	// sent no heartbeat for three intervals of at least 1 s each, so an outage of
	// less than two intervals removes nothing.
	outageThreshold = 1500 * time.Millisecond
	// maxLoggedEntries bounds the entries that one line of the log names.
	maxLoggedEntries = 8
)

var topics = [...]follow.Topic{follow.Routes, follow.Upstreams}

// state holds the node's copy of the store and passes changes to the engine and to
// the other nodes. It implements follow.Sink and mesh.State.
type state struct {
	engine *relay.Engine
	source follow.Source
	log    *logrus.Entry
	views  [len(topics)]*follow.View
	// lastAnswer is when the store last answered, by topic, and started when the
	// process started.
	lastAnswer [len(topics)]atomic.Pointer[time.Time]
	started    time.Time
	// failingSince is when the current series of failed calls began, by topic,
	// or nil while the store answers.
	failingSince [len(topics)]atomic.Pointer[time.Time]
	// publish sends changes to the other nodes, and bestStoreAge returns the age
	// of the newest reply from the store that this node, or a reader whose
	// updates it receives, has obtained.
	publish      func(t follow.Topic, b follow.Batch)
	bestStoreAge func() time.Duration
	// restored is called when the store has been restored from an older copy.
	restored func()

	mu        sync.Mutex
	directory *fleet.Directory
	// unavailable is whether the directory was last told that the store is unavailable, and
	// retained the number of removed upstreams that it kept.
	unavailable bool
	retained    int
}

func newState(e *relay.Engine, source follow.Source, log *logrus.Entry) *state {
	s := &state{engine: e, source: source, log: log, started: time.Now(), directory: fleet.New()}
	for t := range s.views {
		s.views[t] = follow.NewView()
	}
	s.publish = func(follow.Topic, follow.Batch) {}
	s.restored = func() {}
	s.bestStoreAge = s.StoreAge
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
	if !ok || len(changes) == 0 {
		return nil, from, ok
	}
	if t == follow.Routes {
		s.applyRoutes(changes, b.Revision)
	} else if s.applyUpstreams(changes, listed) {
		s.updateEngine(b.Revision)
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
		case follow.UpstreamRemoved:
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
		case follow.NewRoutes:
		}
	}
	s.logIgnored(ignored)
	s.logRetained()
	return changed
}

// logRetained logs the removed upstreams that the directory keeps when there are more of them
// than before. mu must be held.
func (s *state) logRetained() {
	ids, until := s.directory.Retained()
	if len(ids) > s.retained {
		last := slices.MaxFunc(until, time.Time.Compare)
		s.log.WithFields(logrus.Fields{
			"retained": len(ids), "upstreams": strings.Join(ids[:min(len(ids), maxLoggedEntries)], ", "),
			"longest": time.Until(last).Round(time.Millisecond).String(), "unavailable": s.unavailable,
		}).Info("tier: removed upstreams are kept for now.")
	}
	s.retained = len(ids)
}

// logAvailability logs that the store is taken for unavailable or available again, with the
// evidence. mu must be held.
func (s *state) logAvailability(unavailable bool, evidence string) {
	if unavailable == s.unavailable {
		return
	}
	s.unavailable = unavailable
	s.log.WithFields(logrus.Fields{
		"unavailable": unavailable, "evidence": evidence, "newest_reply": s.bestStoreAge().Round(time.Millisecond).String(),
		"own_reply": s.StoreAge().Round(time.Millisecond).String(), "own_calls_failing": s.StoreFailing().Round(time.Millisecond).String(),
	}).Info("tier: availability of the store changed.")
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
	return mesh.Revisions{Routes: s.views[follow.Routes].LastChangeRevision(), Upstreams: s.views[follow.Upstreams].LastChangeRevision()}
}

// Answered implements follow.Sink.
func (s *state) Answered(t follow.Topic) {
	now := time.Now()
	if since := s.failingSince[t].Swap(nil); since != nil && t == follow.Upstreams && now.Sub(*since) >= outageThreshold {
		s.markStoreUnavailable()
	}
	s.lastAnswer[t].Store(&now)
}

// Failed implements follow.Sink.
func (s *state) Failed(t follow.Topic, _ error) {
	now := time.Now()
	s.failingSince[t].CompareAndSwap(nil, &now)
	if t == follow.Upstreams && s.StoreFailing() >= outageThreshold {
		s.markStoreUnavailable()
	}
}

// Paused implements follow.Sink. It clears the failure, because failures before a
// pause do not show whether the store was available during it.
func (s *state) Paused(t follow.Topic) { s.failingSince[t].Store(nil) }

// markStoreUnavailable makes the directory retain removed entries, unless another
// node has newer replies from the store.
func (s *state) markStoreUnavailable() {
	if s.bestStoreAge() < s.StoreAge() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logAvailability(true, "own calls failed")
	s.directory.Step(fleet.Unavailable{})
}

// StoreFailing implements mesh.State.
func (s *state) StoreFailing() time.Duration {
	longest := time.Duration(0)
	for t := range s.failingSince {
		if since := s.failingSince[t].Load(); since != nil {
			longest = max(longest, time.Since(*since))
		}
	}
	return longest
}

// StoreAge implements mesh.State.
func (s *state) StoreAge() time.Duration {
	oldest := time.Duration(0)
	for t := range s.lastAnswer {
		at := s.started
		if answered := s.lastAnswer[t].Load(); answered != nil {
			at = *answered
		}
		oldest = max(oldest, time.Since(at))
	}
	return oldest
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

// checkStore reports the availability of the store to the directory and drops the
// retained entries whose time has passed.
func (s *state) checkStore() {
	unavailable := s.bestStoreAge() > storeUnavailableAfter
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logAvailability(unavailable, "age of the newest reply")
	if unavailable {
		s.directory.Step(fleet.Unavailable{})
	} else {
		s.directory.Step(fleet.Available{})
	}
	if s.directory.Step(fleet.Tick{}) {
		s.updateEngine(0)
	}
	s.logRetained()
}

// hasUpstreams reports whether the upstreams have been listed at least once.
func (s *state) hasUpstreams() bool {
	_, loaded := s.views[follow.Upstreams].Position()
	return loaded
}
