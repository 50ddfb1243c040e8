package search

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

// Merge names the rule by which hits become one answer.
type Merge string

// The merge rules, as templates write them.
const (
	MergeConcat Merge = "concat"
	MergeTopK   Merge = "top-k"
	MergeSum    Merge = "sum"
)

// Plan describes one search.
type Plan struct {
	// Request identifies the search in every sub-request and reply.
	Request string
	// Catalogue is the pinned snapshot and Archives what to search in it.
	Catalogue *layout.Catalogue
	Archives  []string
	Merge     Merge
	// Limit bounds the hits of a top-k answer.
	Limit int
	// Deadline ends the search. At SoftDeadline it ends too if at least
	// MinCoverage of the shards have answered.
	Deadline     time.Time
	SoftDeadline time.Time
	MinCoverage  float64
	// Fingerprint identifies equal requests. An unproven one sends a single
	// sub-request first, to a shard that the fingerprint chooses, and the
	// rest after its answer.
	Fingerprint poison.Fingerprint
}

// Deps are the decisions that searches of a node share.
type Deps interface {
	// Pick chooses a replica that is not excluded.
	Pick(replicas []*layout.Upstream, excluded []string) (*layout.Upstream, bool)
	// HedgeDelay is how long an attempt on the archive may take at the
	// upstream before a hedge is worth its cost.
	HedgeDelay(archive, upstream string) time.Duration
	// TakeHedge spends from the node's budget for hedges of attempts at the
	// upstream, and TakeRetry from that for retries.
	TakeHedge(archive, upstream string) bool
	TakeRetry() bool
	// Backoff is the delay before the nth retry of a shard.
	Backoff(n int) time.Duration
	// Judge tells whether the request is known to crash upstreams.
	Judge(f poison.Fingerprint) poison.Verdict
	// Succeeded records that a sub-request of the fingerprint completed.
	Succeeded(f poison.Fingerprint)
}

const (
	// attemptsPerShard is the radix of attempt numbers: the attempt number
	// is the shard's place in the plan times the radix plus a counter.
	attemptsPerShard = 32
)

// Search is the state of one search. It is not safe for concurrent use.
type Search struct {
	plan     Plan
	deps     Deps
	shards   []shard
	open     int
	answered int
	canary   int
	moved    int
	ran      bool
	stale    bool
	done     bool
	retryIn  time.Duration
	dropped  int
	waited   time.Duration
	refused  int
	out      []Action
}

// shard is the state of one shard of the plan.
type shard struct {
	target   Target
	replicas []*layout.Upstream
	live     []attempt
	excluded []string
	tried    int
	retries  int
	retryAt  time.Time
	hits     []Hit
	sum      float64
	state    shardState
	// unreachable tells that the last attempt found no way to an upstream.
	unreachable bool
}

type shardState uint8

const (
	shardWaiting shardState = iota
	shardOpen
	shardAnswered
	shardLost
)

// attempt is one sub-request in flight.
type attempt struct {
	number   uint32
	upstream string
	sentAt   time.Time
	hedged   bool
}

// New prepares a search; Step(Start{}) begins it. Archives that the catalogue
// does not know are ignored, callers check them before.
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
	s.open = len(s.shards)
	return s
}

// Shards is the number of shards in the plan.
func (s *Search) Shards() int { return len(s.shards) }

// Dropped counts replies that were not merged because they were late, crossed,
// duplicated or of another version.
func (s *Search) Dropped() int { return s.dropped }

// Step applies one event and returns what has to be done. The slice is valid
// until the next call.
func (s *Search) Step(ev Event) []Action {
	s.out = s.out[:0]
	if s.done {
		s.countLate(ev)
		return s.out
	}
	switch ev := ev.(type) {
	case Start:
		s.start()
	case Replied:
		s.replied(ev)
	case Failed:
		s.failed(ev)
	case Tick:
		s.tick(time.Now())
	}
	s.settle()
	return s.out
}

func (s *Search) countLate(ev Event) {
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
	return s.deps.Judge(s.plan.Fingerprint)
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

// send starts an attempt on the best replica left and tells whether one was.
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
	if sh.tried >= attemptsPerShard {
		return false
	}
	u, ok := s.deps.Pick(sh.replicas, s.busy(sh))
	if !ok {
		return false
	}
	n := uint32(i*attemptsPerShard + sh.tried)
	sh.tried++
	sh.state = shardOpen
	sh.retryAt = time.Time{}
	sh.live = append(sh.live, attempt{number: n, upstream: u.ID(), sentAt: time.Now(), hedged: hedge})
	s.out = append(s.out, Send{Attempt: n, Target: sh.target, Upstream: u, Hedge: hedge, Solo: verdict == poison.Suspect})
	return true
}

// busy lists the replicas that must not get another attempt now.
func (s *Search) busy(sh *shard) []string {
	if len(sh.live) == 0 {
		return sh.excluded
	}
	list := append([]string(nil), sh.excluded...)
	for _, a := range sh.live {
		list = append(list, a.upstream)
	}
	return list
}

func (s *Search) replied(ev Replied) {
	i := int(ev.Attempt / attemptsPerShard)
	if i >= len(s.shards) || !s.verify(&s.shards[i], ev) {
		s.dropped++
		if i < len(s.shards) && s.shards[i].has(ev.Attempt) {
			s.failed(Failed{Attempt: ev.Attempt, Cause: CauseInvalid})
		}
		return
	}
	sh := &s.shards[i]
	s.ran = true
	s.waited += ev.Wait
	s.deps.Succeeded(s.plan.Fingerprint)
	sh.hits, sh.sum = ev.Reply.Hits, ev.Reply.Sum
	sh.state = shardAnswered
	s.answered++
	s.open--
	for _, a := range sh.live {
		if a.number != ev.Attempt {
			s.out = append(s.out, Cancel{Attempt: a.number})
		}
	}
	sh.live = nil
	if i == s.canary {
		s.sendRest()
	}
}

// verify tells whether the reply answers the attempt on whose connection it
// came, and the attempt is still wanted.
func (s *Search) verify(sh *shard, ev Replied) bool {
	r := ev.Reply
	return sh.has(ev.Attempt) && r.Request == s.plan.Request && r.Attempt == ev.Attempt && r.Target == sh.target
}

func (sh *shard) has(n uint32) bool {
	for _, a := range sh.live {
		if a.number == n {
			return true
		}
	}
	return false
}

// remove forgets an attempt in flight and tells which replica had it.
func (sh *shard) remove(n uint32) (string, bool) {
	for i, a := range sh.live {
		if a.number == n {
			sh.live = append(sh.live[:i], sh.live[i+1:]...)
			return a.upstream, true
		}
	}
	return "", false
}

// settle ends the search when nothing is left to wait for.
func (s *Search) settle() {
	switch {
	case s.done:
	case s.stale:
		s.finish(KindStale)
	case s.open == 0:
		s.conclude()
	case s.softExpired(time.Now()):
		s.expire()
		s.conclude()
	}
}
