package main

import (
	"fmt"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

const (
	// restGrace is the time from a rejection that asks for rest after which the rest
	// counts, and maxInRest how many requests of each node may reach the server in it.
	restGrace = 500 * time.Millisecond
	maxInRest = 2
)

// wordOfLeaving is a time in which a server says in its answers that it leaves, while the
// registry does not.
type wordOfLeaving struct {
	server   string
	from, to time.Time
}

// askedRest is a time in which a server rejects requests and asks for rest.
type askedRest struct {
	server   *fakes.Server
	rest     time.Duration
	from, to time.Time
}

// sayLeaving makes a server say in its answers that it leaves. Another one has started before.
func sayLeaving(e *testEnv) activeFault {
	s := e.randomServer()
	e.retire(s)
	w := wordOfLeaving{server: s.ID, from: time.Now()}
	s.SetLeaving(true)
	return activeFault{detail: s.ID, planned: true, duration: e.randomDuration(6*time.Second, 10*time.Second), end: func() {
		w.to = time.Now()
		e.checker.mu.Lock()
		e.checker.leavings = append(e.checker.leavings, w)
		e.checker.mu.Unlock()
		e.store.Delete("servers", s.ID)
		e.stopServer(s)
	}}
}

// askRest makes a server reject all requests and ask for rest.
func askRest(e *testEnv) activeFault {
	s := e.randomServer()
	rest := e.randomDuration(800*time.Millisecond, 3*time.Second)
	a := askedRest{server: s.Server, rest: rest, from: time.Now()}
	s.SetRest(fmt.Sprintf("%.3f", rest.Seconds()))
	s.SetFault(fakes.FaultShed)
	return activeFault{detail: fmt.Sprintf("%s %v", s.ID, rest.Round(time.Millisecond)), planned: true, duration: e.randomDuration(3*time.Second, 8*time.Second), end: func() {
		a.to = time.Now()
		s.SetFault(fakes.FaultNone)
		s.SetRest("")
		e.checker.mu.Lock()
		defer e.checker.mu.Unlock()
		e.checker.rests = append(e.checker.rests, a)
	}}
}

// checkLeavings checks that servers got no requests some time after their first answer with
// the word that they leave. Times with faults or stops of nodes do not count, because a node
// may then have missed what another one heard. receivers maps the attempts to the nodes that
// received them. It must be called with mu held.
func (c *checker) checkLeavings(receivers map[string]string) {
	for _, w := range c.leavings {
		var first time.Time
		late := 0
		for _, r := range c.runLog.Runs("") {
			if r.Server != w.server || r.At.Before(w.from) || r.At.After(w.to) || receivers[r.Request] == "" {
				continue
			}
			if first.IsZero() {
				first = r.At
			}
			if r.At.Sub(first) > drainBound && c.allSettled(r.At) && c.allSettled(first) && !c.anyStop(first, r.At) {
				late++
			}
		}
		if late > 0 {
			c.violate("drain: server %s ran %d requests later than %v after it said that it leaves", w.server, late, drainBound)
		}
	}
}

// anyStop reports whether any node had a planned stop between the times.
func (c *checker) anyStop(from, to time.Time) bool {
	for _, stops := range c.stops {
		if overlaps(stops, from.Add(-settleTime), to) {
			return true
		}
	}
	return false
}

// checkRests checks that servers which asked for rest got few requests in it. It must be
// called with mu held.
func (c *checker) checkRests() {
	for _, a := range c.rests {
		if !c.allSettled(a.from) || !c.allSettled(a.to) || c.anyStop(a.from, a.to) {
			continue
		}
		arrivals := a.server.Arrivals()
		allowed := c.nodes * (1 + maxInRest)
		for i, first := range arrivals {
			if first.Before(a.from.Add(restGrace)) || first.Add(a.rest).After(a.to) {
				continue
			}
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(first) < a.rest-restGrace {
					n++
				}
			}
			if n > allowed {
				c.violate("rest: server %s asked for %v of rest and got %d requests in it, allowed %d", a.server.ID, a.rest, n, allowed)
				break
			}
		}
	}
}
