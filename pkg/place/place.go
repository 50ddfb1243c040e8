// Package place chooses the upstream for a request to a service from the node's
// own evidence: how long answers took, what is in flight, what the upstream
// said of its queue, and how often it failed. Near upstreams come first until a
// farther one is clearly faster.
//
//	d := place.DetourWithin(left)
//	i := place.Pick(stats, time.Now(), d, first, func(i int) bool { return tried[i] })
package place

import (
	"math"
	"sync/atomic"
	"time"
)

// Distance tells how far an upstream is from this node.
type Distance uint8

// The distances.
const (
	// SameDomain is this node's failure domain.
	SameDomain Distance = iota
	// SameRegion is another failure domain of this node's region.
	SameRegion
	// OtherRegion is another region.
	OtherRegion
)

const (
	// firstLatency is what is assumed of an upstream before its first
	// answer, and what a slow one is believed to return to.
	firstLatency = 12 * time.Millisecond
	// latencySmooth is the weight of a new latency in the average.
	latencySmooth = 0.25
	// slowMemory is the half-life of the belief that an upstream is slow,
	// so that it is tried again.
	slowMemory = 2 * time.Second
	// failureSmooth is the weight of one outcome in the failure rate.
	failureSmooth = 0.3
	// failureMemory is the half-life of the failure rate.
	failureMemory = 3 * time.Second
	// failureCost is the cost of a certain failure.
	failureCost = 600 * time.Millisecond
	// reliableBelow is the failure rate above which an extra arrival is more
	// likely to cost another one than to help.
	reliableBelow = 0.2
	// loadMemory is for how long an upstream's word on its queue holds.
	loadMemory = 150 * time.Millisecond
	// coldFactor is how much slower a cold upstream is taken to be.
	coldFactor = 1.6
	// clearlyBetter is by how much an upstream must be better than one that
	// stands before it, so that equal ones share the work.
	clearlyBetter = 0.9
	// shutTime is for how long an upstream that proved to be gone is shunned.
	shutTime = 3 * time.Second
)

// travel is the round trip that is assumed for a distance.
var travel = [...]time.Duration{SameDomain: 0, SameRegion: 2 * time.Millisecond, OtherRegion: 30 * time.Millisecond}

// RemotePenalty is how much longer an answer may take to spare the bytes to another
// failure domain and to another region.
type RemotePenalty struct{ domain, region time.Duration }

const (
	// detourShare is the part of the time left, as one in so many, that an
	// answer may take longer to stay in the region, and maxDomainDetour the
	// same, as a time, to stay in the failure domain.
	detourShare     = 5
	maxDomainDetour = 2 * time.Millisecond
)

// RemotePenaltyWithin gives what may be spent of the time left until the target.
func RemotePenaltyWithin(left time.Duration) RemotePenalty {
	region := max(left, 0) / detourShare
	return RemotePenalty{region: region, domain: min(region, maxDomainDetour)}
}

// cost is what the distance costs.
func (d RemotePenalty) cost(far Distance) time.Duration {
	switch far {
	case SameRegion:
		return d.domain
	case OtherRegion:
		return d.region
	}
	return 0
}

// Stats is the evidence about one upstream. It is safe for concurrent use.
type Stats struct {
	distance Distance
	slots    int
	coldTill time.Time

	inFlight  atomic.Int64
	latency   atomic.Int64 // ns
	latencyAt atomic.Int64 // ns since 1970
	progress  atomic.Int64 // ns since 1970: last answer, or first send when idle
	failures  atomic.Uint64
	failedAt  atomic.Int64
	backlog   atomic.Int64
	backlogAt atomic.Int64
	shutTill  atomic.Int64
}

// NewStats returns the evidence about an upstream that has done nothing yet.
func NewStats(d Distance, slots int, coldTill time.Time) *Stats {
	s := &Stats{distance: d, slots: max(slots, 1), coldTill: coldTill}
	s.latency.Store(int64(s.base()))
	return s
}

func (s *Stats) base() time.Duration { return firstLatency + travel[s.distance] }

// Distance tells how far the upstream is.
func (s *Stats) Distance() Distance { return s.distance }

// InFlight is how many requests of this node the upstream has.
func (s *Stats) InFlight() int { return int(s.inFlight.Load()) }

// Begin counts a request that is placed on the upstream.
func (s *Stats) Begin() {
	if s.inFlight.Add(1) == 1 {
		s.progress.Store(time.Now().UnixNano())
	}
}

// End counts a request that has left the upstream.
func (s *Stats) End() { s.inFlight.Add(-1) }

// Answered records a good answer and how long it took from its send.
func (s *Stats) Answered(took time.Duration) {
	now := time.Now()
	old := time.Duration(s.latency.Load())
	s.latency.Store(int64(old + time.Duration(latencySmooth*float64(took-old))))
	s.latencyAt.Store(now.UnixNano())
	s.progress.Store(now.UnixNano())
	s.outcome(0, now)
}

