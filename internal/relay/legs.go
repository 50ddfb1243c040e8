package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/trace"
)

// legTracer collects what the trace of a search's slowest legs needs. It is used by the
// goroutine of the run alone. A nil legTracer collects nothing.
type legTracer struct {
	attempts []tracedAttempt
	// ends holds the ends of attempts by number, and peerEnds those of calls to peers.
	ends     map[int]attemptEnd
	peerEnds map[*peerGroup]peerEnd
	withheld map[int][]trace.Withheld
}

// tracedAttempt is an attempt at an upstream or, if group is set, in a call to a peer.
type tracedAttempt struct {
	number   int
	reason   fanout.Reason
	sentAt   time.Time
	inFlight int
	attempt  *attempt
	group    *peerGroup
}

type attemptEnd struct {
	at   time.Time
	ok   bool
	end  string
	load *trace.Load
}

type peerEnd struct {
	at      time.Time
	end     string
	slowest map[string]trace.Leg
}

// startTrace begins the trace of a search if the log or the calling node asks for it.
func (r *run) startTrace() {
	if !r.gather || !r.traced && !r.engine.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	r.plan.Trace = true
	r.tracer = &legTracer{ends: make(map[int]attemptEnd), peerEnds: make(map[*peerGroup]peerEnd), withheld: make(map[int][]trace.Withheld)}
}

func (t *legTracer) sent(a *attempt) {
	if t != nil {
		t.attempts = append(t.attempts, tracedAttempt{number: a.number, reason: a.reason, sentAt: a.placedAt, inFlight: a.upstream.stats.InFlight(), attempt: a})
	}
}

func (t *legTracer) sentToPeer(s fanout.Send, g *peerGroup) {
	if t != nil {
		t.attempts = append(t.attempts, tracedAttempt{number: s.Attempt, reason: s.Reason, sentAt: time.Now(), inFlight: g.peer.stats.InFlight() + 1, group: g})
	}
}

func (t *legTracer) ended(d attemptDone) {
	if t == nil {
		return
	}
	e := attemptEnd{at: time.Now(), ok: d.ok, end: d.cause}
	if d.ok {
		e.end = fanout.StatusAnswered.String()
	}
	if d.res != nil && d.res.Reply().HasLoad {
		e.load = &trace.Load{Running: d.res.Reply().Running, Waiting: d.res.Reply().Waiting, Pace: d.res.Reply().Pace}
	}
	t.ends[d.attempt.number] = e
}

func (t *legTracer) peerEnded(d groupDone) {
	if t == nil {
		return
	}
	e := peerEnd{at: time.Now(), end: outcomeOf(d), slowest: make(map[string]trace.Leg, len(d.reply.Slowest))}
	for _, l := range d.reply.Slowest {
		e.slowest[l.Service] = l
	}
	t.peerEnds[d.group] = e
}

func (t *legTracer) withhold(w fanout.Withheld, at time.Duration) {
	if t != nil {
		t.withheld[w.Leg] = trace.Withhold(t.withheld[w.Leg], w.Reason.String(), w.Obstacle.String(), at)
	}
}

// traceLegs returns the trace of all legs.
func (r *run) traceLegs(now time.Time) []trace.Leg {
	legs := make([]trace.Leg, len(r.plan.Services))
	for i, service := range r.plan.Services {
		status := r.machine.Status(i)
		legs[i] = trace.Leg{
			Service: service, End: status.String(), Answered: status == fanout.StatusAnswered,
			Took: trace.Span(now.Sub(r.req.Arrived)), Withheld: r.tracer.withheld[i],
		}
		if at := r.machine.HedgeAt(i); !at.IsZero() {
			legs[i].HedgeDue = trace.Span(at.Sub(r.req.Arrived))
		}
	}
	for _, t := range r.tracer.attempts {
		leg := &legs[fanout.Leg(t.number)]
		if t.group != nil {
			r.traceDelegated(leg, t, now)
			continue
		}
		if end := r.tracer.ends[t.number]; end.ok {
			leg.Took = trace.Span(end.at.Sub(r.req.Arrived))
		}
		leg.Attempts = append(leg.Attempts, r.traceAttempt(t, now))
	}
	return legs
}

