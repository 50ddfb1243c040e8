// Package quota keeps the requests of all nodes to an upstream within the rate that the
// upstream accepts. The nodes divide the rate without asking each other: each computes
// from the list of nodes whether it may send to the upstream, and how much.
//
// An upstream that accepts little is assigned to few nodes, so that one request of each
// does not exceed it. Nodes in its failure domain, which send most of its requests, have
// the larger part.
//
//	q := quota.New("seat-finder-3-a/17", "zone-a")
//	news := q.Heard(quota.At(26.2))   // an answer states the limit
//	wait, ok := q.Reserve(nodes, prio.Urgent, left) // send after the wait, or not at all
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

const (
	// burstTime is how much of its rate a node may save while it sends nothing.
	burstTime = 250 * time.Millisecond
	// newsInterval is how often the nodes tell each other that a limit still holds.
	newsInterval = 10 * time.Second
	// minRetention is how long a limit holds at least without any news of it. It holds
	// up to twice as long, so that not all nodes ask the upstream at once.
	minRetention = 30 * time.Second
	// newsTolerance is the relative change of a limit below which it is no news.
	newsTolerance = 0.05
)

// waitShare is the part of the time left in which a request of each priority may wait for
// its turn. A lower priority thereby gets what the higher ones leave.
var waitShare = [prio.Count]float64{prio.Bulk: 0.25, prio.Standard: 0.5, prio.Urgent: 1}

// Upstream holds the limit of one incarnation of an upstream and this node's part of it.
// It is safe for concurrent use.
type Upstream struct {
	name   string
	domain string
	// limited reports whether a limit is in force.
	limited atomic.Bool

	mu    sync.Mutex
	limit Limit
	// statedAt is when the upstream stated the limit, to any node. toldAt is when
	// the nodes last told each other.
	statedAt time.Time
	toldAt   time.Time
	// part is this node's part of the limit, and place its place among the nodes.
	nodes *Nodes
	place place
	part  float64
	// tokens is the number of requests that may be sent, as of refilled. It is negative
	// while requests wait for their turn.
	tokens   float64
	refilled time.Time
	// retention is how long the limit holds without news.
	retention time.Duration
	cold      cold
}

// New returns an upstream without a limit. The name identifies the incarnation, and the
// domain is its failure domain.
func New(name, domain string) *Upstream {
	return &Upstream{
		name: name, domain: domain, retention: minRetention + rand.N(minRetention),
		place: (*Nodes)(nil).placeOf(name, domain),
	}
}

// Heard records what an answer states. It reports whether the other nodes should be told.
func (u *Upstream) Heard(l Limit) (news bool) {
	if l.kind == unstated || l.kind == none && !u.limited.Load() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if changed := u.set(l, now); !changed && now.Sub(u.toldAt) < newsInterval {
		return false
	}
	u.toldAt = now
	return true
}

// Told records what another node has heard, at the given time. It reports whether that was
// new.
func (u *Upstream) Told(l Limit, statedAt time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if l.kind == unstated || !statedAt.After(u.statedAt) {
		return false
	}
	u.toldAt = time.Now()
	return u.set(l, statedAt)
}

// set must be called with mu held. It reports whether the limit has changed.
func (u *Upstream) set(l Limit, statedAt time.Time) bool {
	old := u.limit
	wasLimited := u.limited.Load()
	u.limit, u.statedAt = l, statedAt
	u.limited.Store(l.kind == at)
	if l.kind == at && !wasLimited {
		u.tokens, u.refilled = 0, time.Now()
	}
	u.part = u.place.part(l.rate)
	return wasLimited != (l.kind == at) || l.kind == at && math.Abs(l.rate-old.rate) > newsTolerance*old.rate
}

// Limited reports whether a limit is in force.
func (u *Upstream) Limited() bool { return u.limited.Load() }

// Part returns this node's part of the limit, in requests per second.
func (u *Upstream) Part(nodes *Nodes) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refill(nodes, time.Now())
	return u.part
}

// Reserve takes a turn to send a request, which comes after the returned time. It returns
// false, and takes none, if that is too late for a request of the priority with the given
// time left. A turn that is not used must be returned by Cancel.
func (u *Upstream) Reserve(nodes *Nodes, p prio.Priority, left time.Duration) (wait time.Duration, ok bool) {
	return u.turn(nodes, p, left, 1)
}

// Wait returns what Reserve would, and takes no turn.
func (u *Upstream) Wait(nodes *Nodes, p prio.Priority, left time.Duration) (wait time.Duration, ok bool) {
	return u.turn(nodes, p, left, 0)
}

// Late returns by how much the next turn is too late for a request that Reserve refuses, or 0
// if this node may not send to the upstream.
func (u *Upstream) Late(nodes *Nodes, p prio.Priority, left time.Duration) time.Duration {
	wait, ok := u.turn(nodes, p, left, 0)
	if ok || wait == 0 {
		return 0
	}
	return wait - allowedWait(p, left)
}

// allowedWait returns how long a request of the priority with the time left may wait.
func allowedWait(p prio.Priority, left time.Duration) time.Duration {
	return time.Duration(waitShare[p] * float64(max(left, 0)))
}

// limitTurn returns the wait for a turn by the limit that the upstream states, or 0 if there is
// none. It returns false if this node may send it nothing. It must be called with mu held.
func (u *Upstream) limitTurn(nodes *Nodes, now time.Time) (wait time.Duration, ok bool) {
	if !u.limited.Load() || !u.refill(nodes, now) {
		return 0, true
	}
	if u.part <= 0 {
		return 0, false
	}
	return time.Duration(max(1-u.tokens, 0) / u.part * float64(time.Second)), true
}

// Cancel returns a turn that was not used.
func (u *Upstream) Cancel() { u.add(1) }

// Charge counts a request that is sent in any case, such as a probe.
func (u *Upstream) Charge() { u.add(-1) }

func (u *Upstream) add(tokens float64) {
	if !u.hasLimit() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tokens += tokens
	u.cold.tokens += tokens
}

// refill adds the tokens of the time since the last call. It returns false if the limit has
// lapsed. It must be called with mu held.
func (u *Upstream) refill(nodes *Nodes, now time.Time) bool {
	if now.Sub(u.statedAt) > u.retention {
		u.limited.Store(false)
		return false
	}
	if nodes != u.nodes {
		u.nodes = nodes
		u.place = nodes.placeOf(u.name, u.domain)
		u.part = u.place.part(u.limit.rate)
	}
	burst := 1 + u.part*burstTime.Seconds()
	u.tokens = min(u.tokens+u.part*now.Sub(u.refilled).Seconds(), burst)
	u.refilled = now
	return true
}