// Abandoned records that a request was given up after the given time without an
// answer. It counts when that is longer than usual.
func (s *Stats) Abandoned(after time.Duration) {
	old := time.Duration(s.latency.Load())
	if after > old {
		s.latency.Store(int64(old + time.Duration(latencySmooth*float64(after-old))))
		s.latencyAt.Store(time.Now().UnixNano())
	}
}

// Failed records a failure that was the upstream's.
func (s *Stats) Failed() { s.outcome(1, time.Now()) }

// Gone records proof that the upstream is no longer at its address.
func (s *Stats) Gone() { s.shutTill.Store(time.Now().Add(shutTime).UnixNano()) }

// LoadReported records what the upstream says of its load.
func (s *Stats) LoadReported(running, waiting int) {
	s.backlog.Store(int64(running + waiting))
	s.backlogAt.Store(time.Now().UnixNano())
}

func (s *Stats) outcome(failed float64, now time.Time) {
	rate := s.failureRate(now)
	s.failures.Store(math.Float64bits(rate + failureSmooth*(failed-rate)))
	s.failedAt.Store(now.UnixNano())
}

// failureRate is the share of failures, fading with time.
func (s *Stats) failureRate(now time.Time) float64 {
	rate := math.Float64frombits(s.failures.Load())
	return rate * fade(now, s.failedAt.Load(), failureMemory)
}

func fade(now time.Time, since int64, halfLife time.Duration) float64 {
	age := float64(now.UnixNano() - since)
	return math.Exp2(-max(age, 0) / float64(halfLife))
}

// ServiceTime is the time that one request is expected to take at the upstream,
// without waiting for others.
func (s *Stats) ServiceTime(now time.Time) time.Duration {
	latency := time.Duration(s.latency.Load())
	if excess := latency - s.base(); excess > 0 {
		latency = s.base() + time.Duration(float64(excess)*fade(now, s.latencyAt.Load(), slowMemory))
	}
	if s.inFlight.Load() > 0 {
		latency = max(latency, time.Duration(now.UnixNano()-s.progress.Load()))
	}
	if now.Before(s.coldTill) {
		latency = time.Duration(float64(latency) * coldFactor)
	}
	return latency
}

// ExpectedLatency is the time to an answer: the service time, and the wait for the
// requests that are ahead.
func (s *Stats) ExpectedLatency(now time.Time) time.Duration {
	service := s.ServiceTime(now)
	ahead := float64(s.inFlight.Load())
	if age := now.UnixNano() - s.backlogAt.Load(); age < int64(loadMemory) {
		ahead = max(ahead, float64(s.backlog.Load())*(1-float64(age)/float64(loadMemory)))
	}
	work := max(service-travel[s.distance], 0)
	queue := max(ahead-float64(s.slots)+1, 0) / float64(s.slots)
	return service + time.Duration(queue*float64(work))
}

// Cost is what sending a request there costs: the time to an answer, the chance
// of a failure and the distance.
func (s *Stats) Cost(now time.Time, d RemotePenalty) time.Duration {
	cost := s.ExpectedLatency(now) + d.cost(s.distance)
	cost += time.Duration(s.failureRate(now) * float64(failureCost))
	if now.UnixNano() < s.shutTill.Load() {
		cost += shutCost
	}
	return cost
}

// shutCost puts an upstream behind all others.
const shutCost = time.Hour

// Reliable tells whether the upstream answers most of its requests.
func (s *Stats) Reliable(now time.Time) bool { return s.failureRate(now) < reliableBelow }

// Excluded tells whether the upstream proved to be gone just now.
func (s *Stats) Excluded(now time.Time) bool { return now.UnixNano() < s.shutTill.Load() }

// Pick chooses the candidate of the least cost. The search begins at first, so
// that equal candidates share the work. It returns -1 when there is none.
func Pick(candidates []*Stats, now time.Time, d RemotePenalty, first int, excluded func(i int) bool) int {
	best, bestCost := -1, time.Duration(0)
	for k := range candidates {
		i := (first + k) % len(candidates)
		if excluded(i) {
			continue
		}
		cost := candidates[i].Cost(now, d)
		if best < 0 || float64(cost) < float64(bestCost)*clearlyBetter {
			best, bestCost = i, cost
		}
	}
	return best
}

// ExpectedLatency is the shortest time to an answer at one of the candidates that are
// reliable, or at any if none is. One that has no request of this node counts as
// free, even if it was slow: a rejection would gain nothing, and only a request
// can show that it is fast again. There must be a candidate.
func ExpectedLatency(candidates []*Stats, now time.Time) time.Duration {
	best, reliable := time.Duration(0), false
	for i, s := range candidates {
		ok, expected := s.Reliable(now), s.ExpectedLatency(now)
		if s.InFlight() == 0 {
			expected = 0
		}
		if i == 0 || ok && !reliable || ok == reliable && expected < best {
			best, reliable = expected, ok || reliable
		}
	}
	return best
}
