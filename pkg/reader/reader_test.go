package reader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fresh returns a peer whose heartbeat has just arrived.
func fresh(name string) Peer { return Peer{Name: name} }

// TestOneNodeReads checks that in steady state exactly one node of a domain reads.
func TestOneNodeReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "nodes")
		reads := 0
		for i := range n {
			var peers []Peer
			for k := range n {
				if k != i {
					peers = append(peers, fresh(fmt.Sprintf("vm-%d", k)))
				}
			}
			if Decide(fmt.Sprintf("vm-%d", i), nil, peers, time.Hour) {
				reads++
			}
		}
		if want := 1; reads != want {
			t.Fatalf("nodes that read = %d, want %d", reads, want)
		}
	})
}

// TestEveryNodeHasAReader checks that when any set of nodes is silent or rejected by the
// store, every node still has a reader: itself or a fresh one that ranks before it.
func TestEveryNodeHasAReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "nodes")
		var peers []Peer
		for k := 1; k < n; k++ {
			peers = append(peers, Peer{
				Name:         fmt.Sprintf("vm-%d", k),
				HeartbeatAge: time.Duration(rapid.IntRange(0, 3000).Draw(t, "silent")) * time.Millisecond,
				ReplyAge:     time.Duration(rapid.IntRange(0, 2000).Draw(t, "newest")) * time.Millisecond,
				StoreAge:     time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond,
				Failing:      time.Duration(rapid.IntRange(0, 1000).Draw(t, "failing")) * time.Millisecond,
				Stuck:        time.Duration(rapid.IntRange(0, 2000).Draw(t, "stuck")) * time.Millisecond,
			})
		}
		if Decide("vm-0", nil, peers, time.Hour) {
			return
		}
		for _, p := range peers {
			if p.HeartbeatAge < HeartbeatTimeout && p.HeartbeatAge+p.ReplyAge < MaxReplyAge && p.HeartbeatAge+p.StoreAge < maxTopicAge && p.Failing < FailingTimeout && p.Stuck < stuckTimeout && rank(p.Name) < rank("vm-0") {
				return
			}
		}
		t.Fatalf("vm-0 does not read although no fresh reader ranks before it: %+v", peers)
	})
}

// TestNextTakesOverWhenTheStoreRejectsTheReader covers a store that rejects the calls of
// the reader: the next node takes over long before the reader's last answer is too
// old, but not because of a single lost answer.
func TestNextTakesOverWhenTheStoreRejectsTheReader(t *testing.T) {
	names := []string{"vm-0", "vm-1"}
	if ranksBefore(names[1], names[0]) {
		names[0], names[1] = names[1], names[0]
	}
	for _, c := range []struct {
		failing time.Duration
		want    bool
	}{{0, false}, {FailingTimeout / 2, false}, {FailingTimeout, true}} {
		peers := []Peer{{Name: names[0], StoreAge: c.failing, Failing: c.failing}}
		if got := Decide(names[1], names[:1], peers, takeoverDelay); got != c.want {
			t.Errorf("Decide() with a reader failed for %v = %v, want %v", c.failing, got, c.want)
		}
	}
}

func TestSingleNodeReads(t *testing.T) {
	if !Decide("vm-0", nil, nil, 0) {
		t.Error("Decide() without peers = false, want true")
	}
}

// TestNodesTakeOverOneByOne covers a start of many nodes at once and the loss of a
// reader: nodes take over one by one, and the last one within a bounded time.
func TestNodesTakeOverOneByOne(t *testing.T) {
	const n = 14
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	reading := func(missing time.Duration) int {
		reads := 0
		for i, name := range names {
			others := append(append([]string(nil), names[:i]...), names[i+1:]...)
			if Decide(name, others, nil, missing) {
				reads++
			}
		}
		return reads
	}
	if got, want := reading(0), 1; got != want {
		t.Errorf("nodes that read at once = %d, want %d", got, want)
	}
	if got, want := reading(takeoverDelay), 2; got != want {
		t.Errorf("nodes that read after one delay = %d, want %d", got, want)
	}
	if got, want := reading(maxTakeoverDelays*takeoverDelay), n; got != want {
		t.Errorf("nodes that read after all delays = %d, want %d", got, want)
	}
}

// A reader that fails must not delay the next node as one does that is about to take over: else each
// reader that is cut off delays the takeover.
func TestTakeoverDoesNotWaitForFailedReaders(t *testing.T) {
	names := []string{"vm-0", "vm-1", "vm-2", "vm-3"}
	slices.SortFunc(names, func(a, b string) int {
		if ranksBefore(a, b) {
			return -1
		}
		return 1
	})
	cutOff := func(i int) Peer { return Peer{Name: names[i], ReplyAge: MaxReplyAge, Reading: time.Minute} }
	for name, c := range map[string]struct {
		self    int
		peers   []Peer
		missing time.Duration
		want    bool
	}{
		"the first is cut off":                         {1, []Peer{cutOff(0)}, 0, true},
		"the first is cut off, seen by the third":      {2, []Peer{cutOff(0)}, 0, false},
		"the third, if the second does not take over":  {2, []Peer{cutOff(0)}, takeoverDelay, true},
		"the first two are cut off":                    {2, []Peer{cutOff(0), cutOff(1)}, 0, true},
		"the first three are cut off":                  {3, []Peer{cutOff(0), cutOff(1), cutOff(2)}, 0, true},
		"the second has just begun to read":            {2, []Peer{cutOff(0), {Name: names[1], ReplyAge: time.Minute, StoreAge: time.Minute}}, 0, false},
		"the second has read until a minute ago":       {2, []Peer{cutOff(0), {Name: names[1], HeartbeatAge: time.Minute, Reading: 2 * time.Minute}}, 0, false},
		"the first is down":                            {1, []Peer{{Name: names[0], HeartbeatAge: HeartbeatTimeout, Reading: time.Minute}}, 0, true},
		"the second reads, and the store answers it":   {3, []Peer{cutOff(0), {Name: names[1], Reading: time.Second}}, time.Hour, false},
		"one topic of the first is not answered":       {1, []Peer{{Name: names[0], StoreAge: maxTopicAge, Reading: time.Minute}}, 0, true},
		"the reply of a slow store is not yet too old": {1, []Peer{{Name: names[0], ReplyAge: MaxReplyAge - 1, StoreAge: maxTopicAge - 1, Reading: time.Minute}}, time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			others := slices.Concat(names[:c.self], names[c.self+1:])
			if got := Decide(names[c.self], others, c.peers, c.missing); got != c.want {
				t.Errorf("Decide() = %v, want %v", got, c.want)
			}
		})
	}
}
