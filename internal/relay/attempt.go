package relay

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/memory"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/crash"
	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/trace"
)

// attempt is one send to an upstream in progress.
type attempt struct {
	number   int
	upstream *upstream
	reason   fanout.Reason
	placedAt time.Time
	// turnAt is when the attempt had its turn at the upstream.
	turnAt time.Time

	mu       sync.Mutex
	canceled bool
	// withdraw ends the wait for a slot, a turn or, if this node is cut off, a connection. conn is the connection in use, if any.
	withdraw context.CancelFunc
	conn     *link.Conn
	// clock measures where the time of the attempt goes. opened reports that a connection
	// was opened for it.
	clock  trace.Clock
	opened bool
}

// cancel ends the attempt immediately.
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

func (a *attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// setWithdraw sets the function that ends the wait for a slot or a turn. It reports whether
// the attempt has not been canceled.
func (a *attempt) setWithdraw(cancel context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdraw = cancel
	return !a.canceled
}

// setConn sets the connection in use, or clears it if c is nil. It reports whether
// the attempt has not been canceled.
func (a *attempt) setConn(c *link.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.canceled
}

// sending reports whether the attempt has a connection.
func (a *attempt) sending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil
}

// try waits for a slot at the upstream, sends the request and reads the response.
func (r *run) try(a *attempt) attemptDone {
	u := a.upstream
	if u.waiting.add(a, r) {
		defer u.waiting.remove(a)
	}
	taken := u.intake.context()
	if d, ok := r.withdrawn(taken, a); ok {
		return d
	}
	ticket := gate.NewTicket(r.engine.tickets.Add(1), r.route.Priority(), r.share(), r.plan.Deadline, false)
	if !u.gate.TryAcquire(ticket) && !r.waitForSlot(taken, a, ticket) {
		if d, ok := r.withdrawn(taken, a); ok {
			return d
		}
		return attemptDone{attempt: a, notRun: true, unsent: true, cause: "no_slot"}
	}
	a.enter(trace.StageTurn)
	if !r.waitForTurn(taken, a) {
		u.gate.Release(ticket, 0, gate.OutcomeCanceled)
		if d, ok := r.withdrawn(taken, a); ok {
			return d
		}
		return attemptDone{attempt: a, notRun: true, unsent: true, cause: "limited"}
	}
	a.enter(trace.StageConnect)
	start := time.Now()
	a.turnAt = start
	d, outcome := r.exchange(taken, a)
	r.engine.recordPace(u, d)
	d.waited = start.Sub(a.placedAt)
	u.gate.Release(ticket, time.Since(start), outcome)
	return d
}

// share names whose requests wait together at an upstream: those of a workspace, or of a
// route if callers have no workspaces. Each gets an equal share of the slots.
func (r *run) share() string {
	if r.workspace != "" {
		return "workspace " + r.workspace
	}
	return r.route.Name()
}

// waitForSlot queues at the upstream's gate and reports whether it got a slot
// before the deadline, the cancellation of the attempt or its withdrawal.
func (r *run) waitForSlot(taken context.Context, a *attempt, ticket gate.Ticket) bool {
	ctx, cancel := context.WithDeadline(taken, r.slotDeadline())
	defer cancel()
	if !a.setWithdraw(cancel) {
		return false
	}
	_, ok := a.upstream.gate.Acquire(ctx, ticket)
	return ok
}

// waitForTurn waits until the upstream's limit allows the attempt. It returns false if that
// is too late, or the attempt is canceled or withdrawn before.
func (r *run) waitForTurn(taken context.Context, a *attempt) bool {
	q := a.upstream.quota
	wait, ok := q.Reserve(r.engine.quotaNodes.Load(), r.route.Priority(), r.timeLeft())
	if !ok {
		r.engine.metrics.limited.Inc()
		if q.ColdLeft(time.Now()) > 0 {
			r.engine.metrics.coldHeld.Inc()
		}
		return false
	}
	if wait <= 0 {
		return true
	}
	ctx, cancel := context.WithCancel(taken)
	defer cancel()
	if !a.setWithdraw(cancel) || !tasks.Sleep(ctx, wait) {
		q.Cancel()
		return false
	}
	return true
}

