package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

const (
	// crashRestart is how long a server is down after a request has crashed it.
	crashRestart = 3 * time.Second
	// crashInterval is the time between the sends of a request that crashes servers.
	crashInterval = 400 * time.Millisecond
	// learnBound is the time after the third crash beyond which a request that
	// crashes servers may reach servers maxLateSends more times. They are the
	// platform's bounds.
	learnBound   = 5 * time.Second
	maxLateSends = 3
	// learnCrashes is the number of crashes from which learnBound counts.
	learnCrashes = 3
)

// sendCrashingRequest sends one request that crashes each server that runs it, again and
// again to random nodes. The bounds of the checker apply meanwhile.
func sendCrashingRequest(e *testEnv) activeFault {
	host, method := hostSearch, http.MethodGet
	if e.random.IntN(2) == 0 {
		host, method = hostSubmission, http.MethodPost
	}
	random := rand.New(rand.NewPCG(e.random.Uint64(), 3))
	path := fmt.Sprintf("/p/%s-%d", fakes.CrashWord, e.requests.Add(1))
	ctx, cancel := context.WithCancel(context.Background())
	var sender sync.WaitGroup
	sender.Go(func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for ctx.Err() == nil {
			e.sendOnce(client, e.nodes[random.IntN(len(e.nodes))], method, host, path)
			time.Sleep(crashInterval)
		}
	})
	return activeFault{detail: host + path, planned: true, duration: e.randomDuration(8*time.Second, 12*time.Second), end: func() {
		cancel()
		sender.Wait()
	}}
}

// sendEndingRequest is sendCrashingRequest with servers that end in various ways.
func sendEndingRequest(e *testEnv) activeFault {
	e.crashEnds.Add(1)
	f := sendCrashingRequest(e)
	end := f.end
	f.end = func() {
		end()
		e.crashEnds.Add(-1)
	}
	return f
}

// crashUnder stops a server because of a request and starts another one after
// crashRestart. The way it ends varies while sendEndingRequest is active.
func (e *testEnv) crashUnder(s *server) {
	if how := fakes.End(rand.IntN(int(fakes.EndVanished) + 1)); e.crashEnds.Load() > 0 && how != fakes.EndRefusing {
		e.endServer(s, how)
	} else {
		e.stopServer(s)
	}
	time.AfterFunc(crashRestart, func() {
		e.mu.Lock()
		closed := e.closed
		e.mu.Unlock()
		if !closed {
			e.replaceServer(s)
		}
	})
}

// endServer ends a server that leaves its address behind.
func (e *testEnv) endServer(s *server, how fakes.End) {
	e.mu.Lock()
	delete(e.servers, s.ID)
	e.left = append(e.left, s)
	e.mu.Unlock()
	if how == fakes.EndVanished {
		s.Vanish()
	} else {
		s.proxy.setState(linkReset)
	}
	if how != fakes.EndResetting {
		s.proxy.setState(linkSilent)
	}
}

// replaceServer removes a stopped server from the store and starts another one.
func (e *testEnv) replaceServer(s *server) {
	e.store.Delete("servers", s.ID)
	if err := e.startServers(s.Service, 1); err != nil {
		panic(err) // this machine has no free port
	}
}

// crashHerd stops one server of each service at the same moment, while equal requests
// are in flight on them. Others replace them a second later.
func crashHerd(e *testEnv) activeFault {
	first := make(map[string]*server)
	e.mu.Lock()
	for _, s := range e.servers {
		if old, ok := first[s.Service]; !ok || s.ID < old.ID {
			first[s.Service] = s
		}
	}
	e.mu.Unlock()
	for _, s := range first {
		e.stopServer(s)
	}
	return activeFault{detail: fmt.Sprint(len(first), " servers"), duration: time.Second, end: func() {
		for _, s := range first {
			e.replaceServer(s)
		}
	}}
}

// checkCrashing checks that requests that crash servers stop reaching them. nodes maps
// the attempts to the nodes that received them. It must be called with mu held.
func (c *checker) checkCrashing(nodes map[string]string) {
	runs := make(map[string][]fakes.Run)
	for _, r := range c.runLog.Runs("") {
		if strings.Contains(r.Path, fakes.CrashWord) {
			runs[r.Path] = append(runs[r.Path], r)
		}
	}
	for path, list := range runs {
		late := 0
		for _, r := range list {
			if len(list) >= learnCrashes && r.At.Sub(list[learnCrashes-1].At) > learnBound && c.settled(nodes[r.Request], r.At) {
				late++
			}
		}
		if late > maxLateSends {
			c.violate("budget: request %s, which crashes servers, reached %d servers later than %v after its third crash (%d in all)", path, late, learnBound, len(list))
		}
	}
}
