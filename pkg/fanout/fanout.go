package fanout

import "time"

const (
	// attemptsPerLeg bounds the sends of a leg and is the radix of attempt
	// numbers: leg*attemptsPerLeg + a counter.
	attemptsPerLeg = 8
	// retryInterval is how long a leg without an upstream, or with a denied
	// hedge, waits before the next try. It is short compared with any latency
	// target in use.
	retryInterval = 40 * time.Millisecond
	// hedgeInterval is how often a hedge that waits for an answer to another leg is
	// reconsidered.
	hedgeInterval = 5 * time.Millisecond
	// lateMargin is added to the expected latency of another upstream when the
	// latest useful time for a hedge is computed.
	lateMargin = 10 * time.Millisecond
)

// Fanout is the state of one request. It is not safe for concurrent use.
type Fanout struct {
	plan     Plan
	deps     Deps
	legs     []leg
	answered int
	openLegs int
	done     bool
	actions  []Action
	doubt    doubt
	// holding reports whether any leg may be held, and hedged whether a leg has been
	// hedged.
	holding, hedged bool
	// halfTime is the middle between the start and the soft deadline.
	halfTime time.Time
	// canaries are the legs that may still be sent as a canary. secondCanary is when
	// another one is sent beside one without a result, or zero.
	canaries     []int
	secondCanary time.Time
	// tooRisky reports that a leg was no canary because of the risk to its service.
	tooRisky bool
}

// leg is the state of the request to one service.
type leg struct {
	state    legState
	inFlight []attempt
	// tried lists the upstreams that were chosen, reached counts those that
	// may have received the leg, and sends counts all attempts.
	tried   []Upstream
	reached int
	sends   int
	// hedgeAt is when a hedge is due, and hedgeReason why.
	hedgeAt     time.Time
	hedgeReason Reason
	retryAt     time.Time
	// sent reports whether an attempt may have reached an upstream.
	sent bool
	// held reports whether the leg waits until it may be sent, and down that it waits
	// for an upstream of a service of which all have ended.
	held, down bool
}

type legState uint8

const (
	legOpen legState = iota
	legAnswered
	legFailed
)

// attempt is one send in flight.
type attempt struct {
	number       int
	maxUpstreams int
}

// New returns the state of a request, which Step(Start{}) begins.
func New(plan Plan, deps Deps) *Fanout {
	return &Fanout{
		plan: plan, deps: deps, legs: make([]leg, len(plan.Services)), openLegs: len(plan.Services),
		doubt:    doubt{active: plan.Cautious || len(plan.Canaries) > 0},
		canaries: plan.Canaries, secondCanary: plan.SecondCanary,
	}
}

// Leg returns the leg that an attempt belongs to.
func Leg(attempt int) int { return attempt / attemptsPerLeg }

// Answered returns the number of legs that have answered.
func (f *Fanout) Answered() int { return f.answered }

// Reached returns the number of upstreams that the leg may have reached.
func (f *Fanout) Reached(leg int) int { return f.legs[leg].reached }

// HedgeAt returns when the next hedge of the leg was due, or the zero time if none was.
func (f *Fanout) HedgeAt(leg int) time.Time { return f.legs[leg].hedgeAt }

// Status returns how the leg ended, or what it waits for.
func (f *Fanout) Status(leg int) Status {
	l := &f.legs[leg]
	switch {
	case l.state == legAnswered:
		return StatusAnswered
	case l.state == legFailed:
		return StatusFailed
	case len(l.inFlight) > 0:
		return StatusInFlight
	case l.held:
		return StatusHeld
	}
	return StatusWaiting
}

// withhold reports that an attempt of the leg is due and not sent.
func (f *Fanout) withhold(leg int, reason Reason, o Obstacle) {
	if f.plan.Trace {
		f.actions = append(f.actions, Withheld{Leg: leg, Reason: reason, Obstacle: o})
	}
}

// InDoubt reports whether upstreams closed connections without a response and none has
// run the request to its end.
func (f *Fanout) InDoubt() bool { return f.doubt.active && (f.doubt.broken || f.plan.Cautious) }

// Unproven reports whether the request waited for an upstream to run it to its end, and
// none has.
func (f *Fanout) Unproven() bool { return f.doubt.active }

