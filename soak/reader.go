package main

import (
	"fmt"
	"time"

	"geraniumstep.org/geraniumstep/pkg/reader"
)

// longestRemovalDelay bounds the time between the cut of a reader and a removal.
const longestRemovalDelay = 1500 * time.Millisecond

// cutReader cuts a node that ranks first among the readers of its failure domain off from the
// store, and then removes the entry of a server that does not report that it drains. The other nodes
// reach the store, and the cut one reaches them, so the bounds of the checker apply.
func cutReader(e *testEnv) activeFault {
	n := e.firstReader(e.randomNode().zone)
	state := []linkState{linkSilent, linkOneWay, linkReset}[e.random.IntN(3)]
	s := e.randomServer()
	e.retire(s)
	n.storeProxy.setState(state)
	time.Sleep(e.randomDuration(0, longestRemovalDelay))
	e.store.Delete("servers", s.ID)
	e.checker.mu.Lock()
	e.checker.drained[s.ID] = time.Now()
	e.checker.mu.Unlock()
	return activeFault{detail: fmt.Sprintf("%s state %d, %s", n.name, state, s.ID), planned: true, duration: drainBound + 2*time.Second, end: func() {
		n.storeProxy.setState(linkOpen)
		e.stopServer(s)
	}}
}

// firstReader returns the node of the zone that reads the store while all of its nodes are up.
func (e *testEnv) firstReader(zone string) *node {
	var first *node
	for _, n := range e.nodes {
		if n.zone == zone && (first == nil || reader.HasReader(first.name, []reader.Peer{{Name: n.name}})) {
			first = n
		}
	}
	return first
}
