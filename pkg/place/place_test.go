package place

import (
	"testing"
	"testing/synctest"
	"time"
)

func none(int) bool { return false }

// detour is that of a request with 60 ms left.
var detour = RemotePenaltyWithin(60 * time.Millisecond)

// settle gives an upstream a history of answers of the given latency.
func settle(s *Stats, took time.Duration) {
	for range 30 {
		s.Answered(took)
	}
}

func TestNearFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := NewStats(SameDomain, 2, time.Time{}), NewStats(OtherRegion, 2, time.Time{})
		for first := range 2 {
			if got, want := Pick([]*Stats{far, near}, time.Now(), detour, first, none), 1; got != want {
				t.Errorf("Pick() from %d = %d, want %d", first, got, want)
			}
		}
	})
}

// Replays a paused upstream: once it has been silent for longer than the way to
// the far one takes, work goes there, before any answer is late.
func TestSilentUpstreamIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := NewStats(SameDomain, 2, time.Time{}), NewStats(OtherRegion, 2, time.Time{})
		settle(near, 10*time.Millisecond)
		settle(far, 50*time.Millisecond)
		near.Begin()
		time.Sleep(120 * time.Millisecond)
		if got, want := Pick([]*Stats{near, far}, time.Now(), detour, 0, none), 1; got != want {
			t.Errorf("Pick() during the pause = %d, want %d", got, want)
		}
		near.Answered(300 * time.Millisecond)
		near.End()
		time.Sleep(5 * time.Second)
		if got, want := Pick([]*Stats{near, far}, time.Now(), detour, 0, none), 0; got != want {
			t.Errorf("Pick() after it = %d, want %d", got, want)
		}
	})
}

// Replays a grey failure: the upstream answers fast, and fails.
func TestFailingUpstreamIsLeftAndTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		grey, far := NewStats(SameDomain, 2, time.Time{}), NewStats(OtherRegion, 2, time.Time{})
		settle(far, 50*time.Millisecond)
		for range 3 {
			grey.Failed()
		}
		if got, want := Pick([]*Stats{grey, far}, time.Now(), detour, 0, none), 1; got != want {
			t.Errorf("Pick() = %d, want %d", got, want)
		}
		time.Sleep(30 * time.Second)
		if got, want := Pick([]*Stats{grey, far}, time.Now(), detour, 0, none), 0; got != want {
			t.Errorf("Pick() after 30 s = %d, want %d", got, want)
		}
	})
}

func TestEqualUpstreamsShareTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := []*Stats{NewStats(SameDomain, 2, time.Time{}), NewStats(SameDomain, 2, time.Time{})}
		for range 8 {
			list[Pick(list, time.Now(), detour, 0, none)].Begin()
		}
		if a, b := list[0].InFlight(), list[1].InFlight(); a < 3 || b < 3 {
			t.Errorf("requests in flight = %d and %d, want them shared", a, b)
		}
	})
}

func TestGoneUpstreamIsTheLastChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone, slow := NewStats(SameDomain, 2, time.Time{}), NewStats(OtherRegion, 2, time.Time{})
		settle(slow, 2*time.Second)
		gone.Gone()
		if got, want := Pick([]*Stats{gone, slow}, time.Now(), detour, 0, none), 1; got != want {
			t.Errorf("Pick() = %d, want %d", got, want)
		}
		if got, want := Pick([]*Stats{gone}, time.Now(), detour, 0, none), 0; got != want {
			t.Errorf("Pick() of it alone = %d, want %d", got, want)
		}
	})
}

// Replays a search with much time left while its near upstream is slow: it stays
// in the region, where one in a hurry goes far.
func TestTimeLeftIsSpentOnStayingNear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := NewStats(SameDomain, 2, time.Time{}), NewStats(OtherRegion, 2, time.Time{})
		settle(near, 80*time.Millisecond)
		settle(far, 50*time.Millisecond)
		stats := []*Stats{near, far}
		if got, want := Pick(stats, time.Now(), RemotePenaltyWithin(40*time.Millisecond), 0, none), 1; got != want {
			t.Errorf("Pick() in a hurry = %d, want %d", got, want)
		}
		if got, want := Pick(stats, time.Now(), RemotePenaltyWithin(230*time.Millisecond), 0, none), 0; got != want {
			t.Errorf("Pick() with time left = %d, want %d", got, want)
		}
	})
}

// Replays an upstream that refuses for a while.
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

// Replays replicas of which one refuses and the other has a queue: admission has
// to reckon with the queue, or the requests that are refused crowd out all.
func TestExpectedReckonsWithReliableUpstreams(t *testing.T) {
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
		idle, queue := time.Duration(0), 10*firstLatency
		tests := []struct {
			name  string
			stats []*Stats
			want  time.Duration
		}{
			{"all reliable", []*Stats{stats(10, 0), stats(0, 0)}, idle},
			{"one refuses", []*Stats{stats(0, 3), stats(10, 0)}, queue},
			{"one refuses, other order", []*Stats{stats(10, 0), stats(0, 3)}, queue},
			{"slow and idle", []*Stats{slow}, idle},
			{"slow and in use", []*Stats{busy}, 2 * (firstLatency + 97*time.Millisecond)},
			{"all refuse", []*Stats{stats(10, 3), stats(0, 3)}, idle},
		}
		for _, tt := range tests {
			if got := ExpectedLatency(tt.stats, now); got < tt.want || got > tt.want+firstLatency {
				t.Errorf("%s: Expected() = %v, want about %v", tt.name, got, tt.want)
			}
		}
	})
}