// Step applies one event and returns the actions that the caller must perform.
// The slice is valid until the next call.
func (f *Fanout) Step(ev Event) []Action {
	f.actions = f.actions[:0]
	if f.done {
		return f.actions
	}
	now := time.Now()
	f.doubt.updatePause(now, f.deps.NextTrial())
	switch ev := ev.(type) {
	case Start:
		f.start(now)
	case Answered:
		f.doubt.resolve()
		f.handleAnswered(ev.Attempt)
	case Failed:
		f.doubt.failed(ev, f.answered, now)
		f.handleFailed(ev, now)
	case Stalled:
		f.handleStalled(ev.Attempt, now)
	case Shorten:
		f.plan.Deadline = earlier(f.plan.Deadline, ev.Deadline)
		f.plan.SoftDeadline = earlier(f.plan.SoftDeadline, ev.Deadline)
	case Tick:
		f.tickCanary(now)
		for i := range f.legs {
			f.tickLeg(i, now)
		}
	}
	f.releaseHeld(now)
	f.finishIfDone(now)
	return f.actions
}

// start sends the legs, the leader first, or the canary alone.
func (f *Fanout) start(now time.Time) {
	f.halfTime = now.Add(f.plan.SoftDeadline.Sub(now) / 2)
	f.startCanary(now)
	if f.plan.Lead > 0 && len(f.legs) > 1 {
		f.startLeg(f.plan.Leader, now)
		if f.legs[f.plan.Leader].sends > 0 {
			f.doubt.lead(now.Add(f.plan.Lead))
		}
	}
	for i := range f.legs {
		if f.legs[i].sends == 0 && f.legs[i].state == legOpen {
			f.startLeg(i, now)
		}
	}
}

// startLeg sends the first attempt of a leg.
func (f *Fanout) startLeg(i int, now time.Time) {
	if !f.maySend() || !f.mayTry(i) {
		f.hold(i)
		return
	}
	u, ok := f.deps.Pick(f.plan.Services[i], nil)
	if !ok {
		f.await(i, now)
		return
	}
	if f.plan.Repeat && !f.deps.SpendNeeded(f.plan.Services[i]) {
		f.failLeg(i)
		return
	}
	f.send(i, u, ReasonFirst, now)
}

func (f *Fanout) send(i int, u Upstream, reason Reason, now time.Time) {
	l := &f.legs[i]
	n := i*attemptsPerLeg + l.sends
	maxUpstreams := f.deps.MaxUpstreams(u)
	l.sends++
	l.reached += maxUpstreams
	l.inFlight = append(l.inFlight, attempt{number: n, maxUpstreams: maxUpstreams})
	l.tried = append(l.tried, u)
	l.retryAt = time.Time{}
	l.hedgeAt = time.Time{}
	l.held, l.down = false, false
	f.doubt.sent(n)
	if f.plan.Idempotent && f.canSendMore(l) {
		f.scheduleHedge(i, now.Add(f.deps.HedgeAfter(u)), now)
	}
	f.actions = append(f.actions, Send{Attempt: n, Leg: i, Upstream: u, Reason: reason})
}

func (f *Fanout) canSendMore(l *leg) bool {
	return l.sends < attemptsPerLeg && l.reached < f.plan.MaxAttempts
}

func (f *Fanout) handleAnswered(n int) {
	l := &f.legs[Leg(n)]
	if l.state != legOpen {
		return
	}
	l.state = legAnswered
	f.answered++
	f.openLegs--
	for _, a := range l.inFlight {
		if a.number != n {
			f.actions = append(f.actions, Cancel{Attempt: a.number})
		}
	}
	l.inFlight = nil
}

func (f *Fanout) handleFailed(ev Failed, now time.Time) {
	i := Leg(ev.Attempt)
	l := &f.legs[i]
	a, ok := l.remove(ev.Attempt)
	if !ok || l.state != legOpen {
		return
	}
	l.sent = l.sent || !ev.Unsent
	if !f.plan.Idempotent && !ev.NotRun {
		f.failLeg(i)
		return
	}
	if ev.Unsent {
		l.reached -= a.maxUpstreams
	} else {
		l.reached -= min(max(ev.Unreached, 0), a.maxUpstreams-1)
	}
	switch {
	case len(l.inFlight) == 0:
		l.hedgeAt = time.Time{}
		f.retry(i, now)
	case ev.Withdrawn:
		f.replaceWithdrawn(i, now)
	}
}

