package gate

import (
	"context"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

// Shared is a Gate with blocking acquisition. It is safe for concurrent use.
//
//	refusal, ok := s.Acquire(ctx, ticket)
//	if ok {
//		defer s.Release(ticket, service, gate.OutcomeServed)
//	}
type Shared struct {
	mu      sync.Mutex
	gate    *Gate
	waiters map[uint64]chan Action
}

// NewShared returns a Shared around a new Gate.
func NewShared(opts ...Option) *Shared {
	return &Shared{gate: New(opts...), waiters: make(map[uint64]chan Action)}
}

// Acquire waits until the ticket is dispatched. It returns false and the reason
// when the ticket is rejected or the context ends first.
func (s *Shared) Acquire(ctx context.Context, t Ticket) (Refuse, bool) {
	decision := make(chan Action, 1)
	s.mu.Lock()
	s.waiters[t.id] = decision
	s.step(Arrive{Ticket: t})
	s.mu.Unlock()
	select {
	case a := <-decision:
		refusal, refused := a.(Refuse)
		return refusal, !refused
	case <-ctx.Done():
		return s.cancelWait(t, decision), false
	}
}

// TryAcquire takes a slot if the ticket would not have to wait, and reports
// whether it did. It is cheaper than Acquire because it allocates no channel.
func (s *Shared) TryAcquire(t Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.gate.canStartNow() {
		return false
	}
	s.gate.startNow(t)
	return true
}

// cancelWait withdraws a waiting ticket. If the ticket was dispatched
// concurrently, its slot is released unused.
func (s *Shared) cancelWait(t Ticket, decision chan Action) Refuse {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, t.id)
	select {
	case a := <-decision:
		if _, ok := a.(Dispatch); ok {
			s.step(Finish{Ticket: t, Outcome: OutcomeCanceled})
		}
	default:
		s.step(Withdraw{ID: t.id})
	}
	return Refuse{Ticket: t, Reason: ReasonExpired}
}

// Release returns the slot of a dispatched ticket.
func (s *Shared) Release(t Ticket, service time.Duration, o Outcome) {
	s.Apply(Finish{Ticket: t, Service: service, Outcome: o})
}

// Apply passes an event to the gate.
func (s *Shared) Apply(ev Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(ev)
}

func (s *Shared) step(ev Event) {
	for _, a := range s.gate.Step(ev) {
		var id uint64
		switch a := a.(type) {
		case Dispatch:
			id = a.Ticket.id
		case Refuse:
			id = a.Ticket.id
		}
		if decision, ok := s.waiters[id]; ok {
			delete(s.waiters, id)
			decision <- a
		}
	}
}

// Wait returns the estimated time that a ticket of the priority waits for a slot.
func (s *Shared) Wait(p prio.Priority) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Wait(p)
}

// Estimate returns the service time, as Gate.ServiceTime does, and the estimated
// wait of the next ticket of the priority.
func (s *Shared) Estimate(p prio.Priority) (serviceTime, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.ServiceTime(), s.gate.Wait(p)
}

// Position returns the place of the next ticket of the workspace, as Gate.Position does.
func (s *Shared) Position(p prio.Priority, workspace string) Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Position(p, workspace)
}

// InFlight returns the number of dispatched tickets that have not finished.
func (s *Shared) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.InFlight()
}

// Queued returns the number of waiting tickets.
func (s *Shared) Queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Queued()
}

// Limit returns the current concurrency limit.
func (s *Shared) Limit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Limit()
}
