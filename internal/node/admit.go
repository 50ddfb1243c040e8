package node

import (
	"context"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/internal/setup"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/prio"
)

const (
	// initialLimit is the initial concurrency limit of each priority, before
	// it adapts to the observed load.
	initialLimit = 16
	// admitDecrease is the factor applied to the limit on each overload signal.
	admitDecrease = 0.85
	admitIncrease = 0.5
	// admitTimeout is how long a search may wait for admission. A rejection
	// must reach the caller within 10 ms.
	admitTimeout = 5 * time.Millisecond
	// overloadHold is how long an overload signal disables hedges other than
	// rescues from slow upstreams.
	overloadHold = time.Second
)

// waitDivisor sets, by priority, the part of a search's latency target, one in so
// many, above which a wait in the queue of an upstream counts as overload. Bulk
// searches may wait longer, so that they fill every slot that other work leaves free.
var waitDivisor = [prio.Count]time.Duration{prio.Urgent: 8, prio.Standard: 8, prio.Bulk: 2}

// admission is the admission control of the node. It rejects searches that the
// fleet cannot serve in time before any upstream receives them.
type admission struct {
	gates        [prio.Count]*gate.Shared
	lastOverload [prio.Count]atomic.Int64
	nextID       atomic.Uint64
	bytes        atomic.Int64
	maxBytes     int64
}

func newAdmission(l setup.Limits) *admission {
	a := &admission{maxBytes: l.InFlightBytes}
	for p := range a.gates {
		a.gates[p] = gate.NewShared(
			gate.WithSlots(l.InFlight),
			gate.WithInitial(min(initialLimit, l.InFlight)),
			gate.WithQueue(l.Queue),
			gate.WithDecrease(admitDecrease),
			gate.WithIncrease(admitIncrease),
			gate.WithStrict(),
		)
	}
	return a
}

// admitted is a search that holds a slot of admission control.
type admitted struct {
	admission *admission
	ticket    gate.Ticket
	start     time.Time
}

// acquire waits for a slot for up to admitTimeout. It returns false and the
// reason if the search is rejected, for example because it cannot be served by
// the deadline.
func (a *admission) acquire(ctx context.Context, p prio.Priority, workspace string, deadline time.Time) (*admitted, gate.Refuse, bool) {
	t := gate.NewTicket(a.nextID.Add(1), p, workspace, deadline, false)
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	if refusal, ok := a.gates[p].Acquire(ctx, t); !ok {
		return nil, refusal, false
	}
	return &admitted{admission: a, ticket: t, start: time.Now()}, gate.Refuse{}, true
}

// release frees the slot of a search. A search that was overloaded does not
// raise the limit.
func (a *admitted) release(overloaded bool) {
	p := a.ticket.Priority()
	outcome := gate.OutcomeServed
	if overloaded {
		outcome = gate.OutcomeCanceled
	}
	a.admission.gates[p].Release(a.ticket, time.Since(a.start), outcome)
}

// recordOverload lowers the concurrency limit of the priority and disables its
// hedges for overloadHold.
func (a *admission) recordOverload(p prio.Priority) {
	a.lastOverload[p].Store(time.Now().UnixNano())
	a.gates[p].Apply(gate.Overload{})
}

// overloaded reports whether searches of the priority queued for too long
// within the last overloadHold.
func (a *admission) overloaded(p prio.Priority) bool {
	return time.Now().UnixNano()-a.lastOverload[p].Load() < int64(overloadHold)
}

// reserveBytes reserves memory for the body and results of a request. It returns
// false if limits.in_flight_bytes would be exceeded.
func (a *admission) reserveBytes(bytes int64) bool {
	if a.bytes.Add(bytes) > a.maxBytes {
		a.bytes.Add(-bytes)
		return false
	}
	return true
}

func (a *admission) freeBytes(bytes int64) { a.bytes.Add(-bytes) }