// traceAttempt returns the trace of an attempt at an upstream.
func (r *run) traceAttempt(t tracedAttempt, now time.Time) trace.Attempt {
	entry := t.attempt.upstream.entry
	a := trace.Attempt{
		Upstream: entry.ID(), Domain: entry.Domain(), Reason: t.reason.String(),
		Sent: trace.Span(t.sentAt.Sub(r.req.Arrived)), InFlight: t.inFlight,
	}
	t.attempt.mu.Lock()
	clock, opened := t.attempt.clock, t.attempt.opened
	t.attempt.mu.Unlock()
	a.Slot, a.Turn = trace.Span(clock.Took(trace.StageSlot, now)), trace.Span(clock.Took(trace.StageTurn, now))
	a.Connect, a.Exchange = trace.Span(clock.Took(trace.StageConnect, now)), trace.Span(clock.Took(trace.StageExchange, now))
	a.NewConn, a.End = opened, clock.Stage().String()
	if end, ok := r.tracer.ends[t.number]; ok {
		a.End, a.Load = end.end, end.load
	} else if clock.Stage() == trace.StageExchange {
		a.Silence = trace.Span(t.attempt.upstream.stats.Waiting(now))
	}
	return a
}

// traceDelegated adds an attempt in a call to a peer to the trace of its leg. The peer lists
// its slowest legs; any other one answered before these.
func (r *run) traceDelegated(leg *trace.Leg, t tracedAttempt, now time.Time) {
	g := t.group
	a := trace.Attempt{
		Upstream: g.peer.node.VM, Domain: g.peer.node.Domain, Reason: t.reason.String(), InFlight: t.inFlight,
		Sent: trace.Span(t.sentAt.Sub(r.req.Arrived)), End: trace.StageExchange.String(),
	}
	end, ended := r.tracer.peerEnds[g]
	if ended {
		a.Exchange, a.End = trace.Span(end.at.Sub(t.sentAt)), end.end
	} else {
		a.Exchange = trace.Span(now.Sub(t.sentAt))
	}
	leg.Attempts = append(leg.Attempts, a)
	summary, listed := end.slowest[leg.Service]
	if listed {
		summary = summary.Shift(g.peer.node.VM, g.startedAt.Sub(r.req.Arrived)+time.Duration(g.peer.oneWay.Load()))
		leg.Attempts = append(leg.Attempts, summary.Attempts...)
		leg.Withheld = append(leg.Withheld, summary.Withheld...)
	}
	if !ended || !g.legs[fanout.Leg(t.number)] {
		return
	}
	switch {
	case listed:
		leg.Took = summary.Took
	case len(end.slowest) > 0:
		leg.Took = 0
	default:
		leg.Took = trace.Span(end.at.Sub(r.req.Arrived))
	}
}

// logLegs logs the slowest legs of a search that has missing or late ones.
func (r *run) logLegs() {
	if r.tracer == nil || r.machine == nil || !r.engine.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	soft := trace.Span(r.plan.SoftDeadline.Sub(r.req.Arrived))
	legs := r.traceLegs(time.Now())
	missing, late := 0, 0
	for i := range legs {
		switch {
		case !legs[i].Answered:
			missing++
		case legs[i].Took > soft:
			late++
		}
	}
	if missing+late == 0 {
		return
	}
	r.engine.log.WithFields(logrus.Fields{
		"request": r.req.ID, "route": r.route.Name(), "priority": r.route.Priority().String(), "legs": len(legs), "hops": r.hops,
		"missing": missing, "late": late, "soft_ms": time.Duration(soft).Milliseconds(), "slowest": trace.Slowest(legs),
	}).Debug("relay: slowest legs.")
}

// enter begins a stage of the attempt.
func (a *attempt) enter(s trace.Stage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.clock.Enter(s, time.Now())
}

// markOpened records that a connection was opened for the attempt.
func (a *attempt) markOpened() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.opened = true
}

// observeStages adds the stages of an attempt that has ended to the histogram.
func (m *metrics) observeStages(a *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for s := trace.StageSlot; s <= a.clock.Last(); s++ {
		m.stage[s].Observe(a.clock.Took(s, now).Seconds())
	}
}
