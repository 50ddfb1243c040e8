package place

import "time"

// paced holds what is observed only of an upstream that states its pace. A nil paced belongs to
// one that states none, which is placed as if the pace did not exist.
type paced struct {
	pace signal
	// others is the number of requests of other nodes.
	others signal
	pauses pauses
}

// PaceReported records the load and the pace that the upstream reported. A pace of 0 says
// nothing.
func (s *Stats) PaceReported(running, waiting int, pace float64) {
	if pace <= 0 {
		return
	}
	if !s.Paced() {
		s.paced.CompareAndSwap(nil, &paced{pace: signal{rest: 1}})
	}
	p, now := s.paced.Load(), time.Now()
	p.pace.report(pace, now)
	p.others.report(max(float64(running+waiting)-float64(s.inFlight.Load()), 0), now)
}

// Paced reports whether the upstream states its pace.
func (s *Stats) Paced() bool { return s.paced.Load() != nil }

// now returns the estimated pace, or 0 if none is stated.
func (p *paced) now(now time.Time) float64 {
	if p == nil {
		return 0
	}
	pace, _ := p.pace.estimate(now)
	return pace
}

// average returns the mean pace, or 0 if none is stated.
func (p *paced) average() float64 {
	if p == nil {
		return 0
	}
	return p.pace.average(1)
}

// othersNow returns the estimated number of requests of other nodes at the upstream.
func (p *paced) othersNow(now time.Time) (float64, bool) {
	if p == nil {
		return 0, false
	}
	return p.others.estimate(now)
}

// pauseLeft returns how long a pause is expected to last, or false if there is none.
func (p *paced) pauseLeft(now time.Time) (time.Duration, bool) {
	if p == nil {
		return 0, false
	}
	return p.pauses.left(now)
}

// atUsualPace returns the latency at the usual pace of a request that took the given time at
// another one. The round trip takes as long at any pace. A pace of 0 is not known.
func (s *Stats) atUsualPace(took time.Duration, pace float64) time.Duration {
	work := took - roundTrip[s.distance]
	if pace <= 0 || work <= 0 {
		return took
	}
	return roundTrip[s.distance] + time.Duration(float64(work)/pace)
}

// atPace returns the latency at a pace of a request that takes the given time at the usual one.
func (s *Stats) atPace(latency time.Duration, pace float64) time.Duration {
	work := latency - roundTrip[s.distance]
	if pace <= 0 || work <= 0 {
		return latency
	}
	return roundTrip[s.distance] + time.Duration(float64(work)*pace)
}

// HedgeBase returns the usual latency, from which the delay of hedges is derived. An upstream
// that states its pace is not given more time because it is slow or paused now.
func (s *Stats) HedgeBase(now time.Time) time.Duration {
	if !s.Paced() {
		return s.ServiceTime(now)
	}
	return s.atPace(s.recentLatency(now), s.paced.Load().average())
}
