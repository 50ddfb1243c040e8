// Package place chooses the upstream for a request to a service from what the
// node has observed: the latency of answers, the requests in flight, the load that
// the upstream reported, and its failure rate. Near upstreams are preferred until
// a remote one is clearly faster.
//
//	penalty := place.RemotePenaltyWithin(left)
//	i := place.Pick(stats, time.Now(), penalty, first, func(i int) bool { return tried[i] })
package place

import (
	"math"
	"sync/atomic"
	"time"
)

// Distance is how far an upstream is from this node.
type Distance uint8

// The distances.
const (
	// SameDomain is an upstream in this node's failure domain.
	SameDomain Distance = iota
	// SameRegion is an upstream in another failure domain of this node's region.
	SameRegion
	// OtherRegion is an upstream in another region.
	OtherRegion
)

const (
	// initialLatency is the latency assumed of an upstream before its first
	// answer, and the one to which the estimate for a slow upstream decays.
	initialLatency = 12 * time.Millisecond
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.25
	// latencyHalfLife is the half-life of the excess of a slow upstream's
	// latency over the initial one. The decay lets a slow upstream be tried
	// again. stallHalfLife is that after a single stall, which is over when the
	// first answer shows it: upstreams pause for some 300 ms at a time.
	latencyHalfLife = 2 * time.Second
	stallHalfLife   = 300 * time.Millisecond
	// slowFactor times the usual latency is one that shows a stall or a slow upstream.
	slowFactor = 3
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.3
	// failureHalfLife is the half-life of the failure rate.
	failureHalfLife = 3 * time.Second
	// failureCost is the latency that a failure rate of 1 adds to the cost.
	failureCost = 600 * time.Millisecond
	// reliableBelow is the failure rate above which an extra send is more
	// likely to cause another one than to help.
	reliableBelow = 0.2
	// loadReportTTL is how long the load that an upstream reported counts, with
	// a weight that falls linearly to zero.
	loadReportTTL = 150 * time.Millisecond
	// coldFactor is how much slower a cold upstream is assumed to be.
	coldFactor = 1.6
	// switchRatio is the fraction of the lowest cost so far that a later
	// candidate must stay below to replace it, so that candidates of about equal
	// cost share the work.
	switchRatio = 0.9
	// exclusionTime is how long an upstream is excluded after MarkGone.
	exclusionTime = 3 * time.Second
)

// roundTrip is the round-trip time assumed for a distance.
var roundTrip = [...]time.Duration{SameDomain: 0, SameRegion: 2 * time.Millisecond, OtherRegion: 30 * time.Millisecond}

// RoundTrip returns the round-trip time assumed for the distance.
func (d Distance) RoundTrip() time.Duration { return roundTrip[d] }

// RemotePenalty is the latency added to the cost of an upstream in another failure
// domain or region: how much longer an answer may take to avoid traffic across
// that boundary.
type RemotePenalty struct{ domain, region time.Duration }

const (
	// regionPenaltyDivisor is the divisor of the time left that gives the
	// penalty for another region: to stay in the region, an answer may take
	// longer by a fifth of the time left. maxDomainPenalty bounds the penalty
	// for another failure domain.
	regionPenaltyDivisor = 5
	maxDomainPenalty     = 2 * time.Millisecond
)

// RemotePenaltyWithin returns the penalty for a request with the given time left
// until its target.
func RemotePenaltyWithin(left time.Duration) RemotePenalty {
	region := max(left, 0) / regionPenaltyDivisor
	return RemotePenalty{region: region, domain: min(region, maxDomainPenalty)}
}

func (p RemotePenalty) cost(distance Distance) time.Duration {
	switch distance {
	case SameRegion:
		return p.domain
	case OtherRegion:
		return p.region
	}
	return 0
}

// Stats holds what the node has observed of one upstream, or of another node that it
// calls. It is safe for concurrent use.
type Stats struct {
	distance  Distance
	slots     int
	coldUntil time.Time

	inFlight      atomic.Int64
	latency       atomic.Int64 // ns
	latencyAt     atomic.Int64 // ns since 1970
	stalls        stalls
	progress      atomic.Int64 // ns since 1970: last answer, or first send after being idle
	failures      atomic.Uint64
	failedAt      atomic.Int64
	backlog       atomic.Int64
	backlogAt     atomic.Int64
	excludedUntil atomic.Int64
	paced         atomic.Pointer[paced]
}

// NewStats returns the Stats of an upstream that has not received any request.
func NewStats(d Distance, slots int, coldUntil time.Time) *Stats {
	s := &Stats{distance: d, slots: max(slots, 1), coldUntil: coldUntil}
	s.latency.Store(int64(s.baseLatency()))
	return s
}

func (s *Stats) baseLatency() time.Duration { return initialLatency + roundTrip[s.distance] }

