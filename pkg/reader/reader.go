// Package reader decides which nodes of a failure domain read the platform's store
// on behalf of the others. Each call to the store has a cost, and the rate of calls
// that it permits grows more slowly than the number of nodes, so one node of each
// domain reads and sends the updates to the others. When no heartbeat of a reader
// arrives, the nodes take over one after the other in the order of their rank, until
// a heartbeat arrives.
//
//	if reader.Decide(self, members, peers, missing) { … }
package reader

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeartbeatTimeout is the age of a reader's last heartbeat at which the
	// next node takes over. Readers send one every HeartbeatInterval.
	HeartbeatTimeout = 1200 * time.Millisecond
	// HeartbeatInterval is how often a reader sends its revisions to the others.
	HeartbeatInterval = 400 * time.Millisecond
	// MaxReplyAge is the age of a reader's newest answer from the store at which the
	// next node takes over. One of its watches is answered each 0.75 s, even when
	// nothing changes; the rest is for a slow store, for a busy node and for the
	// heartbeat that reports the answer.
	MaxReplyAge = 1300 * time.Millisecond
	// maxTopicAge is the same for the watch that was answered longest ago.
	maxTopicAge = 2600 * time.Millisecond
	// FailingTimeout is how long a reader's calls to the store may fail before
	// the next node takes over. It covers several calls, so that one lost answer
	// does not cause a takeover.
	FailingTimeout = 500 * time.Millisecond
	// stuckTimeout is how long a node may fail to receive the updates that a
	// reader has before it reads the store itself. It covers several round
	// trips to the reader.
	stuckTimeout = time.Second
)

// Peer is the last reported state of another node of the domain that reads the store.
type Peer struct {
	// Name identifies the node.
	Name string
	// HeartbeatAge is the time since its last heartbeat was received.
	HeartbeatAge time.Duration
	// ReplyAge is the age of its newest answer from the store at that heartbeat, or 0
	// if it does not report that.
	ReplyAge time.Duration
	// StoreAge is the age, at that heartbeat, of the last answer to the watch that was
	// answered longest ago.
	StoreAge time.Duration
	// Failing is how long its calls to the store had been failing at that
	// heartbeat, or 0 if the last call was answered.
	Failing time.Duration
	// Stuck is how long the peer has reported newer revisions than this node
	// has, without this node receiving any of them.
	Stuck time.Duration
	// Reading is the time since its first heartbeat in the current series.
	Reading time.Duration
}

// fresh reports whether the peer's heartbeats arrive, the store answers it, and its
// updates arrive at this node.
func (p Peer) fresh() bool {
	return p.HeartbeatAge < HeartbeatTimeout && p.HeartbeatAge+p.ReplyAge < MaxReplyAge && p.HeartbeatAge+p.StoreAge < maxTopicAge && p.Failing < FailingTimeout && p.Stuck < stuckTimeout
}

// failed reports whether the peer has read the store until now or a moment ago, and has had the
// time for a first answer, but is not fresh. The others do not wait for it.
func (p Peer) failed() bool {
	return p.HeartbeatAge < failedReaderTime && p.Reading >= takeoverDelay && !p.fresh()
}

const (
	// failedReaderTime is the age of a reader's last heartbeat up to which it counts as one
	// that has failed. Afterward the membership has noticed that it is down, if it is.
	failedReaderTime = 3 * time.Second
	// takeoverDelay is how long a node waits for each live member of its domain
	// that ranks before it, except those that have failed as readers.
	// maxTakeoverDelays bounds the number of such waits.
	takeoverDelay     = 250 * time.Millisecond
	maxTakeoverDelays = 8
)

// Decide reports whether the node must read the store itself: no node that ranks
// before it is a fresh reader, and its delay for the takeover has passed. Members
// are the other live nodes of the domain, and missing is how long there has been no
// fresh reader.
func Decide(self string, members []string, peers []Peer, missing time.Duration) bool {
	if HasReader(self, peers) {
		return false
	}
	failed := make(map[string]bool)
	for _, p := range peers {
		failed[p.Name] = p.failed()
	}
	before := 0
	for _, name := range members {
		if ranksBefore(name, self) && !failed[name] {
			before++
		}
	}
	return missing >= time.Duration(min(before, maxTakeoverDelays))*takeoverDelay
}

// HasReader reports whether a node that ranks before self is a fresh reader.
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

// rank orders the nodes of a domain in the same way on all nodes.
func rank(name string) uint64 { return xxhash.Sum64String(name) }
