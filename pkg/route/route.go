// Package route chooses the replica for each shard request from statistics of the
// local node: its requests in flight, service times, the queueing delay reported
// with the last reply, and recent failures and drains. The statistics are atomics
// in an immutable table that is replaced when the catalogue changes, so a choice
// does not lock the table and its cost does not depend on the number of upstreams:
//
//	t := route.New(rand)
//	t.Update(catalogue)
//	u, ok := t.Pick(shard.Replicas(), excluded, prio.Urgent)
package route

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/prio"
)

const (
	initialLatency   = 10 * time.Millisecond
	latencySmoothing = 0.6
	// switchRatio is the fraction of the cost of the best replica so far that a
	// later replica must stay below to replace it.
	switchRatio = 0.9
	// queueDelayHalfLife is the half-life of a reported queueing delay.
	queueDelayHalfLife = 200 * time.Millisecond
	// failureTTL is how long an upstream is avoided after a failure.
	failureTTL = time.Second
	// drainTTL is how long a drain is assumed to last unless it is reported again.
	drainTTL = 2 * time.Second
	// explorationRate is the probability that a choice ignores latency, so that
	// an upstream that was slow is tried again. Urgent requests leave most of
	// that to the other priorities.
	explorationRate       = 0.02
	explorationRateUrgent = 0.002
)

// latencyFreshFor is how long a recorded service time keeps its full weight for
// requests of a priority. After that, its excess over initialLatency halves in
// each such period.
var latencyFreshFor = [prio.Count]time.Duration{prio.Bulk: time.Second, prio.Standard: 2 * time.Second, prio.Urgent: 4 * time.Second}

// Table holds the statistics of a node about every upstream. It is safe for
// concurrent use.
type Table struct {
	stats  atomic.Pointer[map[string]*Stats]
	random *lockedRand
	policy Policy
}

// Policy is a way to choose among replicas.
type Policy uint8

// The policies.
const (
	// PolicyLeastCost prefers the replica with the lowest estimated time to a
	// reply.
	PolicyLeastCost Policy = iota
	// PolicyRandom ignores load and latency. It serves as the baseline in
	// experiments.
	PolicyRandom
)

// Option configures a Table.
type Option func(*Table)

// WithPolicy sets how replicas are chosen. The default is PolicyLeastCost.
func WithPolicy(p Policy) Option { return func(t *Table) { t.policy = p } }

// Stats holds the statistics of one upstream.
type Stats struct {
	inFlight      atomic.Int64
	latency       atomic.Int64
	latencyAt     atomic.Int64
	progressAt    atomic.Int64
	queueDelay    [prio.Count]atomic.Int64
	queueDelayAt  [prio.Count]atomic.Int64
	avoidUntil    atomic.Int64
	drainingUntil atomic.Int64
}

// New returns an empty Table that uses the given source of randomness.
func New(random *rand.Rand, opts ...Option) *Table {
	t := &Table{random: &lockedRand{rand: random}}
	for _, opt := range opts {
		opt(t)
	}
	empty := map[string]*Stats{}
	t.stats.Store(&empty)
	return t
}

// Update replaces the upstreams of the table by those of the catalogue. The
// statistics of upstreams in both are kept.
func (t *Table) Update(c *layout.Catalogue) {
	old := *t.stats.Load()
	next := make(map[string]*Stats, len(old))
	for _, u := range c.Upstreams() {
		s, ok := old[u.ID()]
		if !ok {
			s = newStats()
		}
		next[u.ID()] = s
	}
	t.stats.Store(&next)
}

func newStats() *Stats {
	s := &Stats{}
	s.latency.Store(int64(initialLatency))
	return s
}

// Stats returns the statistics of an upstream, or nil if it is not in the table.
func (t *Table) Stats(id string) *Stats { return (*t.stats.Load())[id] }

// Pick returns the best replica that is not excluded. Upstreams that have failed
// recently rank behind all others, and draining ones behind those. Pick returns
// false if every replica is excluded.
func (t *Table) Pick(replicas []*layout.Upstream, excluded []string, p prio.Priority) (*layout.Upstream, bool) {
	stats := *t.stats.Load()
	now := time.Now()
	ignoreLatency := t.policy == PolicyRandom || t.random.float() < explorationRateFor(p)
	var (
		best     *layout.Upstream
		bestCost = math.Inf(1)
	)
	offset := t.random.intN(len(replicas))
	for i := range replicas {
		u := replicas[(offset+i)%len(replicas)]
		if contains(excluded, u.ID()) {
			continue
		}
		cost := stats[u.ID()].cost(now, u.Slots(), p, ignoreLatency)
		if best == nil || cost < bestCost*switchRatio {
			best, bestCost = u, cost
		}
	}
	return best, best != nil
}