// Distance returns how far the upstream is from this node.
func (s *Stats) Distance() Distance { return s.distance }

// InFlight returns the number of this node's requests at the upstream.
func (s *Stats) InFlight() int { return int(s.inFlight.Load()) }

// Begin counts a request as sent to the upstream.
func (s *Stats) Begin() {
	if s.inFlight.Add(1) == 1 {
		s.progress.Store(time.Now().UnixNano())
	}
}

// End counts a request as finished or abandoned.
func (s *Stats) End() { s.inFlight.Add(-1) }

// Answered records a good answer and its latency since the send.
func (s *Stats) Answered(took time.Duration) { s.AnsweredAt(took, 0) }

// AnsweredAt records a good answer of an upstream that states the given pace, or none if it is
// 0. The average latency is that at the usual pace.
func (s *Stats) AnsweredAt(took time.Duration, pace float64) {
	now := time.Now()
	s.stalls.record(took, slowFactor*s.baseLatency(), now)
	took = s.atUsualPace(took, pace)
	old := time.Duration(s.latency.Load())
	s.latency.Store(int64(old + time.Duration(latencyWeight*float64(took-old))))
	s.latencyAt.Store(now.UnixNano())
	s.progress.Store(now.UnixNano())
	s.recordOutcome(0, now)
}

// Abandoned records that a request was abandoned without an answer after the given
// time. It changes the latency only if that time is above the average.
func (s *Stats) Abandoned(after time.Duration) {
	old := time.Duration(s.latency.Load())
	if slow := slowFactor * s.baseLatency(); after > slow {
		s.stalls.record(after, slow, time.Now())
	}
	after = s.atUsualPace(after, s.paced.Load().average())
	if after > old {
		s.latency.Store(int64(old + time.Duration(latencyWeight*float64(after-old))))
		s.latencyAt.Store(time.Now().UnixNano())
	}
}

// Failed records a failure caused by the upstream.
func (s *Stats) Failed() { s.recordOutcome(1, time.Now()) }

// MarkGone excludes the upstream for exclusionTime, after proof that it is no longer
// at its address or that a call to it could not be sent. The failure rate does not
// change.
func (s *Stats) MarkGone() { s.excludedUntil.Store(time.Now().Add(exclusionTime).UnixNano()) }

// Waiting returns the time since the last answer, or since the first send after being idle,
// if requests are at the upstream, and 0 otherwise.
func (s *Stats) Waiting(now time.Time) time.Duration {
	if s.inFlight.Load() == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - s.progress.Load())
}

// Forget drops what was observed, except for the requests in flight.
func (s *Stats) Forget() {
	s.latency.Store(int64(s.baseLatency()))
	s.stalls.count.Store(0)
	s.progress.Store(time.Now().UnixNano())
	if p := s.paced.Load(); p != nil {
		p.pauses.forget(time.Now())
	}
	s.failures.Store(0)
	s.excludedUntil.Store(0)
}

// LoadReported records the load that the upstream reported.
func (s *Stats) LoadReported(running, waiting int) {
	s.backlog.Store(int64(running + waiting))
	s.backlogAt.Store(time.Now().UnixNano())
}

func (s *Stats) recordOutcome(failed float64, now time.Time) {
	rate := s.failureRate(now)
	s.failures.Store(math.Float64bits(rate + failureWeight*(failed-rate)))
	s.failedAt.Store(now.UnixNano())
}

// failureRate returns the rate of failures, decayed by its age.
func (s *Stats) failureRate(now time.Time) float64 {
	rate := math.Float64frombits(s.failures.Load())
	return rate * decay(now, s.failedAt.Load(), failureHalfLife)
}

func decay(now time.Time, since int64, halfLife time.Duration) float64 {
	age := float64(now.UnixNano() - since)
	return math.Exp2(-max(age, 0) / float64(halfLife))
}

// recentLatency returns the average latency, of which the excess over the initial one decays.
func (s *Stats) recentLatency(now time.Time) time.Duration {
	latency := time.Duration(s.latency.Load())
	if excess := latency - s.baseLatency(); excess > 0 {
		latency = s.baseLatency() + time.Duration(float64(excess)*decay(now, s.latencyAt.Load(), s.stalls.halfLife()))
	}
	return latency
}

// ServiceTime returns the estimated latency of one request at the upstream without
// queueing.
func (s *Stats) ServiceTime(now time.Time) time.Duration {
	p := s.paced.Load()
	latency := s.atPace(s.recentLatency(now), p.now(now))
	if s.inFlight.Load() > 0 {
		latency = max(latency, time.Duration(now.UnixNano()-s.progress.Load()))
	}
	if left, ok := p.pauseLeft(now); ok {
		latency = max(latency, left)
	}
	if now.Before(s.coldUntil) {
		latency = time.Duration(float64(latency) * coldFactor)
	}
	return latency
}

