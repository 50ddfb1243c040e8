package relay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/pkg/reach"
)

const (
	// silenceInterval is how long requests to several upstreams may be in flight without
	// an answer of any before the links are in doubt. A response of a healthy upstream in
	// another region takes less.
	silenceInterval = 150 * time.Millisecond
	// maxAwaitEnd bounds the time that a request waits for the end of a cut, and
	// awaitEndDivisor is the part of the time left until the target that it waits. A
	// rejection within that leaves the caller time for another node.
	maxAwaitEnd     = 80 * time.Millisecond
	awaitEndDivisor = 8
	// confirmCount is the number of other upstreams that must all be out of reach to put a
	// refused connection down to this node's links.
	confirmCount = 2
	// probeSample bounds the upstreams among which those for a probe are chosen.
	probeSample = 64
	// cutRetryAfter is the Retry-After delay of a request that no known node can serve.
	// Nodes look for the end of a cut more often.
	cutRetryAfter = 500 * time.Millisecond
)

// links runs the monitor of this node's links to the upstreams.
type links struct {
	engine *Engine

	mu      sync.Mutex
	monitor *reach.Monitor
	timer   *time.Timer

	// state is the monitor's, and unsettled whether a new connection changes it.
	state     atomic.Int32
	unsettled atomic.Bool
	// cutAt is when the last cut began and endedAt when it ended, answeredAt when an upstream last answered,
	// and openedAt when a connection was last established, in nanoseconds since 1970.
	cutAt, endedAt, answeredAt, openedAt atomic.Int64
	// confirming makes refusals at the same time share the connections that confirm them.
	confirming sync.Mutex
	// watching is whether a check for silence is due.
	watching atomic.Bool
	// began is closed when the next cut begins, and ended when it ends.
	began, ended atomic.Pointer[chan struct{}]
}

func newLinks(e *Engine) *links {
	l := &links{engine: e, monitor: reach.New()}
	began, ended := make(chan struct{}), make(chan struct{})
	l.began.Store(&began)
	l.ended.Store(&ended)
	return l
}

// isCut reports whether no upstream can be reached on a new connection.
func (l *links) isCut() bool { return reach.State(l.state.Load()) == reach.Cut }

// isSound reports whether nothing puts the links in doubt.
func (l *links) isSound() bool { return reach.State(l.state.Load()) == reach.Connected }

// wasCutSince reports whether the node has been cut off at any moment since the time.
func (l *links) wasCutSince(t time.Time) bool { return l.isCut() || t.UnixNano() <= l.endedAt.Load() }

// hasLive reports whether connections that were opened before the cut still carry answers.
func (l *links) hasLive() bool { return l.answeredAt.Load() > l.cutAt.Load() }

// cutSignal returns a channel that is closed when the next cut begins.
func (l *links) cutSignal() <-chan struct{} { return *l.began.Load() }

// answered records an answer of an upstream.
func (l *links) answered(now time.Time) { l.answeredAt.Store(now.UnixNano()) }

// dial opens a connection to an upstream and records the outcome.
func (l *links) dial(ctx context.Context, addr, upstream string) (net.Conn, error) {
	conn, err := l.engine.dial(ctx, addr)
	switch {
	case err == nil:
		l.openedAt.Store(time.Now().UnixNano())
		if l.unsettled.Load() {
			l.step(reach.Opened{})
		}
	case ctx.Err() == nil:
		l.step(reach.DialFailed{Upstream: upstream})
	}
	return conn, err
}

// watch checks after silenceInterval whether any upstream has answered. It is called with
// each send.
func (l *links) watch() {
	if l.watching.CompareAndSwap(false, true) {
		sent := time.Now()
		time.AfterFunc(silenceInterval, func() { l.checkSilence(sent) })
	}
}

// checkSilence reports the upstreams without an answer unless one has answered since the
// time, and checks again while requests are in flight.
func (l *links) checkSilence(since time.Time) {
	l.watching.Store(false)
	if l.engine.baseCtx.Err() != nil || l.answeredAt.Load() > since.UnixNano() {
		return
	}
	now := time.Now()
	silent, longest := 0, time.Duration(0)
	known := l.engine.upstreams.Load().byID
	for _, u := range known {
		if waited := u.stats.Waiting(now); waited >= silenceInterval {
			silent++
			longest = max(longest, waited)
		}
	}
	if silent == 0 {
		return
	}
	l.step(reach.Silent{Upstreams: silent, Known: len(known), For: min(longest, now.Sub(time.Unix(0, l.answeredAt.Load())))})
	l.watch()
}

// step passes an event to the monitor and executes the resulting actions.
func (l *links) step(ev reach.Event) {
	l.mu.Lock()
	before := l.monitor.State()
	actions := l.monitor.Step(ev)
	after := l.monitor.State()
	l.state.Store(int32(after))
	l.unsettled.Store(after != reach.Connected || l.monitor.Failing())
	l.setTimer()
	for _, a := range actions {
		l.apply(a)
	}
	l.mu.Unlock()
	if before != after {
		l.engine.log.WithFields(logrus.Fields{"from": before.String(), "to": after.String(), "event": describe(ev)}).
			Info("relay: state of the links to the upstreams has changed.")
	}
}

