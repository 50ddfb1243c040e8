// Package life implements the lifecycles of a node and of an upstream as state
// machines. They are used on the control path; the request path reads a copy of
// the state from an atomic.
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

// UpstreamState is the lifecycle state of an upstream.
type UpstreamState uint8

// The states of an upstream.
const (
	UpstreamServing  UpstreamState = iota // serving
	UpstreamDraining                      // draining
	UpstreamDown                          // down
)

// Sign is an observation about an upstream that triggers a transition.
type Sign uint8

// The signs.
const (
	SignDrain Sign = iota // drain
	SignCrash             // crash
	SignUp                // up
)

// Upstream is the lifecycle of one upstream. It is safe for concurrent use.
type Upstream struct {
	mu      sync.Mutex
	machine *stateless.StateMachine
}

// NewUpstream returns the lifecycle of an upstream that is serving. The changed
// function is called on each change of state with the lifecycle's mutex held.
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

// State returns the current state.
func (u *Upstream) State() UpstreamState {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.machine.MustState().(UpstreamState)
}
