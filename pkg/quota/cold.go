package quota

import (
	"math"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

const (
	// coldWindow is the window in which the requests to a cold upstream are counted.
	coldWindow = time.Second
	// transitTolerance is by how much the time from a node's decision to send until the
	// arrival may differ between requests: a connection to another region, and a pause.
	transitTolerance = 250 * time.Millisecond
	// settleTime is how long a part must have been due before a node uses it. The nodes hear of
	// each other's starts and stops within it, so that their parts do not overlap.
	settleTime = 2 * time.Second
	// maxTurnAge is how long after its turn a request may be sent to a cold upstream.
	// It is within transitTolerance.
	maxTurnAge = 150 * time.Millisecond
	// minColdExtension is by how much a cold period must grow to be news, and
	// coldNewsInterval how often nodes tell each other that it still holds.
	minColdExtension = 250 * time.Millisecond
	coldNewsInterval = 2 * time.Second
	// MaxCold bounds a cold period that an upstream states, so that a wrong value does not
	// slow it down for good.
	MaxCold = time.Hour
)

// Bound is what a cold upstream can handle. The zero value is no bound.
type Bound struct {
	// Rate is the requests per second that the upstream handles, and Most how many it may
	// get in any second from all nodes.
	Rate float64
	Most int
	// region is where the nodes are that send it most requests, or "" for those in its
	// failure domain. gatherers states that no other nodes send it requests.
	region    string
	gatherers bool
}

// From returns the bound for requests that come mostly from the nodes in a region, or in the
// failure domain of the upstream if it is empty, and only from gatherers.
func (b Bound) From(region string, gatherersOnly bool) Bound {
	b.region, b.gatherers = region, gatherersOnly
	return b
}

// NewBound returns the bound of an upstream that handles a rate while it is cold, and in any
// second at most the excess times the rate, and the slack. A rate that is not positive, or not
// finite, is no bound.
func NewBound(ratePerSecond, excess, slack float64) Bound {
	// The tolerance absorbs the rounding error of factors given as decimals.
	most := ratePerSecond*excess + slack + 1e-9
	if !(ratePerSecond > 0) || !(most < math.MaxInt32) {
		return Bound{}
	}
	return Bound{Rate: ratePerSecond, Most: int(most)}
}

// InForce reports whether there is a bound.
func (b Bound) InForce() bool { return b.Rate > 0 }

// coldPart returns the node's part of a bound, in requests per second, or 0 if it may not send
// to a cold upstream.
//
// A node that saves one request and earns new ones at a rate below k/(coldWindow+transitTolerance)
// sends at most k within a window. The senders' k together are at most the bound.
func (p place) coldPart(b Bound) float64 {
	most, rate, size := b.Most, b.Rate, p.near+p.far
	if p.near > 0 && p.far > 0 {
		nearMost := int(math.Ceil(nearShare * float64(b.Most)))
		if p.isNear {
			most, rate, size = nearMost, nearShare*b.Rate, p.near
		} else {
			most, rate, size = b.Most-nearMost, (1-nearShare)*b.Rate, p.far
		}
	}
	senders := min(size, most)
	if senders < 1 || p.rank >= senders {
		return 0
	}
	perNode := most / senders
	limit := float64(perNode) / (coldWindow + transitTolerance).Seconds()
	return min(rate/float64(senders), limit*(1-1e-6))
}

// coldPartOf returns the least part that the node has had within settleTime, and until when
// that holds if the nodes do not change.
func (n *Nodes) coldPartOf(name, domain string, b Bound, now time.Time) (part float64, until time.Time) {
	if n == nil {
		return 0, now
	}
	part, until = math.Inf(1), now.Add(time.Hour)
	for list := n; ; list = list.older.Load() {
		part = min(part, list.coldShare(name, domain, b))
		if list.sole || now.Sub(list.since) >= settleTime {
			return part, until
		}
		if end := list.since.Add(settleTime); end.Before(until) {
			until = end
		}
		if list.older.Load() == nil {
			return 0, until
		}
	}
}

// coldShare returns the node's part by this list alone. A node that knows no other one, and is
// not the sole one, does not know what the others send.
func (n *Nodes) coldShare(name, domain string, b Bound) float64 {
	if len(n.list) == 1 && !n.sole {
		return 0
	}
	list := n.list
	if b.gatherers {
		if !n.self.Gathers {
			return 0
		}
		list = n.gatherers()
	}
	return n.placeAmong(list, name, func(node Node) bool {
		if b.region != "" {
			return node.Region == b.region
		}
		return node.Domain == domain
	}).coldPart(b)
}

// gatherers returns the nodes that send the requests to shards for others.
func (n *Nodes) gatherers() []Node {
	var list []Node
	for _, node := range n.list {
		if node.Gathers {
			list = append(list, node)
		}
	}
	return list
}

// Sole states that the tier has no other node.
func (n *Nodes) Sole() *Nodes {
	n.sole = true
	return n
}

// After returns the list as the successor of another one, which counts for a while: a node
// whose part grows waits for those whose parts shrink. It returns the other list if they hold
// the same nodes.
func (n *Nodes) After(old *Nodes) *Nodes {
	if old == nil {
		return n
	}
	if n.sole == old.sole && sameNodes(n.list, old.list) {
		return old
	}
	n.older.Store(old)
	for list := old; list != nil; list = list.older.Load() {
		if n.since.Sub(list.since) >= settleTime {
			list.older.Store(nil) // those before it no longer count
		}
	}
	return n
}

func sameNodes(a, b []Node) bool {
	if len(a) != len(b) {
		return false
	}
	known := make(map[Node]bool, len(a))
	for _, node := range a {
		known[node] = true
	}
	for _, node := range b {
		if !known[node] {
			return false
		}
	}
	return true
}

// cold is the limit of an upstream while it is cold. The mutex of the Upstream guards it.
type cold struct {
	bound Bound
	// since and until are the period in nanoseconds since 1970. stated is when it was last
	// stated, and toldAt when the nodes last told each other.
	since, until   atomic.Int64
	stated, toldAt time.Time
	// least is the end of the period that answers cannot shorten.
	least time.Time
	nodes *Nodes
	// part holds until partUntil.
	part      float64
	partUntil time.Time
	tokens    float64
	refilled  time.Time
}

// SetBound sets what the upstream handles while it is cold.
func (u *Upstream) SetBound(b Bound) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if b != u.cold.bound {
		u.cold.bound, u.cold.nodes, u.cold.partUntil = b, nil, time.Time{}
		u.cold.tokens, u.cold.refilled = 0, time.Now()
	}
}

