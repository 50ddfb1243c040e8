// Package gate controls admission to one upstream: which request runs next,
// which waits and which is rejected before it is sent. A Gate is a state machine
// without locks or goroutines that takes typed events and returns typed actions:
//
//	g := gate.New(gate.WithSlots(2))
//	for _, a := range g.Step(gate.Arrive{Ticket: t}) {
//		switch a := a.(type) {
//		case gate.Dispatch: // send a.Ticket now
//		case gate.Refuse: // answer a.Ticket with a.Reason
//		}
//	}
//
// The most urgent priority runs first, within a priority the least served
// workspace, within a workspace the earliest deadline. Each lower priority with
// waiting tickets keeps a minimum share of the dispatches.
package gate

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/limit"
	"geraniumstep.org/geraniumstep/pkg/prio"
)

//go:generate go tool stringer -type Reason -linecomment

// Reason is why a ticket was rejected.
type Reason uint8

// The reasons. A ticket rejected for any of them was never sent to the upstream.
const (
	ReasonFull     Reason = iota // queue full
	ReasonLate                   // deadline cannot be met
	ReasonExpired                // deadline passed while waiting
	ReasonDraining               // upstream is draining
)

// Ticket is one request for a slot.
type Ticket struct {
	id        uint64
	priority  prio.Priority
	workspace string
	deadline  time.Time
	solo      bool
	arrived   time.Time
}

// NewTicket returns a ticket for a request. A solo ticket runs only while
// nothing else runs on the upstream.
func NewTicket(id uint64, p prio.Priority, workspace string, deadline time.Time, solo bool) Ticket {
	return Ticket{id: id, priority: p, workspace: workspace, deadline: deadline, solo: solo}
}

// ID returns the identifier of the ticket, unique within its gate.
func (t Ticket) ID() uint64 { return t.id }

// Priority returns the priority of the ticket.
func (t Ticket) Priority() prio.Priority { return t.priority }

// Event is an input of Step: Arrive, Finish, Withdraw, Overload,
// Resize, SetFair, Drain or Restart.
type Event interface{ event() }

// Arrive submits a new ticket.
type Arrive struct{ Ticket Ticket }

// Finish reports that the upstream no longer works on a dispatched ticket.
type Finish struct {
	Ticket Ticket
	// Service is the time from dispatch to reply.
	Service time.Duration
	// Outcome is the load signal carried by the reply.
	Outcome Outcome
}

// Withdraw removes a waiting ticket, for example when its caller has disconnected.
type Withdraw struct{ ID uint64 }

// Drain rejects all waiting tickets, and all that arrive until Restart.
type Drain struct{}

// Restart ends a drain after the upstream has restarted. The concurrency limit
// starts again from one.
type Restart struct{}

// Resize changes the number of slots.
type Resize struct{ Slots int }

// Overload lowers the concurrency limit on a load signal that did not come with
// a Finish.
type Overload struct{}

// SetFair changes whether workspaces are served by max-min fairness, as WithFair does.
type SetFair struct{ On bool }

func (SetFair) event()  {}
func (Overload) event() {}
func (Resize) event()   {}
func (Arrive) event()   {}
func (Finish) event()   {}
func (Withdraw) event() {}
func (Drain) event()    {}
func (Restart) event()  {}

// Outcome is the load signal of a finished ticket.
type Outcome uint8

// The outcomes.
const (
	OutcomeServed   Outcome = iota // a healthy answer
	OutcomeShed                    // the upstream refused for load
	OutcomeCanceled                // cancelled or failed; says nothing of load
)

// Action is an output of Step: Dispatch or Refuse.
type Action interface{ action() }

// Dispatch requires the caller to send the ticket's request now.
type Dispatch struct{ Ticket Ticket }

// Refuse requires the caller to reject the ticket's request without sending it.
type Refuse struct {
	Ticket Ticket
	Reason Reason
	// RetryAfter is the estimated time until a slot is free.
	RetryAfter time.Duration
}

func (Dispatch) action() {}
func (Refuse) action()   {}

const (
	defaultSlots         = 2
	defaultQueueCap      = 128
	initialServiceTime   = 10 * time.Millisecond
	serviceSmoothing     = 0.1
	defaultStandardShare = 0.10
	defaultBulkShare     = 0.05
	defaultDecrease      = 0.5
	// maxCredit bounds how many dispatches of its minimum share a priority may
	// accumulate.
	maxCredit = 2
)

