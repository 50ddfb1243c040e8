// Package reader decides which nodes of a failure domain read the platform's
// store for the others. Each call to the store has a price, and its rates grow
// more slowly than the fleet; so one node of each domain reads and tells the
// others, and any node reads for itself when it hears from no better one.
//
//	if reader.Decide(self, peers) { … }
package reader

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silence is how long a reader may be silent before the next takes over.
	// Readers send a beat every BeatEvery.
	silence = 1200 * time.Millisecond
	// BeatEvery is how often a reader tells the others what it has.
	BeatEvery = 400 * time.Millisecond
	// staleAfter is the age of a reader's last answer from the store at which
	// the next takes over; a watch that hears nothing answers more often.
	staleAfter = 2600 * time.Millisecond
)

// Peer is what is known of another node of the domain that reads the store.
type Peer struct {
	// Name identifies the node.
	Name string
	// Silent is how long ago its last beat came.
	Silent time.Duration
	// StoreAge is how old its last answer from the store was at that beat.
	StoreAge time.Duration
}

// Decide tells whether the node must read the store itself: when no node that
// ranks before it is heard and has a fresh answer.
func Decide(self string, peers []Peer) bool {
	own := rank(self)
	for _, p := range peers {
		if r := rank(p.Name); r > own || r == own && p.Name >= self {
			continue
		}
		if p.Silent < silence && p.Silent+p.StoreAge < staleAfter {
			return false
		}
	}
	return true
}

// rank orders the nodes of a domain the same way everywhere.
func rank(name string) uint64 { return xxhash.Sum64String(name) }
