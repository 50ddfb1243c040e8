package relay

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/gate"
)

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
	r.startOnce.Do(func() { r.start = link.EncodeHead(r.req, r.endToEnd()) })
	own := make(http.Header, 2)
	r.engine.dialect.WriteCall(own, proto.Call{Upstream: u.entry.ID(), Remaining: r.plan.Deadline.Sub(now)})
	return link.EncodeRequest(r.start, own, r.req.Body)
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
	r.engine.dialect.WriteCall(own, proto.Call{})
	for name := range own {
		h.Del(name)
	}
	return h
}