// Gate controls admission to one upstream. It is not safe for concurrent use.
type Gate struct {
	slots        int
	initialLimit int
	queueCap     int
	fifo         bool
	fair         bool
	decrease     float64
	increase     float64
	strict       bool
	share        [prio.Count]float64
	reserved     [prio.Count]int

	limiter  *limit.Limiter
	draining bool
	inFlight int
	// lastProgress is when a ticket last finished or was dispatched to an idle
	// upstream. It makes an unresponsive upstream count as slow before it replies.
	lastProgress time.Time
	running      [prio.Count]int
	soloRunning  bool
	queued       int
	// held counts the tickets of each workspace that wait or run.
	held        map[string]int
	classes     [prio.Count]class
	credit      [prio.Count]float64
	serviceTime time.Duration
	actions     []Action
}

// Option configures a Gate.
type Option func(*Gate)

// WithSlots sets how many requests the upstream runs at once. The default is 2.
func WithSlots(n int) Option { return func(g *Gate) { g.slots = n } }

// WithInitial sets the initial concurrency limit. The default is the number of
// slots.
func WithInitial(n int) Option { return func(g *Gate) { g.initialLimit = n } }

// WithQueue sets how many tickets may wait. The default is 128.
func WithQueue(n int) Option { return func(g *Gate) { g.queueCap = n } }

// WithShare sets the minimum share of dispatches that a priority receives while
// it has waiting tickets. The defaults are 0.10 for standard and 0.05 for bulk.
func WithShare(p prio.Priority, share float64) Option {
	return func(g *Gate) { g.share[p] = share }
}

// WithReservedSlots sets how many slots tickets of the priority may not use, so
// that more urgent tickets find one free. The default is 0 for each priority.
func WithReservedSlots(p prio.Priority, n int) Option { return func(g *Gate) { g.reserved[p] = n } }

// WithDecrease sets the factor applied to the concurrency limit on overload. The
// default is 0.5.
func WithDecrease(f float64) Option { return func(g *Gate) { g.decrease = f } }

// WithIncrease sets how much the concurrency limit grows per round of healthy
// replies. The default is 1.
func WithIncrease(step float64) Option { return func(g *Gate) { g.increase = step } }

// WithStrict rejects tickets whose estimated wait exceeds the time left until
// their deadline. By default a ticket is rejected only if it would miss its
// deadline even at half the estimated wait and service time. A strict gate never
// rejects for lateness while a slot is free, so a service time estimate inflated
// by a fault cannot keep the gate closed.
func WithStrict() Option { return func(g *Gate) { g.strict = true } }

// WithFIFO dispatches in order of arrival and ignores priorities. It serves as
// the baseline in experiments.
func WithFIFO(on bool) Option { return func(g *Gate) { g.fifo = on } }

// WithFair serves workspaces by max-min fairness: none gains by leaving its queue empty at
// times, a workspace is not charged for tickets that expired, a full queue evicts from the
// longest queue of a workspace, and wait estimates count what of other workspaces runs
// before. The default is false.
func WithFair(on bool) Option { return func(g *Gate) { g.fair = on } }

// New returns a Gate. Its concurrency limit starts at the number of slots unless
// WithInitial is given.
func New(opts ...Option) *Gate {
	g := &Gate{slots: defaultSlots, queueCap: defaultQueueCap, serviceTime: initialServiceTime, decrease: defaultDecrease, increase: 1, held: make(map[string]int)}
	g.share[prio.Standard] = defaultStandardShare
	g.share[prio.Bulk] = defaultBulkShare
	for _, opt := range opts {
		opt(g)
	}
	if g.initialLimit == 0 {
		g.initialLimit = g.slots
	}
	g.limiter = limit.New(g.initialLimit, limit.WithMax(g.slots), limit.WithDecrease(g.decrease), limit.WithIncrease(g.increase))
	for p := range g.classes {
		g.classes[p] = newClass(g.fifo)
	}
	g.setFair(g.fair)
	return g
}

// InFlight returns the number of dispatched tickets that have not finished.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns the number of waiting tickets.
func (g *Gate) Queued() int { return g.queued }

// Limit returns the current concurrency limit.
func (g *Gate) Limit() int { return g.limiter.Limit() }

// Draining reports whether the gate rejects all tickets.
func (g *Gate) Draining() bool { return g.draining }

// Wait returns the estimated time that a ticket of the priority waits for a slot.
func (g *Gate) Wait(p prio.Priority) time.Duration {
	return g.wait(p, g.ahead(p))
}

// ServiceTime returns the smoothed service time. While tickets are in flight it
// returns the time since the last progress if that is longer.
func (g *Gate) ServiceTime() time.Duration {
	if g.inFlight == 0 {
		return g.serviceTime
	}
	return max(g.serviceTime, time.Since(g.lastProgress))
}

