// Package trace describes where the time of the slowest legs of a search went: in the
// wait for a slot, for a turn and for a connection, or in the exchange with the upstream.
//
//	clock := trace.NewClock(time.Now()) // waits for a slot
//	clock.Enter(trace.StageTurn, time.Now())
//	took := clock.Took(trace.StageSlot, time.Now())
//	slowest := trace.Slowest(legs)
package trace

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// maxAnswered and maxMissing bound the legs of a trace: those that answered last, and
	// those that did not answer.
	maxAnswered = 5
	maxMissing  = 24
	// maxWithheld bounds the reasons of a leg for which an attempt was not sent.
	maxWithheld = 6
)

//go:generate go tool stringer -type Stage -linecomment -output enums_string.go

// Stage is a part of the time of an attempt.
type Stage uint8

// The stages, in their order.
const (
	StageSlot     Stage = iota // slot
	StageTurn                  // turn
	StageConnect               // connect
	StageExchange              // exchange
	StageEnded                 // ended
)

// Clock measures the stages of one attempt. It is not safe for concurrent use.
type Clock struct {
	stage, last Stage
	since       time.Time
	took        [StageEnded]time.Duration
}

// NewClock returns the Clock of an attempt that waits for a slot from now on.
func NewClock(now time.Time) Clock { return Clock{since: now} }

// Enter ends the current stage and begins another one. An attempt that has ended stays so.
func (c *Clock) Enter(s Stage, now time.Time) {
	if c.stage == StageEnded {
		return
	}
	c.took[c.stage] += now.Sub(c.since)
	c.stage, c.since = s, now
	if s != StageEnded {
		c.last = s
	}
}

// Stage returns the current stage.
func (c *Clock) Stage() Stage { return c.stage }

// Last returns the last stage before the end.
func (c *Clock) Last() Stage { return c.last }

// Took returns the time in a stage until now.
func (c *Clock) Took(s Stage, now time.Time) time.Duration {
	took := c.took[s]
	if s == c.stage {
		took += now.Sub(c.since)
	}
	return took
}

// Span is a time since the arrival of the request, or a duration. In JSON it is in
// milliseconds.
type Span time.Duration

// MarshalJSON implements json.Marshaler.
func (s Span) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(s)/float64(time.Millisecond), 'f', 1, 64), nil
}

// Leg is the trace of one leg.
type Leg struct {
	Service string `msgpack:"s" json:"service"`
	// End is how the leg ended, or what it was waiting for.
	End      string `msgpack:"e" json:"end"`
	Answered bool   `msgpack:"a" json:"answered"`
	// Took is the time from the arrival of the request to the end of the leg.
	Took Span `msgpack:"t" json:"took_ms"`
	// Attempts are the attempts in the order in which they were sent.
	Attempts []Attempt `msgpack:"l" json:"attempts,omitempty"`
	// Withheld are the attempts that were due and not sent.
	Withheld []Withheld `msgpack:"w,omitempty" json:"withheld,omitempty"`
	// HedgeDue is when the next hedge was due, or 0 if none was.
	HedgeDue Span `msgpack:"h,omitempty" json:"hedge_due_ms,omitempty"`
}

// Attempt is one attempt of a leg.
type Attempt struct {
	// Upstream is the ID of the upstream, or the VM of the node that gathers the leg.
	Upstream string `msgpack:"u" json:"upstream"`
	Domain   string `msgpack:"d" json:"domain"`
	// Peer is the VM of the node that sent the attempt, or empty.
	Peer   string `msgpack:"p,omitempty" json:"peer,omitempty"`
	Reason string `msgpack:"r" json:"reason"`
	Sent   Span   `msgpack:"t" json:"sent_ms"`
	// Slot, Turn, Connect and Exchange are the times in the stages.
	Slot     Span `msgpack:"s" json:"slot_ms"`
	Turn     Span `msgpack:"q" json:"turn_ms"`
	Connect  Span `msgpack:"c" json:"connect_ms"`
	Exchange Span `msgpack:"x" json:"exchange_ms"`
	// NewConn reports that the connection was opened for the attempt.
	NewConn bool `msgpack:"n,omitempty" json:"new_conn,omitempty"`
	// InFlight is how many requests of the sending node were at the upstream, this one
	// included.
	InFlight int `msgpack:"f" json:"in_flight"`
	// Silence is how long an upstream whose response is awaited has sent the node none at all.
	Silence Span `msgpack:"i,omitempty" json:"silence_ms,omitempty"`
	// Load is what the upstream's response says of its load, or nil.
	Load *Load `msgpack:"o,omitempty" json:"load,omitempty"`
	// End is the cause of a failure, the stage in which the attempt still was, or
	// "answered".
	End string `msgpack:"e" json:"end"`
}

// Load is the load that an upstream states in a response.
type Load struct {
	Running int `msgpack:"r" json:"running"`
	Waiting int `msgpack:"w" json:"waiting"`
	// Pace is the pace that the upstream states, or 0.
	Pace float64 `msgpack:"p,omitempty" json:"pace,omitempty"`
}

// Withheld is an attempt that was due and not sent.
type Withheld struct {
	// Reason is why the attempt was due, and Obstacle why it was not sent.
	Reason   string `msgpack:"r" json:"reason"`
	Obstacle string `msgpack:"o" json:"obstacle"`
	// First is when that was found first, and Times how often it was.
	First Span `msgpack:"f" json:"first_ms"`
	Times int  `msgpack:"n" json:"times"`
}

// Withhold adds an attempt that was due and not sent to a list, which stays bounded.
func Withhold(list []Withheld, reason, obstacle string, at time.Duration) []Withheld {
	for i := range list {
		if list[i].Reason == reason && list[i].Obstacle == obstacle {
			list[i].Times++
			return list
		}
	}
	if len(list) == maxWithheld {
		return list
	}
	return append(list, Withheld{Reason: reason, Obstacle: obstacle, First: Span(at), Times: 1})
}

// Slowest returns the legs that did not answer and those that answered last, the slowest
// first. Their number is bounded. It sorts the argument.
func Slowest(legs []Leg) []Leg {
	slices.SortStableFunc(legs, func(a, b Leg) int {
		if a.Answered != b.Answered {
			if b.Answered {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Took, a.Took)
	})
	missing := slices.IndexFunc(legs, func(l Leg) bool { return l.Answered })
	if missing < 0 {
		missing = len(legs)
	}
	list := slices.Clone(legs[:min(missing, maxMissing)])
	return append(list, legs[missing:min(missing+maxAnswered, len(legs))]...)
}

// Shift returns the leg of a call as seen by the calling node, which sent the call to the
// peer after the given time.
func (l Leg) Shift(peer string, after time.Duration) Leg {
	l.Took += Span(after)
	if l.HedgeDue > 0 {
		l.HedgeDue += Span(after)
	}
	l.Attempts, l.Withheld = slices.Clone(l.Attempts), slices.Clone(l.Withheld)
	for i := range l.Attempts {
		l.Attempts[i].Sent += Span(after)
		if l.Attempts[i].Peer == "" {
			l.Attempts[i].Peer = peer
		}
	}
	for i := range l.Withheld {
		l.Withheld[i].First += Span(after)
	}
	return l
}