// replaceWithdrawn sends a leg to another upstream in place of an attempt that was withdrawn while
// a further one is in flight. The budget has paid for both.
func (f *Fanout) replaceWithdrawn(i int, now time.Time) {
	l := &f.legs[i]
	if !f.canSendMore(l) || !f.maySend() || !f.mayTry(i) {
		return
	}
	if u, ok := f.deps.Pick(f.plan.Services[i], l.tried); ok {
		f.send(i, u, ReasonHedge, now)
		return
	}
	f.scheduleHedge(i, now.Add(retryInterval), now)
}

// handleStalled hedges the leg of the attempt, unless another attempt of it is in flight.
func (f *Fanout) handleStalled(n int, now time.Time) {
	i := Leg(n)
	l := &f.legs[i]
	if l.state != legOpen || !f.plan.Idempotent || !f.canSendMore(l) || len(l.inFlight) != 1 || l.inFlight[0].number != n {
		return
	}
	l.hedgeAt, l.hedgeReason = now, ReasonPause
	f.hedge(i, now)
}

// retry sends a leg whose attempts have all failed to another upstream.
func (f *Fanout) retry(i int, now time.Time) {
	l := &f.legs[i]
	if !f.canSendMore(l) {
		f.failLeg(i)
		return
	}
	if !f.maySend() || !f.mayTry(i) {
		f.hold(i)
		return
	}
	u, ok := f.deps.Pick(f.plan.Services[i], l.tried)
	if !ok {
		f.waitOrFail(i, now)
		return
	}
	if l.sent && !f.deps.SpendNeeded(f.plan.Services[i]) {
		f.withhold(i, ReasonRetry, ObstacleBudget)
		f.failLeg(i)
		return
	}
	f.send(i, u, ReasonRetry, now)
}

// waitOrFail handles a leg without an upstream to pick. One that was never sent
// waits until any is available, one that was sent has tried all of them and fails.
func (f *Fanout) waitOrFail(i int, now time.Time) {
	f.withhold(i, ReasonRetry, ObstacleUpstream)
	if l := &f.legs[i]; !l.sent {
		l.tried = nil
		f.await(i, now)
		return
	}
	f.failLeg(i)
}

// await makes a leg that was never sent wait until an upstream is available, or fails it if
// none will be in time.
func (f *Fanout) await(i int, now time.Time) {
	wait, ok := f.deps.AvailableIn(f.plan.Services[i])
	if !ok {
		f.failLeg(i)
		return
	}
	f.legs[i].down = f.deps.Down(f.plan.Services[i])
	f.legs[i].retryAt = now.Add(max(wait, retryInterval))
}

func (f *Fanout) failLeg(i int) {
	if f.legs[i].state == legOpen {
		f.legs[i].state = legFailed
		f.legs[i].held = false
		f.openLegs--
	}
}

func (f *Fanout) tickLeg(i int, now time.Time) {
	l := &f.legs[i]
	if l.state != legOpen {
		return
	}
	if !l.retryAt.IsZero() && !now.Before(l.retryAt) {
		l.retryAt = time.Time{}
		f.retry(i, now)
		return
	}
	if len(l.inFlight) > 0 && !l.hedgeAt.IsZero() && !now.Before(l.hedgeAt) {
		f.hedge(i, now)
	}
}

// scheduleHedge sets when the leg is due for a hedge: at the given time, or
// earlier if that is the latest time at which another upstream could still answer
// before the soft deadline.
func (f *Fanout) scheduleHedge(i int, at, now time.Time) {
	l := &f.legs[i]
	l.hedgeAt, l.hedgeReason = at, ReasonHedge
	expected, ok := f.deps.ExpectedLatency(f.plan.Services[i], l.tried)
	if !ok {
		return
	}
	if last := f.plan.SoftDeadline.Add(-expected - lateMargin); last.Before(at) && last.After(now) {
		l.hedgeAt, l.hedgeReason = last, ReasonLate
	}
}

