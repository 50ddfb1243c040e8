// Package reader decides which nodes of a failure domain read the platform's
// store for the others. Each call to the store has a price, and its rates grow
// more slowly than the fleet; so one node of each domain reads and tells the
// others. When no reader is heard, the nodes take over in the order of their
// rank, one after the other, until one is heard.
//
//	if reader.Decide(self, members, beats, missing) { … }
package reader

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silence is how long a reader may be silent before the next takes over.
	// Readers send a beat every BeatEvery.
	silence = 1200 * time.Millisecond
	// HeartbeatInterval is how often a reader tells the others what it has.
	HeartbeatInterval = 400 * time.Millisecond
	// staleAfter is the age of a reader's last answer from the store at which
	// the next takes over; a watch that hears nothing answers more often.
	staleAfter = 2600 * time.Millisecond
	// FailingTimeout is how long the store may fail a reader before the next
	// takes over: some tries, so that one lost answer changes nothing.
	FailingTimeout = 500 * time.Millisecond
	// stuckAfter is how long a node may fail to get what a reader has before
	// it reads itself: several round trips to the reader.
	stuckAfter = time.Second
)

// Peer is what is known of another node of the domain that reads the store.
type Peer struct {
	// Name identifies the node.
	Name string
	// HeartbeatAge is how long ago its last beat came.
	HeartbeatAge time.Duration
	// StoreAge is how old its last answer from the store was at that beat.
	StoreAge time.Duration
	// Failing is for how long the store had failed it at that beat, 0 when
	// the last call was answered.
	Failing time.Duration
	// Stuck is for how long this node has heard that the peer knows more,
	// and got none of it.
	Stuck time.Duration
}

// fresh tells whether the peer is heard, the store answers it, and what it
// learns arrives here.
func (p Peer) fresh() bool {
	return p.HeartbeatAge < silence && p.HeartbeatAge+p.StoreAge < staleAfter && p.Failing < FailingTimeout && p.Stuck < stuckAfter
}

const (
	// turn is how long a node waits for each live member of its domain that
	// ranks before it, and maxTurns bounds the wait.
	turn     = 250 * time.Millisecond
	maxTurns = 8
)

// Decide tells whether the node must read the store itself: when no node that
// ranks before it is heard and has a fresh answer, and its turn has come. Members
// are the other live nodes of the domain, and missing is how long no fresh
// reader has been heard.
func Decide(self string, members []string, peers []Peer, missing time.Duration) bool {
	if HasReader(self, peers) {
		return false
	}
	before := 0
	for _, name := range members {
		if ranksBefore(name, self) {
			before++
		}
	}
	return missing >= time.Duration(min(before, maxTurns))*turn
}

// HasReader tells whether a node that ranks before self is heard and fresh.
func HasReader(self string, peers []Peer) bool {
	for _, p := range peers {
		if ranksBefore(p.Name, self) && p.fresh() {
			return true
		}
	}
	return false
}

func ranksBefore(a, b string) bool {
	ra, rb := rank(a), rank(b)
	return ra < rb || ra == rb && a < b
}

// rank orders the nodes of a domain the same way everywhere.
func rank(name string) uint64 { return xxhash.Sum64String(name) }
