// Package crash decides whether the process of an upstream has ended under the requests
// that it was sent. A closed connection or a missing response alone shows nothing: the
// upstream may have lost one response, or may be slow, paused or cut off.
//
// A Watch is the state machine of one incarnation of an upstream. It performs no I/O:
//
//	w := crash.New(succeeded, connected)
//	actions := w.Step(crash.Broke{Run: run})
//	at, ok := w.Wake() // when to send the next crash.Tick
//
// It asks for probes, and concludes from their results: a refused connection or another
// instance at the address proves the end of the process. An upstream of which nothing is
// heard, in probes or otherwise, is presumed to have ended. A presumption is withdrawn
// when the upstream responds again.
package crash

import (
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/pkg/poison"
)

//go:generate go tool stringer -type Result -linecomment -output enums_string.go

const (
	// checkDelay is the time between a broken connection and the first probe. Other
	// legs of a harmless search usually answer within it, and then none is needed.
	checkDelay = 20 * time.Millisecond
	// probeInterval is the time between a failed probe and the next one.
	probeInterval = 250 * time.Millisecond
	// minSilence is how long nothing must have been heard of an upstream, and
	// minFailures how many probes must have failed, before its end is presumed. It
	// is longer than the pauses of healthy upstreams.
	minSilence  = 600 * time.Millisecond
	minFailures = 2
	// maxCheck bounds a check without result, as when this node is cut off.
	maxCheck = 8 * time.Second
	// canceledRetention is how long after its cancellation an attempt remains a
	// suspect. An upstream may have begun to run it before it noticed the closed
	// connection.
	canceledRetention = 500 * time.Millisecond
	// minReviewInterval and maxReviewInterval bound the time between probes of an
	// upstream that is presumed to have ended. It doubles. maxReview bounds them all.
	minReviewInterval = time.Second
	maxReviewInterval = 4 * time.Second
	maxReview         = time.Minute
	// withdrawDelay is the time from a response of an upstream that was presumed to
	// have ended to the withdrawal. A process that has started again at the address
	// is registered within it.
	withdrawDelay = 2 * time.Second
)

// SilentAfter is how long an attempt is without a response, and its upstream without any
// other, before the attempt is reported as Unanswered.
const SilentAfter = time.Second

// SuspectSilentAfter is SilentAfter for a request that is suspected of crashing upstreams.
const SuspectSilentAfter = 300 * time.Millisecond

// Result is the result of a probe.
type Result uint8

// The results of a probe.
const (
	// Responded means that the upstream's process responded.
	Responded Result = iota // alive
	// Refused means that nothing listens at the address.
	Refused // refused
	// Replaced means that another instance uses the address.
	Replaced // replaced
	// Closed means that the connection was accepted and closed without a response.
	Closed // closed
	// Silent means that there was no response in time.
	Silent // silent
	// Inconclusive means that this node could not reach other upstreams either, so that
	// the probe shows nothing.
	Inconclusive // inconclusive
)

// Run is an attempt that ended, or is still in flight, without a response.
type Run struct {
	Fingerprint poison.Fingerprint
	Request     string
	Sent        time.Time
	// Ended is when its connection broke, it was canceled or it was found
	// unanswered.
	Ended time.Time
	// Canceled reports that this node canceled it, so that the upstream may not
	// have run it.
	Canceled bool
	// Spread and Content are those of poison.Run.
	Spread  bool
	Content poison.Fingerprint
}

// Event is an input of Step. Only Probed and Tick result in actions.
type Event interface{ event() }

// Broke reports that the upstream closed the connection of an attempt without a response.
type Broke struct{ Run Run }

// Unanswered reports that an attempt, and everything else sent to the upstream, has had
// no response for SilentAfter.
type Unanswered struct{ Run Run }

// Canceled reports that this node canceled an attempt that had been sent.
type Canceled struct{ Run Run }

// DialRefused reports that a connection for another attempt was refused.
type DialRefused struct{}

// Left reports that the registry has removed the upstream. Restarted is set if it lists
// another incarnation instead.
type Left struct{ Restarted bool }

// Probed reports the result of the probe that the last Probe action asked for.
type Probed struct{ Result Result }

