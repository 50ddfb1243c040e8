package life

import (
	"context"
	"sync"

	"github.com/qmuntal/stateless"
)

// NodeState is the lifecycle state of a node.
type NodeState uint8

// The states of a node.
const (
	NodeStarting NodeState = iota // starting
	NodeReady                     // ready
	NodeLeaving                   // leaving
	NodeStopped                   // stopped
)

// Order triggers a transition of a node.
type Order uint8

// The orders.
const (
	OrderReady Order = iota // ready
	OrderLeave              // leave
	OrderStop               // stop
)

// Node is the lifecycle of a node. It is safe for concurrent use.
type Node struct {
	mu      sync.Mutex
	machine *stateless.StateMachine
}

// NewNode returns the lifecycle of a node that is starting. The changed function
// is called on each change of state with the lifecycle's mutex held.
func NewNode(changed func(from, to NodeState)) *Node {
	m := stateless.NewStateMachine(NodeStarting)
	m.Configure(NodeStarting).
		Permit(OrderReady, NodeReady).
		Permit(OrderLeave, NodeLeaving).
		Permit(OrderStop, NodeStopped)
	m.Configure(NodeReady).
		Permit(OrderLeave, NodeLeaving).
		Permit(OrderStop, NodeStopped).
		Ignore(OrderReady)
	m.Configure(NodeLeaving).
		Permit(OrderStop, NodeStopped).
		Ignore(OrderLeave).
		Ignore(OrderReady)
	m.Configure(NodeStopped).
		Ignore(OrderLeave).
		Ignore(OrderReady).
		Ignore(OrderStop)
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		if t.Source != t.Destination {
			changed(t.Source.(NodeState), t.Destination.(NodeState))
		}
	})
	return &Node{machine: m}
}

// Fire applies an order.
func (n *Node) Fire(o Order) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Fire(o)
}

// State returns the current state.
func (n *Node) State() NodeState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.MustState().(NodeState)
}
