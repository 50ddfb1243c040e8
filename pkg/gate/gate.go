// Package gate governs the slots of one upstream: which request runs next,
// which waits and which is refused before the upstream sees it.
//
// A Gate is a state machine without locks or goroutines. It takes typed events
// and returns typed actions:
//
//	g := gate.New(gate.WithSlots(2))
//	for _, a := range g.Step(gate.Arrive{Ticket: t}) {
//		switch a := a.(type) {
//		case gate.Dispatch: // send a.Ticket now
//		case gate.Refuse: // answer a.Ticket with a.Reason
//		}
//	}
//
// Order: the most urgent priority first; inside one priority the workspace
// that was served least; inside one workspace the earliest deadline. Each
// lower priority with waiting work keeps a minimum share of the dispatches.
package gate

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/limit"
	"geraniumstep.org/geraniumstep/pkg/prio"
)

//go:generate go tool stringer -type Reason -linecomment

// Reason tells why a ticket was refused.
type Reason uint8

// The reasons. None of them lets the upstream see the request.
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

// NewTicket describes a request for a slot. A solo ticket runs only while
// nothing else runs on the upstream.
func NewTicket(id uint64, p prio.Priority, workspace string, deadline time.Time, solo bool) Ticket {
	return Ticket{id: id, priority: p, workspace: workspace, deadline: deadline, solo: solo}
}

// ID identifies the ticket within its gate.
func (t Ticket) ID() uint64 { return t.id }

// Priority is the ticket's priority.
func (t Ticket) Priority() prio.Priority { return t.priority }

// Event is an input of Step: Arrive, Finish, Withdraw, Overload,
// Resize, Drain or Restart.
type Event interface{ event() }

// Arrive offers a ticket.
type Arrive struct{ Ticket Ticket }

// Finish reports that a dispatched ticket has left the upstream.
type Finish struct {
	Ticket Ticket
	// Service is the time from dispatch to answer.
	Service time.Duration
	// Outcome tells what the answer says of the upstream's load.
	Outcome Outcome
}

// Withdraw takes back a waiting ticket, as when its caller has gone.
type Withdraw struct{ ID uint64 }

// Drain refuses all waiting tickets and all that arrive until Restart.
type Drain struct{}

// Restart opens the gate for an upstream that has just come up; its limit
// grows again from one.
type Restart struct{}

// Resize changes the number of slots.
type Resize struct{ Slots int }

// Overload lowers the limit on a sign from elsewhere.
type Overload struct{}

func (Overload) event() {}
func (Resize) event()   {}
func (Arrive) event()   {}
func (Finish) event()   {}
func (Withdraw) event() {}
func (Drain) event()    {}
func (Restart) event()  {}

// Outcome tells what an answer says of the upstream's load.
type Outcome uint8

// The outcomes.
const (
	OutcomeServed   Outcome = iota // a healthy answer
	OutcomeShed                    // the upstream refused for load
	OutcomeCanceled                // cancelled or failed; says nothing of load
)

// Action is an output of Step: Dispatch or Refuse.
type Action interface{ action() }

// Dispatch tells to send the ticket's request now.
type Dispatch struct{ Ticket Ticket }

// Refuse tells to answer the ticket's request without sending it.
type Refuse struct {
	Ticket Ticket
	Reason Reason
	// RetryAfter estimates when a slot would be free.
	RetryAfter time.Duration
}

func (Dispatch) action() {}
func (Refuse) action()   {}

const (
	defaultSlots    = 2
	defaultQueue    = 128
	initialService  = 10 * time.Millisecond
	serviceSmooth   = 0.1
	defaultStandard = 0.10
	defaultBulk     = 0.05
	defaultDecrease = 0.5
	// creditCap bounds how many reserved dispatches a priority may save up.
	creditCap = 2
)

// Gate governs one upstream. It is not safe for concurrent use.
type Gate struct {
	slots    int
	initial  int
	queueCap int
	fifo     bool
	decrease float64
	increase float64
	strict   bool
	share    [prio.Count]float64
	spare    [prio.Count]int

	limiter  *limit.Limiter
	draining bool
	inFlight int
	// progress is when a ticket was last dispatched to an idle upstream or
	// finished, so that a silent upstream looks slow before it answers.
	progress time.Time
	running  [prio.Count]int
	solo     bool
	queued   int
	classes  [prio.Count]class
	credit   [prio.Count]float64
	service  time.Duration
	out      []Action
}

// Option changes a Gate at construction.
type Option func(*Gate)

// WithSlots sets how many requests the upstream runs at once. The default is 2.
func WithSlots(n int) Option { return func(g *Gate) { g.slots = n } }

// WithInitial sets the limit to start with. The default is the number of slots.
func WithInitial(n int) Option { return func(g *Gate) { g.initial = n } }

// WithQueue sets how many tickets may wait. The default is 128.
func WithQueue(n int) Option { return func(g *Gate) { g.queueCap = n } }

// WithShare sets the minimum share of dispatches that a priority keeps while
// it has waiting work. The defaults are 0.10 for standard and 0.05 for bulk.
func WithShare(p prio.Priority, share float64) Option {
	return func(g *Gate) { g.share[p] = share }
}

// WithReservedSlots keeps n slots free of a priority, so that more urgent work finds
// one. The default is 0 for each.
func WithReservedSlots(p prio.Priority, n int) Option { return func(g *Gate) { g.spare[p] = n } }

