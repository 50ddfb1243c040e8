package main

import (
	"fmt"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

const (
	// limitLearnBound is the time after which a limit that a server states must be kept.
	// In any limitWindow the server may then get limitFactor times what the limit allows,
	// and limitAllowance requests more. They are the platform's bounds.
	limitLearnBound = 5 * time.Second
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitAllowance  = 5
)

// statedLimit is a limit in requests per second that a server states for some time.
type statedLimit struct {
	server   string
	rate     int
	from, to time.Time
}

// limitServer makes a server state a limit. The bounds of the checker apply meanwhile.
func limitServer(e *testEnv) activeFault {
	s := e.randomServer()
	rate := 1 + e.random.IntN(10)
	l := statedLimit{server: s.ID, rate: rate, from: time.Now()}
	s.SetLimit(fmt.Sprint(rate))
	return activeFault{detail: fmt.Sprintf("%s %d/s", s.ID, rate), planned: true, duration: e.randomDuration(8*time.Second, 12*time.Second), end: func() {
		l.to = time.Now()
		s.SetLimit("")
		e.checker.mu.Lock()
		defer e.checker.mu.Unlock()
		e.checker.limits = append(e.checker.limits, l)
	}}
}

// checkLimits checks that servers got no more requests than the limits that they stated
// allow. receivers maps the attempts to the nodes that received them; those of nodes that
// were not settled, or had been restarted, do not count. It must be called with mu held.
func (c *checker) checkLimits(receivers map[string]string) {
	for _, l := range c.limits {
		var counted []fakes.Run
		for _, r := range c.runLog.Runs("") {
			node := receivers[r.Request]
			restarted := overlaps(c.stops[node], r.At.Add(-settleTime), r.At)
			if r.Server == l.server && r.At.Sub(l.from) > limitLearnBound && r.At.Before(l.to) && c.settled(node, r.At) && !restarted {
				counted = append(counted, r)
			}
		}
		allowed := int(limitFactor*limitWindow.Seconds())*l.rate + limitAllowance
		for i, first := range counted {
			n := 0
			for _, r := range counted[i:] {
				if r.At.Sub(first.At) < limitWindow {
					n++
				}
			}
			if n > allowed {
				c.violate("limit: server %s, which accepts %d requests a second, got %d in %v, allowed %d", l.server, l.rate, n, limitWindow, allowed)
				break
			}
		}
	}
}
