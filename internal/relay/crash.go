package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// suspect is an attempt that was in flight when its connection broke.
type suspect struct {
	fingerprint poison.Fingerprint
	request     string
	sentAt      time.Time
	brokeAt     time.Time
}

// crashCheck collects the suspects of one upstream until it is known whether the
// upstream has crashed.
type crashCheck struct {
	mu       sync.Mutex
	suspects []suspect
	running  bool
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
	list := c.suspects
	c.suspects = nil
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
	if !u.crash.add(s) {
		return
	}
	e.tasks.Go(func() {
		for tasks.Sleep(e.baseCtx, crashCheckDelay) {
			suspects := u.crash.take()
			if len(suspects) == 0 {
				return
			}
			e.checkCrash(u, suspects)
		}
	})
}

// checkCrash connects to the upstream to find out whether it still listens.
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
			"request": s.request, "fingerprint": formatFingerprint(s.fingerprint), "in_flight": len(suspects),
			"ran_ms": s.brokeAt.Sub(s.sentAt).Milliseconds(),
		}).Info("relay: upstream closed the connection of a request without a response.")
	}
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
