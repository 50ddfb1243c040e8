package config

import (
	"sync"
	"sync/atomic"
)

// tailLength is the number of recent changes that a Log keeps for peers that lag.
// The tail is truncated to tailLength when it exceeds twice that length.
const tailLength = 1024

// Log is one node's copy of the configuration. Its revision never decreases.
// Reading the state is one atomic load.
type Log struct {
	state atomic.Pointer[State]

	mu   sync.Mutex
	tail []Change
}

// NewLog returns an empty Log.
func NewLog() *Log {
	l := &Log{}
	l.state.Store(NewState())
	return l
}

// State returns the newest configuration that the node has.
func (l *Log) State() *State { return l.state.Load() }

// Append applies changes in order and returns the resulting revision. It skips
// changes that are already applied and stops at a gap.
func (l *Log) Append(changes ...Change) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		s := l.state.Load()
		if c.Sequence <= s.Revision() {
			continue
		}
		next, err := s.Apply(c)
		if err != nil {
			break
		}
		l.state.Store(next)
		l.appendTail(c)
	}
	return l.state.Load().Revision()
}

func (l *Log) appendTail(c Change) {
	l.tail = append(l.tail, c)
	if len(l.tail) > 2*tailLength {
		l.tail = append([]Change(nil), l.tail[len(l.tail)-tailLength:]...)
	}
}

// Restore replaces the state by a snapshot if the snapshot is newer.
func (l *Log) Restore(snap Snapshot) error {
	s, err := FromSnapshot(snap)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Revision() > l.state.Load().Revision() {
		l.state.Store(s)
		l.tail = nil
	}
	return nil
}

// Feed holds the changes, or a snapshot, that a lagging node needs to catch up.
type Feed struct {
	Snapshot *Snapshot `msgpack:"s"`
	Changes  []Change  `msgpack:"c"`
}

// lastChange returns the last change to an object. If the change is no longer in
// the tail, only its sequence, object and author are set.
func (l *Log) lastChange(kind Kind, name string) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.tail) - 1; i >= 0; i-- {
		if c := l.tail[i]; c.Kind == kind && c.Name == name {
			return c
		}
	}
	o := l.state.Load().specs[key(kind, name)]
	return Change{Sequence: o.Revision, Kind: kind, Name: name, Who: o.Who}
}

// Since returns what a node at the given revision lacks: the changes, or a
// snapshot if the changes are no longer in the tail.
func (l *Log) Since(revision uint64) Feed {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state.Load()
	if revision >= s.Revision() {
		return Feed{}
	}
	missing := s.Revision() - revision
	if missing <= uint64(len(l.tail)) {
		return Feed{Changes: append([]Change(nil), l.tail[len(l.tail)-int(missing):]...)}
	}
	snap := s.Snapshot()
	return Feed{Snapshot: &snap}
}

// ApplyFeed applies a feed.
func (l *Log) ApplyFeed(f Feed) error {
	if f.Snapshot != nil {
		if err := l.Restore(*f.Snapshot); err != nil {
			return err
		}
	}
	l.Append(f.Changes...)
	return nil
}
