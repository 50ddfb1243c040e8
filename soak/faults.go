package main

import (
	"fmt"
	"sort"
	"syscall"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

// fault is one kind of trouble. It begins it and returns what ends it, how long
// it lasts and what it disturbs.
type fault struct {
	name string
	run  func(w *world) running
}

// running is a fault in progress.
type running struct {
	what string
	// node is whom it disturbs, "" for all, and planned is whether the rules
	// hold on meanwhile.
	node    string
	planned bool
	lasts   time.Duration
	end     func()
}

// faults lists all kinds. Order matters: it is part of what a seed means. New
// kinds come last, so that --kinds plays an older seed as it was.
var faults = []fault{
	{"kill", killNode}, {"pause", pauseNode}, {"roll", rollNode}, {"hangup", hangUpNode},
	{"store-link", harmStoreLink}, {"store", harmStore}, {"compact", compactStore},
	{"server-link", harmServerLink}, {"server", harmServer}, {"crash", crashServer}, {"drain", drainServer},
	{"config", changeConfig}, {"reshard", reshard}, {"storm", stormConfig},
	{"link", harmLinks}, {"calls", harmCalls},
}

func (w *world) anyNode() *node { return w.nodes[w.random.IntN(len(w.nodes))] }

// anyServer picks a server whose service keeps another one.
func (w *world) anyServer() *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id := range w.servers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return w.servers[ids[w.random.IntN(len(ids))]]
}

