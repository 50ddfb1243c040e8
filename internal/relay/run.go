package relay

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/talk"
	"geraniumstep.org/geraniumstep/pkg/extra"
	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/gate"
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
	req       *talk.Request
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

// attempt is one send in progress.
type attempt struct {
	number   int
	upstream *upstream
	reason   fanout.Reason
	placedAt time.Time

	mu       sync.Mutex
	canceled bool
	// withdraw ends the wait for a slot, and conn carries the exchange.
	withdraw context.CancelFunc
	conn     *link.Conn
}

// cancel ends the attempt at once.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.withdraw != nil {
		a.withdraw()
	}
	if a.conn != nil {
		_ = a.conn.SetDeadline(time.Unix(1, 0))
	}
}

// isCanceled tells whether the attempt was ended.
func (a *attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// use puts the exchange on a connection, unless the attempt has ended.
func (a *attempt) use(c *link.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.canceled
}

// sending tells whether the attempt has a connection.
func (a *attempt) sending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil
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

// try waits for a slot at the upstream, sends the request and reads the answer.
func (r *run) try(a *attempt) done {
	u := a.upstream
	ticket := gate.NewTicket(r.engine.tickets.Add(1), r.route.Priority(), r.route.Name(), r.plan.Deadline, false)
	if !u.gate.TryAcquire(ticket) && !r.waitForSlot(a, ticket) {
		return done{attempt: a, notRun: true, unsent: true, cause: "no_slot"}
	}
	begun := time.Now()
	d, outcome := r.exchange(a)
	d.waited = begun.Sub(a.placedAt)
	u.gate.Release(ticket, time.Since(begun), outcome)
	return d
}

// waitForSlot queues at the upstream's gate until the attempt is canceled.
func (r *run) waitForSlot(a *attempt, ticket gate.Ticket) bool {
	ctx, cancel := context.WithDeadline(r.engine.work, r.plan.Deadline)
	defer cancel()
	a.mu.Lock()
	a.withdraw = cancel
	gone := a.canceled
	a.mu.Unlock()
	if gone {
		return false
	}
	_, ok := a.upstream.gate.Acquire(ctx, ticket)
	return ok
}

// exchange uses a connection for one request.
func (r *run) exchange(a *attempt) (done, gate.Outcome) {
	u := a.upstream
	c, err := u.pool.Connect(r.engine.work)
	if err != nil {
		u.stats.Failed()
		return done{attempt: a, notRun: true, unsent: true, cause: "dial", err: err}, gate.OutcomeCanceled
	}
	if !a.use(c) || !r.claims.take() {
		u.pool.Release(c)
		return done{attempt: a, notRun: true, unsent: true, cause: "finished"}, gate.OutcomeCanceled
	}
	begun := time.Now()
	res, wrote, err := c.Exchange(r.req, r.message(u, begun), r.engine.dialect)
	if a.use(nil) {
		u.pool.Release(c)
	} else {
		_ = c.Close()
	}
	if !wrote {
		r.claims.giveBack()
		u.stats.Failed()
		return done{attempt: a, notRun: true, unsent: true, cause: "not_written", err: err}, gate.OutcomeCanceled
	}
	return r.judgeReply(a, res, err, time.Since(begun))
}

// judgeReply decides what an exchange proves, and records it as evidence.
func (r *run) judgeReply(a *attempt, res *link.Response, err error, took time.Duration) (done, gate.Outcome) {
	stats := a.upstream.stats
	if err != nil {
		if a.isCanceled() {
			stats.Outlived(took)
			return done{attempt: a, cause: "given_up"}, gate.OutcomeCanceled
		}
		stats.Failed()
		return done{attempt: a, cause: "broken", err: err}, gate.OutcomeCanceled
	}
	if res.Reply().HasLoad {
		stats.Loaded(res.Reply().Running, res.Reply().Waiting)
	}
	switch {
	case res.Reply().Moved:
		stats.Gone()
		r.claims.giveBack()
		return done{attempt: a, res: res, notRun: true, cause: "moved"}, gate.OutcomeCanceled
	case res.Reply().NotRun:
		stats.Failed()
		r.claims.giveBack()
		return done{attempt: a, res: res, notRun: true, cause: "shed"}, gate.OutcomeShed
	case r.good(res):
		stats.Answered(took)
		r.engine.metrics.upstream.Observe(took.Seconds())
		return done{attempt: a, res: res, ok: true}, gate.OutcomeServed
	}
	stats.Failed()
	return done{attempt: a, res: res, cause: "failure"}, gate.OutcomeCanceled
}

// good tells whether the answer is final: a success with its proof, or, for a
// request to one service, any answer that trying elsewhere would not change.
func (r *run) good(res *link.Response) bool {
	if res.Status() >= 200 && res.Status() < 300 {
		return res.Reply().Proof != "" && res.Header().Get("Content-Encoding") == ""
	}
	return !r.gather && res.Status() < 500 && !promise(res.Status())
}

// promise tells whether the status promises that the request did not run.
func promise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// message encodes the request for the upstream.
func (r *run) message(u *upstream, now time.Time) []byte {
	r.startOnce.Do(func() { r.start = link.Start(r.req, r.endToEnd()) })
	own := make(http.Header, 2)
	r.engine.dialect.WriteCall(own, talk.Call{Upstream: u.entry.ID(), Remaining: r.plan.Deadline.Sub(now)})
	return link.Message(r.start, own, r.req.Body)
}

// endToEnd leaves out the headers that concern one connection, and those that
// the tier sets itself.
func (r *run) endToEnd() http.Header {
	h := make(http.Header, len(r.req.Header))
	for name, values := range r.req.Header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	for _, name := range strings.Split(r.req.Header.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(name))
	}
	own := make(http.Header)
	r.engine.dialect.WriteCall(own, talk.Call{})
	for name := range own {
		h.Del(name)
	}
	return h
}