// Tick reports that the time returned by Wake has passed.
type Tick struct{}

func (Broke) event()       {}
func (Unanswered) event()  {}
func (Canceled) event()    {}
func (DialRefused) event() {}
func (Left) event()        {}
func (Probed) event()      {}
func (Tick) event()        {}

// Action is an output of Step: Probe, Doubted, Ended, Cleared or Withdrawn.
type Action interface{ action() }

// Probe asks for a probe of the upstream.
type Probe struct{}

// Doubted reports that the first probe has failed, so that the process may have ended
// under the runs.
type Doubted struct{ Runs []Run }

// Ended reports that the process has ended under the runs. If Presumed is set, this is
// concluded from silence alone.
type Ended struct {
	Runs     []Run
	Presumed bool
}

// Cleared reports that the process has not ended under the runs, or that nothing shows it.
type Cleared struct{ Runs []Run }

// Withdrawn reports that an end that was presumed did not happen.
type Withdrawn struct{}

func (Probe) action()     {}
func (Doubted) action()   {}
func (Ended) action()     {}
func (Cleared) action()   {}
func (Withdrawn) action() {}

// Watch is the state of one incarnation of an upstream. Only Heard is safe for concurrent
// use with the other methods.
type Watch struct {
	// succeeded reports whether an equal request has completed elsewhere since the
	// run was sent. connected reports whether this node has heard of anything else
	// since a time.
	succeeded func(Run) bool
	connected func(since time.Time) bool
	// heardAt is when the upstream last responded, in nanoseconds since 1970.
	heardAt atomic.Int64

	// runs are the suspects and canceled the attempts that were canceled recently,
	// the oldest first.
	runs     []Run
	canceled []Run
	// since is the begin of the check in progress, or zero. nextProbe is when the
	// next probe is due, or zero while one is in progress or none is needed.
	since     time.Time
	nextProbe time.Time
	failures  int

	// presumedAt is when the end was presumed, or zero.
	presumedAt time.Time
	review     time.Duration
	withdrawAt time.Time
	// left and restarted are set by Left.
	left, restarted bool
}

// New returns the watch of an upstream.
func New(succeeded func(Run) bool, connected func(since time.Time) bool) *Watch {
	return &Watch{succeeded: succeeded, connected: connected}
}

// Heard records that the upstream has responded.
func (w *Watch) Heard(now time.Time) { w.heardAt.Store(now.UnixNano()) }

// SilentSince returns the later of the given time and the last response.
func (w *Watch) SilentSince(t time.Time) time.Time {
	if heard := time.Unix(0, w.heardAt.Load()); heard.After(t) {
		return heard
	}
	return t
}

// Step applies one event and returns the resulting actions.
func (w *Watch) Step(ev Event) []Action {
	now := time.Now()
	w.dropCanceled(now)
	switch ev := ev.(type) {
	case Broke:
		w.runs = append(w.runs, ev.Run)
		w.begin(now, now.Add(checkDelay))
	case Unanswered:
		if w.presumedAt.IsZero() {
			w.runs = append(w.runs, ev.Run)
			w.begin(now, now)
		}
	case Canceled:
		w.canceled = append(w.canceled, ev.Run)
	case DialRefused:
		if len(w.canceled) > 0 {
			w.begin(now, now.Add(checkDelay))
		}
	case Left:
		w.left, w.restarted = true, ev.Restarted
		w.endReview()
	case Probed:
		return w.handleProbed(ev.Result, now)
	case Tick:
		return w.advance(now)
	}
	return nil
}

// begin starts a check unless one is in progress.
func (w *Watch) begin(now, probeAt time.Time) {
	if w.since.IsZero() {
		w.since, w.nextProbe, w.failures = now, probeAt, 0
	}
}

func (w *Watch) dropCanceled(now time.Time) {
	for len(w.canceled) > 0 && now.Sub(w.canceled[0].Ended) > canceledRetention {
		w.canceled = w.canceled[1:]
	}
}

