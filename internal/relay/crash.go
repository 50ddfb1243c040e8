package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/crash"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

// probeTimeout bounds one probe of an upstream that may have crashed. It is longer than
// the pauses of healthy upstreams.
const probeTimeout = 500 * time.Millisecond

// probeRecipient is the ID to which probes are addressed. No upstream has it, so that
// each one answers without running anything.
const probeRecipient = "none"

// crashCheck runs the watch of one upstream. A goroutine executes its actions as long as
// it has any due.
type crashCheck struct {
	mu      sync.Mutex
	watch   *crash.Watch
	running bool
	// presumed holds the requests under which the upstream is presumed to have crashed.
	presumed []poison.Run
	// wake is signaled when the watch has new events.
	wake chan struct{}
}

func (e *Engine) newCrashCheck(u *upstream) *crashCheck {
	return &crashCheck{
		watch: crash.New(e.hasSucceededSince, func(since time.Time) bool { return e.isConnected(u, since) }),
		wake:  make(chan struct{}, 1),
	}
}

// newCrashRun returns the run's attempt that was sent at the given time.
func (r *run) newCrashRun(sent time.Time) crash.Run {
	return crash.Run{Fingerprint: r.fingerprint, Request: r.req.ID, Sent: sent, Ended: time.Now(), Spread: r.gather, Content: r.content}
}

// hasSucceededSince reports whether an equal request has completed since the run was sent.
func (e *Engine) hasSucceededSince(r crash.Run) bool {
	return e.tracker.Succeeded(r.Fingerprint, r.Sent)
}

// isConnected reports whether anything else than the upstream has been heard of since the
// time, so that its silence is not this node's.
func (e *Engine) isConnected(u *upstream, since time.Time) bool {
	last := e.lastHeard.Load()
	return last != nil && last.from != u && last.at.After(since) || e.reachable(since)
}

// heard is a response of an upstream.
type heard struct {
	from *upstream
	at   time.Time
}

// heardFrom records that the upstream has responded.
func (e *Engine) heardFrom(u *upstream) {
	now := time.Now()
	u.crash.watch.Heard(now)
	u.down.clear()
	e.lastHeard.Store(&heard{from: u, at: now})
}

