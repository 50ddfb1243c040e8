package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/access"
	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/trace"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

const (
	// lingerTime is how long an attempt may continue after its result is no
	// longer needed, so that its connection can be reused. Opening a
	// connection costs the upstream more than finishing an ordinary response.
	lingerTime = 300 * time.Millisecond
	// hedgeFactor times the usual service time is the delay after which an
	// attempt is hedged. minHedgeDelay keeps ordinary variation of fast
	// services from triggering hedges.
	hedgeFactor   = 3
	minHedgeDelay = 30 * time.Millisecond
)

// run is the state of one request in progress. Its plan has one leg per service:
// the request to one shard within a fan-out, or the only request of a run without
// fan-out.
type run struct {
	engine  *Engine
	req     *proto.Request
	route   *vhost.Route
	version uint64
	// fingerprint identifies equal requests of the same caller.
	fingerprint poison.Fingerprint
	// content identifies requests that differ only in their caller.
	content poison.Fingerprint
	// led reports that another node has sent a leg of the search ahead of the others.
	led bool
	// awaited reports that the other legs wait for the result of a canary.
	awaited bool
	// cautious reports whether the request is suspected of crashing upstreams.
	cautious bool
	// workspace is the name of the workspace that the caller's key belongs to, or "".
	workspace string
	// homes are the regions in which the request may be served. view holds the upstreams
	// there.
	homes     access.Homes
	view      homeView
	directory *directory
	plan      fanout.Plan
	gather    bool
	topK      int

	// machine decides what is sent and when. It is advanced by events.
	machine *fanout.Fanout
	events  chan event
	// stopped is closed when events is no longer read.
	stopped  chan struct{}
	groups   []*peerGroup
	attempts map[int]*attempt
	parts    []*link.Response
	failure  *link.Response
	// broken holds the upstreams that closed a connection of the request without a
	// response.
	broken  []*upstream
	permits sendPermits
	// allotted is the token of the workspace.
	allotted allotted
	// head is the part of the request that is the same for all upstreams,
	// encoded once.
	head     []byte
	headOnce sync.Once
	// pendingGroups maps a service to the group that takes its first attempt.
	pendingGroups map[string]*peerGroup
	hops          int
	// extra reports that the legs are extra attempts of another node, from its budget.
	extra   bool
	extras  int
	verdict string
	// succeeded reports whether an upstream has run the request to its end.
	succeeded bool
	// peerRetryAfter is the longest retry delay returned by a peer that
	// rejected the search.
	peerRetryAfter time.Duration
	lastCause      string
	// traced asks for a trace of the slowest legs, which tracer collects. tracer is nil if
	// none is wanted.
	traced bool
	tracer *legTracer
}

// event is attemptDone, attemptStalled or groupDone.
type event interface{ event() }

func (attemptDone) event()    {}
func (attemptStalled) event() {}
func (groupDone) event()      {}

// attemptDone reports how an attempt ended.
type attemptDone struct {
	attempt *attempt
	res     *link.Response
	ok      bool
	notRun  bool
	unsent  bool
	// withdrawn reports that the upstream took no new requests before the attempt was sent.
	withdrawn bool
	// broken reports that the upstream closed the connection without a response.
	broken bool
	cause  string
	err    error
	// waited is how long the attempt was queued at this node for the upstream.
	waited time.Duration
	// took is the time from the request to the end of the response.
	took time.Duration
}

// execute passes events to the machine until it finishes. It returns false if the
// caller disconnects or the engine is closed before that.
func (r *run) execute(ctx context.Context) (fanout.Outcome, bool) {
	r.parts = make([]*link.Response, len(r.plan.Services))
	r.attempts = make(map[int]*attempt)
	r.events = make(chan event, len(r.plan.Services))
	r.stopped = make(chan struct{})
	defer close(r.stopped)
	r.planGroups()
	r.planCanary()
	r.startTrace()
	r.machine = fanout.New(r.plan, r)
	cut, stopping := r.engine.links.CutSignal(), r.engine.finish.Begun()
	var withdraw <-chan time.Time
	timer := time.NewTimer(time.Until(r.plan.Deadline))
	defer timer.Stop()
	outcome, finished := r.apply(fanout.Start{})
	for !finished {
		r.startGroups()
		timer.Reset(time.Until(r.machine.Wake()))
		select {
		case ev := <-r.events:
			outcome, finished = r.handle(ev)
		case <-timer.C:
			outcome, finished = r.apply(fanout.Tick{})
		case <-cut:
			cut = nil
			r.leaveUpstreams()
		case <-stopping:
			stopping = nil
			outcome, finished = r.apply(fanout.Shorten{Deadline: r.engine.finish.Clip(r.plan.Deadline)})
			if latest, ok := r.latestSend(); ok {
				withdraw = time.After(time.Until(latest))
			}
		case <-withdraw:
			r.withdrawUnsent()
		case <-ctx.Done():
			r.abandon()
			return 0, false
		case <-r.engine.baseCtx.Done():
			r.abandon()
			return 0, false
		}
	}
	r.verdict = outcome.String()
	r.cancelGroups()
	return outcome, true
}

