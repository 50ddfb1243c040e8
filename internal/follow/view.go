package follow

import (
	"bytes"
	"sort"
	"sync"
)

// View is a copy of a topic's objects as of a revision. What arrives late or
// twice changes nothing, so that it never steps back. It is safe for concurrent
// use.
type View struct {
	mu       sync.Mutex
	known    bool
	revision uint64
	// changed is the revision of the last batch that held changes.
	changed uint64
	objects map[string][]byte
	// log holds the newest changes, each with the revision before its batch.
	log []logged
}

// logged is one change and the span of revisions that its batch covers.
type logged struct {
	change   Change
	from, to uint64
}

// logChanges is how many changes a view keeps for nodes that lag behind: more
// than come in the seconds between two beats.
const logChanges = 1024

// NewView returns a view that knows nothing.
func NewView() *View { return &View{objects: make(map[string][]byte)} }

// Position is the revision that the view has; known is false before the first
// whole batch.
func (v *View) Position() (revision uint64, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision, v.known
}

// LastChangeRevision is the revision of the last batch that held changes: what the view has
// is the state as of this revision, too.
func (v *View) LastChangeRevision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Apply takes a batch and gives what it changes. It reports false when the batch
// begins after the view's revision, so that changes in between are missing.
func (v *View) Apply(b Batch) (changes []Change, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.known && b.Revision <= v.revision:
		return nil, true
	case b.Full:
		changes = v.replace(b.Changes)
	case !v.known || b.From > v.revision:
		return nil, false
	default:
		changes = v.update(b.Changes)
	}
	if b.Full || len(b.Changes) > 0 {
		v.note(changes, b.Revision)
		v.changed = b.Revision
	}
	v.revision, v.known = b.Revision, true
	return changes, true
}

// replace takes the whole topic and gives what differs.
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

func (v *View) update(list []Change) []Change {
	var changes []Change
	for _, c := range list {
		old, known := v.objects[c.Name]
		switch {
		case c.Deleted && known:
			delete(v.objects, c.Name)
		case c.Deleted || known && bytes.Equal(old, c.Raw):
			continue
		default:
			v.objects[c.Name] = c.Raw
		}
		changes = append(changes, c)
	}
	return changes
}

// note adds the changes that lead from the last revision with changes to this one.
func (v *View) note(changes []Change, to uint64) {
	if !v.known {
		return
	}
	for _, c := range changes {
		v.log = append(v.log, logged{change: c, from: v.changed, to: to})
	}
	if over := len(v.log) - logChanges; over > 0 {
		v.log = append([]logged(nil), v.log[over:]...)
	}
}

// Since gives the changes after the revision, or all objects when the view no
// longer knows them one by one.
func (v *View) Since(revision uint64) Batch {
	v.mu.Lock()
	first := 0
	for first < len(v.log) && v.log[first].to <= revision {
		first++
	}
	// A batch may be cut off at the beginning of the log.
	complete := first < len(v.log) && v.log[first].from <= revision && (first > 0 || len(v.log) < logChanges)
	if !complete {
		v.mu.Unlock()
		return v.FullBatch()
	}
	defer v.mu.Unlock()
	b := Batch{From: revision, Revision: v.changed}
	for _, l := range v.log[first:] {
		b.Changes = append(b.Changes, l.change)
	}
	return b
}

func (v *View) names() []string {
	names := make([]string, 0, len(v.objects))
	for name := range v.objects {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// FullBatch gives all objects, in order of their names.
func (v *View) FullBatch() Batch {
	v.mu.Lock()
	defer v.mu.Unlock()
	b := Batch{Full: true, Revision: v.changed}
	for _, name := range v.names() {
		b.Changes = append(b.Changes, Change{Name: name, Raw: v.objects[name]})
	}
	return b
}