// exchange sends the request on a connection and reads the response.
func (r *run) exchange(taken context.Context, a *attempt) (attemptDone, gate.Outcome) {
	u := a.upstream
	c, err := r.connect(taken, a)
	if err != nil {
		if d, ok := r.withdrawn(taken, a); ok {
			return d, gate.OutcomeCanceled
		}
		if !a.isCanceled() {
			u.stats.Failed()
		}
		if errors.Is(err, syscall.ECONNREFUSED) && !r.engine.links.IsCut() {
			u.down.mark(time.Now(), refusedTime)
			u.recoversAt(time.Now())
			r.engine.stepCrash(u, crash.DialRefused{})
		}
		return attemptDone{attempt: a, notRun: true, unsent: true, cause: "dial", err: err}, gate.OutcomeCanceled
	}
	if r.Blocked() {
		u.pool.Release(c)
		return attemptDone{attempt: a, notRun: true, unsent: true, cause: "quarantined"}, gate.OutcomeCanceled
	}
	if !u.advice.Accepts(time.Now()) {
		u.pool.Release(c)
		return attemptDone{attempt: a, notRun: true, unsent: true, cause: "declined"}, gate.OutcomeCanceled
	}
	if !u.quota.Holds(a.turnAt, time.Now()) {
		u.pool.Release(c)
		r.engine.metrics.coldHeld.Inc()
		return attemptDone{attempt: a, notRun: true, unsent: true, cause: "limited"}, gate.OutcomeCanceled
	}
	if !r.fitsStop() {
		u.pool.Release(c)
		return attemptDone{attempt: a, notRun: true, unsent: true, cause: "stopping"}, gate.OutcomeCanceled
	}
	if !r.renewToken() {
		u.pool.Release(c)
		return attemptDone{attempt: a, notRun: true, unsent: true, cause: "allotment"}, gate.OutcomeCanceled
	}
	if d, ok := r.withdrawn(taken, a); ok {
		u.pool.Release(c)
		return d, gate.OutcomeCanceled
	}
	r.allotted.use() // before the permit, so that the end of the run does not return the token
	if !a.setConn(c) || !r.permits.acquire() {
		u.pool.Release(c)
		return attemptDone{attempt: a, notRun: true, unsent: true, cause: "finished"}, gate.OutcomeCanceled
	}
	a.enter(trace.StageExchange)
	start := time.Now()
	if r.cautious {
		r.announceTrial(u)
	}
	silence := r.watchSilence(u, start)
	pause := r.watchPause(u)
	res, wrote, err := c.Exchange(r.req, r.encode(u, start), r.engine.dialect)
	pause.end(err == nil)
	if !wrote || err == nil || closedByUpstream(err) || errors.Is(err, link.ErrStatus) {
		silence.end()
	}
	switch {
	case err == nil:
		r.engine.links.Answered(c.OpenedAt())
	case !c.Proven() && closedByUpstream(err):
		r.engine.links.Failed(u.entry.ID())
	}
	if a.setConn(nil) {
		u.pool.Release(c)
	} else {
		_ = c.Close()
	}
	if r.cautious && (!wrote || res != nil && res.Reply().NotRun) {
		r.endTrial(u)
	}
	if !wrote {
		r.permits.release()
		u.stats.Failed()
		return attemptDone{attempt: a, notRun: true, unsent: true, cause: "not_written", err: err}, gate.OutcomeCanceled
	}
	took := time.Since(start)
	d, outcome := r.classifyReply(a, res, err, took)
	d.took = took
	return d, outcome
}

// connect returns a connection to the upstream of the attempt. One that is being opened for
// an attempt that is no longer needed is kept, unless this node is cut off or the upstream takes
// no new requests.
func (r *run) connect(taken context.Context, a *attempt) (*link.Conn, error) {
	ctx, cancel := context.WithCancel(taken)
	defer cancel()
	if !a.setWithdraw(func() {
		if r.engine.links.IsCut() {
			cancel()
		}
	}) && r.engine.links.IsCut() {
		return nil, context.Canceled
	}
	start := time.Now()
	c, err := a.upstream.pool.Connect(ctx)
	if err == nil && c.OpenedAt().After(start) {
		r.engine.dialTimes.record(a.upstream.stats.Distance(), time.Since(start))
		a.markOpened()
	}
	return c, err
}

