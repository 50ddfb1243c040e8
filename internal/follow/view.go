package follow

import (
	"bytes"
	"sort"
	"sync"
)

// View is a copy of a topic's objects as of a revision. Late and duplicate batches
// have no effect, so its revision never decreases. It is safe for concurrent use.
type View struct {
	mu       sync.Mutex
	loaded   bool
	revision uint64
	// lastChange is the revision of the last batch that contained changes.
	lastChange uint64
	objects    map[string][]byte
	// log holds the newest changes, oldest first.
	log []logEntry
}

// logEntry is one change and the range of revisions that its batch covers.
type logEntry struct {
	change   Change
	from, to uint64
}

// maxLogEntries is how many changes a view keeps for nodes that lag behind. It is
// more than are made between two heartbeats.
const maxLogEntries = 1024

// NewView returns an empty view.
func NewView() *View { return &View{objects: make(map[string][]byte)} }

// Position returns the revision of the view. loaded is false before the first full
// batch.
func (v *View) Position() (revision uint64, loaded bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision, v.loaded
}

// Object returns the object of the name.
func (v *View) Object(name string) (raw []byte, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	raw, ok = v.objects[name]
	return raw, ok
}

// LastChangeRevision returns the revision of the last batch that contained changes.
// The objects have not changed since that revision.
func (v *View) LastChangeRevision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lastChange
}

// Apply applies a batch and returns the changes that it makes to the view. It
// reports false when the batch begins after the view's revision, so that changes
// before it are missing.
func (v *View) Apply(b Batch) (changes []Change, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.loaded && b.Revision <= v.revision:
		return nil, true
	case b.Full:
		changes = v.replace(b.Changes)
	case !v.loaded || b.From > v.revision:
		return nil, false
	default:
		changes = v.update(b.Changes)
	}
	if b.Full || len(b.Changes) > 0 {
		v.appendLog(changes, b.Revision)
		v.lastChange = b.Revision
	}
	v.revision, v.loaded = b.Revision, true
	return changes, true
}

// replace replaces all objects and returns the changes. mu must be held.
func (v *View) replace(all []Change) []Change {
	present := make(map[string]bool, len(all))
	for _, c := range all {
		present[c.Name] = true
	}
	changes := v.update(all)
	for _, name := range v.names() {
		if !present[name] {
			changes = append(changes, v.update([]Change{{Name: name, Deleted: true}})...)
		}
	}
	return changes
}

// update applies single changes and returns those that have an effect. mu must be
// held.
func (v *View) update(list []Change) []Change {
	var changes []Change
	for _, c := range list {
		old, exists := v.objects[c.Name]
		switch {
		case c.Deleted && exists:
			delete(v.objects, c.Name)
		case c.Deleted || exists && bytes.Equal(old, c.Raw):
			continue
		default:
			v.objects[c.Name] = c.Raw
		}
		changes = append(changes, c)
	}
	return changes
}

// appendLog records the changes that lead from lastChange to the revision, and drops
// the oldest entries above maxLogEntries. mu must be held.
func (v *View) appendLog(changes []Change, to uint64) {
	if !v.loaded {
		return
	}
	for _, c := range changes {
		v.log = append(v.log, logEntry{change: c, from: v.lastChange, to: to})
	}
	if over := len(v.log) - maxLogEntries; over > 0 {
		v.log = append([]logEntry(nil), v.log[over:]...)
	}
}

// Since returns the changes after the revision, or a full batch if the log does not
// reach back to it.
func (v *View) Since(revision uint64) Batch {
	v.mu.Lock()
	first := 0
	for first < len(v.log) && v.log[first].to <= revision {
		first++
	}
	// The oldest batch in a full log may be truncated.
	complete := first < len(v.log) && v.log[first].from <= revision && (first > 0 || len(v.log) < maxLogEntries)
	if !complete {
		v.mu.Unlock()
		return v.FullBatch()
	}
	defer v.mu.Unlock()
	b := Batch{From: revision, Revision: v.lastChange}
	for _, l := range v.log[first:] {
		b.Changes = append(b.Changes, l.change)
	}
	return b
}

// names returns the sorted names of all objects. mu must be held.
func (v *View) names() []string {
	names := make([]string, 0, len(v.objects))
	for name := range v.objects {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// FullBatch returns a full batch of all objects, sorted by name.
func (v *View) FullBatch() Batch {
	v.mu.Lock()
	defer v.mu.Unlock()
	b := Batch{Full: true, Revision: v.lastChange}
	for _, name := range v.names() {
		b.Changes = append(b.Changes, Change{Name: name, Raw: v.objects[name]})
	}
	return b
}