// closedByUpstream reports whether the upstream closed or reset the connection, as
// opposed to a timeout of this node or a response that cannot be decoded.
func closedByUpstream(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// silence reports an attempt as unanswered if neither it nor anything else sent to its
// upstream has had a response for the limit. It does not hold the request's messages.
type silence struct {
	engine *Engine
	u      *upstream
	run    crash.Run
	limit  time.Duration
	// until is when the attempt no longer matters.
	until time.Time
	timer *time.Timer
	ended atomic.Bool
}

// watchSilence watches an attempt that has just been sent.
func (r *run) watchSilence(u *upstream, sent time.Time) *silence {
	s := &silence{engine: r.engine, u: u, run: r.newCrashRun(sent), limit: crash.SilentAfter, until: r.plan.Deadline.Add(crash.SilentAfter)}
	if r.cautious {
		s.limit = crash.SuspectSilentAfter
	}
	s.timer = time.AfterFunc(s.limit, s.check)
	return s
}

// end ends the watch, because there is a response or the connection has broken.
func (s *silence) end() {
	s.ended.Store(true)
	s.timer.Stop()
}

func (s *silence) check() {
	if s.ended.Load() || s.engine.baseCtx.Err() != nil {
		return
	}
	now := time.Now()
	since := s.u.crash.watch.SilentSince(s.run.Sent)
	if due := since.Add(s.limit); now.Before(due) {
		if now.Before(s.until) {
			time.AfterFunc(due.Sub(now), s.check)
		}
		return
	}
	s.run.Ended = since
	s.engine.stepCrash(s.u, crash.Unanswered{Run: s.run})
}

// stepCrash passes an event to the watch of the upstream, and has its actions executed.
func (e *Engine) stepCrash(u *upstream, ev crash.Event) {
	c := u.crash
	c.mu.Lock()
	c.watch.Step(ev)
	_, due := c.watch.Wake()
	start := due && !c.running
	c.running = c.running || start
	c.mu.Unlock()
	if start {
		e.tasks.Go(func() { e.runCrashCheck(u) })
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// runCrashCheck executes the actions of the watch until none is due.
func (e *Engine) runCrashCheck(u *upstream) {
	for {
		at, ok := e.crashWake(u)
		if !ok {
			return
		}
		select {
		case <-time.After(time.Until(at)):
		case <-u.crash.wake:
		case <-e.baseCtx.Done():
			return
		}
		if e.stepInCheck(u, crash.Tick{}) {
			e.stepInCheck(u, crash.Probed{Result: e.probe(u)})
		}
	}
}

// stepInCheck passes a Tick or a result to the watch and applies what follows. It reports
// whether a probe must be made.
func (e *Engine) stepInCheck(u *upstream, ev crash.Event) (probe bool) {
	u.crash.mu.Lock()
	actions := u.crash.watch.Step(ev)
	u.crash.mu.Unlock()
	for _, a := range actions {
		e.applyCrashAction(u, a)
		_, isProbe := a.(crash.Probe)
		probe = probe || isProbe
	}
	return probe
}

// crashWake returns when the next action of the watch is due, or ends the check.
func (e *Engine) crashWake(u *upstream) (time.Time, bool) {
	u.crash.mu.Lock()
	defer u.crash.mu.Unlock()
	at, ok := u.crash.watch.Wake()
	u.crash.running = ok
	return at, ok
}

// applyCrashAction records what the watch has found out of an upstream.
func (e *Engine) applyCrashAction(u *upstream, a crash.Action) {
	id := u.incarnation()
	switch a := a.(type) {
	case crash.Probe:
	case crash.Doubted:
		e.logCrash(u, a.Runs, "doubted")
		e.share(e.tracker.RecordDoubt(id, earliestEnd(a.Runs), poisonRuns(a.Runs)))
	case crash.Cleared:
		e.logCrash(u, a.Runs, "alive")
		u.down.settle()
		e.share(e.tracker.EndDoubt(id, poisonRuns(a.Runs)))
	case crash.Ended:
		at, runs := earliestEnd(a.Runs), poisonRuns(a.Runs)
		if a.Presumed {
			e.logCrash(u, a.Runs, "presumed_crashed")
			u.crash.presumed = poisonRuns(a.Runs)
			e.recordCrash(u, e.tracker.RecordPresumedCrash(id, at, runs))
			return
		}
		e.logCrash(u, a.Runs, "crashed")
		u.down.mark(time.Now(), crashedTime)
		u.recoversAt(time.Now())
		e.recordCrash(u, e.tracker.RecordCrash(id, at, runs))
	case crash.Withdrawn:
		e.log.WithFields(logrus.Fields{"upstream": u.entry.ID(), "service": u.entry.Service()}).
			Info("relay: upstream that was presumed to have crashed has responded.")
		e.share(e.tracker.Withdraw(id, u.crash.presumed))
		u.crash.presumed = nil
	}
}

// announceTrial reports to all nodes that a request which is suspected of crashing
// upstreams is being sent to one, so that no other node tries it meanwhile.
func (r *run) announceTrial(u *upstream) {
	now := time.Now()
	r.engine.share(r.engine.tracker.RecordDoubt(u.incarnation(), now, []poison.Run{r.poisonRun(now)}))
}

// endTrial reports that the upstream has not run the request.
func (r *run) endTrial(u *upstream) {
	r.engine.share(r.engine.tracker.EndDoubt(u.incarnation(), []poison.Run{r.poisonRun(time.Time{})}))
}

// logCrash logs what is known of the upstream of requests without a response.
func (e *Engine) logCrash(u *upstream, runs []crash.Run, outcome string) {
	e.metrics.broken.WithLabelValues(outcome).Add(float64(len(runs)))
	fields := logrus.Fields{"upstream": u.entry.ID(), "service": u.entry.Service(), "outcome": outcome}
	for _, s := range runs {
		e.log.WithFields(fields).WithFields(logrus.Fields{
			"request": s.Request, "fingerprint": formatFingerprint(s.Fingerprint), "content": formatFingerprint(s.Content), "in_flight": len(runs),
			"ran_ms": s.Ended.Sub(s.Sent).Milliseconds(), "canceled": s.Canceled,
		}).Info("relay: upstream has not responded to a request.")
	}
}

// recordCrash logs the quarantines that follow from new reports, and sends the reports to
// the other nodes.
func (e *Engine) recordCrash(u *upstream, reports []poison.Report) {
	for _, r := range reports {
		if v := e.tracker.Verdict(r.Fingerprint); v == poison.Quarantined {
			e.log.WithFields(logrus.Fields{
				"fingerprint": formatFingerprint(r.Fingerprint), "upstream": u.entry.ID(),
				"remaining_s": e.tracker.Remaining(r.Fingerprint).Seconds(),
			}).Warn("relay: request is quarantined, because it crashes upstreams.")
			e.quarantined(r.Fingerprint)
		}
	}
	e.share(reports)
}

func earliestEnd(runs []crash.Run) time.Time {
	at := runs[0].Ended
	for _, r := range runs {
		if r.Ended.Before(at) {
			at = r.Ended
		}
	}
	return at
}

func poisonRuns(runs []crash.Run) []poison.Run {
	list := make([]poison.Run, len(runs))
	for i, r := range runs {
		list[i] = poison.Run{Fingerprint: r.Fingerprint, Sent: r.Sent, Canceled: r.Canceled, Spread: r.Spread, Content: r.Content}
	}
	return list
}

func (r *run) poisonRun(sent time.Time) poison.Run {
	return poison.Run{Fingerprint: r.fingerprint, Content: r.content, Sent: sent, Spread: r.gather}
}

// probe finds out on a new connection whether the upstream's process still responds.
func (e *Engine) probe(u *upstream) crash.Result {
	if e.links.IsCut() && !e.isEveryNodeCut() {
		return crash.Inconclusive
	}
	start := time.Now()
	result := e.tryProbe(u)
	if result == crash.Closed && !e.confirms(e.baseCtx, u) {
		return crash.Inconclusive
	}
	if result != crash.Responded && result != crash.Replaced && e.links.WasCutSince(start) && !e.isEveryNodeCut() {
		return crash.Inconclusive
	}
	return result
}

// isEveryNodeCut reports whether no other node is known that may reach the upstreams. That
// all of them have ended, under requests that end them, is then as likely as a cut.
func (e *Engine) isEveryNodeCut() bool {
	return e.links.IsCut() && e.peers.Load().pickDetour(func(*peerNode) bool { return false }) == nil
}

// confirms reports whether a refusal is that of the upstream and not of this node's links.
func (e *Engine) confirms(ctx context.Context, u *upstream) bool {
	return e.links.Confirm(ctx, u.entry.ID()) || e.isEveryNodeCut()
}

// tryProbe probes the upstream.
func (e *Engine) tryProbe(u *upstream) crash.Result {
	if u.advice.RestLeft(time.Now()) > 0 {
		return crash.Inconclusive
	}
	ctx, cancel := context.WithTimeout(e.baseCtx, probeTimeout)
	defer cancel()
	if !e.awaitColdTurn(ctx, u) {
		return crash.Inconclusive
	}
	c, err := u.pool.Open(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		if !e.confirms(ctx, u) {
			return crash.Inconclusive
		}
		// The refusal counts only if it outlasts what the others have shown.
		c, err = u.pool.Open(ctx)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return crash.Refused
	case err != nil && closedByUpstream(err):
		return crash.Closed
	case err != nil:
		return crash.Silent
	}
	res, err := e.exchangeProbe(ctx, u, c)
	switch {
	case err != nil && closedByUpstream(err):
		return crash.Closed
	case err != nil:
		return crash.Silent
	}
	if id := res.Reply().Upstream; id != "" && id != u.entry.ID() {
		return crash.Replaced
	}
	e.heardAdvice(u, res.Reply().Advice)
	return crash.Responded
}

// exchangeProbe gets the response to a probe on a new connection. The connection is then
// available to requests.
func (e *Engine) exchangeProbe(ctx context.Context, u *upstream, c *link.Conn) (*link.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	u.quota.Charge()
	header := make(http.Header, 2)
	e.dialect.WriteCall(header, proto.Call{Upstream: probeRecipient, Remaining: probeTimeout})
	req := &proto.Request{Method: http.MethodGet, Target: "/", Host: u.entry.Addr()}
	sent := time.Now()
	res, _, err := c.Exchange(req, link.EncodeRequest(link.EncodeHead(req, nil), header, nil), e.dialect)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	u.pool.Release(c)
	if id := res.Reply().Upstream; id == "" || id == u.entry.ID() {
		e.heardCold(u, res.Reply(), sent)
	}
	return res, nil
}

func formatFingerprint(f poison.Fingerprint) string { return fmt.Sprintf("%016x", uint64(f)) }
