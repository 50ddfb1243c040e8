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
}

// NewView returns a view that knows nothing.
func NewView() *View { return &View{objects: make(map[string][]byte)} }

// Position is the revision that the view has; known is false before the first
// whole batch.
func (v *View) Position() (revision uint64, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision, v.known
}

// Changed is the revision of the last batch that held changes: what the view has
// is the state as of this revision, too.
func (v *View) Changed() uint64 {
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
	case b.Whole:
		changes = v.replace(b.Changes)
	case !v.known || b.From > v.revision:
		return nil, false
	default:
		changes = v.update(b.Changes)
	}
	v.revision, v.known = b.Revision, true
	if b.Whole || len(b.Changes) > 0 {
		v.changed = b.Revision
	}
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
			changes = append(changes, v.update([]Change{{Name: name, Gone: true}})...)
		}
	}
	return changes
}

func (v *View) update(list []Change) []Change {
	var changes []Change
	for _, c := range list {
		old, known := v.objects[c.Name]
		switch {
		case c.Gone && known:
			delete(v.objects, c.Name)
		case c.Gone || known && bytes.Equal(old, c.Raw):
			continue
		default:
			v.objects[c.Name] = c.Raw
		}
		changes = append(changes, c)
	}
	return changes
}

func (v *View) names() []string {
	names := make([]string, 0, len(v.objects))
	for name := range v.objects {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Whole gives all objects, in order of their names.
func (v *View) Whole() Batch {
	v.mu.Lock()
	defer v.mu.Unlock()
	b := Batch{Whole: true, Revision: v.changed}
	for _, name := range v.names() {
		b.Changes = append(b.Changes, Change{Name: name, Raw: v.objects[name]})
	}
	return b
}
