package search

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/poison"
)

// failed handles an attempt that ended without a usable reply.
func (s *Search) failed(ev Failed) {
	i := int(ev.Attempt / attemptsPerShard)
	if i >= len(s.shards) {
		return
	}
	sh := &s.shards[i]
	upstream, ok := sh.remove(ev.Attempt)
	if !ok || sh.state != shardOpen {
		return
	}
	if !ev.Cause.notRun() {
		s.ran = true
	}
	s.retryIn = max(s.retryIn, ev.RetryAfter)
	if ev.Cause == CauseRefused || ev.Cause == CauseShed {
		s.refused++
	}
	if ev.Cause == CauseQuarantined || s.verdict() == poison.Quarantined {
		s.finish(KindQuarantined)
		return
	}
	sh.excluded = append(sh.excluded, upstream)
	sh.unreachable = ev.Cause == CauseUnreachable
	if len(sh.live) > 0 {
		return
	}
	s.recover(i, ev.Cause)
}

// recover decides what follows the last attempt in flight of a shard: another
// replica now, the same replicas after a delay, a newer snapshot, or the loss
// of the shard.
func (s *Search) recover(i int, cause Cause) {
	sh := &s.shards[i]
	if cause == CauseVersionGone && len(sh.excluded) >= len(sh.replicas) {
		s.stale = true
		return
	}
	if i == s.canary && cause == CauseCrashed {
		s.moveCanaryLater()
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
	if time.Now().Add(delay).Before(s.plan.Deadline) && sh.retries < attemptsPerShard {
		sh.excluded = sh.excluded[:0]
		sh.retryAt = time.Now().Add(delay)
		return
	}
	s.lose(i)
}

// suspectDelay is how long a search that has crashed an upstream waits before it
// runs again, so that the same crash by another node is known by then.
const suspectDelay = 50 * time.Millisecond

// moveCanaryLater lets the next shard try a suspected search, alone, so that no
// shard loses two replicas to it.
func (s *Search) moveCanaryLater() {
	s.shards[s.canary].state = shardWaiting
	s.shards[s.canary].excluded = s.shards[s.canary].excluded[:0]
	s.moved++
	s.canary = (s.canary + 1) % len(s.shards)
	s.shards[s.canary].state = shardOpen
	s.shards[s.canary].retryAt = time.Now().Add(suspectDelay)
}

// moveCanary sends the first sub-request to the next shard, because no replica
// of the present one takes it. That shard waits for the others.
func (s *Search) moveCanary() bool {
	if s.moved+1 >= len(s.shards) {
		return false
	}
	s.moved++
	s.shards[s.canary].state = shardWaiting
	s.shards[s.canary].excluded = s.shards[s.canary].excluded[:0]
	s.canary = (s.canary + 1) % len(s.shards)
	return s.send(s.canary, false)
}

// mayRetryNow tells whether another replica may be tried at once. What
// provably did not run and says nothing of load costs no budget.
func (s *Search) mayRetryNow(cause Cause) bool {
	switch cause {
	case CauseDraining, CauseVersionGone, CauseUnreachable:
		return true
	}
	return s.deps.TakeRetry()
}

func (s *Search) lose(i int) {
	sh := &s.shards[i]
	if sh.state == shardLost {
		return
	}
	sh.state = shardLost
	s.open--
	if i == s.canary {
		s.sendRest()
	}
}

// tick sends due hedges and retries and enforces the deadlines.
func (s *Search) tick(now time.Time) {
	if !now.Before(s.plan.Deadline) {
		s.expire()
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
	return len(sh.live) == 0 && !sh.retryAt.IsZero() && !now.Before(sh.retryAt)
}

func (s *Search) retry(i int) {
	if s.deps.TakeRetry() && s.send(i, false) {
		return
	}
	sh := &s.shards[i]
	sh.retryAt = time.Now().Add(s.deps.Backoff(sh.retries))
	sh.retries++
	if sh.retries >= attemptsPerShard {
		s.lose(i)
	}
}

func (s *Search) hedgeDue(sh *shard, now time.Time) bool {
	if len(sh.live) != 1 || sh.live[0].hedged {
		return false
	}
	return !now.Before(s.hedgeAt(sh))
}

// hedgeAt is when the only attempt of a shard has taken so long that a second
// is due: sooner for the first sub-request of an unproven search, since all
// others wait for it.
func (s *Search) hedgeAt(sh *shard) time.Time {
	delay := s.deps.HedgeDelay(sh.target.Archive, sh.live[0].upstream)
	if s.canary >= 0 {
		delay /= 2
	}
	return sh.live[0].sentAt.Add(delay)
}

// hedge sends a second attempt. A shard without another replica, or a node
// without budget, waits for the first. The one sub-request that all others
// wait for is hedged without budget.
func (s *Search) hedge(i int) {
	sh := &s.shards[i]
	sh.live[0].hedged = true
	if len(sh.replicas)-len(sh.excluded) < 2 || s.verdict() == poison.Suspect {
		return
	}
	if i != s.canary && !s.deps.TakeHedge(sh.target.Archive, sh.live[0].upstream) {
		return
	}
	s.send(i, true)
}

// softExpired tells whether the latency target has passed with as much coverage
// as is wanted, or can be had.
func (s *Search) softExpired(now time.Time) bool {
	if s.plan.SoftDeadline.IsZero() || now.Before(s.plan.SoftDeadline) {
		return false
	}
	if s.answered > 0 && float64(s.answered) >= s.plan.MinCoverage*float64(len(s.shards)) {
		return true
	}
	return s.answered > 0 && s.restUnreachable()
}

// restUnreachable tells whether every shard without an answer is out of reach,
// so that waiting longer would bring nothing.
func (s *Search) restUnreachable() bool {
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.state == shardWaiting || sh.state == shardOpen && (len(sh.live) > 0 || !sh.unreachable) {
			return false
		}
	}
	return true
}

// expire gives up the shards that have not answered.
func (s *Search) expire() {
	s.canary = -1
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.state == shardAnswered {
			continue
		}
		if len(sh.live) > 0 {
			s.ran = true
		}
		for _, a := range sh.live {
			s.out = append(s.out, Cancel{Attempt: a.number})
		}
		sh.live = nil
		s.lose(i)
	}
}

// Wake is when the next Tick is due.
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
		if len(sh.live) == 1 && !sh.live[0].hedged {
			wake = earlier(wake, s.hedgeAt(sh))
		}
		if len(sh.live) == 0 && !sh.retryAt.IsZero() {
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
