package gate

import (
	"context"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

// Shared is a Gate that many goroutines wait at. It is safe for concurrent use.
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

// NewShared returns a shared Gate.
func NewShared(opts ...Option) *Shared {
	return &Shared{gate: New(opts...), waiters: make(map[uint64]chan Action)}
}

// Acquire waits for the ticket's turn. It reports false with the refusal when
// the ticket was refused or the context ended first.
func (s *Shared) Acquire(ctx context.Context, t Ticket) (Refuse, bool) {
	turn := make(chan Action, 1)
	s.mu.Lock()
	s.waiters[t.id] = turn
	s.step(Arrive{Ticket: t})
	s.mu.Unlock()
	select {
	case a := <-turn:
		refusal, refused := a.(Refuse)
		return refusal, !refused
	case <-ctx.Done():
		return s.leave(t, turn), false
	}
}

// TryAcquire takes a slot if the ticket would not have to wait. It costs less
// than Acquire, which must make a way to be woken.
func (s *Shared) TryAcquire(t Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.gate.idle() {
		return false
	}
	s.gate.startNow(t)
	return true
}

// leave withdraws a waiting ticket. One that was dispatched at that moment
// gives its slot back unused.
func (s *Shared) leave(t Ticket, turn chan Action) Refuse {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, t.id)
	select {
	case a := <-turn:
		if _, ok := a.(Dispatch); ok {
			s.step(Finish{Ticket: t, Outcome: OutcomeCanceled})
		}
	default:
		s.step(Withdraw{ID: t.id})
	}
	return Refuse{Ticket: t, Reason: ReasonExpired}
}

// Release gives the ticket's slot back.
func (s *Shared) Release(t Ticket, service time.Duration, o Outcome) {
	s.Apply(Finish{Ticket: t, Service: service, Outcome: o})
}

// Apply feeds any other event to the gate.
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
		if turn, ok := s.waiters[id]; ok {
			delete(s.waiters, id)
			turn <- a
		}
	}
}

// Wait estimates how long a ticket of the priority would wait.
func (s *Shared) Wait(p prio.Priority) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Wait(p)
}

// Estimate gives the smoothed service time and how long the next ticket of the
// priority would wait.
func (s *Shared) Estimate(p prio.Priority) (pace, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.ServiceTime(), s.gate.Wait(p)
}

// InFlight is the number of tickets that have a slot.
func (s *Shared) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.InFlight()
}

// Queued is the number of waiting tickets.
func (s *Shared) Queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Queued()
}

// Limit is the number of tickets that may have a slot now.
func (s *Shared) Limit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Limit()
}