func explorationRateFor(p prio.Priority) float64 {
	if p == prio.Urgent {
		return explorationRateUrgent
	}
	return explorationRate
}

func contains(list []string, id string) bool {
	for _, s := range list {
		if s == id {
			return true
		}
	}
	return false
}

const (
	failurePenalty = 1e6
	drainPenalty   = 1e9
)

// cost returns the estimated time to a reply in seconds, plus the penalties for
// recent failures and drains.
func (s *Stats) cost(now time.Time, slots int, p prio.Priority, ignoreLatency bool) float64 {
	if s == nil {
		return drainPenalty
	}
	cost := 0.0
	if !ignoreLatency {
		latency := s.expected(now, p).Seconds()
		localWait := latency * float64(s.inFlight.Load()) / float64(slots)
		cost = latency + max(localWait, s.decayedQueueDelay(now, p).Seconds())
	}
	if now.UnixNano() < s.avoidUntil.Load() {
		cost += failurePenalty
	}
	if now.UnixNano() < s.drainingUntil.Load() {
		cost += drainPenalty
	}
	return cost
}

// Expected returns the current estimate of the service time, as urgent requests
// use it.
func (s *Stats) Expected() time.Duration { return s.expected(time.Now(), prio.Urgent) }

// expected returns the recorded service time, or the time since the last progress
// if requests are in flight and that is longer. An excess over initialLatency
// decays with the age of the sample, so that a slow upstream is tried again. It
// decays fastest for the least urgent requests, so that these try the upstream
// first; their samples update the estimate for all priorities.
func (s *Stats) expected(now time.Time, p prio.Priority) time.Duration {
	latency := time.Duration(s.latency.Load())
	if s.inFlight.Load() > 0 {
		latency = max(latency, time.Duration(now.UnixNano()-s.progressAt.Load()))
	}
	age := time.Duration(now.UnixNano() - s.latencyAt.Load())
	fresh := latencyFreshFor[p]
	if excess := latency - initialLatency; excess > 0 && age > fresh {
		latency = initialLatency + time.Duration(float64(excess)*math.Exp2(-(age-fresh).Seconds()/fresh.Seconds()))
	}
	return latency
}

func (s *Stats) decayedQueueDelay(now time.Time, p prio.Priority) time.Duration {
	age := time.Duration(now.UnixNano() - s.queueDelayAt[p].Load())
	return time.Duration(float64(s.queueDelay[p].Load()) * math.Exp2(-age.Seconds()/queueDelayHalfLife.Seconds()))
}

// Begin records that a shard request was sent.
func (s *Stats) Begin() {
	if s.inFlight.Add(1) == 1 {
		s.progressAt.Store(time.Now().UnixNano())
	}
}

// End records that a shard request was answered, cancelled or failed.
func (s *Stats) End() { s.inFlight.Add(-1) }

// InFlight returns the number of shard requests of this node in flight at the
// upstream.
func (s *Stats) InFlight() int64 { return s.inFlight.Load() }

// Served records the values that the front of the upstream reported with a reply:
// its smoothed service time, and the estimated queueing delay of the next shard
// request of the priority.
func (s *Stats) Served(serviceTime, queueDelay time.Duration, p prio.Priority) {
	now := time.Now().UnixNano()
	s.latency.Store(int64(serviceTime))
	s.latencyAt.Store(now)
	s.progressAt.Store(now)
	s.queueDelay[p].Store(int64(queueDelay))
	s.queueDelayAt[p].Store(now)
}

// Abandoned records that a shard request was cancelled after the given time. A
// time above the recorded service time raises it; otherwise a slow replica that
// always loses to a hedge would never count as slow.
func (s *Stats) Abandoned(after time.Duration) {
	old := s.latency.Load()
	if int64(after) > old {
		s.latency.Store(old + int64(latencySmoothing*float64(int64(after)-old)))
		s.latencyAt.Store(time.Now().UnixNano())
	}
}

// Failed records a failure. The upstream ranks behind all healthy ones for
// failureTTL.
func (s *Stats) Failed() { s.avoidUntil.Store(time.Now().Add(failureTTL).UnixNano()) }

// Rest records that the upstream wants no requests for some time. It ranks behind all
// healthy ones for as long.
func (s *Stats) Rest(d time.Duration) { s.avoidUntil.Store(time.Now().Add(d).UnixNano()) }

// MarkDraining records that the upstream is draining. It ranks behind all others,
// including failed ones, for drainTTL.
func (s *Stats) MarkDraining() { s.drainingUntil.Store(time.Now().Add(drainTTL).UnixNano()) }

// Latency returns the recorded service time.
func (s *Stats) Latency() time.Duration { return time.Duration(s.latency.Load()) }

// lockedRand shares one seeded source of randomness between goroutines.
type lockedRand struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func (r *lockedRand) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Float64()
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(n)
}
