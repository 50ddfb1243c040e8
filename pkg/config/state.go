package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"sort"
	"time"

	"github.com/ansel1/merry/v2"
)

// Change is one entry of the log and of the audit trail.
type Change struct {
	Sequence uint64 `json:"sequence" msgpack:"s"`
	// ID identifies the change across retries of its write.
	ID   string    `json:"id" msgpack:"i"`
	Who  string    `json:"who" msgpack:"w"`
	When time.Time `json:"when" msgpack:"t"`
	Kind Kind      `json:"kind" msgpack:"k"`
	Name string    `json:"name" msgpack:"n"`
	// Base is the revision of the object that the author read, zero if there
	// was none.
	Base   uint64          `json:"base" msgpack:"b"`
	Before json.RawMessage `json:"before,omitempty" msgpack:"f"`
	// After is the new form of the object, empty if the object is retired.
	After json.RawMessage `json:"after,omitempty" msgpack:"a"`
}

// Retires reports whether the change removes its object.
func (c Change) Retires() bool { return len(c.After) == 0 }

// ErrGap is returned when a change is not the next one in sequence.
var ErrGap = merry.New("change is not the next in order")

// State is the configuration at one revision. It is immutable.
type State struct {
	revision   uint64
	templates  map[string]*Template
	workspaces map[string]*Workspace
	specs      map[string]stored
}

// stored is an object in its serialized form.
type stored struct {
	Kind     Kind            `json:"kind" msgpack:"k"`
	Name     string          `json:"name" msgpack:"n"`
	Revision uint64          `json:"revision" msgpack:"r"`
	Who      string          `json:"who" msgpack:"w"`
	Spec     json.RawMessage `json:"spec" msgpack:"s"`
}

// NewState returns the empty configuration, which has revision zero.
func NewState() *State {
	return &State{
		templates:  map[string]*Template{},
		workspaces: map[string]*Workspace{},
		specs:      map[string]stored{},
	}
}

// Revision returns the sequence of the last change applied.
func (s *State) Revision() uint64 { return s.revision }

// Template returns the template with the given name.
func (s *State) Template(name string) (*Template, bool) {
	t, ok := s.templates[name]
	return t, ok
}

// Workspace returns the workspace with the given name.
func (s *State) Workspace(name string) (*Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// Names returns the sorted names of the objects of a kind.
func (s *State) Names(kind Kind) []string {
	var names []string
	for _, o := range s.specs {
		if o.Kind == kind {
			names = append(names, o.Name)
		}
	}
	sort.Strings(names)
	return names
}

// Spec returns the serialized form of an object and the sequence of the change that
// last wrote it.
func (s *State) Spec(kind Kind, name string) (json.RawMessage, uint64, bool) {
	o, ok := s.specs[key(kind, name)]
	return o.Spec, o.Revision, ok
}

func key(kind Kind, name string) string { return string(kind) + "/" + name }

// Apply returns the configuration after the change, which must be the next in
// sequence. A change whose object is not valid only advances the revision: it is
// in the log, so its effect must be the same on every node.
func (s *State) Apply(c Change) (*State, error) {
	if c.Sequence != s.revision+1 {
		return nil, merry.Prepend(ErrGap, fmt.Sprintf("change %d after revision %d", c.Sequence, s.revision))
	}
	next := &State{
		revision:   c.Sequence,
		templates:  s.templates,
		workspaces: s.workspaces,
		specs:      maps.Clone(s.specs),
	}
	if c.Retires() {
		next.retire(c)
		return next, nil
	}
	if err := next.put(stored{Kind: c.Kind, Name: c.Name, Revision: c.Sequence, Who: c.Who, Spec: c.After}); err != nil {
		next.specs = s.specs
	}
	return next, nil
}

func (s *State) retire(c Change) {
	delete(s.specs, key(c.Kind, c.Name))
	switch c.Kind {
	case KindTemplate:
		s.templates = maps.Clone(s.templates)
		delete(s.templates, c.Name)
	case KindWorkspace:
		s.workspaces = maps.Clone(s.workspaces)
		delete(s.workspaces, c.Name)
	}
}

func (s *State) put(o stored) error {
	switch o.Kind {
	case KindTemplate:
		t, err := decodeTemplate(o.Spec, o.Revision)
		if err != nil {
			return err
		}
		s.templates = maps.Clone(s.templates)
		s.templates[o.Name] = t
	case KindWorkspace:
		w, err := decodeWorkspace(o.Spec, o.Revision)
		if err != nil {
			return err
		}
		s.workspaces = maps.Clone(s.workspaces)
		s.workspaces[o.Name] = w
	default:
		return invalid("unknown kind %q; use template or workspace", o.Kind)
	}
	s.specs[key(o.Kind, o.Name)] = o
	return nil
}

// Snapshot is the serialized form of a complete configuration.
type Snapshot struct {
	Revision uint64   `json:"revision" msgpack:"r"`
	Objects  []stored `json:"objects" msgpack:"o"`
}

// Snapshot returns all objects of the configuration, sorted by kind and name.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{Revision: s.revision}
	for _, o := range s.specs {
		snap.Objects = append(snap.Objects, o)
	}
	sort.Slice(snap.Objects, func(i, j int) bool {
		a, b := snap.Objects[i], snap.Objects[j]
		return key(a.Kind, a.Name) < key(b.Kind, b.Name)
	})
	return snap
}

// FromSnapshot returns the configuration that a snapshot describes.
func FromSnapshot(snap Snapshot) (*State, error) {
	s := NewState()
	s.revision = snap.Revision
	for _, o := range snap.Objects {
		if err := s.put(o); err != nil {
			return nil, err
		}
	}
	return s, nil
}
