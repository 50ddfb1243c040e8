package fanout

import "time"

const (
	// attemptsPerLeg is the radix of attempt numbers: the number is the leg
	// times the radix plus a counter.
	attemptsPerLeg = 8
	// retryPause is how long a leg without an upstream waits before it looks
	// for one again. It is short against any target in use.
	retryPause = 40 * time.Millisecond
	// lateMargin is added to the expected time of an alternative when the
	// last moment for a hedge is computed.
	lateMargin = 10 * time.Millisecond
)

// Fanout is the state of one request. It is not safe for concurrent use.
type Fanout struct {
	plan     Plan
	deps     Deps
	legs     []leg
	answered int
	open     int
	done     bool
	out      []Action
}

// leg is the state of one service's part.
type leg struct {
	state legState
	live  []attempt
	// tried lists the upstreams that were chosen, reached counts those that
	// may have received the leg and sends all attempts.
	tried   []Upstream
	reached int
	sends   int
	// hedgeAt is when a hedge is due, for the reason hedgeWhy.
	hedgeAt  time.Time
	hedgeWhy Reason
	retryAt  time.Time
	// sent tells that an attempt may have reached an upstream.
	sent bool
}

type legState uint8

const (
	legOpen legState = iota
	legAnswered
	legLost
)

// attempt is one send in flight.
type attempt struct {
	number int
	uses   int
}

// New prepares a request; Step(Start{}) begins it.
func New(plan Plan, deps Deps) *Fanout {
	return &Fanout{plan: plan, deps: deps, legs: make([]leg, len(plan.Services)), open: len(plan.Services)}
}

// Leg tells which leg an attempt belongs to.
func Leg(attempt int) int { return attempt / attemptsPerLeg }

// Answered is how many legs have answered.
func (f *Fanout) Answered() int { return f.answered }

// Reached is how many upstreams the leg may have reached so far.
func (f *Fanout) Reached(leg int) int { return f.legs[leg].reached }

// Step applies one event and returns what has to be done. The slice is valid
// until the next call.
func (f *Fanout) Step(ev Event) []Action {
	f.out = f.out[:0]
	if f.done {
		return f.out
	}
	now := time.Now()
	switch ev := ev.(type) {
	case Start:
		for i := range f.legs {
			f.first(i, now)
		}
	case Answered:
		f.answer(ev.Attempt)
	case Failed:
		f.failed(ev, now)
	case Tick:
		for i := range f.legs {
			f.tick(i, now)
		}
	}
	f.settle(now)
	return f.out
}

// first sends the first attempt of a leg.
func (f *Fanout) first(i int, now time.Time) {
	u, ok := f.deps.Pick(f.plan.Services[i], nil)
	if !ok {
		f.legs[i].retryAt = now.Add(retryPause)
		return
	}
	if f.plan.Repeat && !f.deps.SpendNeeded(f.plan.Services[i]) {
		f.lose(i)
		return
	}
	f.send(i, u, ReasonFirst, now)
}

func (f *Fanout) send(i int, u Upstream, why Reason, now time.Time) {
	l := &f.legs[i]
	n := i*attemptsPerLeg + l.sends
	uses := f.deps.MaxUpstreams(u)
	l.sends++
	l.reached += uses
	l.live = append(l.live, attempt{number: n, uses: uses})
	l.tried = append(l.tried, u)
	l.retryAt = time.Time{}
	l.hedgeAt = time.Time{}
	if f.plan.Idempotent && f.mayTryMore(l) {
		f.planHedge(i, now.Add(f.deps.HedgeAfter(u)), now)
	}
	f.out = append(f.out, Send{Attempt: n, Leg: i, Upstream: u, Reason: why})
}

// mayTryMore tells whether the leg may be sent to one more upstream.
func (f *Fanout) mayTryMore(l *leg) bool {
	return l.sends < attemptsPerLeg && l.reached < f.plan.MaxAttempts
}

func (f *Fanout) answer(n int) {
	l := &f.legs[Leg(n)]
	if l.state != legOpen {
		return
	}
	l.state = legAnswered
	f.answered++
	f.open--
	for _, a := range l.live {
		if a.number != n {
			f.out = append(f.out, Cancel{Attempt: a.number})
		}
	}
	l.live = nil
}

func (f *Fanout) failed(ev Failed, now time.Time) {
	i := Leg(ev.Attempt)
	l := &f.legs[i]
	a, ok := l.remove(ev.Attempt)
	if !ok || l.state != legOpen {
		return
	}
	l.sent = l.sent || !ev.Unsent
	if !f.plan.Idempotent && !ev.NotRun {
		f.lose(i)
		return
	}
	if ev.Unsent {
		l.reached -= a.uses
	} else {
		l.reached -= min(max(ev.Unreached, 0), a.uses-1)
	}
	if len(l.live) == 0 {
		f.again(i, now)
	}
}

