package main

import (
	"fmt"
	"sort"
	"syscall"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

// fault is one kind of fault. Its run function starts the fault and returns what it
// affects, how long it lasts and how to end it.
type fault struct {
	name string
	run  func(e *testEnv) activeFault
}

// activeFault is a fault in progress.
type activeFault struct {
	detail string
	// node is the affected node, or "" for all nodes. If planned is set, the
	// bounds of the checker apply during the fault too.
	node     string
	planned  bool
	duration time.Duration
	end      func()
}

// faults lists all kinds of faults. A seed selects faults by their index, so their
// order must not change. New kinds are appended, so that --kinds can reproduce seeds
// that ran with fewer kinds.
var faults = []fault{
	{"kill", killNode}, {"pause", pauseNode}, {"roll", rollNode}, {"hangup", hangUpNode},
	{"store-link", impairStoreLink}, {"store", failStore}, {"compact", compactStore},
	{"server-link", impairServerLink}, {"server", failServer}, {"crash", crashServer}, {"drain", drainServer},
	{"config", changeConfig}, {"reshard", reshard}, {"storm", stormConfig},
	{"link", impairLinks}, {"calls", impairCalls},
	{"crash-request", sendCrashingRequest}, {"crash-herd", crashHerd},
	{"ending-request", sendEndingRequest}, {"limit", limitServer},
	{"restore", restoreStore}, {"servers-cut", cutServers}, {"leaving", sayLeaving}, {"rest", askRest},
	{"drill", drillStore}, {"reader-cut", cutReader},
	{"evacuation", evacuateZone},
}

func (e *testEnv) randomNode() *node { return e.nodes[e.random.IntN(len(e.nodes))] }

// randomServer returns one of the servers that are neither stopped nor draining. Each
// service starts with two servers, so that normally another one remains. The IDs are
// sorted so that the choice depends only on the seed.
func (e *testEnv) randomServer() *server {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for id := range e.servers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return e.servers[ids[e.random.IntN(len(ids))]]
}

// randomDuration returns a random duration from shortest up to longest.
func (e *testEnv) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(e.random.Int64N(int64(longest-shortest)))
}

func killNode(e *testEnv) activeFault {
	n := e.randomNode()
	n.kill()
	return activeFault{detail: n.name, node: n.name, duration: restartDelay, end: func() { e.restart(n) }}
}

// restart starts a stopped node, and records a violation if that fails.
func (e *testEnv) restart(n *node) {
	if err := n.start(); err != nil {
		e.checker.mu.Lock()
		e.checker.violate("soak: node %s did not start: %v", n.name, err)
		e.checker.mu.Unlock()
	}
}

func pauseNode(e *testEnv) activeFault {
	n := e.randomNode()
	n.signal(syscall.SIGSTOP)
	return activeFault{detail: n.name, node: n.name, duration: e.randomDuration(200*time.Millisecond, 3*time.Second), end: func() { n.signal(syscall.SIGCONT) }}
}

// rollNode stops a node as in a rolling update and starts it again. A node without
// other faults must exit within gracePeriod.
func rollNode(e *testEnv) activeFault {
	n := e.randomNode()
	started := time.Now()
	e.checker.recordStop(n.name, started, started.Add(gracePeriod+time.Second))
	if !n.stop() {
		e.checker.mu.Lock()
		if e.checker.settled(n.name, started) {
			e.checker.violate("stop: node %s did not end within its grace", n.name)
		}
		e.checker.mu.Unlock()
	}
	return activeFault{detail: n.name, node: n.name, planned: true, end: func() { e.restart(n) }}
}

// hangUpNode sends SIGHUP, on which a node reloads its log level. This must not
// affect callers, so the fault counts as planned.
func hangUpNode(e *testEnv) activeFault {
	n := e.randomNode()
	n.signal(syscall.SIGHUP)
	return activeFault{detail: n.name, node: n.name, planned: true, end: func() {}}
}

func impairStoreLink(e *testEnv) activeFault {
	n := e.randomNode()
	s := randomLinkState(e)
	n.storeProxy.setState(s)
	return activeFault{detail: fmt.Sprintf("%s state %d", n.name, s), node: n.name, duration: e.randomDuration(500*time.Millisecond, 5*time.Second), end: func() { n.storeProxy.setState(linkOpen) }}
}

// impairLinks impairs the connections and datagrams from other nodes to a node.
func impairLinks(e *testEnv) activeFault {
	n := e.randomNode()
	s := randomLinkState(e)
	n.innerProxy.setState(s)
	n.innerProxy.setPacketState(s)
	return activeFault{detail: fmt.Sprintf("%s state %d", n.name, s), node: n.name, duration: e.randomDuration(500*time.Millisecond, 6*time.Second), end: func() {
		n.innerProxy.setState(linkOpen)
		n.innerProxy.setPacketState(linkOpen)
	}}
}

