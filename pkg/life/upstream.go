// Package life holds the life cycles of a node and of an upstream as state
// machines. They are for the control path; the path of a request reads the
// state from an atomic.
//
//	u := life.NewUpstream(func(from, to life.UpstreamState) { … })
//	u.Fire(life.SignDrain)
package life

import (
	"context"
	"sync"

	"github.com/qmuntal/stateless"
)

//go:generate go tool stringer -type UpstreamState,Sign,NodeState,Order -linecomment -output enums_string.go

// UpstreamState is a stage in the life of an upstream.
type UpstreamState uint8

// The states of an upstream.
const (
	UpstreamServing  UpstreamState = iota // serving
	UpstreamDraining                      // draining
	UpstreamDown                          // down
)

// Sign is evidence about an upstream.
type Sign uint8

// The signs.
const (
	SignDrain Sign = iota // drain
	SignCrash             // crash
	SignUp                // up
)

// Upstream is the life cycle of one upstream. It is safe for concurrent use.
type Upstream struct {
	mu      sync.Mutex
	machine *stateless.StateMachine
}

// NewUpstream returns the life cycle of an upstream that serves. The function
// is called on each change of state, while the life cycle is locked.
func NewUpstream(changed func(from, to UpstreamState)) *Upstream {
	m := stateless.NewStateMachine(UpstreamServing)
	m.Configure(UpstreamServing).
		Permit(SignDrain, UpstreamDraining).
		Permit(SignCrash, UpstreamDown).
		Ignore(SignUp)
	m.Configure(UpstreamDraining).
		Permit(SignCrash, UpstreamDown).
		Permit(SignUp, UpstreamServing).
		Ignore(SignDrain)
	m.Configure(UpstreamDown).
		Permit(SignUp, UpstreamServing).
		Ignore(SignDrain).
		Ignore(SignCrash)
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		if t.Source != t.Destination {
			changed(t.Source.(UpstreamState), t.Destination.(UpstreamState))
		}
	})
	return &Upstream{machine: m}
}

// Fire applies a sign.
func (u *Upstream) Fire(s Sign) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.machine.Fire(s)
}

// State is the current state.
func (u *Upstream) State() UpstreamState {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.machine.MustState().(UpstreamState)
}
