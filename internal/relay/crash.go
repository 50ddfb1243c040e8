package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

const (
	// crashCheckDelay is the time between a broken connection and the check of its
	// upstream. Other shards of a harmless search usually answer within it, and
	// then no check is needed.
	crashCheckDelay = 20 * time.Millisecond
	// crashConfirmDelay is how long a new connection must stay open to show that
	// the upstream lives: a process that is ending may still accept one.
	crashConfirmDelay = 50 * time.Millisecond
)

// canceledRetention is how long after its cancellation an attempt remains a suspect. An
// upstream may have begun to run it before it noticed the closed connection.
const canceledRetention = 500 * time.Millisecond

// suspect is an attempt that was in flight when its connection broke.
type suspect struct {
	run     poison.Run
	request string
	brokeAt time.Time
}

// newSuspect returns the run's attempt whose connection broke after the given time.
func (r *run) newSuspect(after time.Duration) suspect {
	now := time.Now()
	return suspect{run: poison.Run{Fingerprint: r.fingerprint, Sent: now.Add(-after)}, request: r.req.ID, brokeAt: now}
}

// crashCheck collects the suspects of one upstream until it is known whether the
// upstream has crashed.
type crashCheck struct {
	mu       sync.Mutex
	suspects []suspect
	// canceled holds attempts that this node canceled, the oldest first.
	canceled []suspect
	running  bool
}

// addCanceled records an attempt that was canceled after it had been sent.
func (c *crashCheck) addCanceled(s suspect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired()
	c.canceled = append(c.canceled, s)
}

// dropExpired must be called with mu held.
func (c *crashCheck) dropExpired() {
	for len(c.canceled) > 0 && time.Since(c.canceled[0].brokeAt) > canceledRetention {
		c.canceled = c.canceled[1:]
	}
}

// startForCanceled reports whether attempts were canceled recently, in which case the
// caller must start a check.
func (c *crashCheck) startForCanceled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired()
	if c.running || len(c.canceled) == 0 {
		return false
	}
	c.running = true
	return true
}

// add adds a suspect and reports whether the caller must start a check.
func (c *crashCheck) add(s suspect) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects = append(c.suspects, s)
	start := !c.running
	c.running = true
	return start
}

// take returns the suspects and ends the check if there are none.
func (c *crashCheck) take() []suspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired()
	list := append(c.suspects, c.canceled...)
	c.suspects, c.canceled = nil, nil
	c.running = len(list) > 0
	return list
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

// connectionBroke records that the upstream closed the connection of an attempt
// without a response, and checks whether it has crashed.
func (e *Engine) connectionBroke(u *upstream, s suspect) {
	if u.crash.add(s) {
		e.startCrashCheck(u)
	}
}

// connectionRefused checks whether the upstream has crashed under an attempt that this
// node canceled.
func (e *Engine) connectionRefused(u *upstream) {
	if u.crash.startForCanceled() {
		e.startCrashCheck(u)
	}
}

func (e *Engine) startCrashCheck(u *upstream) {
	e.tasks.Go(func() {
		for tasks.Sleep(e.baseCtx, crashCheckDelay) {
			suspects := u.crash.take()
			if len(suspects) == 0 {
				return
			}
			suspects = slices.DeleteFunc(suspects, e.hasSucceededSince)
			if len(suspects) > 0 {
				e.checkCrash(u, suspects)
			}
		}
	})
}

// hasSucceededSince reports whether an equal request has completed since the suspect was
// sent.
func (e *Engine) hasSucceededSince(s suspect) bool {
	return e.tracker.Succeeded(s.run.Fingerprint, s.run.Sent)
}

// checkCrash connects to the upstream to find out whether it still listens, and
// reports a crash with the requests that may have caused it.
func (e *Engine) checkCrash(u *upstream, suspects []suspect) {
	err := u.probe(e.baseCtx)
	crashed := errors.Is(err, syscall.ECONNREFUSED)
	outcome := "alive"
	switch {
	case crashed:
		outcome = "crashed"
	case err != nil:
		outcome = "unreachable"
	}
	e.metrics.broken.WithLabelValues(outcome).Add(float64(len(suspects)))
	fields := logrus.Fields{"upstream": u.entry.ID(), "service": u.entry.Service(), "outcome": outcome}
	for _, s := range suspects {
		e.log.WithFields(fields).WithFields(logrus.Fields{
			"request": s.request, "fingerprint": formatFingerprint(s.run.Fingerprint), "in_flight": len(suspects),
			"ran_ms": s.brokeAt.Sub(s.run.Sent).Milliseconds(),
		}).Info("relay: upstream closed the connection of a request without a response.")
	}
	if crashed {
		e.recordCrash(u, suspects)
	}
}

// recordCrash reports a crash of the upstream to this node's tracker and to the other
// nodes.
func (e *Engine) recordCrash(u *upstream, suspects []suspect) {
	var inFlight []poison.Run
	at := suspects[0].brokeAt
	for _, s := range suspects {
		inFlight = append(inFlight, s.run)
		if s.brokeAt.Before(at) {
			at = s.brokeAt
		}
	}
	reports := e.tracker.RecordCrash(u.incarnation(), at, inFlight)
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

// probe opens a connection to the upstream and returns an error if that fails or the
// connection does not stay open. The connection is then available to requests.
func (u *upstream) probe(ctx context.Context) error {
	c, err := u.pool.Open(ctx)
	if err != nil {
		return err
	}
	if tasks.Sleep(ctx, crashConfirmDelay) && !c.Healthy() {
		_ = c.Close()
		if c, err = u.pool.Open(ctx); err != nil {
			return err
		}
	}
	u.pool.Release(c)
	return nil
}

func formatFingerprint(f poison.Fingerprint) string { return fmt.Sprintf("%016x", uint64(f)) }