// lasting draws how long a fault lasts.
func (w *world) lasting(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

func killNode(w *world) running {
	n := w.anyNode()
	n.kill()
	return running{what: n.name, node: n.name, lasts: restartPause, end: func() { w.again(n) }}
}

func (w *world) again(n *node) {
	if err := n.start(); err != nil {
		w.truth.mu.Lock()
		w.truth.problem("soak: node %s did not start: %v", n.name, err)
		w.truth.mu.Unlock()
	}
}

func pauseNode(w *world) running {
	n := w.anyNode()
	n.signal(syscall.SIGSTOP)
	return running{what: n.name, node: n.name, lasts: w.lasting(200*time.Millisecond, 3*time.Second), end: func() { n.signal(syscall.SIGCONT) }}
}

func rollNode(w *world) running {
	n := w.anyNode()
	begun := time.Now()
	w.truth.plan(n.name, begun, begun.Add(grace+time.Second))
	if !n.stop() {
		w.truth.mu.Lock()
		if w.truth.inTouch(n.name, begun) {
			w.truth.problem("stop: node %s did not end within its grace", n.name)
		}
		w.truth.mu.Unlock()
	}
	return running{what: n.name, node: n.name, planned: true, end: func() { w.again(n) }}
}

func hangUpNode(w *world) running {
	n := w.anyNode()
	n.signal(syscall.SIGHUP)
	return running{what: n.name, node: n.name, planned: true, end: func() {}}
}

func harmStoreLink(w *world) running {
	n := w.anyNode()
	s := anyLink(w)
	n.store.set(s)
	return running{what: fmt.Sprintf("%s state %d", n.name, s), node: n.name, lasts: w.lasting(500*time.Millisecond, 5*time.Second), end: func() { n.store.set(linkOpen) }}
}

// harmLinks harms all that comes to a node from others.
func harmLinks(w *world) running {
	n := w.anyNode()
	s := anyLink(w)
	n.links.set(s)
	n.links.setPackets(s)
	return running{what: fmt.Sprintf("%s state %d", n.name, s), node: n.name, lasts: w.lasting(500*time.Millisecond, 6*time.Second), end: func() {
		n.links.set(linkOpen)
		n.links.setPackets(linkOpen)
	}}
}

// harmCalls harms the calls between all nodes while their datagrams pass and
// the store answers: what a node is told must not depend on another one.
func harmCalls(w *world) running {
	s := anyLink(w)
	for _, n := range w.nodes {
		n.links.set(s)
	}
	return running{what: fmt.Sprintf("all state %d", s), planned: true, lasts: w.lasting(time.Second, 6*time.Second), end: func() {
		for _, n := range w.nodes {
			n.links.set(linkOpen)
		}
	}}
}

func anyLink(w *world) link {
	return []link{linkDelayed, linkSilent, linkOneWay, linkReset}[w.random.IntN(4)]
}

func harmStore(w *world) running {
	t := []fakes.StoreFault{fakes.StoreFaultSilent, fakes.StoreFaultBusy, fakes.StoreFaultReset}[w.random.IntN(3)]
	w.store.SetFault(t)
	return running{what: fmt.Sprintf("trouble %d", t), lasts: w.lasting(500*time.Millisecond, 4*time.Second), end: func() { w.store.SetFault(fakes.StoreFaultNone) }}
}

func compactStore(w *world) running {
	w.store.Compact()
	return running{planned: true, end: func() {}}
}

func harmServerLink(w *world) running {
	s := w.anyServer()
	l := anyLink(w)
	s.proxy.set(l)
	return running{what: fmt.Sprintf("%s state %d", s.ID, l), lasts: w.lasting(300*time.Millisecond, 3*time.Second), end: func() { s.proxy.set(linkOpen) }}
}

func harmServer(w *world) running {
	s := w.anyServer()
	f := []fakes.Fault{fakes.FaultSlow, fakes.FaultError, fakes.FaultLost, fakes.FaultShed, fakes.FaultCut, fakes.FaultExtra}[w.random.IntN(6)]
	s.SetFault(f)
	return running{what: fmt.Sprintf("%s fault %d", s.ID, f), lasts: w.lasting(500*time.Millisecond, 4*time.Second), end: func() { s.SetFault(fakes.FaultNone) }}
}

// crashServer ends a server for good; another one takes its place.
func crashServer(w *world) running {
	s := w.anyServer()
	w.retire(s)
	return running{what: s.ID, lasts: time.Second, end: func() {
		w.store.Delete("servers", s.ID)
		if err := w.startServers(s.Service, 1); err != nil {
			panic(err) // no port is left on this machine
		}
	}}
}

// retire ends a server's process.
func (w *world) retire(s *server) {
	w.mu.Lock()
	delete(w.servers, s.ID)
	w.mu.Unlock()
	s.proxy.close()
	_ = s.http.Close()
}

// drainServer empties a server while its replacement serves.
func drainServer(w *world) running {
	s := w.anyServer()
	if err := w.startServers(s.Service, 1); err != nil {
		panic(err) // no port is left on this machine
	}
	w.mu.Lock()
	delete(w.servers, s.ID)
	w.mu.Unlock()
	w.store.Put("servers", s.ID, s.Entry(s.proxy.addr(), s.zone, "draining"))
	w.truth.mu.Lock()
	w.truth.drained[s.ID] = time.Now()
	w.truth.mu.Unlock()
	return running{what: s.ID, planned: true, lasts: drainBound + 2*time.Second, end: func() {
		w.store.Delete("servers", s.ID)
		w.retire(s)
	}}
}

func changeConfig(w *world) running {
	w.configure([]string{"old", "new"}[w.random.IntN(2)])
	return running{what: fmt.Sprint(w.version), planned: true, end: func() {}}
}

// stormConfig writes versions in quick succession.
func stormConfig(w *world) running {
	for range 6 {
		w.configure([]string{"old", "new"}[w.random.IntN(2)])
		time.Sleep(80 * time.Millisecond)
	}
	return running{what: fmt.Sprint(w.version), planned: true, end: func() {}}
}

// reshard starts another set of shards and names it a second later.
func reshard(w *world) running {
	if w.set > 3 {
		return changeConfig(w)
	}
	if err := w.startShards(); err != nil {
		panic(err) // no port is left on this machine
	}
	time.Sleep(time.Second)
	w.configure("old")
	return running{what: fmt.Sprint("set ", w.set), planned: true, end: func() {}}
}
