package allot

import "time"

const (
	// settleTime is how long after its start a node counts at least the configured number of
	// nodes. Nodes of a domain exchange their views every few seconds, and those that start
	// together after a power loss find each other within that time.
	settleTime = 6 * time.Second
	// memoryTime is how long a node that is dead or not listed still counts. Cuts between
	// nodes of a domain last up to an hour.
	memoryTime = 2 * time.Hour
)

// Member is a node of the failure domain as the membership lists it.
type Member struct {
	VM string
	// Live is whether the node is alive and not suspected, and Left whether it has stopped
	// as planned.
	Live, Left bool
	// Before is how long before this node it has started, negative if it has started later.
	Before time.Duration
}

// Census counts the nodes among which the domain's part is divided. It is not safe for
// concurrent use.
type Census struct {
	self  string
	least int
	born  time.Time
	// joinedAt is when the node joined the others, or zero.
	joinedAt time.Time
	// older is whether a node of another domain has run for longer.
	older bool
	seen  map[string]sighting
}

// sighting is what is known of a node. at is when it was last alive, unless it is live.
type sighting struct {
	live, left bool
	before     time.Duration
	at         time.Time
}

// NewCensus returns the census of a node that has just started, which counts at least the
// given number of nodes until it has joined the others.
func NewCensus(self string, least int) *Census {
	return &Census{self: self, least: least, born: time.Now(), seen: make(map[string]sighting)}
}

// Update records the nodes of the domain that the membership lists. Joined is whether a live
// node of another domain is known, or there is no other domain: nodes of one domain that have
// all restarted behind a cut do not know of those beyond it.
func (c *Census) Update(members []Member, joined bool) {
	now := time.Now()
	if joined && c.joinedAt.IsZero() {
		c.joinedAt = now
	}
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.VM] = true
		old, known := c.seen[m.VM]
		next := sighting{live: m.Live, left: m.Left, before: m.Before, at: now}
		if known && !m.Live && !old.live && old.left == m.Left {
			next.at = old.at
		}
		c.seen[m.VM] = next
	}
	for vm, s := range c.seen {
		switch {
		case listed[vm]:
		case s.live:
			c.seen[vm] = sighting{at: now}
		case now.Sub(s.at) >= memoryTime:
			delete(c.seen, vm)
		}
	}
}

// counts reports whether the node may have a pledge in force, now or soon. A node that has left
// comes back as a new process, unseen by those that are cut off at that time; so it counts while
// there is doubt.
func (s sighting) counts(now time.Time, doubt bool) bool {
	memory := memoryTime
	if s.left && !doubt {
		memory = PledgeTime + Margin // its last pledge may still be in force
	}
	return s.live || now.Sub(s.at) < memory
}

// inDoubt reports whether this node cannot reach another one that has not left.
func (c *Census) inDoubt(now time.Time) bool {
	for vm, s := range c.seen {
		if vm != c.self && !s.live && !s.left && s.counts(now, false) {
			return true
		}
	}
	return false
}

// MayPledge reports whether the others count this node. Those that have never heard of it, because
// it started behind a cut, divide its part among themselves.
func (c *Census) MayPledge() bool {
	return !c.joinedAt.IsZero() && time.Since(c.joinedAt) >= PledgeTime+Margin
}

const (
	// startSpread is by how much the start times of nodes that started together may differ: the
	// time in which VMs that lost power together start their processes, and the difference of
	// their clocks.
	startSpread = time.Second
	// viewTime is how long after it has joined a node has heard of the others that have started
	// with it.
	viewTime = 300 * time.Millisecond
)

// Fresh returns until when the server of the domain may assume the pledges of its nodes: until the
// first of them may pledge, if all nodes have lost power.
func (c *Census) Fresh() (until time.Time, ok bool) {
	earliest, ok := c.lostPower()
	until = c.born.Add(PledgeTime + Margin - earliest)
	return until, ok && time.Now().Before(until)
}

// lostPower reports whether all nodes have started together: all of the domain that are known are
// alive, and no node of any domain is known that has run for longer. One that is not back yet
// may have gone on behind a cut. It returns how long before this node the first has started.
func (c *Census) lostPower() (earliest time.Duration, ok bool) {
	if c.older || c.joinedAt.IsZero() || time.Since(c.joinedAt) < viewTime {
		return 0, false
	}
	others := 0
	for vm, s := range c.seen {
		if s.left || vm == c.self {
			continue
		}
		if !s.live || StartedBefore(s.before) {
			return 0, false
		}
		others++
		earliest = max(earliest, s.before)
	}
	return earliest, others > 0
}

// SetOlder records whether a node of another domain is known that has run for longer than this one.
func (c *Census) SetOlder(yes bool) { c.older = yes }

// StartedBefore reports whether a node that has started by the time before this one has run for
// longer, and not started together with it.
func StartedBefore(before time.Duration) bool { return before.Abs() >= startSpread }

// Count returns the number of nodes among which the domain's part is divided.
func (c *Census) Count() int {
	now, n := time.Now(), 1
	doubt := c.inDoubt(now)
	for vm, s := range c.seen {
		if vm != c.self && s.counts(now, doubt) {
			n++
		}
	}
	if c.joinedAt.IsZero() || now.Sub(c.born) < settleTime {
		if _, all := c.lostPower(); all {
			return n
		}
		return max(n, c.least)
	}
	return n
}
