package gate

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

// dispatch starts waiting tickets until the limit is reached or none is eligible.
// A ticket whose deadline has passed is rejected instead.
func (g *Gate) dispatch() {
	for !g.draining && !g.soloRunning && g.inFlight < g.Limit() {
		p, ok := g.nextPriority()
		if !ok {
			return
		}
		t, _ := g.classes[p].peek()
		if time.Now().After(t.deadline) {
			g.expire(p)
			g.release(t)
			g.refuse(t, ReasonExpired)
			continue
		}
		if t.solo && g.inFlight > 0 {
			return
		}
		g.dequeue(p)
		g.updateCredits(p)
		g.start(t)
	}
}

func (g *Gate) dequeue(p prio.Priority) {
	g.classes[p].pop()
	g.queued--
}

// expire removes the next ticket of the priority, whose deadline has passed.
func (g *Gate) expire(p prio.Priority) {
	if !g.fair {
		g.dequeue(p)
		return
	}
	g.classes[p].skip()
	g.queued--
}

func (g *Gate) start(t Ticket) {
	if g.inFlight == 0 {
		g.lastProgress = time.Now()
	}
	g.inFlight++
	g.running[t.priority]++
	g.soloRunning = t.solo
	g.actions = append(g.actions, Dispatch{Ticket: t})
}

// canStartNow reports whether a ticket of any priority would be dispatched
// immediately.
func (g *Gate) canStartNow() bool {
	return !g.draining && !g.soloRunning && g.queued == 0 && g.inFlight < g.Limit() && g.reserved == [prio.Count]int{}
}

// startNow dispatches a ticket without queueing it. canStartNow must have
// returned true.
func (g *Gate) startNow(t Ticket) {
	t.arrived = time.Now()
	g.hold(t)
	g.start(t)
	g.actions = g.actions[:0]
}

// nextPriority returns the priority to serve next: one with enough credit for a
// dispatch of its minimum share, otherwise the most urgent with waiting tickets.
func (g *Gate) nextPriority() (prio.Priority, bool) {
	best, found := prio.Bulk, false
	for _, p := range prio.All() {
		if !g.eligible(p) {
			continue
		}
		if !found {
			best, found = p, true
			continue
		}
		if g.credit[p] >= 1 {
			return p, true
		}
	}
	return best, found
}

func (g *Gate) eligible(p prio.Priority) bool {
	if g.classes[p].size() == 0 {
		return false
	}
	return g.reserved[p] == 0 || g.running[p] < max(g.Limit()-g.reserved[p], 1)
}

// updateCredits accounts for a dispatch. Every other priority with waiting
// tickets earns credit for its share, the served one spends up to one credit, and
// a priority without waiting tickets loses its credit.
func (g *Gate) updateCredits(served prio.Priority) {
	for _, p := range prio.All() {
		switch {
		case p == served:
			g.credit[p] = max(g.credit[p]-1, 0)
		case g.classes[p].size() > 0:
			g.credit[p] = min(g.credit[p]+g.share[p]/(1-g.share[p]), maxCredit)
		default:
			g.credit[p] = 0
		}
	}
}
