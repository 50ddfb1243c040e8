package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

const (
	// lingerTime is how long an attempt that lost its race may go on, so
	// that its connection is kept: opening one costs the upstream more than
	// the rest of an ordinary answer.
	lingerTime = 300 * time.Millisecond
	// hedgeFactor times the usual service time is when an attempt takes
	// longer than it should; hedgeFloor keeps hedges of fast services from
	// chasing noise.
	hedgeFactor = 3
	hedgeFloor  = 30 * time.Millisecond
)

// run is one request on its way.
type run struct {
	engine    *Engine
	req       *proto.Request
	route     *vhost.Route
	version   uint64
	directory *directory
	plan      fanout.Plan
	gather    bool
	topK      int

	machine *fanout.Fanout
	events  chan event
	// over is closed when nobody reads events any more.
	over     chan struct{}
	groups   []*group
	attempts map[int]*attempt
	parts    []*link.Response
	failure  *link.Response
	claims   claims
	// start is what all upstreams get alike, encoded once.
	start     []byte
	startOnce sync.Once
	// grouped names the group that is to take the first attempt of a service.
	grouped map[string]*group
	hops    int
	extras  int
	verdict string
	// refused is when a peer that rejected the search wants it back.
	refused time.Duration
	cause   string
}

// event is what a run waits for: done or groupDone.
type event interface{ event() }

func (done) event()      {}
func (groupDone) event() {}

// done tells how an attempt ended.
type done struct {
	attempt *attempt
	res     *link.Response
	ok      bool
	notRun  bool
	unsent  bool
	cause   string
	err     error
	// waited is how long the attempt queued here for the upstream.
	waited time.Duration
}

// execute feeds the machine until it finishes. It reports false when the caller
// went first.
func (r *run) execute(ctx context.Context) (fanout.Outcome, bool) {
	r.parts = make([]*link.Response, len(r.plan.Services))
	r.attempts = make(map[int]*attempt)
	r.events = make(chan event, len(r.plan.Services))
	r.over = make(chan struct{})
	defer close(r.over)
	r.planGroups()
	r.machine = fanout.New(r.plan, r)
	timer := time.NewTimer(time.Until(r.plan.Deadline))
	defer timer.Stop()
	outcome, finished := r.apply(fanout.Start{})
	r.startGroups()
	for !finished {
		timer.Reset(time.Until(r.machine.Wake()))
		select {
		case ev := <-r.events:
			outcome, finished = r.took(ev)
		case <-timer.C:
			outcome, finished = r.apply(fanout.Tick{})
		case <-ctx.Done():
			r.abandon()
			return 0, false
		case <-r.engine.work.Done():
			r.abandon()
			return 0, false
		}
	}
	r.verdict = outcome.String()
	r.cancelGroups()
	return outcome, true
}

// took applies one event.
func (r *run) took(ev event) (fanout.Outcome, bool) {
	switch ev := ev.(type) {
	case done:
		return r.apply(r.ended(ev))
	case groupDone:
		return r.groupEnded(ev)
	}
	return 0, false
}

// tell hands an event to the run, unless it has ended.
func (r *run) tell(ev event) {
	select {
	case r.events <- ev:
	case <-r.over:
	}
}

// ended records the end of an attempt and turns it into an event.
func (r *run) ended(d done) fanout.Event {
	delete(r.attempts, d.attempt.number)
	if d.ok {
		r.parts[fanout.Leg(d.attempt.number)] = d.res
		return fanout.Answered{Attempt: d.attempt.number}
	}
	r.cause = d.cause
	if d.res != nil && d.res.Reply().Proof != "" && d.res.Status() >= http.StatusInternalServerError && !promise(d.res.Status()) {
		r.failure = d.res
	}
	return fanout.Failed{Attempt: d.attempt.number, NotRun: d.notRun, Unsent: d.unsent}
}

// apply carries out what follows from an event.
func (r *run) apply(ev fanout.Event) (fanout.Outcome, bool) {
	for _, a := range r.machine.Step(ev) {
		switch a := a.(type) {
		case fanout.Send:
			r.send(a)
		case fanout.Cancel:
			r.cancel(a.Attempt)
		case fanout.Finish:
			return a.Outcome, true
		}
	}
	return 0, false
}

func (r *run) send(s fanout.Send) {
	if g, ok := s.Upstream.(*group); ok {
		g.attempts = append(g.attempts, s.Attempt)
		return
	}
	a := &attempt{number: s.Attempt, upstream: s.Upstream.(*upstream), reason: s.Reason, placedAt: time.Now()}
	r.attempts[s.Attempt] = a
	if s.Reason == fanout.ReasonFirst {
		r.count(r.plan.Services[s.Leg])
	} else {
		r.extras++
	}
	r.engine.metrics.sends.WithLabelValues(s.Reason.String()).Inc()
	a.upstream.stats.Begin()
	// A closed engine starts nothing; execute ends then.
	r.engine.tasks.Go(func() {
		defer a.upstream.stats.End()
		d := r.try(a)
		if !d.ok {
			r.engine.metrics.failures.WithLabelValues(d.cause).Inc()
		}
		r.logAttempt(d)
		r.tell(d)
	})
}

// cancel ends an attempt that is no longer needed: at once if it still waits
// here, else after a while in which it may leave its connection in order.
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

// abandon ends all attempts at once: the caller has gone.
func (r *run) abandon() {
	r.claims.close()
	for _, a := range r.attempts {
		a.cancel()
	}
	r.cancelGroups()
}
