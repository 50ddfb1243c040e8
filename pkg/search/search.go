package search

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

// Merge is the rule by which the hits of all shards are combined into one answer.
type Merge string

// The merge rules, as written in templates.
const (
	MergeConcat Merge = "concat"
	MergeTopK   Merge = "top-k"
	MergeSum    Merge = "sum"
)

// Plan describes one search.
type Plan struct {
	// Request identifies the search in every shard request and reply.
	Request string
	// Catalogue is the pinned snapshot, and Archives are the archives to search.
	Catalogue *layout.Catalogue
	Archives  []string
	Merge     Merge
	// Limit is the maximum number of hits in a top-k answer.
	Limit int
	// Deadline ends the search. SoftDeadline ends it too if at least the
	// fraction MinCoverage of the shards has answered, or if some have and all
	// others are unreachable.
	Deadline     time.Time
	SoftDeadline time.Time
	MinCoverage  float64
	// Fingerprint identifies equal requests. A search with an unproven
	// fingerprint first sends a single shard request, the canary, to a shard
	// derived from the fingerprint, and the rest after its reply.
	Fingerprint poison.Fingerprint
}

// Deps provides the decisions that are shared by all searches of a node.
type Deps interface {
	// Pick returns a replica that is not excluded, or false if there is none.
	Pick(replicas []*layout.Upstream, excluded []string) (*layout.Upstream, bool)
	// HedgeDelay returns how long an attempt on the archive may take at the
	// upstream before a hedge is worth its cost.
	HedgeDelay(archive, upstream string) time.Duration
	// TakeHedge spends from the node's budget for hedges of attempts at the
	// upstream, and TakeRetry from that for retries. Both report whether the
	// budget allowed it. Hedges of attempts at slow upstreams may have a
	// separate budget.
	TakeHedge(archive, upstream string) bool
	TakeRetry() bool
	// Backoff returns the delay before the nth retry of a shard.
	Backoff(n int) time.Duration
	// Verdict returns whether requests with the fingerprint are known to crash
	// upstreams.
	Verdict(f poison.Fingerprint) poison.Verdict
	// Succeeded records that a shard request with the fingerprint completed.
	Succeeded(f poison.Fingerprint)
}

const (
	// shardAttemptLimit bounds the attempts and the delayed retries of a shard.
	// It is also the radix of attempt numbers: an attempt number is the index
	// of the shard in the plan times the radix, plus a counter per shard.
	shardAttemptLimit = 32
)

// Search is the state of one search. It is not safe for concurrent use.
type Search struct {
	plan        Plan
	deps        Deps
	shards      []shard
	pending     int
	answered    int
	canary      int
	canaryMoves int
	ran         bool
	stale       bool
	done        bool
	retryAfter  time.Duration
	dropped     int
	totalWait   time.Duration
	refused     int
	actions     []Action
}

// shard is the state of one shard of the plan.
type shard struct {
	target   Target
	replicas []*layout.Upstream
	inFlight []attempt
	excluded []string
	attempts int
	retries  int
	retryAt  time.Time
	hits     []Hit
	sum      float64
	state    shardState
	// unreachable is set if the last attempt could not reach its upstream.
	unreachable bool
}

type shardState uint8

const (
	shardWaiting shardState = iota
	shardOpen
	shardAnswered
	shardLost
)

// attempt is one shard request in flight.
type attempt struct {
	number   uint32
	upstream string
	sentAt   time.Time
	hedged   bool
}

// New returns a search that begins with Step(Start{}). Archives missing from the
// catalogue are ignored; the caller must have checked them.
func New(plan Plan, deps Deps) *Search {
	s := &Search{plan: plan, deps: deps, canary: -1}
	for _, name := range plan.Archives {
		a, ok := plan.Catalogue.Archive(name)
		if !ok {
			continue
		}
		for i, sh := range a.Shards() {
			s.shards = append(s.shards, shard{
				target:   Target{Archive: name, Shard: i, Version: a.Version()},
				replicas: sh.Replicas(),
			})
		}
	}
	s.pending = len(s.shards)
	return s
}

// Shards returns the number of shards in the plan.
func (s *Search) Shards() int { return len(s.shards) }

// Dropped returns the number of replies that were not merged because they were
// late, duplicated, meant for another shard request or of another version.
func (s *Search) Dropped() int { return s.dropped }

// Step applies an event and returns the resulting actions. The slice is valid
// until the next call.
func (s *Search) Step(ev Event) []Action {
	s.actions = s.actions[:0]
	if s.done {
		s.countLateReply(ev)
		return s.actions
	}
	switch ev := ev.(type) {
	case Start:
		s.start()
	case Replied:
		s.handleReply(ev)
	case Failed:
		s.handleFailure(ev)
	case Tick:
		s.tick(time.Now())
	}
	s.finishIfDone()
	return s.actions
}

