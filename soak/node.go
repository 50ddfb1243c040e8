package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

const (
	// gracePeriod is the maximum time between SIGTERM and the exit of a node.
	gracePeriod = 4 * time.Second
	// restartDelay is the time between the kill and the restart of a node.
	restartDelay = 300 * time.Millisecond
)

// node is one process of the query tier.
type node struct {
	env        *testEnv
	name       string
	zone       string
	callerAddr string
	// innerAddr is where the node listens for other nodes. They reach it
	// through innerProxy.
	innerAddr  string
	innerProxy *proxy
	seeds      []string // inner addresses of the nodes that it joins through
	readyAddr  string
	storeProxy *proxy

	// excluded reports whether the load balancer sends no callers to the node.
	excluded atomic.Bool

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	shouldRun bool // whether the process is meant to run
}

func newNode(e *testEnv, name, zone string) (*node, error) {
	p, err := newProxy(e.storeAddr)
	if err != nil {
		return nil, err
	}
	n := &node{env: e, name: name, zone: zone, storeProxy: p}
	for _, addr := range []*string{&n.callerAddr, &n.innerAddr, &n.readyAddr} {
		if *addr, err = fakes.FreeAddr(); err != nil {
			return nil, err
		}
	}
	n.innerProxy, err = newInnerProxy(n.innerAddr)
	return n, err
}

// settings returns the settings for a build. Another build may not know all of them.
func (n *node) settings(program string) string {
	evacuation := ""
	if program == n.env.programs[0] {
		evacuation = fmt.Sprintf("evacuation: %s\n", evacuationBound)
	}
	return evacuation + fmt.Sprintf("vm: %s\nfailure_domain: %s\nregions: {a: ra, b: rb}\nlisten: {caller: %q, ready: %q, inner: %q, announce: %q}\n"+
		"ready_path: /readiness\nplatform: {url: \"http://%s\"}\npeers: [%s, %s]\nmemory_mb: 128\nbudget: {allowance: 60}\nstop: {grace: %s, notice: 1500ms}\n",
		n.name, n.zone, n.callerAddr, n.readyAddr, n.innerAddr, n.innerProxy.addr(), n.storeProxy.addr(), n.seeds[0], n.seeds[len(n.seeds)-1], gracePeriod)
}

// start starts the process and watches for its exit.
func (n *node) start() error {
	program := n.env.nextProgram()
	path, err := n.env.writeSettings(n.name, n.settings(program))
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.env.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "relay", "--config", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited, n.shouldRun = cmd, exited, true
	n.mu.Unlock()
	go n.watch(cmd, exited)
	return nil
}

// watch waits for the process and records a violation if it exits unexpectedly.
func (n *node) watch(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	// Read shouldRun before exited is closed: afterwards, a waiter may start the
	// next process immediately, which sets shouldRun.
	n.mu.Lock()
	shouldRun := n.shouldRun
	n.mu.Unlock()
	close(exited)
	if shouldRun {
		c := n.env.checker
		c.mu.Lock()
		c.violate("ended: node %s ended by itself: %v", n.name, err)
		c.mu.Unlock()
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// setShouldRun sets whether the process is meant to run. It returns the channel that
// is closed when the process exits.
func (n *node) setShouldRun(run bool) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shouldRun = run
	return n.exited
}

// kill kills the process, even if it is paused, and waits for its exit.
func (n *node) kill() {
	exited := n.setShouldRun(false)
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-exited
}

// stop sends SIGTERM to the process and reports whether it exits within gracePeriod.
// If it does not, stop kills the process.
func (n *node) stop() bool {
	exited := n.setShouldRun(false)
	n.signal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(gracePeriod):
		n.kill()
		return false
	}
}

// ready performs the readiness check of the load balancer.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + n.readyAddr + "/readiness")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// checkInterval is how often the load balancer checks the readiness of a node.
const checkInterval = 500 * time.Millisecond

// pollReadiness performs the readiness checks of the load balancer until the context is
// done. It excludes the node from the rotation after two failed checks.
func (n *node) pollReadiness(ctx context.Context) {
	for failed := 0; ctx.Err() == nil; time.Sleep(checkInterval) {
		failed++
		if n.ready() {
			failed = 0
		}
		n.excluded.Store(failed >= 2)
	}
}

// inRotation reports whether the load balancer sends callers to the node.
func (n *node) inRotation() bool { return !n.excluded.Load() }
