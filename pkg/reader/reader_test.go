package reader

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fresh is a peer that was heard just now.
func fresh(name string) Peer { return Peer{Name: name} }

// In steady state exactly one node of a domain reads.
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

// When any set of nodes is silent or refused by the store, every node still has
// a reader: itself or a better one that is heard and fresh.
func TestNobodyIsWithoutAReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "nodes")
		var peers []Peer
		for k := 1; k < n; k++ {
			peers = append(peers, Peer{
				Name:         fmt.Sprintf("vm-%d", k),
				HeartbeatAge: time.Duration(rapid.IntRange(0, 3000).Draw(t, "silent")) * time.Millisecond,
				StoreAge:     time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond,
				Failing:      time.Duration(rapid.IntRange(0, 1000).Draw(t, "failing")) * time.Millisecond,
				Stuck:        time.Duration(rapid.IntRange(0, 2000).Draw(t, "stuck")) * time.Millisecond,
			})
		}
		if Decide("vm-0", nil, peers, time.Hour) {
			return
		}
		for _, p := range peers {
			if p.HeartbeatAge < silence && p.HeartbeatAge+p.StoreAge < staleAfter && p.Failing < FailingTimeout && p.Stuck < stuckAfter && rank(p.Name) < rank("vm-0") {
				return
			}
		}
		t.Fatalf("vm-0 does not read although no better node is heard and fresh: %+v", peers)
	})
}

// Replays a store that turns the reader away: the next takes over long before
// the reader's last answer is old, but not for one lost answer.
func TestNextTakesOverWhenTheStoreTurnsTheReaderAway(t *testing.T) {
	names := []string{"vm-0", "vm-1"}
	if ranksBefore(names[1], names[0]) {
		names[0], names[1] = names[1], names[0]
	}
	for _, c := range []struct {
		failing time.Duration
		want    bool
	}{{0, false}, {FailingTimeout / 2, false}, {FailingTimeout, true}} {
		peers := []Peer{{Name: names[0], StoreAge: c.failing, Failing: c.failing}}
		if got := Decide(names[1], names[:1], peers, turn); got != c.want {
			t.Errorf("Decide() with a reader failed for %v = %v, want %v", c.failing, got, c.want)
		}
	}
}

func TestAloneReads(t *testing.T) {
	if !Decide("vm-0", nil, nil, 0) {
		t.Error("Decide() without peers = false, want true")
	}
}

// Replays a start of many nodes at once, and the loss of a reader: nodes take
// over one by one, and the last within a bounded time.
func TestNodesTakeTurns(t *testing.T) {
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
	if got, want := reading(turn), 2; got != want {
		t.Errorf("nodes that read after a turn = %d, want %d", got, want)
	}
	if got, want := reading(maxTurns*turn), n; got != want {
		t.Errorf("nodes that read in the end = %d, want %d", got, want)
	}
}