// classifyReply determines how an exchange ended and updates the statistics of the
// upstream. A reply that proves that the request did not run releases the permit of
// the attempt.
func (r *run) classifyReply(a *attempt, res *link.Response, err error, took time.Duration) (attemptDone, gate.Outcome) {
	stats := a.upstream.stats
	if errors.Is(err, memory.ErrExhausted) {
		// The cause is this node's lack of memory, not the upstream.
		r.engine.metrics.exhausted.Inc()
		return attemptDone{attempt: a, cause: "memory", err: err}, gate.OutcomeCanceled
	}
	if err != nil {
		if a.isCanceled() {
			stats.Abandoned(took)
			s := r.newCrashRun(time.Now().Add(-took))
			s.Canceled = true
			r.engine.stepCrash(a.upstream, crash.Canceled{Run: s})
			return attemptDone{attempt: a, cause: "given_up"}, gate.OutcomeCanceled
		}
		stats.Failed()
		broken := closedByUpstream(err)
		if broken {
			a.upstream.down.doubt(time.Now())
			r.engine.stepCrash(a.upstream, crash.Broke{Run: r.newCrashRun(time.Now().Add(-took))})
		}
		return attemptDone{attempt: a, cause: "broken", broken: broken, err: err}, gate.OutcomeCanceled
	}
	if !res.Reply().Moved {
		r.engine.heardFrom(a.upstream)
		r.engine.heardLimit(a.upstream, res.Reply().Limit)
		r.engine.heardAdvice(a.upstream, res.Reply().Advice)
		r.engine.heardCold(a.upstream, res.Reply(), time.Now().Add(-took))
	}
	if res.Reply().HasLoad {
		stats.LoadReported(res.Reply().Running, res.Reply().Waiting)
		stats.PaceReported(res.Reply().Running, res.Reply().Waiting, res.Reply().Pace)
	}
	switch {
	case res.Reply().Moved:
		stats.MarkGone()
		r.permits.release()
		return attemptDone{attempt: a, res: res, notRun: true, cause: "moved"}, gate.OutcomeCanceled
	case res.Reply().NotRun:
		stats.Failed()
		r.permits.release()
		return attemptDone{attempt: a, res: res, notRun: true, cause: "shed"}, gate.OutcomeShed
	case r.isFinal(res):
		stats.AnsweredAt(took, res.Reply().Pace)
		r.engine.metrics.upstream.Observe(took.Seconds())
		return attemptDone{attempt: a, res: res, ok: true}, gate.OutcomeServed
	}
	stats.Failed()
	return attemptDone{attempt: a, res: res, cause: "failure"}, gate.OutcomeCanceled
}

// isFinal reports whether the response ends its leg: an unencoded success with the
// upstream's proof, or, for a request to one service, any response that another
// upstream would not change.
func (r *run) isFinal(res *link.Response) bool {
	if res.Status() >= 200 && res.Status() < 300 {
		return res.Reply().Proof != "" && res.Header().Get("Content-Encoding") == ""
	}
	return !r.gather && res.Status() < 500 && !impliesNotRun(res.Status())
}

// impliesNotRun reports whether the status states that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (r *run) encode(u *upstream, now time.Time) []byte {
	r.headOnce.Do(func() { r.head = link.EncodeHead(r.req, r.engine.endToEnd(r.req.Header)) })
	perUpstream := make(http.Header, 2)
	r.engine.dialect.WriteCall(perUpstream, proto.Call{Upstream: u.entry.ID(), Remaining: r.engine.finish.Clip(r.plan.Deadline).Sub(now)})
	return link.EncodeRequest(r.head, perUpstream, r.req.Body)
}

// endToEnd returns the caller's headers without those that apply to a single
// connection and those that the tier sets itself.
func (e *Engine) endToEnd(header http.Header) http.Header {
	h := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	perUpstream := make(http.Header)
	e.dialect.WriteCall(perUpstream, proto.Call{})
	for name := range perUpstream {
		h.Del(name)
	}
	return h
}
