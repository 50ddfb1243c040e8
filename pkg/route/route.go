// Package route chooses the replica for each sub-request from the node's own
// evidence: what it has in flight, how long answers took, how long the queue
// was when the last answer left, and which upstreams it must avoid.
//
// Statistics are atomics in an immutable table that is replaced when the
// catalogue changes, so a choice takes no lock and its cost does not grow with
// the fleet:
//
//	t := route.New(rand)
//	t.Update(catalogue)
//	u, ok := t.Pick(shard, excluded)
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
	initialLatency = 10 * time.Millisecond
	latencySmooth  = 0.6
	// clearlyBetter is how much cheaper a replica must be to win over one
	// that was drawn before it.
	clearlyBetter = 0.9
	// waitHalfLife is how fast a reported queueing time loses its weight.
	waitHalfLife = 200 * time.Millisecond
	// penaltyTime is how long an upstream that failed is avoided.
	penaltyTime = time.Second
	// leavingTime is how long a drain is believed without being renewed.
	leavingTime = 2 * time.Second
	// explore is the chance of a choice that ignores latency, so that an
	// upstream that was slow is tried again. Urgent work leaves most of that
	// to others.
	explore       = 0.02
	exploreUrgent = 0.002
)

// latencyFresh is how long work of a priority believes a service time in full;
// after that what it exceeds the initial one by halves in each such time.
var latencyFresh = [prio.Count]time.Duration{prio.Bulk: time.Second, prio.Standard: 2 * time.Second, prio.Urgent: 4 * time.Second}

// Table holds what a node knows of every upstream. It is safe for concurrent use.
type Table struct {
	stats  atomic.Pointer[map[string]*Stats]
	random *lockedRand
	policy Policy
}

// Policy names a way to choose among replicas.
type Policy uint8

// The policies.
const (
	// PolicyLeastCost compares in-flight work and latency of two replicas.
	PolicyLeastCost Policy = iota
	// PolicyRandom takes any replica; experiments use it as baseline.
	PolicyRandom
)

// Option changes a Table at construction.
type Option func(*Table)

// WithPolicy sets how replicas are chosen. The default is PolicyLeastCost.
func WithPolicy(p Policy) Option { return func(t *Table) { t.policy = p } }

// Stats is the evidence about one upstream.
type Stats struct {
	inFlight  atomic.Int64
	latency   atomic.Int64
	latencyAt atomic.Int64
	progress  atomic.Int64
	wait      [prio.Count]atomic.Int64
	waitAt    [prio.Count]atomic.Int64
	avoid     atomic.Int64
	leaving   atomic.Int64
}

// New returns an empty Table that draws from the given source.
func New(random *rand.Rand, opts ...Option) *Table {
	t := &Table{random: &lockedRand{rand: random}}
	for _, opt := range opts {
		opt(t)
	}
	empty := map[string]*Stats{}
	t.stats.Store(&empty)
	return t
}

// Update makes the table know the upstreams of a catalogue. Evidence about
// upstreams that stay is kept.
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

// Stats finds the evidence about one upstream; it is nil for an unknown one.
func (t *Table) Stats(id string) *Stats { return (*t.stats.Load())[id] }

// Pick chooses a replica of the shard that is not excluded. Upstreams that are
// leaving or have just failed come last. It reports false when every replica
// is excluded.
func (t *Table) Pick(replicas []*layout.Upstream, excluded []string, p prio.Priority) (*layout.Upstream, bool) {
	stats := *t.stats.Load()
	now := time.Now()
	random := t.policy == PolicyRandom || t.random.float() < exploration(p)
	var (
		best     *layout.Upstream
		bestCost = math.Inf(1)
	)
	first := t.random.intN(len(replicas))
	for i := range replicas {
		u := replicas[(first+i)%len(replicas)]
		if contains(excluded, u.ID()) {
			continue
		}
		cost := stats[u.ID()].cost(now, u.Slots(), p, random)
		if best == nil || cost < bestCost*clearlyBetter {
			best, bestCost = u, cost
		}
	}
	return best, best != nil
}

