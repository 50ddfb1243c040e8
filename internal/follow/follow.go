// Package follow keeps a process up to date with what the platform's store says
// of routes and upstreams. It lists once and then watches; it lists again only
// when the store has forgotten the history in between.
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

// Topic names a kind of object that is followed.
type Topic uint8

// The topics.
const (
	Routes Topic = iota
	Upstreams
)

// String names the topic in logs.
func (t Topic) String() string {
	if t == Routes {
		return "routes"
	}
	return "upstreams"
}

// Event is what the store says: NewRoutes, Seen or Gone.
type Event interface{ event() }

// NewRoutes delivers a snapshot of all routes.
type NewRoutes struct{ Snapshot *vhost.Snapshot }

// UpstreamUpdated delivers an upstream that is new or has changed.
type UpstreamUpdated struct{ Entry fleet.Entry }

// UpstreamRemoved tells that an upstream's entry was removed.
type UpstreamRemoved struct{ ID string }

func (NewRoutes) event()       {}
func (UpstreamUpdated) event() {}
func (UpstreamRemoved) event() {}

// Change is one object that is new, has changed or is gone. Raw is the object as
// the store holds it, so that nodes can pass it on.
type Change struct {
	Name    string `msgpack:"n"`
	Raw     []byte `msgpack:"r,omitempty"`
	Deleted bool   `msgpack:"g,omitempty"`
}

// Batch is a list of changes that leads from the revision From to Revision.
// Whole tells that it is all there is, whatever was known before.
type Batch struct {
	Changes  []Change `msgpack:"c"`
	Full     bool     `msgpack:"w,omitempty"`
	From     uint64   `msgpack:"f"`
	Revision uint64   `msgpack:"v"`
}

// Source reads the store. Its calls return when the context ends.
type Source interface {
	// List reads all objects of a topic.
	List(ctx context.Context, t Topic) (Batch, error)
	// Watch waits for objects above the revision, or for the given time.
	Watch(ctx context.Context, t Topic, revision uint64, wait time.Duration) (Batch, error)
	// Decode tells what a change means. It is false for objects that mean
	// nothing, as those of other writers.
	Decode(t Topic, c Change) (Event, bool)
}

// ErrCompacted tells that the store no longer has the history of a watch.
var ErrCompacted = errors.New("the store has forgotten the history; list again")

// Sink takes what a follower learns. Its methods are called by one goroutine
// for each topic.
type Sink interface {
	// Position tells up to which revision the topic is known.
	Position(t Topic) (revision uint64, known bool)
	// Apply takes a batch.
	Apply(t Topic, b Batch)
	// Answered tells that the store has answered; Lost that it does not.
	Answered(t Topic)
	Failed(t Topic, err error)
	// Paused tells that the store is not called any more for now.
	Paused(t Topic)
}

const (
	// listTimeout bounds a list; the store answers in milliseconds.
	listTimeout = 1500 * time.Millisecond
	// watchWait is how long a watch may wait. A store that discards its
	// history leaves watches waiting that hear nothing; only a new call shows
	// it, and a change must be in force 3 s after it was made.
	watchWait = 1500 * time.Millisecond
	// watchSlack is how much later than asked a watch may return.
	watchSlack = 700 * time.Millisecond
	// firstPause and lastPause bound the delay between tries while the store
	// does not answer.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
	// idlePause is how often a follower that is not active looks whether it
	// has to be.
	idlePause = 200 * time.Millisecond
	// gatherPause lets changes that come together be read with one call.
	// It is a small part of the seconds in which a change must be in force.
	gatherPause = 400 * time.Millisecond
)

// Follower follows one topic.
type Follower struct {
	source   Source
	topic    Topic
	sink     Sink
	log      *logrus.Entry
	gather   time.Duration
	active   func() bool
	relist   bool
	lost     bool
	failures int
	// idle tells that the follower was not active just now.
	idle bool
}

// Option changes a Follower at construction.
type Option func(*Follower)

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Entry) Option { return func(f *Follower) { f.log = log } }

// WithBatchDelay sets how long changes are gathered before the next call. The
// default is 400 ms.
func WithBatchDelay(d time.Duration) Option { return func(f *Follower) { f.gather = d } }

// WithActive sets whether the follower calls the store. The default is always.
func WithActive(active func() bool) Option { return func(f *Follower) { f.active = active } }

// New returns a follower of the topic.
func New(source Source, t Topic, sink Sink, opts ...Option) *Follower {
	f := &Follower{
		source: source, topic: t, sink: sink, gather: gatherPause, active: func() bool { return true },
		log: logrus.NewEntry(logrus.StandardLogger()),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows until the context ends, and returns nil then.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.active() {
			f.pause()
			tasks.Sleep(ctx, idlePause)
			continue
		}
		tasks.Sleep(ctx, f.once(ctx))
	}
	return nil
}

func (f *Follower) pause() {
	if f.idle {
		return
	}
	f.idle = true
	f.sink.Paused(f.topic)
}

// once makes one call and gives the pause before the next.
func (f *Follower) once(ctx context.Context) time.Duration {
	revision, known := f.sink.Position(f.topic)
	batch, err := f.call(ctx, revision, known && !f.relist)
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, ErrCompacted):
		f.log.WithFields(logrus.Fields{"topic": f.topic.String(), "revision": revision}).
			Warn("follow: the store has forgotten the history; listing again.")
		f.relist = true
		return 0
	case err != nil:
		return f.failed(err, revision)
	}
	f.succeeded(revision)
	f.relist = false
	f.sink.Apply(f.topic, batch)
	if len(batch.Changes) > 0 {
		return f.gather
	}
	return 0
}

func (f *Follower) call(ctx context.Context, revision uint64, known bool) (Batch, error) {
	if !known {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return f.source.List(ctx, f.topic)
	}
	wait := watchWait
	if f.lost || f.idle {
		// The first call after a pause shows at once whether the store answers.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return f.source.Watch(ctx, f.topic, revision, wait)
}

func (f *Follower) failed(err error, revision uint64) time.Duration {
	f.failures++
	if !f.lost {
		f.lost = true
		f.log.WithFields(logrus.Fields{"topic": f.topic.String(), "revision": revision, "error": err.Error()}).
			Warn("follow: lost the store.")
	}
	f.sink.Failed(f.topic, err)
	pause := min(firstPause<<min(f.failures-1, 8), lastPause)
	return pause/2 + rand.N(pause)
}

func (f *Follower) succeeded(revision uint64) {
	f.failures, f.idle = 0, false
	f.sink.Answered(f.topic)
	if !f.lost {
		return
	}
	f.lost = false
	f.log.WithFields(logrus.Fields{"topic": f.topic.String(), "revision": revision}).Info("follow: regained the store.")
}
