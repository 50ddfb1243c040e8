package config

import (
	"sync"
	"sync/atomic"
)

// tailLength is how many recent changes a Log keeps for peers that lag.
const tailLength = 1024

// Log is one node's copy of the configuration. It only ever moves forward.
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

// State is the newest configuration that the node has.
func (l *Log) State() *State { return l.state.Load() }

// Append applies changes in order. Those that are known are passed over; it
// stops at a gap. It returns the revision reached.
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
		l.keep(c)
	}
	return l.state.Load().Revision()
}

func (l *Log) keep(c Change) {
	l.tail = append(l.tail, c)
	if len(l.tail) > 2*tailLength {
		l.tail = append([]Change(nil), l.tail[len(l.tail)-tailLength:]...)
	}
}

// Restore replaces the state by a snapshot, unless that would step back.
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

// Feed is what a node that lags needs to catch up.
type Feed struct {
	Snapshot *Snapshot `msgpack:"s"`
	Changes  []Change  `msgpack:"c"`
}

// last finds the change that made an object what it is, as far as it is known.
func (l *Log) last(kind Kind, name string) Change {
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
// snapshot when the changes are not kept any more.
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
