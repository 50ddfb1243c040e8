// Package links runs the monitor of a node's links to the upstreams (pkg/reach): it watches
// connections and answers, opens the connections that the monitor asks for, and tells
// requests in progress when the node is cut off from all upstreams.
//
//	l := links.New(upstreams)
//	conn, err := l.Dial(ctx, id, open) // each connection to an upstream
//	l.Watch()                          // with each send
//	l.Answered(openedAt)               // with each response
//	if l.IsCut() { … }
package links

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

	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/reach"
)

const (
	// SilenceInterval is how long requests to several upstreams may be in flight without
	// an answer of any before the links are in doubt. A response of a healthy upstream in
	// another region takes less.
	SilenceInterval = 150 * time.Millisecond
	// maxAwaitEnd bounds the time that a request waits for the end of a cut.
	maxAwaitEnd = 80 * time.Millisecond
	// confirmCount is the number of other upstreams that are probed at a time to tell a
	// refusal of the upstream from a cut, and that must all be out of reach for a cut.
	// confirmRounds is how often others are probed.
	confirmCount  = 2
	confirmRounds = 4
	// probeTimeout bounds one connection that the monitor asks for.
	probeTimeout = 500 * time.Millisecond
	// sampleSize bounds the upstreams among which those for a probe are chosen.
	sampleSize = 64
)

// Upstream is an upstream as a probe sees it.
type Upstream interface {
	// ID identifies the upstream, and Service is what it serves.
	ID() string
	Service() string
	// Down reports whether its process is known to have ended.
	Down() bool
	// HeardAt returns when the upstream last responded.
	HeardAt() time.Time
	// Probe gets a response of the upstream on a new connection, opened through Dial.
	Probe(ctx context.Context) error
}

// Upstreams are those that the node sends requests to.
type Upstreams interface {
	// Count returns how many are known.
	Count() int
	// Silent returns how many have had requests for at least the time without an answer,
	// and the longest of these times.
	Silent(atLeast time.Duration) (n int, longest time.Duration)
	// Sample returns up to n of those that may be probed, in random order.
	Sample(n int) []Upstream
	// Forget drops what was observed of them during a cut.
	Forget()
}

// Links is what is known of a node's links. It is safe for concurrent use.
type Links struct {
	upstreams Upstreams
	log       *logrus.Entry
	changed   func(cut bool)
	work      context.Context
	stop      context.CancelFunc
	tasks     tasks.Group

	mu      sync.Mutex
	monitor *reach.Monitor
	timer   *time.Timer

	// state is the monitor's, and unsettled whether a new connection changes it.
	state     atomic.Int32
	unsettled atomic.Bool
	// doubtedAt is when the links last came into doubt, cutAt when the last cut began and
	// endedAt when it ended, answeredAt when an upstream last answered, and reachedAt when
	// one last did on a new connection, in nanoseconds since 1970.
	doubtedAt, cutAt, endedAt, answeredAt, reachedAt atomic.Int64
	// confirming makes refusals at the same time share the connections that confirm them.
	confirming sync.Mutex
	// watching is whether a check for silence is due.
	watching atomic.Bool
	// began is closed when the next cut begins, and ended when it ends.
	began, ended atomic.Pointer[chan struct{}]
}

// Option configures Links at construction.
type Option func(*Links)

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Entry) Option { return func(l *Links) { l.log = log } }

// WithChanged sets a function that is called when a cut begins or ends.
func WithChanged(f func(cut bool)) Option { return func(l *Links) { l.changed = f } }

// New returns the links of a node that is connected.
func New(upstreams Upstreams, opts ...Option) *Links {
	l := &Links{upstreams: upstreams, monitor: reach.New(), log: logrus.NewEntry(logrus.StandardLogger()), changed: func(bool) {}}
	l.work, l.stop = context.WithCancel(context.Background())
	began, ended := make(chan struct{}), make(chan struct{})
	l.began.Store(&began)
	l.ended.Store(&ended)
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Close ends all probes and waits for them.
func (l *Links) Close() {
	l.stop()
	l.tasks.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
	}
}

