package gate

import (
	"math"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

// Position is the place of a ticket that would arrive now.
type Position struct {
	// Limit is the number of tickets that may run at once, and Running how many do.
	Limit, Running int
	// Ahead is the number of waiting tickets that are expected to run before it.
	Ahead int
	// Own is the number of tickets of the workspace, of any priority, that run or wait.
	Own int
	// Share is the number of tickets that run or wait, of each other workspace only as many
	// as this one would have.
	Share int
}

// Position returns the place of the next ticket of the priority and workspace.
func (g *Gate) Position(p prio.Priority, workspace string) Position {
	pos := Position{Limit: g.Limit(), Running: g.inFlight, Ahead: g.aheadOf(p, workspace), Own: g.held[workspace]}
	for other, n := range g.held {
		if other != workspace {
			n = min(n, pos.Own+1)
		}
		pos.Share += n
	}
	return pos
}

// hold counts a ticket that waits or runs, and release one that no longer does.
func (g *Gate) hold(t Ticket) { g.held[t.workspace]++ }

func (g *Gate) release(t Ticket) {
	if g.held[t.workspace]--; g.held[t.workspace] <= 0 {
		delete(g.held, t.workspace)
	}
}

func (g *Gate) setFair(on bool) {
	g.fair = on && !g.fifo
	for p := range g.classes {
		g.classes[p].setFair(g.fair)
	}
}

// aheadOf returns the number of waiting tickets that would run before a new one of the
// priority and workspace. In a fair gate these are, of each other workspace, no more than
// wait of this one, and the minimum share of the priority bounds how many tickets of more
// urgent ones run before.
func (g *Gate) aheadOf(p prio.Priority, workspace string) int {
	if !g.fair {
		return g.ahead(p)
	}
	own := g.classes[p].aheadOf(workspace)
	total := own
	for q := p + 1; q < prio.Count; q++ {
		total += g.classes[q].size()
	}
	if g.share[p] > 0 {
		total = min(total, int(math.Ceil(float64(own+1)/g.share[p]))-1)
	}
	return total
}

// replaceFairly handles a ticket that arrives at a full queue. Each less urgent priority
// keeps its minimum share of the queue, and so does the arriving ticket's. Otherwise the
// victim is of the least urgent priority, and in the ticket's own priority of a workspace
// that would still have as many waiting tickets as the arriving one's.
func (g *Gate) replaceFairly(t Ticket) {
	p, ok := g.victimOf(t)
	if !ok {
		g.refuse(t, ReasonFull)
		return
	}
	victim, _ := g.classes[p].dropLast()
	g.queued--
	g.release(victim)
	g.refuse(victim, ReasonFull)
	g.enqueue(t)
}

// victimOf returns the priority of which a ticket is evicted for the arriving one.
func (g *Gate) victimOf(t Ticket) (prio.Priority, bool) {
	for p := prio.Bulk; p < t.priority; p++ {
		if g.classes[p].size() > g.guaranteed(p) {
			return p, true
		}
	}
	own := &g.classes[t.priority]
	if _, f := own.longest(); f != nil && f.tickets.Len() > own.waiting(t.workspace)+1 {
		return t.priority, true
	}
	if own.size() >= g.guaranteed(t.priority) {
		return 0, false
	}
	for _, p := range prio.All() {
		if p > t.priority && g.classes[p].size() > g.guaranteed(p) {
			return p, true
		}
	}
	return 0, false
}

// guaranteed returns how many places of the queue a priority keeps at least.
func (g *Gate) guaranteed(p prio.Priority) int {
	return int(math.Ceil(g.share[p] * float64(g.queueCap)))
}

func (c *class) setFair(on bool) {
	c.fair = on
	clear(c.served)
}

// startOf returns the virtual time at which a flow begins. One that has been served in the
// current round waits for the next one.
func (c *class) startOf(name string) float64 {
	return max(c.virtualNow, c.served[name])
}

// advance sets the virtual time of the flow that is served. All flows that are empty have
// been served in the round before, or not at all, when it increases.
func (c *class) advance(to float64) {
	if to > c.virtualNow {
		clear(c.served)
	}
	c.virtualNow = to
}

func (c *class) removeFlow(name string, f *flow) {
	delete(c.flows, name)
	if c.fair && f.virtualTime > c.virtualNow {
		c.served[name] = f.virtualTime
	}
}

// skip removes the next ticket without charging its workspace for a dispatch.
func (c *class) skip() {
	name, f := c.leastServed()
	c.removeAt(name, f, 0)
}

// waiting returns how many tickets of the workspace wait.
func (c *class) waiting(name string) int {
	if f, ok := c.flows[name]; ok {
		return f.tickets.Len()
	}
	return 0
}

// aheadOf returns how many tickets of the class run before a new one of the workspace that
// is the last of its flow.
func (c *class) aheadOf(name string) int {
	turn, n := c.startOf(name), 0
	if f, ok := c.flows[name]; ok {
		n = f.tickets.Len()
		turn = f.virtualTime + float64(n)
	}
	for other, f := range c.flows {
		if other == name {
			continue
		}
		n += min(max(int(turn-f.virtualTime)+1, 0), f.tickets.Len())
	}
	return n
}