// logAttempt writes what became of one attempt.
func (r *run) logAttempt(d done) {
	if !r.engine.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	a := d.attempt
	fields := logrus.Fields{
		"request": r.req.ID, "leg": fanout.Leg(a.number), "upstream": a.upstream.entry.ID(), "domain": a.upstream.entry.Domain(),
		"reason": a.reason.String(), "ok": d.ok, "cause": d.cause, "waited_ms": d.waited.Milliseconds(),
		"took_ms": time.Since(a.placedAt).Milliseconds(),
	}
	if d.err != nil {
		fields["error"] = d.err.Error()
	}
	r.engine.log.WithFields(fields).Debug("relay: attempt ended.")
}

// log writes the decision on the request.
func (r *run) log(a talk.Answer) {
	took := time.Since(r.req.Arrived)
	kind := talk.Name(a)
	priority := r.route.Priority().String()
	r.engine.metrics.requests.WithLabelValues(priority, kind).Inc()
	r.engine.metrics.latency.WithLabelValues(priority).Observe(took.Seconds())
	answered := 0
	if r.machine != nil {
		answered = r.machine.Answered()
	}
	fields := logrus.Fields{
		"request": r.req.ID, "route": r.route.Name(), "version": r.version, "answer": kind, "verdict": r.verdict,
		"legs": len(r.plan.Services), "answered": answered, "extra": r.extras, "took_ms": took.Milliseconds(),
	}
	if r.cause != "" {
		fields["last_failure"] = r.cause
	}
	r.engine.log.WithFields(fields).Info("relay: request ended.")
}

// Pick implements fanout.Deps.
func (r *run) Pick(service string, tried []fanout.Upstream) (fanout.Upstream, bool) {
	if g, ok := r.grouped[service]; ok && len(tried) == 0 {
		delete(r.grouped, service)
		return g, true
	}
	u := r.directory.pick(service, time.Until(r.plan.Soft), func(u *upstream) bool { return contains(tried, u) })
	return u, u != nil
}

// Expected implements fanout.Deps.
func (r *run) Expected(service string, tried []fanout.Upstream) (time.Duration, bool) {
	u := r.directory.pick(service, time.Until(r.plan.Soft), func(u *upstream) bool { return contains(tried, u) })
	if u == nil {
		return 0, false
	}
	return u.stats.Expected(time.Now()), true
}

// Uses implements fanout.Deps.
func (r *run) Uses(u fanout.Upstream) int {
	if _, ok := u.(*group); ok {
		return r.plan.Attempts
	}
	return 1
}

// HedgeAfter implements fanout.Deps.
func (r *run) HedgeAfter(u fanout.Upstream) time.Duration {
	return max(hedgeFactor*u.(*upstream).stats.Service(time.Now()), hedgeFloor)
}

// SpendEarly implements fanout.Deps.
func (r *run) SpendEarly(service string) bool { return r.spend(service, extra.Early) }

// SpendNeeded implements fanout.Deps.
func (r *run) SpendNeeded(service string) bool { return r.spend(service, extra.Needed) }

// count tells the budget about a first attempt that this node makes.
func (r *run) count(service string) { r.ledger().Count(service, 1) }

// ledger is the budget that the run's extra arrivals come from: nodes that reach
// shards share one among themselves.
func (r *run) ledger() *extra.Ledger {
	if set := r.engine.peers.Load().set; r.gather && (set == nil || set.Gathers()) {
		return r.engine.shards
	}
	return r.engine.budget
}

func (r *run) spend(service string, use extra.Use) bool {
	if r.ledger().Spend(service, use) {
		return true
	}
	r.engine.metrics.denied.Inc()
	return false
}

func contains(tried []fanout.Upstream, u *upstream) bool {
	for _, t := range tried {
		if t == fanout.Upstream(u) {
			return true
		}
	}
	return false
}