// IsCut reports whether no upstream can be reached on a new connection.
func (l *Links) IsCut() bool { return reach.State(l.state.Load()) == reach.Cut }

// IsSound reports whether nothing puts the links in doubt.
func (l *Links) IsSound() bool { return reach.State(l.state.Load()) == reach.Connected }

// WasCutSince reports whether the node has been cut off at any moment since the time.
func (l *Links) WasCutSince(t time.Time) bool { return l.IsCut() || t.UnixNano() <= l.endedAt.Load() }

// HasLive reports whether connections that were opened before the cut still carry answers.
func (l *Links) HasLive() bool { return l.answeredAt.Load() > l.cutAt.Load() }

// AnsweredAt returns when an upstream last answered.
func (l *Links) AnsweredAt() time.Time { return time.Unix(0, l.answeredAt.Load()) }

// CutSignal returns a channel that is closed when the next cut begins.
func (l *Links) CutSignal() <-chan struct{} { return *l.began.Load() }

// Answered records an answer of an upstream on a connection that was established at the time.
func (l *Links) Answered(openedAt time.Time) {
	now := time.Now().UnixNano()
	l.answeredAt.Store(now)
	if l.unsettled.Load() && openedAt.UnixNano() > l.doubtedAt.Load() {
		l.reachedAt.Store(now)
		l.step(reach.Reached{})
	}
}

// Failed records that a connection to an upstream was closed before the first response.
func (l *Links) Failed(upstream string) { l.step(reach.DialFailed{Upstream: upstream}) }

// Dial opens a connection to an upstream and records a failure.
func (l *Links) Dial(ctx context.Context, upstream string, open func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	conn, err := open(ctx)
	if err != nil && ctx.Err() == nil {
		l.step(reach.DialFailed{Upstream: upstream})
	}
	return conn, err
}

// Watch checks after SilenceInterval whether any upstream has answered. It is called with
// each send.
func (l *Links) Watch() {
	if l.watching.CompareAndSwap(false, true) {
		sent := time.Now()
		time.AfterFunc(SilenceInterval, func() { l.checkSilence(sent) })
	}
}

// checkSilence reports the upstreams without an answer unless one has answered since the
// time, and checks again while requests are in flight.
func (l *Links) checkSilence(since time.Time) {
	l.watching.Store(false)
	if l.work.Err() != nil || l.answeredAt.Load() > since.UnixNano() {
		return
	}
	silent, longest := l.upstreams.Silent(SilenceInterval)
	if silent == 0 {
		return
	}
	l.step(reach.Silent{Upstreams: silent, Known: l.upstreams.Count(), For: min(longest, time.Since(l.AnsweredAt()))})
	l.Watch()
}

// step passes an event to the monitor and executes the resulting actions.
func (l *Links) step(ev reach.Event) {
	l.mu.Lock()
	before := l.monitor.State()
	actions := l.monitor.Step(ev)
	after := l.monitor.State()
	l.state.Store(int32(after))
	doubt := after != reach.Connected || l.monitor.Failing()
	if began := !l.unsettled.Swap(doubt); doubt && (began || before == reach.Connected && after != before) {
		l.doubtedAt.Store(time.Now().UnixNano())
	}
	l.setTimer()
	for _, a := range actions {
		l.apply(a)
	}
	l.mu.Unlock()
	if before != after {
		l.log.WithFields(logrus.Fields{"from": before.String(), "to": after.String(), "event": describe(ev)}).
			Info("links: state of the links to the upstreams has changed.")
	}
}

// describe returns an event as text for the log.
func describe(ev reach.Event) string {
	switch ev.(type) {
	case reach.DialFailed:
		return "connections failed"
	case reach.Silent:
		return "no answers"
	case reach.Reached:
		return "upstream responded"
	case reach.Needed:
		return "request waits"
	case reach.ProbeFailed:
		return "probes failed"
	}
	return "time passed"
}

// setTimer must be called with mu held.
func (l *Links) setTimer() {
	if l.timer != nil {
		l.timer.Stop()
	}
	if at, ok := l.monitor.Wake(); ok && l.work.Err() == nil {
		l.timer = time.AfterFunc(time.Until(at), func() { l.step(reach.Tick{}) })
	}
}