// ColdUntil states that the upstream is cold until the time, whatever it answers meanwhile. An
// earlier time than the known one changes nothing.
func (u *Upstream) ColdUntil(t time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.After(u.cold.least) {
		u.cold.least = t
	}
	u.cold.extend(t, time.Now())
}

// HeardCold records that the upstream has stated in its answer to a request that was sent at a
// time how much longer it is cold, or that it no longer is. It reports whether the other nodes
// should be told.
func (u *Upstream) HeardCold(left time.Duration, sentAt time.Time) (news bool) {
	now := time.Now()
	if left <= 0 && !u.isCold(now) {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	c := &u.cold
	if left <= 0 {
		if sentAt.After(c.stated) {
			c.until.Store(min(c.until.Load(), max(c.least.UnixNano(), now.UnixNano())))
		}
		return false
	}
	c.stated = now
	grown := c.extend(now.Add(min(left, MaxCold)), now)
	if !grown && now.Sub(c.toldAt) < coldNewsInterval {
		return false
	}
	c.toldAt = now
	return true
}

// ToldCold records that another node has heard that the upstream is cold. It reports whether
// that was new.
func (u *Upstream) ToldCold(left time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if left <= 0 {
		return false
	}
	u.cold.stated, u.cold.toldAt = now, now
	return u.cold.extend(now.Add(min(left, MaxCold)), now)
}

// extend extends the period and reports whether it has grown by more than the difference
// between two statements of the same end.
func (c *cold) extend(t, now time.Time) (grown bool) {
	old := c.until.Load()
	if t.UnixNano() <= old || !t.After(now) {
		return false
	}
	if old <= now.UnixNano() {
		c.since.Store(now.UnixNano())
		c.tokens, c.refilled = 0, now
	}
	c.until.Store(t.UnixNano())
	return t.UnixNano()-old > int64(minColdExtension)
}

// isCold reports whether the upstream is cold.
func (u *Upstream) isCold(now time.Time) bool { return now.UnixNano() < u.cold.until.Load() }

// Bounded reports whether there is a bound for the time in which the upstream is cold.
func (u *Upstream) Bounded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cold.bound.InForce()
}