func (f *Fanout) hedge(i int, now time.Time) {
	l := &f.legs[i]
	service := f.plan.Services[i]
	u, ok := f.deps.Pick(service, l.tried)
	if ok && f.mustAwaitHedge(now) {
		f.withhold(i, l.hedgeReason, ObstacleUnproven)
		l.hedgeAt = now.Add(hedgeInterval)
		return
	}
	if o, blocked := f.hedgeObstacle(i, u, ok); blocked {
		f.withhold(i, l.hedgeReason, o)
		f.scheduleHedge(i, now.Add(retryInterval), now)
		return
	}
	f.hedged = true
	f.send(i, u, l.hedgeReason, now)
}

// hedgeObstacle returns why the hedge of a leg cannot be sent to the upstream, which is
// picked if ok is set. If nothing prevents it, the hedge is taken from the budget.
func (f *Fanout) hedgeObstacle(i int, u Upstream, ok bool) (o Obstacle, blocked bool) {
	switch {
	case !ok:
		return ObstacleUpstream, true
	case !f.maySend() || !f.mayTry(i):
		return ObstacleUnproven, true
	case !f.spendHedge(f.plan.Services[i], u, f.legs[i].hedgeReason):
		return ObstacleBudget, true
	}
	return 0, false
}

// mustAwaitHedge reports whether a search without any answer must not be hedged yet. If it
// crashes the upstreams that run it, hedges would reach the last replicas; if not, an answer
// comes soon. One hedge is sent in the second half of the time to the soft deadline.
func (f *Fanout) mustAwaitHedge(now time.Time) bool {
	return (f.hedged || now.Before(f.halfTime)) && len(f.legs) > 1 && f.answered == 0 && !f.doubt.resolved
}

// spendHedge takes a hedge from the budget. A hedge to an unreliable upstream may
// be rejected, so it is always spent as speculative, which leaves the reserve to
// retries.
func (f *Fanout) spendHedge(service string, u Upstream, reason Reason) bool {
	if reason != ReasonHedge && f.deps.Reliable(u) {
		return f.deps.SpendNeeded(service)
	}
	return f.deps.SpendSpeculative(service)
}

// finishIfDone ends the request when there is nothing left to wait for.
func (f *Fanout) finishIfDone(now time.Time) {
	switch {
	case f.openLegs == 0 && f.answered == len(f.legs):
		f.finish(OutcomeComplete)
	case f.answered >= f.plan.MinAnswered && (f.openLegs == f.downLegs() || !now.Before(f.plan.SoftDeadline)):
		f.finish(OutcomePartial)
	case f.answered+f.openLegs < f.plan.MinAnswered:
		f.finish(OutcomeFailed)
	case !now.Before(f.plan.Deadline):
		f.finish(OutcomeExpired)
	}
}

// downLegs returns the number of open legs whose services have no live upstream. An answer
// that is sufficient without them does not wait for them.
func (f *Fanout) downLegs() int {
	n := 0
	for i := range f.legs {
		if f.legs[i].state == legOpen && f.legs[i].down && len(f.legs[i].inFlight) == 0 {
			n++
		}
	}
	return n
}

func (f *Fanout) finish(o Outcome) {
	f.done = true
	for i := range f.legs {
		for _, a := range f.legs[i].inFlight {
			f.actions = append(f.actions, Cancel{Attempt: a.number})
		}
	}
	f.actions = append(f.actions, Finish{Outcome: o})
}

// Wake returns when the next Tick is due.
func (f *Fanout) Wake() time.Time {
	wake := f.plan.Deadline
	if f.answered >= f.plan.MinAnswered || f.plan.SoftDeadline.After(time.Now()) {
		wake = earlier(wake, f.plan.SoftDeadline)
	}
	wake = earlier(wake, f.doubt.pausedUntil)
	if f.awaitsCanary() {
		wake = earlier(wake, f.secondCanary)
	}
	for i := range f.legs {
		if f.legs[i].state != legOpen {
			continue
		}
		wake = earlier(wake, f.legs[i].retryAt)
		wake = earlier(wake, f.legs[i].hedgeAt)
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// remove removes an attempt from those in flight and reports whether it was one.
func (l *leg) remove(n int) (attempt, bool) {
	for i, a := range l.inFlight {
		if a.number == n {
			l.inFlight = append(l.inFlight[:i], l.inFlight[i+1:]...)
			return a, true
		}
	}
	return attempt{}, false
}
