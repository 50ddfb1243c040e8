// Package fanout is the state machine of one relayed request that goes to one
// upstream of each of several services. The request to one service is a leg, and
// a request to a single service is a fan-out of one leg. The machine hedges
// slow attempts, retries attempts where that is permitted, and ends when every leg
// has answered or failed, when enough legs have answered at the soft deadline, when
// the request can no longer succeed, or at its deadline.
//
// The machine performs no I/O:
//
//	m := fanout.New(plan, deps)
//	actions := m.Step(fanout.Start{})
//	actions = m.Step(fanout.Answered{Attempt: n})
//	wake := m.Wake() // when to send the next fanout.Tick
package fanout

import "time"

// Plan describes one request.
type Plan struct {
	// Services names the service of each leg.
	Services []string
	// MinAnswered is the number of legs that must answer for a success.
	MinAnswered int
	// MaxAttempts is the maximum number of upstreams that a leg is sent to.
	MaxAttempts int
	// Idempotent reports whether a leg may run more than once.
	Idempotent bool
	// Repeat reports that the legs may already have been sent, as when the
	// request falls back from a gatherer that failed. First sends then
	// count against the budget too.
	Repeat bool
	// Cautious reports that the request is suspected of crashing upstreams. It
	// then goes to a single upstream until that has run it to its end.
	Cautious bool
	// Lead is how long the leg Leader is sent before the others, unless it answers
	// earlier. If its connection breaks within that time, the others wait.
	Lead   time.Duration
	Leader int
	// Canaries lists the legs of an unproven search of which one is sent alone until an
	// upstream has run it to its end, the preferred ones first. If it is empty, the legs
	// do not wait for each other. From SecondCanary on, one more is sent beside a first
	// that has no result.
	Canaries     []int
	SecondCanary time.Time
	// Trace asks for a Withheld action for each extra attempt that is due and not sent.
	Trace bool
	// SoftDeadline is when an answer must be sent to meet the latency target.
	// From then on the request ends as soon as MinAnswered legs have answered.
	SoftDeadline time.Time
	// Deadline is when the request ends in any case.
	Deadline time.Time
}

// Upstream is an upstream chosen by Deps. It is opaque to the machine.
type Upstream any

// Deps makes the decisions that depend on state shared by the requests of a node.
type Deps interface {
	// Pick chooses an upstream of the service that is not in tried.
	Pick(service string, tried []Upstream) (Upstream, bool)
	// AvailableIn returns the time until an upstream of the service may be sent the
	// request, or false if none may be in time.
	AvailableIn(service string) (time.Duration, bool)
	// MaxUpstreams returns the number of upstreams that an attempt may reach: one,
	// or more when a peer sends the attempt and may hedge it.
	MaxUpstreams(u Upstream) int
	// Reliable reports whether the upstream is likely to answer.
	Reliable(u Upstream) bool
	// HedgeAfter returns how long an attempt at the upstream may take before
	// a hedge is worth its cost.
	HedgeAfter(u Upstream) time.Duration
	// ExpectedLatency returns the estimated time to an answer of the upstream
	// that Pick would choose next, or false if there is none.
	ExpectedLatency(service string, tried []Upstream) (time.Duration, bool)
	// SpendSpeculative takes an extra send from the budget for a hedge that may
	// prove unnecessary. SpendNeeded takes one for a send without which the
	// answer would be late, partial or missing. Both report whether the
	// budget allowed it.
	SpendSpeculative(service string) bool
	SpendNeeded(service string) bool
	// Down reports whether the service has upstreams and all of them have ended.
	Down(service string) bool
	// MayRisk reports whether a request that may crash upstreams, or has if suspect is
	// set, may be sent to one of the service.
	MayRisk(service string, suspect bool) bool
	// Blocked reports whether the request is known to crash upstreams, so that
	// it must not be sent to another one.
	Blocked() bool
	// NextTrial returns when the next send of a request that may have crashed
	// upstreams shows whether it does. It may be in the past.
	NextTrial() time.Time
}

// Event is an input of Step: Start, Answered, Failed, Stalled, Shorten or Tick.
type Event interface{ event() }

// Start begins the request.
type Start struct{}

// Answered reports a verified answer to the attempt.
type Answered struct{ Attempt int }

// Failed reports that the attempt ended without a verified answer.
type Failed struct {
	Attempt int
	// NotRun reports proof that the upstream did not run the attempt.
	NotRun bool
	// Broken reports that the upstream closed the connection without a response,
	// and Ran that it ran the attempt to its end, although without success.
	Broken bool
	Ran    bool
	// Unsent reports that nothing reached an upstream, so that another send
	// does not count as an extra one.
	Unsent bool
	// Withdrawn reports that the upstream took no new requests before the attempt was sent.
	Withdrawn bool
	// Unreached is the number of upstreams that the attempt was allowed to
	// reach but did not. The leg may still be sent to that many.
	Unreached int
}

// Stalled reports that the upstream of the attempt answers none of its requests at present, so
// that the leg is due for a hedge now.
type Stalled struct{ Attempt int }

// Shorten reports that the request must end by the deadline, if that is before its own.
type Shorten struct{ Deadline time.Time }

// Tick reports that the time returned by Wake has passed.
type Tick struct{}

func (Start) event()    {}
func (Answered) event() {}
func (Failed) event()   {}
func (Stalled) event()  {}
func (Shorten) event()  {}
func (Tick) event()     {}

// Action is an output of Step: Send, Cancel, Withheld or Finish.
type Action interface{ action() }

// Send instructs the caller to send one attempt.
type Send struct {
	Attempt  int
	Leg      int
	Upstream Upstream
	// Reason is why the attempt is sent.
	Reason Reason
}

//go:generate go tool stringer -type Reason,Outcome,Obstacle,Status -linecomment -output enums_string.go

// Reason is why an attempt is sent.
type Reason uint8

// The reasons.
const (
	ReasonFirst Reason = iota // first
	ReasonHedge               // hedge
	ReasonLate                // late_hedge
	ReasonRetry               // retry
	ReasonPause               // pause_hedge
)

// Cancel instructs the caller to cancel an attempt that is no longer needed.
type Cancel struct{ Attempt int }

// Withheld reports that an attempt was due and was not sent. It requires nothing, and is
// returned only if Plan.Trace is set.
type Withheld struct {
	Leg int
	// Reason is why the attempt was due.
	Reason   Reason
	Obstacle Obstacle
}

// Obstacle is why an attempt that is due is not sent.
type Obstacle uint8

// The obstacles.
const (
	ObstacleUpstream Obstacle = iota // no_upstream
	ObstacleUnproven                 // unproven
	ObstacleBudget                   // budget
)

// Status is how a leg ended, or what it waits for.
type Status uint8

// The statuses.
const (
	StatusAnswered Status = iota // answered
	StatusFailed                 // failed
	StatusInFlight               // in_flight
	StatusHeld                   // held
	StatusWaiting                // no_upstream
)

// Finish ends the request. It is the last action.
type Finish struct{ Outcome Outcome }

func (Send) action()     {}
func (Cancel) action()   {}
func (Withheld) action() {}
func (Finish) action()   {}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeComplete Outcome = iota // complete
	OutcomePartial                 // partial
	OutcomeFailed                  // failed
	OutcomeExpired                 // deadline
)
