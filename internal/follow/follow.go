// Package follow keeps a process up to date with the routes, upstreams and evacuations in
// the platform's store. It lists once and then watches; it lists again only when the
// store no longer holds the change history since the last revision.
//
//	f := follow.New(source, follow.Upstreams, sink, follow.WithLog(log))
//	err := f.Run(ctx)
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// Topic is a kind of object that is followed.
type Topic uint8

// The topics.
const (
	Routes Topic = iota
	Upstreams
	Evacuations
)

// TopicCount is the number of topics.
const TopicCount = int(Evacuations) + 1

// String returns the topic's name in logs.
func (t Topic) String() string {
	switch t {
	case Routes:
		return "routes"
	case Upstreams:
		return "upstreams"
	}
	return "evacuations"
}

// Event is a decoded change: NewRoutes, UpstreamUpdated, UpstreamRemoved, EvacuationBegun or
// EvacuationEnded.
type Event interface{ event() }

// NewRoutes carries a snapshot of all routes.
type NewRoutes struct{ Snapshot *vhost.Snapshot }

// UpstreamUpdated carries the entry of an upstream that is new or has changed.
type UpstreamUpdated struct{ Entry fleet.Entry }

// UpstreamRemoved reports that an upstream's entry was deleted.
type UpstreamRemoved struct{ ID string }

// EvacuationBegun reports that the upstreams of a failure domain must get nothing new.
type EvacuationBegun struct{ Domain string }

// EvacuationEnded reports that the upstreams of a failure domain may be used again.
type EvacuationEnded struct{ Domain string }

func (NewRoutes) event()       {}
func (UpstreamUpdated) event() {}
func (UpstreamRemoved) event() {}
func (EvacuationBegun) event() {}
func (EvacuationEnded) event() {}

// Change is one object that was created, updated or deleted. Raw is the object as
// the store holds it, so that nodes can forward it, and Revision the store's own revision
// at which it was written, for logs.
type Change struct {
	Name     string `msgpack:"n"`
	Raw      []byte `msgpack:"r,omitempty"`
	Deleted  bool   `msgpack:"g,omitempty"`
	Revision uint64 `msgpack:"o,omitempty"`
}

// Batch is a list of changes that leads from the revision From to Revision, which are made
// by At. If Full is set, Changes lists all objects of the topic and replaces earlier state.
type Batch struct {
	Changes  []Change `msgpack:"c"`
	Full     bool     `msgpack:"w,omitempty"`
	From     uint64   `msgpack:"f"`
	Revision uint64   `msgpack:"v"`
}

// eraShift is the position of the era in a revision. A store does not reach as many changes
// within an era.
const eraShift = 44

// At returns the revision of a batch from the store's own revision and its era. The store
// counts again from a lower revision when it has been restored from an older copy, which
// begins a new era. The result only rises.
func At(era, revision uint64) uint64 { return era<<eraShift | revision }

// Era returns the era of a revision of At, and the store's own revision.
func Era(at uint64) (era, revision uint64) { return at >> eraShift, at & (1<<eraShift - 1) }

// ownRevision returns the store's own revision, for logs.
func ownRevision(at uint64) uint64 {
	_, revision := Era(at)
	return revision
}

// Source reads the store. Its calls return when the context is done.
type Source interface {
	// List returns all objects of a topic.
	List(ctx context.Context, t Topic) (Batch, error)
	// Watch returns the changes after the revision. It waits up to the given
	// time for one.
	Watch(ctx context.Context, t Topic, revision uint64, wait time.Duration) (Batch, error)
	// Decode decodes a change. It reports false for objects that are not
	// understood, such as those of other writers.
	Decode(t Topic, c Change) (Event, bool)
}

// ErrCompacted reports that the store no longer holds the change history that a
// watch needs, or that it has been restored from an older copy.
var ErrCompacted = errors.New("the store no longer holds the change history; list again")

// Sink receives the results of a follower. Its methods are called by one goroutine
// per topic.
type Sink interface {
	// Position returns the revision of the topic that the sink has. loaded is
	// false before the first full batch.
	Position(t Topic) (revision uint64, loaded bool)
	// Apply applies a batch.
	Apply(t Topic, b Batch)
	// Answered is called when a call to the store succeeds, Failed when it
	// fails. Neither is called for ErrCompacted.
	Answered(t Topic)
	Failed(t Topic, err error)
	// Paused is called when the follower stops calling the store for now.
	Paused(t Topic)
}

const (
	// listTimeout bounds a list; the store answers in milliseconds.
	listTimeout = 1500 * time.Millisecond
	// watchWait is how long a watch waits at the store, less the pause before it. It
	// is short, because after the store has discarded its history pending watches
	// receive no changes and only a new call shows that, while a change must be in
	// force within 3 s.
	watchWait = 1500 * time.Millisecond
	// watchSlack is how much longer than requested a watch may take.
	watchSlack = 700 * time.Millisecond
	// boundMargin is the part of the bound of WithBound that is left for what follows a watch
	// that has ended without its change, because the store has discarded its history: a reply
	// that is late, a slow list, and passTime.
	boundMargin = watchSlack + listTimeout + passTime
	// passTime is how long a reader's change takes to reach a node that has not received it
	// directly: until the next heartbeat, and the call that asks for it.
	passTime = 600 * time.Millisecond
	// minBoundWait and maxBoundWait limit the wait, so that a short bound does not cause
	// calls without a pause, and a long one does not depend on one connection for long.
	minBoundWait = 500 * time.Millisecond
	maxBoundWait = 10 * time.Second
	// minBackoff and maxBackoff bound the delay between attempts while calls
	// to the store fail.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// idlePollInterval is how often an inactive follower checks whether it has
	// become active.
	idlePollInterval = 200 * time.Millisecond
	// defaultBatchDelay lets changes that are made shortly after each other be
	// read with one call. It is a small part of the seconds within which a change
	// must be in force.
	defaultBatchDelay = 400 * time.Millisecond
)