// Step applies an event and returns the resulting actions. The slice is valid
// until the next call.
func (g *Gate) Step(ev Event) []Action {
	g.actions = g.actions[:0]
	switch ev := ev.(type) {
	case Arrive:
		g.arrive(ev.Ticket)
	case Finish:
		g.finish(ev)
	case Withdraw:
		g.withdraw(ev.ID)
	case Overload:
		g.limiter.Overload()
	case Resize:
		g.slots = max(ev.Slots, 1)
		g.limiter.Resize(g.slots)
	case SetFair:
		g.setFair(ev.On)
	case Drain:
		g.drain()
	case Restart:
		g.draining = false
		g.limiter.Reset(1)
	}
	g.dispatch()
	return g.actions
}

func (g *Gate) arrive(t Ticket) {
	t.arrived = time.Now()
	if t.solo && g.fifo {
		t.solo = false
	}
	switch {
	case g.draining:
		g.refuse(t, ReasonDraining)
	case g.queued >= g.queueCap:
		g.replaceOrRefuse(t)
	case g.missesDeadline(t):
		g.refuse(t, ReasonLate)
	default:
		g.enqueue(t)
	}
}

// replaceOrRefuse handles a ticket that arrives at a full queue. It evicts the
// last ticket of the least urgent waiting priority, as dropLast chooses it, if that
// priority is below the arriving ticket's, and rejects the arriving one otherwise.
func (g *Gate) replaceOrRefuse(t Ticket) {
	if g.fair {
		g.replaceFairly(t)
		return
	}
	for p := prio.Bulk; p < t.priority; p++ {
		victim, ok := g.classes[p].dropLast()
		if !ok {
			continue
		}
		g.queued--
		g.release(victim)
		g.refuse(victim, ReasonFull)
		g.enqueue(t)
		return
	}
	g.refuse(t, ReasonFull)
}

func (g *Gate) enqueue(t Ticket) {
	g.classes[g.classOf(t)].push(t)
	g.queued++
	g.hold(t)
}

// classOf returns the class of a ticket. The FIFO baseline has a single class.
func (g *Gate) classOf(t Ticket) prio.Priority {
	if g.fifo {
		return prio.Urgent
	}
	return t.priority
}

func (g *Gate) finish(ev Finish) {
	g.inFlight--
	g.release(ev.Ticket)
	g.lastProgress = time.Now()
	g.running[ev.Ticket.priority]--
	if ev.Ticket.solo {
		g.soloRunning = false
	}
	switch ev.Outcome {
	case OutcomeServed:
		g.limiter.Success(g.inFlight + 1)
		g.serviceTime += time.Duration(serviceSmoothing * float64(ev.Service-g.serviceTime))
	case OutcomeShed:
		g.limiter.Overload()
	case OutcomeCanceled:
	}
}

func (g *Gate) withdraw(id uint64) {
	for p := range g.classes {
		if t, ok := g.classes[p].remove(id); ok {
			g.queued--
			g.release(t)
			return
		}
	}
}

func (g *Gate) drain() {
	g.draining = true
	for p := range g.classes {
		for _, t := range g.classes[p].clear() {
			g.queued--
			g.release(t)
			g.refuse(t, ReasonDraining)
		}
	}
}

func (g *Gate) refuse(t Ticket, reason Reason) {
	g.actions = append(g.actions, Refuse{Ticket: t, Reason: reason, RetryAfter: g.wait(t.priority, g.aheadOf(t.priority, t.workspace))})
}

// missesDeadline reports whether the ticket is expected to miss its deadline. See
// WithStrict for the two rules.
func (g *Gate) missesDeadline(t Ticket) bool {
	wait := g.wait(t.priority, g.aheadOf(t.priority, t.workspace))
	if g.strict {
		return wait > 0 && time.Until(t.deadline) < wait
	}
	return time.Until(t.deadline) < (wait+g.serviceTime)/2
}

// ahead returns the number of waiting tickets that would run before a new one of
// the priority.
func (g *Gate) ahead(p prio.Priority) int {
	if g.fifo {
		return g.queued
	}
	n := 0
	for q := p; q < prio.Count; q++ {
		n += g.classes[q].size()
	}
	return n
}

func (g *Gate) wait(p prio.Priority, ahead int) time.Duration {
	free := g.Limit() - g.reserved[p] - g.inFlight
	if free > ahead {
		return 0
	}
	usable := max(g.Limit()-g.reserved[p], 1)
	return time.Duration(ahead-free+1) * g.ServiceTime() / time.Duration(usable)
}