// ExpectedLatency returns the estimated time to an answer: the service time plus
// the wait behind the requests already there.
func (s *Stats) ExpectedLatency(now time.Time) time.Duration {
	return s.expectedBehind(now, s.ServiceTime(now), float64(s.inFlight.Load()))
}

func (s *Stats) expectedBehind(now time.Time, service time.Duration, queued float64) time.Duration {
	if others, ok := s.paced.Load().othersNow(now); ok {
		queued += others
	} else if age := now.UnixNano() - s.backlogAt.Load(); age < int64(loadReportTTL) {
		queued = max(queued, float64(s.backlog.Load())*(1-float64(age)/float64(loadReportTTL)))
	}
	work := max(service-roundTrip[s.distance], 0)
	queue := max(queued-float64(s.slots)+1, 0) / float64(s.slots)
	return service + time.Duration(queue*float64(work))
}

// ExpectedBehind returns the estimated time to an answer of a request behind others of this
// node, sent or waiting, of which limit may be at the upstream at once. What the upstream
// itself reported counts if it is longer.
func (s *Stats) ExpectedBehind(now time.Time, ahead, limit int) time.Duration {
	service := s.ServiceTime(now)
	limit = max(limit, 1)
	wait := float64(max(ahead-limit+1, 0)) / float64(limit)
	return max(s.expectedBehind(now, service, 0), service+time.Duration(wait*float64(service)))
}

// ExpectedAmong is the longer one of ExpectedBehind and of the estimate of ExpectedLatency if
// n requests of this node are sent or wait.
func (s *Stats) ExpectedAmong(now time.Time, n, limit int) time.Duration {
	return max(s.expectedBehind(now, s.ServiceTime(now), float64(n)), s.ExpectedBehind(now, n, limit))
}

// Cost returns the cost of a send to the upstream, as a time: the expected latency,
// the penalty for the distance and the cost of failures. An excluded upstream costs
// more than any other.
func (s *Stats) Cost(now time.Time, penalty RemotePenalty) time.Duration {
	cost := s.ExpectedLatency(now) + penalty.cost(s.distance)
	cost += time.Duration(s.failureRate(now) * float64(failureCost))
	if now.UnixNano() < s.excludedUntil.Load() {
		cost += exclusionCost
	}
	return cost
}

// exclusionCost ranks an excluded upstream behind all others.
const exclusionCost = time.Hour

// Reliable reports whether the upstream answers most of its requests.
func (s *Stats) Reliable(now time.Time) bool { return s.failureRate(now) < reliableBelow }

// Excluded reports whether MarkGone was called within the last exclusionTime.
func (s *Stats) Excluded(now time.Time) bool { return now.UnixNano() < s.excludedUntil.Load() }

// Pick returns the index of the candidate with the lowest cost, or -1 when all are
// excluded. The search begins at first, so that equal candidates share the work.
func Pick(candidates []*Stats, now time.Time, penalty RemotePenalty, first int, excluded func(i int) bool) int {
	return PickDelayed(candidates, now, penalty, first, func(i int) (time.Duration, bool) { return 0, !excluded(i) })
}

// PickDelayed is Pick for candidates that may be sent a request only after a delay, which
// adds to their cost, or not at all.
func PickDelayed(candidates []*Stats, now time.Time, penalty RemotePenalty, first int, delay func(i int) (d time.Duration, ok bool)) int {
	best, bestCost := -1, time.Duration(0)
	for k := range candidates {
		i := (first + k) % len(candidates)
		d, ok := delay(i)
		if !ok {
			continue
		}
		cost := candidates[i].Cost(now, penalty) + d
		if best < 0 || float64(cost) < float64(bestCost)*switchRatio {
			best, bestCost = i, cost
		}
	}
	return best
}

// ExpectedLatency returns the shortest estimated time to an answer at one of the
// reliable candidates, or at any candidate if none is reliable. A candidate without
// a request of this node counts as 0, even if it was slow: a rejection would gain
// nothing, and only a request can show that it is fast again. There must be at
// least one candidate.
func ExpectedLatency(candidates []*Stats, now time.Time) time.Duration {
	best, _ := ShortestExpected(candidates, now, func(i int) time.Duration { return candidates[i].ExpectedLatency(now) })
	return best
}

// ShortestExpected is ExpectedLatency with the times that expected returns for the
// candidates. It also returns the index of the candidate.
func ShortestExpected(candidates []*Stats, now time.Time, expected func(i int) time.Duration) (time.Duration, int) {
	best, index, reliable := time.Duration(0), 0, false
	for i, s := range candidates {
		ok, d := s.Reliable(now), expected(i)
		if s.InFlight() == 0 {
			d = 0
		}
		if i == 0 || ok && !reliable || ok == reliable && d < best {
			best, index, reliable = d, i, ok || reliable
		}
	}
	return best, index
}