// impairCalls impairs the connections between all nodes, while datagrams are delivered
// and the store responds. The fault counts as planned: a node must receive updates from
// the store without depending on another node.
func impairCalls(e *testEnv) activeFault {
	s := randomLinkState(e)
	for _, n := range e.nodes {
		n.innerProxy.setState(s)
	}
	return activeFault{detail: fmt.Sprintf("all state %d", s), planned: true, duration: e.randomDuration(time.Second, 6*time.Second), end: func() {
		for _, n := range e.nodes {
			n.innerProxy.setState(linkOpen)
		}
	}}
}

func randomLinkState(e *testEnv) linkState {
	return []linkState{linkDelayed, linkSilent, linkOneWay, linkReset}[e.random.IntN(4)]
}

func failStore(e *testEnv) activeFault {
	f := []fakes.StoreFault{fakes.StoreFaultSilent, fakes.StoreFaultBusy, fakes.StoreFaultReset}[e.random.IntN(3)]
	e.store.SetFault(f)
	return activeFault{detail: fmt.Sprintf("fault %d", f), duration: e.randomDuration(500*time.Millisecond, 4*time.Second), end: func() { e.store.SetFault(fakes.StoreFaultNone) }}
}

// compactStore deletes the change history of the store, so that watches from an older
// revision must list again.
func compactStore(e *testEnv) activeFault {
	e.store.Compact()
	return activeFault{planned: true, end: func() {}}
}

// restoreStore makes the store come back from a copy that is some seconds old. The operator
// and the servers write again what was lost.
func restoreStore(e *testEnv) activeFault {
	old := e.store.Copy()
	time.Sleep(e.randomDuration(500*time.Millisecond, 3*time.Second))
	lost := e.store.Copy()
	e.store.Restore(old)
	return activeFault{duration: time.Second, end: func() {
		e.store.WriteAgain(lost, "servers", old)
		e.store.WriteAgain(lost, "config", old)
		e.writeEvacuations()
	}}
}

func impairServerLink(e *testEnv) activeFault {
	s := e.randomServer()
	l := randomLinkState(e)
	s.proxy.setState(l)
	return activeFault{detail: fmt.Sprintf("%s state %d", s.ID, l), duration: e.randomDuration(300*time.Millisecond, 3*time.Second), end: func() { s.proxy.setState(linkOpen) }}
}

func failServer(e *testEnv) activeFault {
	s := e.randomServer()
	f := []fakes.Fault{fakes.FaultSlow, fakes.FaultError, fakes.FaultLost, fakes.FaultShed, fakes.FaultCut, fakes.FaultExtra}[e.random.IntN(6)]
	s.SetFault(f)
	return activeFault{detail: fmt.Sprintf("%s fault %d", s.ID, f), duration: e.randomDuration(500*time.Millisecond, 4*time.Second), end: func() { s.SetFault(fakes.FaultNone) }}
}

// crashServer stops a server permanently. Another one replaces it a second later.
func crashServer(e *testEnv) activeFault {
	s := e.randomServer()
	e.stopServer(s)
	return activeFault{detail: s.ID, duration: time.Second, end: func() {
		e.replaceServer(s)
	}}
}

// stopServer stops a server and closes its connections.
func (e *testEnv) stopServer(s *server) {
	e.mu.Lock()
	delete(e.servers, s.ID)
	e.mu.Unlock()
	s.proxy.close()
	_ = s.http.Close()
}

// retire starts a replacement of a server and leaves the server out of those that faults draw from.
func (e *testEnv) retire(s *server) {
	if err := e.startServers(s.Service, 1); err != nil {
		panic(err) // this machine has no free port
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.servers, s.ID)
}

// drainServer drains a server after its replacement has started.
func drainServer(e *testEnv) activeFault {
	s := e.randomServer()
	e.retire(s)
	e.store.Put("servers", s.ID, s.Entry(s.proxy.addr(), s.zone, "draining"))
	e.checker.mu.Lock()
	e.checker.drained[s.ID] = time.Now()
	e.checker.mu.Unlock()
	return activeFault{detail: s.ID, planned: true, duration: drainBound + 2*time.Second, end: func() {
		e.store.Delete("servers", s.ID)
		e.stopServer(s)
	}}
}

func changeConfig(e *testEnv) activeFault {
	e.configure([]string{"old", "new"}[e.random.IntN(2)])
	return activeFault{detail: fmt.Sprint(e.version), planned: true, end: func() {}}
}

// stormConfig stores several versions of the configuration in quick succession.
func stormConfig(e *testEnv) activeFault {
	for range 6 {
		e.configure([]string{"old", "new"}[e.random.IntN(2)])
		time.Sleep(80 * time.Millisecond)
	}
	return activeFault{detail: fmt.Sprint(e.version), planned: true, end: func() {}}
}

// reshard starts the next set of shards and stores a configuration with it a second
// later.
func reshard(e *testEnv) activeFault {
	if e.shardSet > 3 {
		return changeConfig(e)
	}
	if err := e.startShards(); err != nil {
		panic(err) // this machine has no free port
	}
	time.Sleep(time.Second)
	e.configure("old")
	return activeFault{detail: fmt.Sprint("set ", e.shardSet), planned: true, end: func() {}}
}