func exploration(p prio.Priority) float64 {
	if p == prio.Urgent {
		return exploreUrgent
	}
	return explore
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
	costAvoid   = 1e6
	costLeaving = 1e9
)

// cost estimates the time to an answer in seconds.
func (s *Stats) cost(now time.Time, slots int, p prio.Priority, random bool) float64 {
	if s == nil {
		return costLeaving
	}
	cost := 0.0
	if !random {
		latency := s.expected(now, p).Seconds()
		own := latency * float64(s.inFlight.Load()) / float64(slots)
		cost = latency + max(own, s.agedWait(now, p).Seconds())
	}
	if now.UnixNano() < s.avoid.Load() {
		cost += costAvoid
	}
	if now.UnixNano() < s.leaving.Load() {
		cost += costLeaving
	}
	return cost
}

// Expected is the service time to expect of the upstream now.
func (s *Stats) Expected() time.Duration { return s.expected(time.Now(), prio.Urgent) }

// expected is the usual service time, or the time since the last progress if
// that is longer. What made the upstream look slow loses its weight with time,
// so that it is tried again, by the least urgent work first: what that finds
// out holds for all.
func (s *Stats) expected(now time.Time, p prio.Priority) time.Duration {
	latency := time.Duration(s.latency.Load())
	if s.inFlight.Load() > 0 {
		latency = max(latency, time.Duration(now.UnixNano()-s.progress.Load()))
	}
	age := time.Duration(now.UnixNano() - s.latencyAt.Load())
	fresh := latencyFresh[p]
	if excess := latency - initialLatency; excess > 0 && age > fresh {
		latency = initialLatency + time.Duration(float64(excess)*math.Exp2(-(age-fresh).Seconds()/fresh.Seconds()))
	}
	return latency
}

func (s *Stats) agedWait(now time.Time, p prio.Priority) time.Duration {
	age := time.Duration(now.UnixNano() - s.waitAt[p].Load())
	return time.Duration(float64(s.wait[p].Load()) * math.Exp2(-age.Seconds()/waitHalfLife.Seconds()))
}

// Begin counts a sub-request sent.
func (s *Stats) Begin() {
	if s.inFlight.Add(1) == 1 {
		s.progress.Store(time.Now().UnixNano())
	}
}

// End counts a sub-request answered, cancelled or failed.
func (s *Stats) End() { s.inFlight.Add(-1) }

// InFlight is the number of this node's sub-requests on the upstream.
func (s *Stats) InFlight() int64 { return s.inFlight.Load() }

// Served records what the upstream's front said with an answer: its usual
// service time, and how long the next sub-request of the priority would queue.
func (s *Stats) Served(pace, ahead time.Duration, p prio.Priority) {
	now := time.Now().UnixNano()
	s.latency.Store(int64(pace))
	s.latencyAt.Store(now)
	s.progress.Store(now)
	s.wait[p].Store(int64(ahead))
	s.waitAt[p].Store(now)
}

// Abandoned records that a sub-request was given up after the given time. It
// counts when that is longer than usual, else a slow replica that always loses
// its race would never look slow.
func (s *Stats) Abandoned(after time.Duration) {
	old := s.latency.Load()
	if int64(after) > old {
		s.latency.Store(old + int64(latencySmooth*float64(int64(after)-old)))
		s.latencyAt.Store(time.Now().UnixNano())
	}
}

// Failed makes the upstream a last choice for a while.
func (s *Stats) Failed() { s.avoid.Store(time.Now().Add(penaltyTime).UnixNano()) }

// MarkDraining makes a draining upstream the very last choice for a while.
func (s *Stats) MarkDraining() { s.leaving.Store(time.Now().Add(leavingTime).UnixNano()) }

// Latency is the upstream's usual service time.
func (s *Stats) Latency() time.Duration { return time.Duration(s.latency.Load()) }

// lockedRand shares one seeded source between goroutines.
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
