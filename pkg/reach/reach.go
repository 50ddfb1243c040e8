// Package reach decides whether this node can reach the upstreams. A node may lose its
// links to all of them while callers, other nodes and the store still reach it. Judged one
// by one, each upstream would then seem to have ended; what shows the difference is that
// nothing else can be reached either.
//
// A Monitor is the state machine of one node. It performs no I/O:
//
//	m := reach.New()
//	actions := m.Step(reach.DialFailed{Upstream: id})
//	at, ok := m.Wake() // when to send the next reach.Tick
//
// Failed connections and missing responses of several upstreams raise a suspicion, which
// probes of others confirm or end. While the node is cut off, probes look for the end, so
// that no request has to.
package reach

import "time"

//go:generate go tool stringer -type State -linecomment -output enums_string.go

const (
	// minUpstreams is the number of upstreams that must fail, with nothing else
	// reached, to raise a suspicion. If fewer are known, that each of them has ended is
	// as likely as that the node is cut off, and no suspicion is raised.
	minUpstreams = 3
	// LongSilence is the time without a response of any upstream after which a single
	// unanswered request raises it too. It is longer than the pauses of healthy upstreams.
	LongSilence = 600 * time.Millisecond
	// probeCount is the number of upstreams that are probed on suspicion, and probeTime
	// how long they may take. It covers a round trip to any region.
	probeCount = 3
	probeTime  = 250 * time.Millisecond
	// probeInterval is the time between probes while the node is cut off, and
	// minProbeInterval the time between those for requests that wait.
	probeInterval    = 250 * time.Millisecond
	minProbeInterval = 20 * time.Millisecond
	// quietTime is the time after an unfounded suspicion before the next one.
	quietTime = time.Second
)

// State is what is known about the node's links.
type State uint8

// The states.
const (
	// Connected means that nothing shows that the upstreams cannot be reached.
	Connected State = iota // connected
	// Suspected means that probes are in progress.
	Suspected // suspected
	// Cut means that no upstream can be reached on a new connection.
	Cut // cut
)

// Event is an input of Step: DialFailed, Silent, Needed, Reached, ProbeFailed or Tick.
type Event interface{ event() }

// DialFailed reports that a connection to the upstream was refused, not established in time,
// or closed before the first response.
type DialFailed struct{ Upstream string }

// Silent reports that requests are in flight at a number of upstreams, and none of any
// upstream has been answered since they were sent. Known is the number of upstreams that
// the node knows, and For how long it has been silent.
type Silent struct {
	Upstreams int
	Known     int
	For       time.Duration
}

// Reached reports that an upstream has responded on a connection that was established since
// the links came into doubt. That a connection is established shows less: something on the
// way may accept it.
type Reached struct{}

// ProbeFailed reports that the last probes have all failed. Untried reports whether there are
// upstreams left to which no connection has failed.
type ProbeFailed struct{ Untried bool }

// Needed reports that a request waits for the end of a cut, because no other node can take
// it.
type Needed struct{}

// Tick reports that the time returned by Wake has passed.
type Tick struct{}

func (DialFailed) event()  {}
func (Silent) event()      {}
func (Reached) event()     {}
func (Needed) event()      {}
func (ProbeFailed) event() {}
func (Tick) event()        {}

// Action is an output of Step: Probe, Began or Ended.
type Action interface{ action() }

// Probe asks for a response of as many upstreams on new connections. Others than those that
// failed are preferred.
type Probe struct{ Upstreams int }

// Began reports that the node has been found cut off.
type Began struct{}

// Ended reports that an upstream has been reached again. For is how long the node was cut
// off.
type Ended struct{ For time.Duration }

func (Probe) action() {}
func (Began) action() {}
func (Ended) action() {}

// Monitor is the state of one node. It is not safe for concurrent use.
type Monitor struct {
	state State
	// failed holds the upstreams that could not be connected to since one was last
	// reached.
	failed map[string]bool
	// until is when the suspicion is confirmed unless a probe succeeds, quiet when
	// another one may be raised, and nextProbe when the next probe of a cut is due.
	until, quiet, nextProbe time.Time
	began, lastProbe        time.Time
}

// New returns the monitor of a node that is connected.
func New() *Monitor { return &Monitor{failed: make(map[string]bool)} }

// State returns the state.
func (m *Monitor) State() State { return m.state }

// Failing reports whether connections have failed since an upstream was last reached.
func (m *Monitor) Failing() bool { return len(m.failed) > 0 }

// HasFailed reports whether a connection to the upstream has failed since any upstream was
// last reached.
func (m *Monitor) HasFailed(upstream string) bool { return m.failed[upstream] }

// Step applies one event and returns the resulting actions.
func (m *Monitor) Step(ev Event) []Action {
	now := time.Now()
	switch ev := ev.(type) {
	case DialFailed:
		m.failed[ev.Upstream] = true
		if len(m.failed) >= minUpstreams {
			return m.suspect(now)
		}
	case Silent:
		if ev.Upstreams >= minUpstreams || ev.Upstreams > 0 && ev.Known >= minUpstreams && ev.For >= LongSilence {
			return m.suspect(now)
		}
	case Reached:
		return m.reached(now)
	case ProbeFailed:
		switch {
		case m.state != Suspected:
		case ev.Untried && now.Before(m.until):
			return []Action{Probe{Upstreams: probeCount}}
		default:
			return m.confirm(now)
		}
	case Needed:
		m.nextProbe = m.lastProbe.Add(minProbeInterval)
		return m.advance(now)
	case Tick:
		return m.advance(now)
	}
	return nil
}

func (m *Monitor) suspect(now time.Time) []Action {
	if m.state != Connected || now.Before(m.quiet) {
		return nil
	}
	m.state, m.until = Suspected, now.Add(probeTime)
	return []Action{Probe{Upstreams: probeCount}}
}

func (m *Monitor) confirm(now time.Time) []Action {
	m.state, m.began, m.lastProbe, m.nextProbe = Cut, now, now, now.Add(probeInterval)
	return []Action{Began{}}
}

func (m *Monitor) reached(now time.Time) []Action {
	clear(m.failed)
	old := m.state
	m.state = Connected
	switch old {
	case Suspected:
		m.quiet = now.Add(quietTime)
	case Cut:
		return []Action{Ended{For: now.Sub(m.began)}}
	case Connected:
	}
	return nil
}

func (m *Monitor) advance(now time.Time) []Action {
	switch {
	case m.state == Suspected && !now.Before(m.until):
		return m.confirm(now)
	case m.state == Cut && !now.Before(m.nextProbe):
		return m.probeAgain(now)
	}
	return nil
}

func (m *Monitor) probeAgain(now time.Time) []Action {
	m.lastProbe, m.nextProbe = now, now.Add(probeInterval)
	return []Action{Probe{Upstreams: 1}}
}

// Wake returns when the next Tick is due; ok is false when none is.
func (m *Monitor) Wake() (at time.Time, ok bool) {
	switch m.state {
	case Suspected:
		return m.until, true
	case Cut:
		return m.nextProbe, true
	case Connected:
	}
	return time.Time{}, false
}
