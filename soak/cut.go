package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// cutNoticeBound is the time after which a node that is cut off from the servers must
	// serve its callers by way of the others. Then the part of its callers' attempts that
	// are answered must be at least minCutRatio of that at the other nodes, unless no more
	// than cutAllowance and one in cutAllowanceDivisor of all fail. They are the platform's
	// bounds.
	cutNoticeBound      = 5 * time.Second
	minCutRatio         = 2.0 / 3
	cutAllowance        = 10
	cutAllowanceDivisor = 50
	// shortestCut and longestCut bound the length of a cut.
	shortestCut = 8 * time.Second
	longestCut  = 12 * time.Second
	// socketLinkPrefix starts the links of sockets among the files of a process. The
	// constants after it are the columns of its table of connections.
	socketLinkPrefix     = "socket:["
	tcpTableLocalAddress = 1
	tcpTableInode        = 9
)

// serverCut is a time in which a node reached no server.
type serverCut struct {
	node     string
	from, to time.Time
}

// try is one attempt of a caller.
type try struct {
	node   string
	at     time.Time
	served bool
}

// cutServers cuts a node off from all servers. Callers, the other nodes and the store reach
// it, so the bounds of the checker apply.
func cutServers(e *testEnv) activeFault {
	n := e.randomNode()
	state := []linkState{linkSilent, linkOneWay, linkReset}[e.random.IntN(3)]
	c := serverCut{node: n.name, from: time.Now()}
	e.setCut(n, state)
	stop := e.sendEvenly()
	return activeFault{detail: fmt.Sprintf("%s state %d", n.name, state), planned: true, duration: e.randomDuration(shortestCut, longestCut), end: func() {
		e.setCut(n, linkOpen)
		c.to = time.Now()
		stop()
		e.checker.mu.Lock()
		defer e.checker.mu.Unlock()
		e.checker.serverCuts = append(e.checker.serverCuts, c)
	}}
}

// evenInterval is the time between the requests of sendEvenly to a node.
const evenInterval = 60 * time.Millisecond

// sendEvenly sends requests to all nodes at the same rate, however long the answers take,
// until the returned function is called.
func (e *testEnv) sendEvenly() (stop func()) {
	done := make(chan struct{})
	client := &http.Client{Transport: &http.Transport{}}
	var sends sync.WaitGroup
	sends.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(evenInterval):
			}
			host, method := hostSearch, http.MethodGet
			if i%3 == 0 {
				host, method = hostSubmission, http.MethodPost
			}
			for _, n := range e.nodes {
				if n.inRotation() {
					sends.Go(func() { e.checker.check(e.sendOnce(client, n, method, host, fmt.Sprintf("/p/even-%d", i))) })
				}
			}
		}
	})
	return func() {
		close(done)
		sends.Wait()
		client.CloseIdleConnections()
	}
}

// setCut sets the state of the node's connections to all servers.
func (e *testEnv) setCut(n *node, s linkState) {
	if s == linkOpen {
		e.cutNode.Store(nil)
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, server := range e.servers {
			server.proxy.endCuts()
		}
		return
	}
	e.cutNode.Store(&nodeCut{node: n, state: s})
	ports := n.ports()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, server := range e.servers {
		server.proxy.applyCut(s, ports)
	}
}

// nodeCut is the cut in progress.
type nodeCut struct {
	node  *node
	state linkState
}

// cutStateOf returns the state that a new connection to a server has because its node is cut
// off.
func (e *testEnv) cutStateOf(c net.Conn) (linkState, bool) {
	cut := e.cutNode.Load()
	if cut == nil || !cut.node.ports()[remotePort(c)] {
		return linkOpen, false
	}
	return cut.state, true
}

func remotePort(c net.Conn) int {
	if addr, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return addr.Port
	}
	return 0
}

// ports returns the local ports of the connections of the node's process. It is empty if the
// process has just ended.
func (n *node) ports() map[int]bool {
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	ports := make(map[int]bool)
	if process == nil {
		return ports
	}
	dir := filepath.Join("/proc", strconv.Itoa(process.Process.Pid))
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return ports
	}
	inodes := make(map[string]bool)
	for _, f := range files {
		if link, err := os.Readlink(filepath.Join(dir, "fd", f.Name())); err == nil && strings.HasPrefix(link, socketLinkPrefix) {
			inodes[strings.TrimSuffix(strings.TrimPrefix(link, socketLinkPrefix), "]")] = true
		}
	}
	table, err := os.ReadFile(filepath.Join(dir, "net", "tcp"))
	if err != nil {
		return ports
	}
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) <= tcpTableInode || !inodes[fields[tcpTableInode]] {
			continue
		}
		_, port, _ := strings.Cut(fields[tcpTableLocalAddress], ":")
		if p, err := strconv.ParseInt(port, 16, 32); err == nil {
			ports[int(p)] = true
		}
	}
	return ports
}

// checkCuts checks that callers of nodes that reached no server were served. Attempts at
// nodes with other faults do not count. It must be called with mu held.
func (c *checker) checkCuts() {
	for _, cut := range c.serverCuts {
		var sent, served [2]int // at the other nodes, and at the cut one
		for _, t := range c.tries {
			if t.at.Sub(cut.from) < cutNoticeBound || t.at.After(cut.to) || !c.settled(t.node, t.at) || overlaps(c.stops[t.node], t.at.Add(-settleTime), t.at) {
				continue
			}
			k := 0
			if t.node == cut.node {
				k = 1
			}
			sent[k]++
			if t.served {
				served[k]++
			}
		}
		failed, all := sent[1]-served[1], sent[0]+sent[1]
		if float64(served[1])*float64(sent[0]) < minCutRatio*float64(served[0])*float64(sent[1]) && failed > cutAllowance+all/cutAllowanceDivisor {
			c.violate("recover: node %s, cut off from the servers, served %d of %d, the others %d of %d", cut.node, served[1], sent[1], served[0], sent[0])
		}
	}
}