// apply must be called with mu held.
func (l *Links) apply(a reach.Action) {
	switch a := a.(type) {
	case reach.Probe:
		l.probe(l.choose(a.Upstreams, func(string) bool { return false }))
	case reach.Began:
		l.cutAt.Store(time.Now().UnixNano())
		signal(&l.began)
		l.changed(true)
		l.log.Warn("links: no upstream can be reached; requests go by way of other nodes.")
	case reach.Ended:
		l.upstreams.Forget()
		l.endedAt.Store(time.Now().UnixNano())
		signal(&l.ended)
		l.changed(false)
		l.log.WithField("after_ms", a.For.Milliseconds()).Warn("links: upstreams can be reached again.")
	}
}

// Confirm reports whether other upstreams respond on new connections, so that a refusal is
// that of the upstream. With too few others nothing contradicts it.
func (l *Links) Confirm(ctx context.Context, refused string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	since := time.Now().UnixNano()
	l.confirming.Lock()
	defer l.confirming.Unlock()
	if l.reachedAt.Load() > since {
		return true
	}
	tried := map[string]bool{refused: true}
	for range confirmRounds {
		l.mu.Lock()
		others := l.choose(confirmCount, func(id string) bool { return tried[id] })
		l.mu.Unlock()
		if len(others) == 0 {
			break
		}
		for _, u := range others {
			tried[u.ID()] = true
		}
		if l.getAny(ctx, others) {
			return true
		}
	}
	return len(tried)-1 < confirmCount
}

// getAny probes upstreams and reports whether one responds.
func (l *Links) getAny(ctx context.Context, upstreams []Upstream) bool {
	responded := make(chan bool, len(upstreams))
	for _, u := range upstreams {
		if !l.tasks.Go(func() { responded <- l.get(ctx, u) == nil }) {
			return false
		}
	}
	for range upstreams {
		if <-responded {
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

// AwaitEnd looks for the end of the cut for a request that no other node can take, and
// reports whether it has ended within the time.
func (l *Links) AwaitEnd(ctx context.Context, longest time.Duration) bool {
	ended := *l.ended.Load()
	l.step(reach.Needed{})
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(min(longest, maxAwaitEnd)):
	}
	return !l.IsCut()
}

// choose returns up to n upstreams of different services. Those that are not down, and to
// which no connection has failed, come first, and then those that were heard from last: if
// they cannot be reached either, it is not for a fault of theirs. mu must be held.
func (l *Links) choose(n int, excluded func(id string) bool) []Upstream {
	type candidate struct {
		Upstream
		failed bool
		heard  time.Time
	}
	var list []candidate
	for _, u := range l.upstreams.Sample(sampleSize) {
		if excluded(u.ID()) {
			continue
		}
		list = append(list, candidate{u, u.Down() || l.monitor.HasFailed(u.ID()), u.HeardAt()})
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
	var chosen []Upstream
	services := make(map[string]bool)
	for _, c := range list {
		if len(chosen) < n && !services[c.Service()] {
			services[c.Service()] = true
			chosen = append(chosen, c.Upstream)
		}
	}
	return chosen
}

// hasUntried reports whether there are upstreams to which no connection has failed.
func (l *Links) hasUntried() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.upstreams.Sample(sampleSize), func(u Upstream) bool {
		return !u.Down() && !l.monitor.HasFailed(u.ID())
	})
}

// get probes one upstream.
func (l *Links) get(ctx context.Context, u Upstream) error {
	err := u.Probe(ctx)
	if err == nil {
		l.reachedAt.Store(time.Now().UnixNano())
		l.step(reach.Reached{})
	}
	return err
}

// probe probes the upstreams.
func (l *Links) probe(upstreams []Upstream) {
	failed := new(atomic.Int64)
	for _, u := range upstreams {
		l.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(l.work, probeTimeout)
			defer cancel()
			if l.get(ctx, u) == nil {
				return
			}
			l.Failed(u.ID())
			if failed.Add(1) == int64(len(upstreams)) {
				l.step(reach.ProbeFailed{Untried: l.hasUntried()})
			}
		})
	}
}