// advance starts the probe that is due, and withdraws a presumption that was wrong.
func (w *Watch) advance(now time.Time) []Action {
	if !w.withdrawAt.IsZero() && !now.Before(w.withdrawAt) {
		w.endReview()
		return []Action{Withdrawn{}}
	}
	if w.nextProbe.IsZero() || now.Before(w.nextProbe) {
		return nil
	}
	if !w.presumedAt.IsZero() && w.since.IsZero() {
		return w.reviewPresumption(now)
	}
	if w.dropSucceeded(); len(w.runs)+len(w.canceled) == 0 {
		w.endCheck()
		return nil
	}
	if w.restarted {
		return w.conclude(now, false)
	}
	w.nextProbe = time.Time{}
	return []Action{Probe{}}
}

// dropSucceeded drops the runs of requests that have completed elsewhere.
func (w *Watch) dropSucceeded() {
	kept := w.runs[:0]
	for _, r := range w.runs {
		if !w.succeeded(r) {
			kept = append(kept, r)
		}
	}
	w.runs = kept
}

func (w *Watch) handleProbed(result Result, now time.Time) []Action {
	if result == Responded {
		w.Heard(now)
	}
	if w.since.IsZero() {
		return w.handleReview(result, now)
	}
	heard := time.Unix(0, w.heardAt.Load()).After(w.since.Add(checkDelay))
	switch {
	case result == Refused, result == Replaced, w.restarted:
		return w.conclude(now, false)
	case result == Responded, heard:
		return w.clear()
	}
	if result != Inconclusive {
		w.failures++
	}
	if w.failures >= minFailures && now.Sub(w.since) >= minSilence && w.connected(w.since) {
		return w.conclude(now, true)
	}
	if now.Sub(w.since) > maxCheck {
		return w.clear()
	}
	w.nextProbe = now.Add(probeInterval)
	if w.failures == 1 && result != Inconclusive && len(w.runs) > 0 {
		return []Action{Doubted{Runs: w.runs}}
	}
	return nil
}

// clear ends the check without a crash.
func (w *Watch) clear() []Action {
	runs := w.runs
	w.endCheck()
	if len(runs) == 0 {
		return nil
	}
	return []Action{Cleared{Runs: runs}}
}

// conclude ends the check with the result that the process has ended.
func (w *Watch) conclude(now time.Time, presumed bool) []Action {
	w.dropSucceeded()
	runs := append(w.runs, w.canceled...)
	w.endCheck()
	w.canceled = nil
	if presumed && !w.left {
		w.presumedAt, w.review = now, minReviewInterval
		w.nextProbe = now.Add(w.review)
	}
	if len(runs) == 0 {
		return nil
	}
	return []Action{Ended{Runs: runs, Presumed: presumed}}
}

// endCheck ends the check in progress. A review of a presumption goes on.
func (w *Watch) endCheck() {
	w.runs, w.since, w.nextProbe, w.failures = nil, time.Time{}, time.Time{}, 0
	if !w.presumedAt.IsZero() && w.withdrawAt.IsZero() {
		w.nextProbe = time.Now().Add(w.review)
	}
}

// reviewPresumption probes an upstream that is presumed to have ended, unless it has
// responded meanwhile.
func (w *Watch) reviewPresumption(now time.Time) []Action {
	w.nextProbe = time.Time{}
	if time.Unix(0, w.heardAt.Load()).After(w.presumedAt) {
		w.withdrawAt = now.Add(withdrawDelay)
		return nil
	}
	return []Action{Probe{}}
}

func (w *Watch) handleReview(result Result, now time.Time) []Action {
	switch {
	case result == Responded:
		w.withdrawAt = now.Add(withdrawDelay)
	case result == Refused, result == Replaced, now.Sub(w.presumedAt) > maxReview:
		w.endReview()
	default:
		w.review = min(2*w.review, maxReviewInterval)
		w.nextProbe = now.Add(w.review)
	}
	return nil
}

func (w *Watch) endReview() {
	w.presumedAt, w.withdrawAt = time.Time{}, time.Time{}
	if w.since.IsZero() {
		w.nextProbe = time.Time{}
	}
}

// Wake returns when the next Tick is due; ok is false when none is.
func (w *Watch) Wake() (at time.Time, ok bool) {
	for _, t := range []time.Time{w.nextProbe, w.withdrawAt} {
		if !t.IsZero() && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}