// ColdLeft returns how much longer the upstream is cold.
func (u *Upstream) ColdLeft(now time.Time) time.Duration {
	return max(time.Duration(u.cold.until.Load()-now.UnixNano()), 0)
}

// Holds reports whether a turn that came at a time is still valid: a cold upstream gets what was
// due before it became cold, or is late, only with another turn.
func (u *Upstream) Holds(turn, now time.Time) bool {
	if !u.isCold(now) {
		return true
	}
	return !u.Bounded() || turn.UnixNano() >= u.cold.since.Load() && now.Sub(turn) <= maxTurnAge
}

// ColdPart returns this node's part of what the upstream handles while it is cold, in requests
// per second.
func (u *Upstream) ColdPart(nodes *Nodes) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refillCold(nodes, time.Now())
	return u.cold.part
}

// refillCold adds the tokens of the time since the last call. It returns false if the upstream
// is not cold or has no bound. It must be called with mu held.
func (u *Upstream) refillCold(nodes *Nodes, now time.Time) bool {
	c := &u.cold
	if !c.bound.InForce() || !u.isCold(now) {
		return false
	}
	if nodes != c.nodes || c.nodes == nil || !now.Before(c.partUntil) {
		c.nodes = nodes
		c.part, c.partUntil = nodes.coldPartOf(u.name, u.domain, c.bound, now)
	}
	c.tokens = min(c.tokens+c.part*now.Sub(c.refilled).Seconds(), 1)
	c.refilled = now
	return true
}

// coldTurn returns the wait for a turn at a cold upstream, or 0 if it is not cold. It returns
// false if this node may send it nothing. It must be called with mu held.
func (u *Upstream) coldTurn(nodes *Nodes, now time.Time) (wait time.Duration, ok bool) {
	if !u.refillCold(nodes, now) {
		return 0, true
	}
	if u.cold.part <= 0 {
		return 0, false
	}
	return time.Duration(max(1-u.cold.tokens, 0) / u.cold.part * float64(time.Second)), true
}

// hasLimit reports whether a turn may have to be waited for.
func (u *Upstream) hasLimit() bool {
	return u.limited.Load() || u.cold.until.Load() != 0 && u.isCold(time.Now())
}

// turn returns the later of the turns of both limits, and takes the tokens for it.
func (u *Upstream) turn(nodes *Nodes, p prio.Priority, left time.Duration, tokens float64) (wait time.Duration, ok bool) {
	if !u.hasLimit() {
		return 0, true
	}
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if wait, ok = u.limitTurn(nodes, now); !ok {
		return 0, false
	}
	coldWait, ok := u.coldTurn(nodes, now)
	if !ok {
		return 0, false
	}
	if wait = max(wait, coldWait); wait > allowedWait(p, left) {
		return wait, false
	}
	u.tokens -= tokens
	u.cold.tokens -= tokens
	return wait, true
}