func (s *Search) countLateReply(ev Event) {
	if _, ok := ev.(Replied); ok {
		s.dropped++
	}
}

func (s *Search) start() {
	if len(s.shards) == 0 {
		return
	}
	if s.verdict() == poison.Proven {
		s.sendRest()
		return
	}
	s.canary = int(uint64(s.plan.Fingerprint) % uint64(len(s.shards)))
	s.send(s.canary, false)
}

func (s *Search) verdict() poison.Verdict {
	return s.deps.Verdict(s.plan.Fingerprint)
}

// sendRest sends the first attempt of every shard that has none.
func (s *Search) sendRest() {
	s.canary = -1
	for i := range s.shards {
		if s.shards[i].state == shardWaiting {
			s.send(i, false)
		}
	}
}

// send starts an attempt on the best remaining replica and reports whether it did.
func (s *Search) send(i int, hedge bool) bool {
	if s.done {
		return false
	}
	sh := &s.shards[i]
	verdict := s.verdict()
	if verdict == poison.Quarantined {
		s.finish(KindQuarantined)
		return false
	}
	if sh.attempts >= shardAttemptLimit {
		return false
	}
	u, ok := s.deps.Pick(sh.replicas, s.unavailableReplicas(sh))
	if !ok {
		return false
	}
	n := uint32(i*shardAttemptLimit + sh.attempts)
	sh.attempts++
	sh.state = shardOpen
	sh.retryAt = time.Time{}
	sh.inFlight = append(sh.inFlight, attempt{number: n, upstream: u.ID(), sentAt: time.Now(), hedged: hedge})
	s.actions = append(s.actions, Send{Attempt: n, Target: sh.target, Upstream: u, Hedge: hedge, Solo: verdict == poison.Suspect})
	return true
}

// unavailableReplicas returns the replicas that must not receive another attempt
// now: those that have failed and those with an attempt in flight.
func (s *Search) unavailableReplicas(sh *shard) []string {
	if len(sh.inFlight) == 0 {
		return sh.excluded
	}
	list := append([]string(nil), sh.excluded...)
	for _, a := range sh.inFlight {
		list = append(list, a.upstream)
	}
	return list
}

func (s *Search) handleReply(ev Replied) {
	i := int(ev.Attempt / shardAttemptLimit)
	if i >= len(s.shards) || !s.verify(&s.shards[i], ev) {
		s.dropped++
		if i < len(s.shards) && s.shards[i].hasAttempt(ev.Attempt) {
			s.handleFailure(Failed{Attempt: ev.Attempt, Cause: CauseInvalid})
		}
		return
	}
	sh := &s.shards[i]
	s.ran = true
	s.totalWait += ev.Wait
	s.deps.Succeeded(s.plan.Fingerprint)
	sh.hits, sh.sum = ev.Reply.Hits, ev.Reply.Sum
	sh.state = shardAnswered
	s.answered++
	s.pending--
	for _, a := range sh.inFlight {
		if a.number != ev.Attempt {
			s.actions = append(s.actions, Cancel{Attempt: a.number})
		}
	}
	sh.inFlight = nil
	if i == s.canary {
		s.sendRest()
	}
}

// verify reports whether the reply matches the attempt on whose connection it
// arrived and that attempt is still in flight.
func (s *Search) verify(sh *shard, ev Replied) bool {
	r := ev.Reply
	return sh.hasAttempt(ev.Attempt) && r.Request == s.plan.Request && r.Attempt == ev.Attempt && r.Target == sh.target
}

func (sh *shard) hasAttempt(n uint32) bool {
	for _, a := range sh.inFlight {
		if a.number == n {
			return true
		}
	}
	return false
}

// removeAttempt removes an attempt in flight and returns the identifier of its
// upstream.
func (sh *shard) removeAttempt(n uint32) (string, bool) {
	for i, a := range sh.inFlight {
		if a.number == n {
			sh.inFlight = append(sh.inFlight[:i], sh.inFlight[i+1:]...)
			return a.upstream, true
		}
	}
	return "", false
}

// finishIfDone ends the search when the snapshot is stale, no shard is pending or
// the soft deadline allows it.
func (s *Search) finishIfDone() {
	switch {
	case s.done:
	case s.stale:
		s.finish(KindStale)
	case s.pending == 0:
		s.conclude()
	case s.softExpired(time.Now()):
		s.abandonUnanswered()
		s.conclude()
	}
}
