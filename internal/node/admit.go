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
	// firstLimit is how many searches of one priority a node runs at once
	// until it has learned more.
	firstLimit = 16
	// admitDecrease is how far a sign of overload lowers that number.
	admitDecrease = 0.85
	admitIncrease = 0.5
	// patience is how long a search may wait at the door. A refusal is to
	// reach its caller in 10 ms.
	patience = 5 * time.Millisecond
	// overloadMemory is how long a sign of overload keeps hedges off.
	overloadMemory = time.Second
)

// waitShare is the part of its latency target, as one in so many, that a
// search of a priority may spend queueing at upstreams before that counts as
// overload. Bulk work waits longer, so that it fills every slot left to it.
var waitShare = [prio.Count]time.Duration{prio.Urgent: 8, prio.Standard: 8, prio.Bulk: 2}

// admission decides at the door which searches this node takes on, so that
// what the fleet cannot serve in time is refused before any upstream saw it.
type admission struct {
	gates    [prio.Count]*gate.Shared
	last     [prio.Count]atomic.Int64
	nextID   atomic.Uint64
	bytes    atomic.Int64
	maxBytes int64
}

func newAdmission(l setup.Limits) *admission {
	a := &admission{maxBytes: l.InFlightBytes}
	for p := range a.gates {
		a.gates[p] = gate.NewShared(
			gate.WithSlots(l.InFlight),
			gate.WithInitial(min(firstLimit, l.InFlight)),
			gate.WithQueue(l.Queue),
			gate.WithDecrease(admitDecrease),
			gate.WithIncrease(admitIncrease),
			gate.WithStrict(),
		)
	}
	return a
}

// entry is a search that was let in.
type entry struct {
	admission *admission
	ticket    gate.Ticket
	begun     time.Time
}

// enter waits for the search's turn. It reports false with the refusal when
// the search cannot be served by the deadline.
func (a *admission) enter(ctx context.Context, p prio.Priority, workspace string, deadline time.Time) (*entry, gate.Refuse, bool) {
	t := gate.NewTicket(a.nextID.Add(1), p, workspace, deadline, false)
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if refusal, ok := a.gates[p].Acquire(ctx, t); !ok {
		return nil, refusal, false
	}
	return &entry{admission: a, ticket: t, begun: time.Now()}, gate.Refuse{}, true
}

// leave ends a search. One that met overload does not raise the limit.
func (e *entry) leave(overloaded bool) {
	p := e.ticket.Priority()
	outcome := gate.OutcomeServed
	if overloaded {
		outcome = gate.OutcomeCanceled
	}
	e.admission.gates[p].Release(e.ticket, time.Since(e.begun), outcome)
}

// overload lowers the number of searches of the priority.
func (a *admission) overload(p prio.Priority) {
	a.last[p].Store(time.Now().UnixNano())
	a.gates[p].Apply(gate.Overload{})
}

// overloaded tells whether searches of the priority queued too long just now.
func (a *admission) overloaded(p prio.Priority) bool {
	return time.Now().UnixNano()-a.last[p].Load() < int64(overloadMemory)
}

// reserve takes memory for a request's body and results.
func (a *admission) reserve(bytes int64) bool {
	if a.bytes.Add(bytes) > a.maxBytes {
		a.bytes.Add(-bytes)
		return false
	}
	return true
}

func (a *admission) free(bytes int64) { a.bytes.Add(-bytes) }
