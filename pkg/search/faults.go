package search

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/poison"
)

// handleFailure handles an attempt that ended without a usable reply.
func (s *Search) handleFailure(ev Failed) {
	i := int(ev.Attempt / shardAttemptLimit)
	if i >= len(s.shards) {
		return
	}
	sh := &s.shards[i]
	upstream, ok := sh.removeAttempt(ev.Attempt)
	if !ok || sh.state != shardOpen {
		return
	}
	if !ev.Cause.notRun() {
		s.ran = true
	}
	s.retryAfter = max(s.retryAfter, ev.RetryAfter)
	if ev.Cause == CauseRefused || ev.Cause == CauseShed {
		s.refused++
	}
	if ev.Cause == CauseQuarantined || s.verdict() == poison.Quarantined {
		s.finish(KindQuarantined)
		return
	}
	sh.excluded = append(sh.excluded, upstream)
	sh.unreachable = ev.Cause == CauseUnreachable || ev.Cause == CauseCut
	if len(sh.inFlight) > 0 {
		return
	}
	s.recoverShard(i, ev.Cause)
}

// recoverShard handles the failure of the last attempt in flight of a shard. It
// retries on another replica immediately, retries on all replicas after a delay,
// ends the search as stale so that the caller can repeat it on a newer snapshot,
// moves the canary, or marks the shard as lost.
func (s *Search) recoverShard(i int, cause Cause) {
	sh := &s.shards[i]
	if cause == CauseVersionGone && len(sh.excluded) >= len(sh.replicas) {
		s.stale = true
		return
	}
	if i == s.canary && cause == CauseCrashed {
		s.moveCanaryDelayed()
		return
	}
	if s.mayRetryNow(cause) && s.send(i, false) {
		return
	}
	if i == s.canary && s.moveCanary() {
		return
	}
	delay := s.deps.Backoff(sh.retries)
	sh.retries++
	if time.Now().Add(delay).Before(s.plan.Deadline) && sh.retries < shardAttemptLimit {
		sh.excluded = sh.excluded[:0]
		sh.retryAt = time.Now().Add(delay)
		return
	}
	s.markLost(i)
}

// suspectDelay is how long a search that crashed an upstream waits before its
// next attempt, so that a crash caused by the same request through another node
// has been reported by then.
const suspectDelay = 50 * time.Millisecond

// moveCanaryDelayed moves the canary of a suspected search to the next shard and
// schedules it after suspectDelay. It runs solo there. Using another shard means
// that no shard loses two replicas to the request.
func (s *Search) moveCanaryDelayed() {
	s.shards[s.canary].state = shardWaiting
	s.shards[s.canary].excluded = s.shards[s.canary].excluded[:0]
	s.canaryMoves++
	s.canary = (s.canary + 1) % len(s.shards)
	s.shards[s.canary].state = shardOpen
	s.shards[s.canary].retryAt = time.Now().Add(suspectDelay)
}

// moveCanary sends the canary to the next shard because no replica of the current
// one accepts it. The current shard is sent later, together with the others.
func (s *Search) moveCanary() bool {
	if s.canaryMoves+1 >= len(s.shards) {
		return false
	}
	s.canaryMoves++
	s.shards[s.canary].state = shardWaiting
	s.shards[s.canary].excluded = s.shards[s.canary].excluded[:0]
	s.canary = (s.canary + 1) % len(s.shards)
	return s.send(s.canary, false)
}

// mayRetryNow reports whether another replica may be tried immediately. A cause
// that proves that the attempt did not run and is no load signal consumes no
// retry budget.
func (s *Search) mayRetryNow(cause Cause) bool {
	switch cause {
	case CauseDraining, CauseVersionGone, CauseUnreachable, CauseCut, CauseResting:
		return true
	}
	return s.deps.TakeRetry()
}

func (s *Search) markLost(i int) {
	sh := &s.shards[i]
	if sh.state == shardLost {
		return
	}
	sh.state = shardLost
	s.pending--
	if i == s.canary {
		s.sendRest()
	}
}

