// Package prio names the three priorities of work. A larger value is more
// urgent, so priorities compare with the ordinary operators.
//
//	if p > prio.Bulk { … }
package prio

import "fmt"

//go:generate go tool stringer -type Priority -linecomment

// Priority is the rank of a request. The zero value is Bulk, so that work
// whose priority was lost never overtakes other work.
type Priority uint8

// The priorities, least urgent first.
const (
	Bulk     Priority = iota // bulk
	Standard                 // standard
	Urgent                   // urgent
)

// Count is the number of priorities. Arrays indexed by Priority have this length.
const Count = 3

// All lists the priorities from most to least urgent.
func All() [Count]Priority {
	return [Count]Priority{Urgent, Standard, Bulk}
}

// Parse reads the name of a priority as operators write it.
func Parse(name string) (Priority, error) {
	for _, p := range All() {
		if p.String() == name {
			return p, nil
		}
	}
	return Bulk, fmt.Errorf("unknown priority %q; use urgent, standard or bulk", name)
}

// MarshalText writes the name of the priority.
func (p Priority) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// UnmarshalText reads the name of a priority.
func (p *Priority) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*p = parsed
	return nil
}