func (r *run) handle(ev event) (fanout.Outcome, bool) {
	switch ev := ev.(type) {
	case attemptDone:
		return r.apply(r.attemptEnded(ev))
	case attemptStalled:
		return r.apply(fanout.Stalled{Attempt: ev.attempt.number})
	case groupDone:
		return r.groupEnded(ev)
	}
	return 0, false
}

// post sends an event to the run unless it has ended.
func (r *run) post(ev event) {
	select {
	case r.events <- ev:
	case <-r.stopped:
	}
}

// attemptEnded records the end of an attempt and converts it to an event of the
// machine.
func (r *run) attemptEnded(d attemptDone) fanout.Event {
	delete(r.attempts, d.attempt.number)
	r.tracer.ended(d)
	ran := d.res != nil && d.res.Reply().Proof != "" && !d.notRun
	if d.ok || ran {
		r.recordSuccess()
	}
	if d.ok {
		r.parts[fanout.Leg(d.attempt.number)] = d.res
		r.recordLeg(d.attempt)
		return fanout.Answered{Attempt: d.attempt.number}
	}
	r.lastCause = d.cause
	d.broken = d.broken && !r.engine.links.IsCut()
	if d.broken {
		r.broken = append(r.broken, d.attempt.upstream)
	}
	if d.res != nil && d.res.Reply().Proof != "" && d.res.Status() >= http.StatusInternalServerError && !impliesNotRun(d.res.Status()) {
		r.failure = d.res
	}
	return fanout.Failed{Attempt: d.attempt.number, NotRun: d.notRun, Unsent: d.unsent, Withdrawn: d.withdrawn, Broken: d.broken, Ran: ran}
}

// apply passes an event to the machine and executes the resulting actions.
func (r *run) apply(ev fanout.Event) (fanout.Outcome, bool) {
	for _, a := range r.machine.Step(ev) {
		switch a := a.(type) {
		case fanout.Send:
			r.send(a)
		case fanout.Cancel:
			r.cancel(a.Attempt)
		case fanout.Withheld:
			r.tracer.withhold(a, time.Since(r.req.Arrived))
		case fanout.Finish:
			return a.Outcome, true
		}
	}
	return 0, false
}

func (r *run) send(s fanout.Send) {
	if g, ok := s.Upstream.(*peerGroup); ok {
		g.add(s, r.plan.Services[s.Leg])
		if g.hedge {
			r.extras++
			r.engine.metrics.remoteHedges.Inc()
		}
		r.tracer.sentToPeer(s, g)
		return
	}
	a := &attempt{number: s.Attempt, upstream: s.Upstream.(*upstream), reason: s.Reason, placedAt: time.Now()}
	a.clock = trace.NewClock(a.placedAt)
	r.attempts[s.Attempt] = a
	if s.Reason == fanout.ReasonFirst {
		if !r.extra {
			r.countFirst(r.plan.Services[s.Leg])
		}
	} else {
		r.extras++
	}
	r.engine.links.Watch()
	r.engine.metrics.sends.WithLabelValues(s.Reason.String()).Inc()
	a.upstream.stats.Begin()
	r.tracer.sent(a)
	// A closed engine starts no goroutine, and execute returns.
	r.req.Memory.Retain()
	r.engine.tasks.Go(func() {
		defer r.req.Memory.Close()
		defer a.upstream.stats.End()
		d := r.try(a)
		a.enter(trace.StageEnded)
		r.engine.metrics.observeStages(a)
		if !d.ok {
			r.engine.metrics.failures.WithLabelValues(d.cause).Inc()
		}
		r.logAttempt(d)
		r.post(d)
	})
}

// cancel ends an attempt that is no longer needed: immediately if it has no
// connection yet, otherwise after lingerTime, so that its connection stays reusable if it
// finishes within that time.
func (r *run) cancel(n int) {
	a, ok := r.attempts[n]
	if !ok {
		return
	}
	if !a.sending() {
		a.cancel()
		return
	}
	time.AfterFunc(lingerTime, a.cancel)
}

// abandon ends all attempts immediately, because the result can no longer be used.
func (r *run) abandon() {
	r.permits.close()
	for _, a := range r.attempts {
		a.cancel()
	}
	r.cancelGroups()
}
