package main

import (
	"fmt"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

const (
	// rewriteBound is the time within which the operator and the servers write again what
	// the store has lost, as the platform states it.
	rewriteBound = 2 * time.Second
	// drillServeTime is how long a server that leaves in a drill goes on serving. The bounds of
	// the checker apply again settleTime after the drill.
	drillServeTime = settleTime + drainBound + 3*time.Second
	maxDrillMoves  = 3
)

// drill takes the store away for a moment, and brings it back from a copy that is some
// seconds old, once or twice. Servers join and leave before it, meanwhile and after it.
type drill struct {
	env    *testEnv
	copied fakes.Copy
	leaves []drillLeave
	joins  int
}

// drillLeave is a server that leaves. A silent one does not report that it drains: its entry is
// removed.
type drillLeave struct {
	server *server
	silent bool
}

func drillStore(e *testEnv) activeFault {
	d := &drill{env: e, copied: e.store.Copy()}
	d.move(e.randomDuration(200*time.Millisecond, 3*time.Second))
	started := time.Now()
	restores := 1 + e.random.IntN(2)
	for range restores {
		e.store.SetFault([]fakes.StoreFault{fakes.StoreFaultSilent, fakes.StoreFaultBusy, fakes.StoreFaultReset}[e.random.IntN(3)])
		d.move(e.randomDuration(200*time.Millisecond, 2*time.Second))
		lost := e.store.Copy()
		e.store.Restore(d.copied)
		if e.random.IntN(2) == 0 {
			d.writeAgain(lost) // before any node reads the store
			e.store.SetFault(fakes.StoreFaultNone)
		} else {
			e.store.SetFault(fakes.StoreFaultNone)
			time.Sleep(e.randomDuration(0, rewriteBound))
			d.writeAgain(lost)
		}
	}
	e.checker.recordFault("", started, time.Now())
	d.move(e.randomDuration(0, 2*time.Second))
	detail := fmt.Sprintf("restores %d joins %d leaves %d", restores, d.joins, len(d.leaves))
	return activeFault{detail: detail, planned: true, duration: drillServeTime, end: func() {
		for _, l := range d.leaves {
			e.store.Delete("servers", l.server.ID)
			e.stopServer(l.server)
		}
	}}
}

// move has some servers join and leave, spread over the given time.
func (d *drill) move(length time.Duration) {
	moves := d.env.random.IntN(maxDrillMoves + 1)
	for range moves {
		time.Sleep(length / time.Duration(moves+1))
		s := d.env.randomServer()
		if err := d.env.startServers(s.Service, 1); err != nil {
			panic(err) // this machine has no free port
		}
		d.joins++
		if d.env.random.IntN(3) > 0 {
			d.leave(drillLeave{server: s, silent: d.env.random.IntN(3) == 0})
		}
	}
	time.Sleep(length / time.Duration(moves+1))
}

// leave has a server leave. The store accepts this now; if it loses it, writeAgain sets when it
// accepts it again.
func (d *drill) leave(l drillLeave) {
	e := d.env
	e.mu.Lock()
	delete(e.servers, l.server.ID)
	e.mu.Unlock()
	if l.silent {
		e.store.Delete("servers", l.server.ID)
	} else {
		e.store.Put("servers", l.server.ID, l.server.Entry(l.server.proxy.addr(), l.server.zone, "draining"))
	}
	d.leaves = append(d.leaves, l)
	e.checker.mu.Lock()
	e.checker.drained[l.server.ID] = time.Now()
	e.checker.mu.Unlock()
}

// writeAgain has the operator and the servers write again what the store has lost.
func (d *drill) writeAgain(lost fakes.Copy) {
	e := d.env
	e.store.WriteAgain(lost, "servers", d.copied)
	e.store.WriteAgain(lost, "config", d.copied)
	e.writeEvacuations()
	e.checker.mu.Lock()
	defer e.checker.mu.Unlock()
	for _, l := range d.leaves {
		e.checker.drained[l.server.ID] = time.Now()
	}
}
