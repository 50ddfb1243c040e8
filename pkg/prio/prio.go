// Package prio defines the three priorities of requests. A larger value is more
// urgent, so priorities are compared with the ordinary operators.
//
//	if p > prio.Bulk { … }
package prio

import "fmt"

//go:generate go tool stringer -type Priority -linecomment

// Priority is the priority of a request. The zero value is Bulk, so that a request
// whose priority was lost never overtakes others.
type Priority uint8

// The priorities, least urgent first.
const (
	Bulk     Priority = iota // bulk
	Standard                 // standard
	Urgent                   // urgent
)

// Count is the number of priorities, for arrays indexed by Priority.
const Count = 3

// All returns the priorities, most urgent first.
func All() [Count]Priority {
	return [Count]Priority{Urgent, Standard, Bulk}
}

// Parse returns the priority with the given name, as written in the configuration.
func Parse(name string) (Priority, error) {
	for _, p := range All() {
		if p.String() == name {
			return p, nil
		}
	}
	return Bulk, fmt.Errorf("unknown priority %q; use urgent, standard or bulk", name)
}

// MarshalText implements encoding.TextMarshaler.
func (p Priority) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Priority) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*p = parsed
	return nil
}