// describe returns an event as text for the log.
func describe(ev reach.Event) string {
	switch ev.(type) {
	case reach.DialFailed:
		return "connections failed"
	case reach.Silent:
		return "no answers"
	case reach.Opened:
		return "connection opened"
	case reach.Needed:
		return "request waits"
	case reach.ProbeFailed:
		return "probes failed"
	}
	return "time passed"
}

// setTimer must be called with mu held.
func (l *links) setTimer() {
	if l.timer != nil {
		l.timer.Stop()
	}
	if at, ok := l.monitor.Wake(); ok && l.engine.baseCtx.Err() == nil {
		l.timer = time.AfterFunc(time.Until(at), func() { l.step(reach.Tick{}) })
	}
}

// apply must be called with mu held.
func (l *links) apply(a reach.Action) {
	switch a := a.(type) {
	case reach.Probe:
		l.probe(l.chooseProbes(a.Upstreams))
	case reach.Began:
		l.cutAt.Store(time.Now().UnixNano())
		signal(&l.began)
		l.engine.metrics.cut.Set(1)
		l.engine.log.Warn("relay: no upstream can be reached; requests go by way of other nodes.")
	case reach.Ended:
		for _, u := range l.engine.upstreams.Load().byID {
			u.stats.Forget()
			u.down.clear()
		}
		l.endedAt.Store(time.Now().UnixNano())
		signal(&l.ended)
		l.engine.metrics.cut.Set(0)
		l.engine.log.WithField("after_ms", a.For.Milliseconds()).Warn("relay: upstreams can be reached again.")
	}
}

// confirm reports whether new connections to other upstreams are established, so that a
// refusal is that of the upstream. With too few others nothing contradicts it.
func (l *links) confirm(ctx context.Context, refused *upstream) bool {
	since := time.Now().UnixNano()
	l.confirming.Lock()
	defer l.confirming.Unlock()
	if l.openedAt.Load() > since {
		return true
	}
	l.mu.Lock()
	others := l.chooseProbes(confirmCount + 1)
	l.mu.Unlock()
	others = slices.DeleteFunc(others, func(u *upstream) bool { return u == refused })
	if len(others) < confirmCount {
		return true
	}
	opened := make(chan bool, len(others))
	for _, u := range others {
		if !l.engine.tasks.Go(func() {
			c, err := u.pool.Open(ctx)
			if err == nil {
				u.pool.Release(c)
			}
			opened <- err == nil
		}) {
			return false
		}
	}
	for range others {
		if <-opened {
			return true
		}
	}
	return false
}

// signal closes the channel and puts a new one in its place.
func signal(c *atomic.Pointer[chan struct{}]) {
	next := make(chan struct{})
	close(*c.Swap(&next))
}

// awaitEnd looks for the end of the cut for a request that no other node can take, and
// reports whether it has ended within the time.
func (l *links) awaitEnd(ctx context.Context, longest time.Duration) bool {
	ended := *l.ended.Load()
	l.step(reach.Needed{})
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(min(longest, maxAwaitEnd)):
	}
	return !l.isCut()
}

// chooseProbes returns up to n upstreams of different services. Those that no connection
// has failed to come first, and then those that were heard from last: if they cannot be
// reached either, it is not for a fault of theirs. mu must be held.
func (l *links) chooseProbes(n int) []*upstream {
	type candidate struct {
		u      *upstream
		failed bool
		heard  time.Time
	}
	var list []candidate
	for _, u := range l.engine.upstreams.Load().byID { // in random order
		list = append(list, candidate{u, l.monitor.HasFailed(u.entry.ID()), u.crash.watch.SilentSince(time.Time{})})
		if len(list) == probeSample {
			break
		}
	}
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	slices.SortStableFunc(list, func(a, b candidate) int {
		if a.failed != b.failed {
			if a.failed {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.heard.UnixNano(), a.heard.UnixNano())
	})
	var chosen []*upstream
	services := make(map[string]bool)
	for _, c := range list {
		if len(chosen) < n && !services[c.u.entry.Service()] {
			services[c.u.entry.Service()] = true
			chosen = append(chosen, c.u)
		}
	}
	return chosen
}

// probe opens connections to the upstreams. Requests can use those that are established.
func (l *links) probe(upstreams []*upstream) {
	failed := new(atomic.Int64)
	for _, u := range upstreams {
		l.engine.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(l.engine.baseCtx, probeTimeout)
			defer cancel()
			c, err := u.pool.Open(ctx)
			if err == nil {
				u.pool.Release(c)
				return
			}
			if failed.Add(1) == int64(len(upstreams)) {
				l.step(reach.ProbeFailed{})
			}
		})
	}
}

// dialerOf returns the dialer for the connections to an upstream.
func (e *Engine) dialerOf(upstream string) link.Dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) { return e.links.dial(ctx, addr, upstream) }
}
