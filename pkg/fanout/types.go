// Package fanout runs one relayed request to one upstream of each of several
// services, its legs, as a state machine. It hedges stragglers, retries what may
// be retried, and ends when all legs have answered, when the target is reached
// and enough legs have answered, or when no success is possible any more. A
// request to a single service is a fan-out of one leg.
//
// The machine does no input or output:
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
	// MinAnswered is how many legs a success needs.
	MinAnswered int
	// MaxAttempts is the most upstreams that a leg may be sent to.
	MaxAttempts int
	// Idempotent tells whether a leg may run more than once.
	Idempotent bool
	// Repeat tells that all sends are repeats, as after a peer that was
	// asked to gather has failed.
	Repeat bool
	// SoftDeadline is when an answer has to leave to be of full use. From then on
	// the request ends as soon as Least legs have answered.
	SoftDeadline time.Time
	// Deadline is when the request ends in any case.
	Deadline time.Time
}

// Upstream stands for an upstream that Deps has chosen.
type Upstream any

// Deps are the decisions that requests of a node share.
type Deps interface {
	// Pick chooses an upstream of the service that is not among the tried.
	Pick(service string, tried []Upstream) (Upstream, bool)
	// MaxUpstreams is how many upstreams an attempt may reach: one, or more when a
	// peer that hedges by itself makes the attempt.
	MaxUpstreams(u Upstream) int
	// Reliable tells whether the upstream is likely to answer.
	Reliable(u Upstream) bool
	// HedgeAfter is how long an attempt at the upstream may take before a
	// hedge is worth its cost.
	HedgeAfter(u Upstream) time.Duration
	// ExpectedLatency is the time to an answer of the upstream that would be
	// picked next, or false if there is none.
	ExpectedLatency(service string, tried []Upstream) (time.Duration, bool)
	// SpendSpeculative takes an extra arrival from the budget for a hedge that may
	// turn out needless, SpendNeeded one without which the answer suffers.
	SpendSpeculative(service string) bool
	SpendNeeded(service string) bool
}

// Event is an input of Step: Start, Answered, Failed or Tick.
type Event interface{ event() }

// Start begins the request.
type Start struct{}

// Answered tells that the attempt has a verified answer.
type Answered struct{ Attempt int }

// Failed tells that the attempt has ended without one.
type Failed struct {
	Attempt int
	// NotRun tells that the upstream provably did not run the attempt.
	NotRun bool
	// Unsent tells that nothing reached an upstream, so that another send
	// is no extra arrival.
	Unsent bool
	// Unreached is how many of the upstreams that the attempt might have reached
	// it did not reach; the leg may be sent to them yet.
	Unreached int
}

// Tick tells that the time of Wake has come.
type Tick struct{}

func (Start) event()    {}
func (Answered) event() {}
func (Failed) event()   {}
func (Tick) event()     {}

// Action is an output of Step: Send, Cancel or Finish.
type Action interface{ action() }

// Send tells to send one attempt.
type Send struct {
	Attempt  int
	Leg      int
	Upstream Upstream
	// Reason says why it is sent.
	Reason Reason
}

//go:generate go tool stringer -type Reason,Outcome -linecomment -output enums_string.go

// Reason says why an attempt is sent.
type Reason uint8

// The reasons.
const (
	ReasonFirst Reason = iota // first
	ReasonHedge               // hedge
	ReasonLate                // late_hedge
	ReasonRetry               // retry
)

// Cancel tells that the attempt is no longer needed.
type Cancel struct{ Attempt int }

// Finish ends the request. No action follows it.
type Finish struct{ Outcome Outcome }

func (Send) action()   {}
func (Cancel) action() {}
func (Finish) action() {}

// Outcome tells how a request ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeComplete Outcome = iota // complete
	OutcomePartial                 // partial
	OutcomeFailed                  // failed
	OutcomeExpired                 // deadline
)
