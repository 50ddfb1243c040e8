package place

import (
	"slices"
	"sync"
	"time"
)

const (
	// deviations is the number of mean deviations above the mean time of an exchange from
	// which on it takes longer than usual, as in the retransmission timer of TCP.
	deviations = 4
	// exchangeWeight is the weight of a new exchange in the mean and the deviation.
	exchangeWeight = 0.1
	// minUsualLimit keeps delays of this node's own VM from being taken for a pause.
	minUsualLimit = 20 * time.Millisecond
	// pausedRequests is how many requests must wait longer than usual. A single one may be
	// slow by itself.
	pausedRequests = 2
	// initialPause is the length of a pause that is assumed before one has been observed.
	// maxPause bounds the observed ones; a longer silence is a failure.
	initialPause = 300 * time.Millisecond
	maxPause     = 2 * time.Second
	pauseWeight  = 0.25
	// maxExchanges bounds the exchanges that are tracked at one upstream.
	maxExchanges = 64
)

// pauses notices that an upstream is paused: several requests of this node wait there for
// longer than exchanges usually take, and nothing has been answered for as long. It is safe for
// concurrent use.
type pauses struct {
	mu sync.Mutex
	// sent holds the times at which the requests in exchange were sent, the oldest first.
	sent []time.Time
	// progress is the last answer, or the first send after being idle.
	progress time.Time
	// mean and deviation describe the time that exchanges take, or are 0 before the first.
	mean, deviation time.Duration
	// length is the expected length of a pause.
	length time.Duration
}

// begin records that a request is sent.
func (p *pauses) begin(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sent) == 0 {
		p.progress = now
	}
	if len(p.sent) < maxExchanges {
		p.sent = append(p.sent, now)
	}
}

// end records that the request that was sent at the given time has been answered, or is no
// longer waited for.
func (p *pauses) end(sentAt, now time.Time, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		if p.paused(now) {
			p.learnLength(min(now.Sub(p.progress), maxPause))
		} else {
			p.learn(now.Sub(sentAt))
		}
		p.progress = now
	}
	if i := slices.IndexFunc(p.sent, sentAt.Equal); i >= 0 {
		p.sent = slices.Delete(p.sent, i, i+1)
	}
}

// forget makes the present silence count as begun now.
func (p *pauses) forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.progress = now
}

// learn records how long an exchange has taken. One beyond the limit, which may have met a
// pause, counts as the limit.
func (p *pauses) learn(took time.Duration) {
	if p.mean == 0 {
		p.mean, p.deviation = took, took/2
		return
	}
	took = min(took, p.limit())
	p.deviation += time.Duration(exchangeWeight * float64((took-p.mean).Abs()-p.deviation))
	p.mean += time.Duration(exchangeWeight * float64(took-p.mean))
}

func (p *pauses) learnLength(length time.Duration) {
	p.length = p.expected() + time.Duration(pauseWeight*float64(length-p.expected()))
}

func (p *pauses) expected() time.Duration {
	if p.length == 0 {
		return initialPause
	}
	return p.length
}

// limit returns how long an exchange usually takes at most.
func (p *pauses) limit() time.Duration { return max(p.mean+deviations*p.deviation, minUsualLimit) }

func (p *pauses) paused(now time.Time) bool {
	limit := p.limit()
	return p.mean > 0 && len(p.sent) >= pausedRequests && now.Sub(p.sent[pausedRequests-1]) > limit && now.Sub(p.progress) > limit
}

// left returns how long the pause is expected to last, or false if there is none. One that
// lasts longer than expected is expected to last as long again.
func (p *pauses) left(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.paused(now) {
		return 0, false
	}
	silent := now.Sub(p.progress)
	if left := p.expected() - silent; left > 0 {
		return left, true
	}
	return silent, true
}

// usualLimit returns how long an exchange usually takes at most, or false if that is not known.
func (p *pauses) usualLimit() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit(), p.mean > 0
}

// BeginExchange records that a request is sent on a connection to an upstream that states its
// pace, and returns the time to pass to EndExchange.
func (s *Stats) BeginExchange() time.Time {
	now := time.Now()
	if p := s.paced.Load(); p != nil {
		p.pauses.begin(now)
	}
	return now
}

// EndExchange records that a request has been answered, or is no longer waited for.
func (s *Stats) EndExchange(begun time.Time, answered bool) {
	if p := s.paced.Load(); p != nil {
		p.pauses.end(begun, time.Now(), answered)
	}
}

// Paused reports whether the upstream is paused: more than one request of this node waits there
// for longer than exchanges usually take, and none was answered in that time. It is false for
// upstreams that state no pace.
func (s *Stats) Paused(now time.Time) bool {
	_, paused := s.paced.Load().pauseLeft(now)
	return paused
}

// UsualLimit returns how long an exchange with the upstream usually takes at most. It returns
// false if the upstream states no pace or has not answered yet.
func (s *Stats) UsualLimit() (time.Duration, bool) {
	p := s.paced.Load()
	if p == nil {
		return 0, false
	}
	return p.pauses.usualLimit()
}