// tick sends the hedges and retries that are due and enforces the deadline.
func (s *Search) tick(now time.Time) {
	if !now.Before(s.plan.Deadline) {
		s.abandonUnanswered()
		return
	}
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.state != shardOpen {
			continue
		}
		switch {
		case s.retryDue(sh, now):
			s.retry(i)
		case s.hedgeDue(sh, now):
			s.hedge(i)
		}
	}
}

func (s *Search) retryDue(sh *shard, now time.Time) bool {
	return len(sh.inFlight) == 0 && !sh.retryAt.IsZero() && !now.Before(sh.retryAt)
}

func (s *Search) retry(i int) {
	if s.deps.TakeRetry() && s.send(i, false) {
		return
	}
	sh := &s.shards[i]
	sh.retryAt = time.Now().Add(s.deps.Backoff(sh.retries))
	sh.retries++
	if sh.retries >= shardAttemptLimit {
		s.markLost(i)
	}
}

func (s *Search) hedgeDue(sh *shard, now time.Time) bool {
	if len(sh.inFlight) != 1 || sh.inFlight[0].hedged {
		return false
	}
	return !now.Before(s.hedgeAt(sh))
}

// hedgeAt returns when the only attempt in flight of a shard is due for a hedge.
// The delay is halved for a canary, because all other shard requests wait for it.
func (s *Search) hedgeAt(sh *shard) time.Time {
	delay := s.deps.HedgeDelay(sh.target.Archive, sh.inFlight[0].upstream)
	if s.canary >= 0 {
		delay /= 2
	}
	return sh.inFlight[0].sentAt.Add(delay)
}

// hedge sends a second attempt, unless the shard has no other replica, the
// request is suspected of crashing upstreams or the hedge budget is exhausted. A
// canary is hedged without budget, because all other shard requests wait for it.
func (s *Search) hedge(i int) {
	sh := &s.shards[i]
	sh.inFlight[0].hedged = true
	if len(sh.replicas)-len(sh.excluded) < 2 || s.verdict() == poison.Suspect {
		return
	}
	if i != s.canary && !s.deps.TakeHedge(sh.target.Archive, sh.inFlight[0].upstream) {
		return
	}
	s.send(i, true)
}

// softExpired reports whether the soft deadline has passed and the answered
// shards either reach the minimum coverage or are all that can be reached.
func (s *Search) softExpired(now time.Time) bool {
	if s.plan.SoftDeadline.IsZero() || now.Before(s.plan.SoftDeadline) {
		return false
	}
	if s.answered > 0 && float64(s.answered) >= s.plan.MinCoverage*float64(len(s.shards)) {
		return true
	}
	return s.answered > 0 && s.restUnreachable()
}

// restUnreachable reports whether every shard without a reply is unreachable, so
// that waiting longer cannot increase the coverage.
func (s *Search) restUnreachable() bool {
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.state == shardWaiting || sh.state == shardOpen && (len(sh.inFlight) > 0 || !sh.unreachable) {
			return false
		}
	}
	return true
}

// abandonUnanswered cancels the attempts of all shards without a verified reply
// and marks those shards as lost.
func (s *Search) abandonUnanswered() {
	s.canary = -1
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.state == shardAnswered {
			continue
		}
		if len(sh.inFlight) > 0 {
			s.ran = true
		}
		for _, a := range sh.inFlight {
			s.actions = append(s.actions, Cancel{Attempt: a.number})
		}
		sh.inFlight = nil
		s.markLost(i)
	}
}

// Wake returns when the next Tick is due.
func (s *Search) Wake() time.Time {
	wake := s.plan.Deadline
	if soft := s.plan.SoftDeadline; !soft.IsZero() && soft.Before(wake) && time.Now().Before(soft) {
		wake = soft
	}
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.state != shardOpen {
			continue
		}
		if len(sh.inFlight) == 1 && !sh.inFlight[0].hedged {
			wake = earlier(wake, s.hedgeAt(sh))
		}
		if len(sh.inFlight) == 0 && !sh.retryAt.IsZero() {
			wake = earlier(wake, sh.retryAt)
		}
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
