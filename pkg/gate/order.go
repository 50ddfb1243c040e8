package gate

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

// dispatch fills the free slots.
func (g *Gate) dispatch() {
	for !g.draining && !g.solo && g.inFlight < g.Limit() {
		p, ok := g.next()
		if !ok {
			return
		}
		t, _ := g.classes[p].peek()
		if time.Now().After(t.deadline) {
			g.take(p)
			g.refuse(t, ReasonExpired)
			continue
		}
		if t.solo && g.inFlight > 0 {
			return
		}
		g.take(p)
		g.charge(p)
		g.start(t)
	}
}

func (g *Gate) take(p prio.Priority) {
	g.classes[p].pop()
	g.queued--
}

func (g *Gate) start(t Ticket) {
	if g.inFlight == 0 {
		g.progress = time.Now()
	}
	g.inFlight++
	g.running[t.priority]++
	g.solo = t.solo
	g.out = append(g.out, Dispatch{Ticket: t})
}

// idle tells whether a ticket of any priority would be dispatched at once.
func (g *Gate) idle() bool {
	return !g.draining && !g.solo && g.queued == 0 && g.inFlight < g.Limit() && g.spare == [prio.Count]int{}
}

// startNow dispatches a ticket that never waits.
func (g *Gate) startNow(t Ticket) {
	t.arrived = time.Now()
	g.start(t)
	g.out = g.out[:0]
}

// next chooses the priority to serve: one that has saved up its reserved
// share, else the most urgent with waiting work.
func (g *Gate) next() (prio.Priority, bool) {
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
	return g.spare[p] == 0 || g.running[p] < max(g.Limit()-g.spare[p], 1)
}

// charge pays for a dispatch: every other priority with waiting work earns its
// share, and the one served spends one if it was below its turn.
func (g *Gate) charge(served prio.Priority) {
	for _, p := range prio.All() {
		switch {
		case p == served:
			g.credit[p] = max(g.credit[p]-1, 0)
		case g.classes[p].size() > 0:
			g.credit[p] = min(g.credit[p]+g.share[p]/(1-g.share[p]), creditCap)
		default:
			g.credit[p] = 0
		}
	}
}
