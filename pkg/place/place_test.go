package place

import (
	"testing"
	"testing/synctest"
	"time"
)

func noneExcluded(int) bool { return false }

// penalty is that of a request with 60 ms left.
var penalty = RemotePenaltyWithin(60 * time.Millisecond)

// settle records enough answers for the average to reach the given latency.
func settle(s *Stats, took time.Duration) {
	for range 30 {
		s.Answered(took)
	}
}

func TestNearUpstreamIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := NewStats(SameDomain, 2, time.Time{}), NewStats(OtherRegion, 2, time.Time{})
		for first := range 2 {
			if got, want := Pick([]*Stats{far, near}, time.Now(), penalty, first, noneExcluded), 1; got != want {
				t.Errorf("Pick() from %d = %d, want %d", first, got, want)
			}
		}
	})
}

// TestSilentUpstreamIsAvoided covers a paused upstream: once it has been silent for
// longer than the remote one takes to answer, requests go to the remote one, before
// any answer is late.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := NewStats(SameDomain, 2, time.Time{}), NewStats(OtherRegion, 2, time.Time{})
		settle(near, 10*time.Millisecond)
		settle(far, 50*time.Millisecond)
		near.Begin()
		time.Sleep(120 * time.Millisecond)
		if got, want := Pick([]*Stats{near, far}, time.Now(), penalty, 0, noneExcluded), 1; got != want {
			t.Errorf("Pick() during the pause = %d, want %d", got, want)
		}
		near.Answered(300 * time.Millisecond)
		near.End()
		time.Sleep(5 * time.Second)
		if got, want := Pick([]*Stats{near, far}, time.Now(), penalty, 0, noneExcluded), 0; got != want {
			t.Errorf("Pick() after the pause = %d, want %d", got, want)
		}
	})
}

// TestFailingUpstreamIsAvoidedAndTriedAgain covers a grey failure: the upstream
// responds fast but fails the requests.
func TestFailingUpstreamIsAvoidedAndTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		grey, far := NewStats(SameDomain, 2, time.Time{}), NewStats(OtherRegion, 2, time.Time{})
		settle(far, 50*time.Millisecond)
		for range 3 {
			grey.Failed()
		}
		if got, want := Pick([]*Stats{grey, far}, time.Now(), penalty, 0, noneExcluded), 1; got != want {
			t.Errorf("Pick() = %d, want %d", got, want)
		}
		time.Sleep(30 * time.Second)
		if got, want := Pick([]*Stats{grey, far}, time.Now(), penalty, 0, noneExcluded), 0; got != want {
			t.Errorf("Pick() after 30 s = %d, want %d", got, want)
		}
	})
}

func TestEqualUpstreamsShareTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := []*Stats{NewStats(SameDomain, 2, time.Time{}), NewStats(SameDomain, 2, time.Time{})}
		for range 8 {
			list[Pick(list, time.Now(), penalty, 0, noneExcluded)].Begin()
		}
		if a, b := list[0].InFlight(), list[1].InFlight(); a < 3 || b < 3 {
			t.Errorf("requests in flight = %d and %d, want at least 3 each", a, b)
		}
	})
}

func TestGoneUpstreamIsTheLastChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone, slow := NewStats(SameDomain, 2, time.Time{}), NewStats(OtherRegion, 2, time.Time{})
		settle(slow, 2*time.Second)
		gone.MarkGone()
		if got, want := Pick([]*Stats{gone, slow}, time.Now(), penalty, 0, noneExcluded), 1; got != want {
			t.Errorf("Pick() = %d, want %d", got, want)
		}
		if got, want := Pick([]*Stats{gone}, time.Now(), penalty, 0, noneExcluded), 0; got != want {
			t.Errorf("Pick() of the gone upstream alone = %d, want %d", got, want)
		}
	})
}

// TestRemotePenaltyGrowsWithTimeLeft covers a search whose near upstream is slow: with
// much time left it stays in the region, with little time left it goes to the remote
// upstream.
func TestRemotePenaltyGrowsWithTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := NewStats(SameDomain, 2, time.Time{}), NewStats(OtherRegion, 2, time.Time{})
		settle(near, 80*time.Millisecond)
		settle(far, 50*time.Millisecond)
		stats := []*Stats{near, far}
		if got, want := Pick(stats, time.Now(), RemotePenaltyWithin(40*time.Millisecond), 0, noneExcluded), 1; got != want {
			t.Errorf("Pick() with 40 ms left = %d, want %d", got, want)
		}
		if got, want := Pick(stats, time.Now(), RemotePenaltyWithin(230*time.Millisecond), 0, noneExcluded), 0; got != want {
			t.Errorf("Pick() with 230 ms left = %d, want %d", got, want)
		}
	})
}

// TestReliable covers an upstream that rejects requests for a while.
func TestReliable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStats(SameDomain, 2, time.Time{})
		steps := []struct {
			after time.Duration
			do    func()
			want  bool
		}{
			{0, func() { s.Answered(time.Millisecond) }, true},
			{0, s.Failed, false},
			{20 * time.Second, func() {}, true},
		}
		for i, step := range steps {
			step.do()
			time.Sleep(step.after)
			if got := s.Reliable(time.Now()); got != step.want {
				t.Errorf("step %d: Reliable() = %v, want %v", i, got, step.want)
			}
		}
	})
}

// TestExpectedLatencyPrefersReliableUpstreams covers replicas of which one rejects
// requests and the other has a queue: admission must use the latency of the queue.
// Otherwise it admits requests that are rejected, and these crowd out all others.
func TestExpectedLatencyPrefersReliableUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		stats := func(inFlight int, failures int) *Stats {
			s := NewStats(SameDomain, 1, time.Time{})
			for range inFlight {
				s.Begin()
			}
			for range failures {
				s.Failed()
			}
			return s
		}
		slow, busy := stats(0, 0), stats(1, 0)
		for _, s := range []*Stats{slow, busy} {
			s.Abandoned(400 * time.Millisecond)
		}
		idle, queue := time.Duration(0), 10*initialLatency
		tests := []struct {
			name  string
			stats []*Stats
			want  time.Duration
		}{
			{"all reliable", []*Stats{stats(10, 0), stats(0, 0)}, idle},
			{"one rejects", []*Stats{stats(0, 3), stats(10, 0)}, queue},
			{"one rejects, other order", []*Stats{stats(10, 0), stats(0, 3)}, queue},
			{"slow and idle", []*Stats{slow}, idle},
			{"slow and in use", []*Stats{busy}, 2 * (initialLatency + 97*time.Millisecond)},
			{"all reject", []*Stats{stats(10, 3), stats(0, 3)}, idle},
		}
		for _, tt := range tests {
			if got := ExpectedLatency(tt.stats, now); got < tt.want || got > tt.want+initialLatency {
				t.Errorf("%s: ExpectedLatency() = %v, want about %v", tt.name, got, tt.want)
			}
		}
	})
}