// Follower reads one topic from the store and passes it to a sink.
type Follower struct {
	source     Source
	topic      Topic
	sink       Sink
	log        *logrus.Entry
	batchDelay time.Duration
	// wait is how long a watch waits, less the pause before it, or 0 if the pacer decides.
	wait     time.Duration
	active   func() bool
	pacer    *Pacer
	relist   bool
	failing  bool
	failures int
	// idle is set while the follower is inactive and until the first successful
	// call after that.
	idle bool
	// paused is the pause before the next call after one that succeeded.
	paused time.Duration
}

// Option configures a Follower at construction.
type Option func(*Follower)

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Entry) Option { return func(f *Follower) { f.log = log } }

// WithBatchDelay sets the pause between a call that returned changes and the next
// call. The default is 400 ms.
func WithBatchDelay(d time.Duration) Option { return func(f *Follower) { f.batchDelay = d } }

// WithActive sets a function that reports whether the follower may call the store.
// By default it always may.
func WithActive(active func() bool) Option { return func(f *Follower) { f.active = active } }

// WithPacer sets the pacer that the followers of several topics share. By default each waits
// as long as it may.
func WithPacer(p *Pacer) Option { return func(f *Follower) { f.pacer = p } }

// WithBound sets the time within which a change must be known to all nodes. A watch then waits as
// long as that allows, without the pacer. By default the pacer decides.
func WithBound(bound time.Duration) Option {
	return func(f *Follower) { f.wait = min(max(bound-boundMargin, minBoundWait), maxBoundWait) }
}

// New returns a follower of the topic.
func New(source Source, t Topic, sink Sink, opts ...Option) *Follower {
	f := &Follower{
		source: source, topic: t, sink: sink, batchDelay: defaultBatchDelay, active: func() bool { return true }, pacer: NewPacer(),
		log: logrus.NewEntry(logrus.StandardLogger()),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the topic until the context is done. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.active() {
			f.setIdle()
			tasks.Sleep(ctx, idlePollInterval)
			continue
		}
		tasks.Sleep(ctx, f.poll(ctx))
	}
	return nil
}

// setIdle reports the pause to the sink once per idle period.
func (f *Follower) setIdle() {
	if f.idle {
		return
	}
	f.idle = true
	f.sink.Paused(f.topic)
}

// poll makes one call to the store and returns the delay before the next one.
func (f *Follower) poll(ctx context.Context) time.Duration {
	revision, loaded := f.sink.Position(f.topic)
	batch, err := f.read(ctx, revision, loaded && !f.relist)
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, ErrCompacted):
		f.log.WithFields(logrus.Fields{"topic": f.topic.String(), "revision": ownRevision(revision)}).
			Warn("follow: change history is no longer in the store; listing again.")
		f.relist = true
		return 0
	case err != nil:
		return f.handleFailure(err, revision)
	}
	f.handleSuccess(revision)
	f.relist = false
	f.sink.Apply(f.topic, batch)
	f.paused = 0
	if len(batch.Changes) > 0 {
		f.paused = min(f.batchDelay, watchWait)
	}
	return f.paused
}

// read watches from the revision, or lists the topic if it is not loaded.
func (f *Follower) read(ctx context.Context, revision uint64, loaded bool) (Batch, error) {
	if !loaded {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return f.source.List(ctx, f.topic)
	}
	wait := max(f.wait-f.paused, 0)
	if f.wait == 0 {
		wait = f.pacer.wait(f.topic, f.paused)
	}
	if f.failing || f.idle {
		// A call while the store fails or after an idle period returns at once,
		// which shows without delay whether the store answers.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return f.source.Watch(ctx, f.topic, revision, wait)
}

// handleFailure reports a failed call and returns the backoff with jitter.
func (f *Follower) handleFailure(err error, revision uint64) time.Duration {
	f.failures++
	f.paused = 0
	if !f.failing {
		f.failing = true
		f.log.WithFields(logrus.Fields{"topic": f.topic.String(), "revision": ownRevision(revision), "error": err.Error()}).
			Warn("follow: store is unavailable.")
	}
	f.sink.Failed(f.topic, err)
	pause := min(minBackoff<<min(f.failures-1, 8), maxBackoff)
	return pause/2 + rand.N(pause)
}

func (f *Follower) handleSuccess(revision uint64) {
	f.failures, f.idle = 0, false
	f.sink.Answered(f.topic)
	if !f.failing {
		return
	}
	f.failing = false
	f.log.WithFields(logrus.Fields{"topic": f.topic.String(), "revision": ownRevision(revision)}).Info("follow: store is available again.")
}