// again sends a leg whose attempts have all failed to another upstream.
func (f *Fanout) again(i int, now time.Time) {
	l := &f.legs[i]
	if !f.mayTryMore(l) {
		f.lose(i)
		return
	}
	u, ok := f.deps.Pick(f.plan.Services[i], l.tried)
	if !ok {
		f.waitOrLose(i, now)
		return
	}
	if l.sent && !f.deps.SpendNeeded(f.plan.Services[i]) {
		f.lose(i)
		return
	}
	f.send(i, u, ReasonRetry, now)
}

// waitOrLose lets a leg that was never sent wait for an upstream; one that was
// sent has used up those there are.
func (f *Fanout) waitOrLose(i int, now time.Time) {
	if l := &f.legs[i]; !l.sent {
		l.tried = nil
		l.retryAt = now.Add(retryPause)
		return
	}
	f.lose(i)
}

// lose gives a leg up.
func (f *Fanout) lose(i int) {
	if f.legs[i].state == legOpen {
		f.legs[i].state = legLost
		f.open--
	}
}

func (f *Fanout) tick(i int, now time.Time) {
	l := &f.legs[i]
	if l.state != legOpen {
		return
	}
	if !l.retryAt.IsZero() && !now.Before(l.retryAt) {
		l.retryAt = time.Time{}
		f.again(i, now)
		return
	}
	if len(l.live) > 0 && !l.hedgeAt.IsZero() && !now.Before(l.hedgeAt) {
		f.hedge(i, now)
	}
}

// planHedge sets when the leg is due for a hedge: when its attempt takes longer
// than it should, or at the last moment at which another upstream could still
// answer in time.
func (f *Fanout) planHedge(i int, at, now time.Time) {
	l := &f.legs[i]
	l.hedgeAt, l.hedgeWhy = at, ReasonHedge
	expected, ok := f.deps.ExpectedLatency(f.plan.Services[i], l.tried)
	if !ok {
		return
	}
	if last := f.plan.SoftDeadline.Add(-expected - lateMargin); last.Before(at) && last.After(now) {
		l.hedgeAt, l.hedgeWhy = last, ReasonLate
	}
}

func (f *Fanout) hedge(i int, now time.Time) {
	l := &f.legs[i]
	service := f.plan.Services[i]
	u, ok := f.deps.Pick(service, l.tried)
	if !ok || !f.spendHedge(service, u, l.hedgeWhy) {
		f.planHedge(i, now.Add(retryPause), now)
		return
	}
	f.send(i, u, l.hedgeWhy, now)
}

// spendHedge leaves to retries what a hedge needs that the upstream may refuse.
func (f *Fanout) spendHedge(service string, u Upstream, why Reason) bool {
	if why == ReasonLate && f.deps.Reliable(u) {
		return f.deps.SpendNeeded(service)
	}
	return f.deps.SpendSpeculative(service)
}

// settle ends the request when nothing is left to wait for.
func (f *Fanout) settle(now time.Time) {
	switch {
	case f.open == 0 && f.answered == len(f.legs):
		f.finish(OutcomeComplete)
	case f.answered >= f.plan.MinAnswered && (f.open == 0 || !now.Before(f.plan.SoftDeadline)):
		f.finish(OutcomePartial)
	case f.answered+f.open < f.plan.MinAnswered:
		f.finish(OutcomeFailed)
	case !now.Before(f.plan.Deadline):
		f.finish(OutcomeExpired)
	}
}

func (f *Fanout) finish(o Outcome) {
	f.done = true
	for i := range f.legs {
		for _, a := range f.legs[i].live {
			f.out = append(f.out, Cancel{Attempt: a.number})
		}
	}
	f.out = append(f.out, Finish{Outcome: o})
}

// Wake is when the next Tick is due.
func (f *Fanout) Wake() time.Time {
	wake := f.plan.Deadline
	if f.answered >= f.plan.MinAnswered || f.plan.SoftDeadline.After(time.Now()) {
		wake = earlier(wake, f.plan.SoftDeadline)
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

// remove forgets an attempt in flight, if there is one.
func (l *leg) remove(n int) (attempt, bool) {
	for i, a := range l.live {
		if a.number == n {
			l.live = append(l.live[:i], l.live[i+1:]...)
			return a, true
		}
	}
	return attempt{}, false
}