// WithDecrease sets the factor by which a sign of overload lowers the limit.
// The default is 0.5.
func WithDecrease(f float64) Option { return func(g *Gate) { g.decrease = f } }

// WithIncrease sets by how much a full round of healthy answers raises the
// limit. The default is 1.
func WithIncrease(step float64) Option { return func(g *Gate) { g.increase = step } }

// WithStrict refuses what would have to wait beyond its deadline. By default a
// ticket is refused if it would miss its deadline even with half the estimate of
// wait and service. A strict gate never refuses while a slot is free, so an
// estimate that was spoilt by a fault cannot keep it shut.
func WithStrict() Option { return func(g *Gate) { g.strict = true } }

// WithFIFO serves in order of arrival, ignoring priority. It is the baseline
// that experiments compare with.
func WithFIFO(on bool) Option { return func(g *Gate) { g.fifo = on } }

// New returns a Gate whose limit starts at its number of slots.
func New(opts ...Option) *Gate {
	g := &Gate{slots: defaultSlots, queueCap: defaultQueue, service: initialService, decrease: defaultDecrease, increase: 1}
	g.share[prio.Standard] = defaultStandard
	g.share[prio.Bulk] = defaultBulk
	for _, opt := range opts {
		opt(g)
	}
	if g.initial == 0 {
		g.initial = g.slots
	}
	g.limiter = limit.New(g.initial, limit.WithMax(g.slots), limit.WithDecrease(g.decrease), limit.WithIncrease(g.increase))
	for p := range g.classes {
		g.classes[p] = newClass(g.fifo)
	}
	return g
}

// InFlight is the number of dispatched tickets that have not finished.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued is the number of waiting tickets.
func (g *Gate) Queued() int { return g.queued }

// Limit is the number of tickets that may be in flight now.
func (g *Gate) Limit() int { return g.limiter.Limit() }

// Draining tells whether the gate refuses all work.
func (g *Gate) Draining() bool { return g.draining }

// Wait estimates how long a ticket of the priority would wait for a slot.
func (g *Gate) Wait(p prio.Priority) time.Duration {
	return g.wait(p, g.ahead(p))
}

// ServiceTime is the smoothed service time, or the time since the last progress if
// that is longer.
func (g *Gate) ServiceTime() time.Duration {
	if g.inFlight == 0 {
		return g.service
	}
	return max(g.service, time.Since(g.progress))
}

// Step applies one event and returns what has to be done. The slice is valid
// until the next call.
func (g *Gate) Step(ev Event) []Action {
	g.out = g.out[:0]
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
	case Drain:
		g.drain()
	case Restart:
		g.draining = false
		g.limiter.Reset(1)
	}
	g.dispatch()
	return g.out
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
	case g.late(t):
		g.refuse(t, ReasonLate)
	default:
		g.enqueue(t)
	}
}

// replaceOrRefuse makes room in a full queue by refusing the newest ticket of
// the least urgent priority, if that is less urgent than the arriving one.
func (g *Gate) replaceOrRefuse(t Ticket) {
	for p := prio.Bulk; p < t.priority; p++ {
		victim, ok := g.classes[p].dropLast()
		if !ok {
			continue
		}
		g.queued--
		g.refuse(victim, ReasonFull)
		g.enqueue(t)
		return
	}
	g.refuse(t, ReasonFull)
}

func (g *Gate) enqueue(t Ticket) {
	g.classes[g.classOf(t)].push(t)
	g.queued++
}

// classOf maps a ticket to its queue; the first-in-first-out baseline has one.
func (g *Gate) classOf(t Ticket) prio.Priority {
	if g.fifo {
		return prio.Urgent
	}
	return t.priority
}

func (g *Gate) finish(ev Finish) {
	g.inFlight--
	g.progress = time.Now()
	g.running[ev.Ticket.priority]--
	if ev.Ticket.solo {
		g.solo = false
	}
	switch ev.Outcome {
	case OutcomeServed:
		g.limiter.Success(g.inFlight + 1)
		g.service += time.Duration(serviceSmooth * float64(ev.Service-g.service))
	case OutcomeShed:
		g.limiter.Overload()
	case OutcomeCanceled:
	}
}

func (g *Gate) withdraw(id uint64) {
	for p := range g.classes {
		if g.classes[p].remove(id) {
			g.queued--
			return
		}
	}
}

func (g *Gate) drain() {
	g.draining = true
	for p := range g.classes {
		for _, t := range g.classes[p].clear() {
			g.queued--
			g.refuse(t, ReasonDraining)
		}
	}
}

func (g *Gate) refuse(t Ticket, why Reason) {
	g.out = append(g.out, Refuse{Ticket: t, Reason: why, RetryAfter: g.Wait(t.priority)})
}

// late tells whether the ticket would miss its deadline.
func (g *Gate) late(t Ticket) bool {
	wait := g.wait(t.priority, g.ahead(t.priority))
	if g.strict {
		return wait > 0 && time.Until(t.deadline) < wait
	}
	return time.Until(t.deadline) < (wait+g.service)/2
}

// ahead counts the waiting tickets that would run before one of the priority.
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
	free := g.Limit() - g.spare[p] - g.inFlight
	if free > ahead {
		return 0
	}
	width := max(g.Limit()-g.spare[p], 1)
	return time.Duration(ahead-free+1) * g.ServiceTime() / time.Duration(width)
}
