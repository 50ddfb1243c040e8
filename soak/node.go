package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

const (
	// grace is the time that a node has from SIGTERM to its end.
	grace = 4 * time.Second
	// restartPause is how long a killed node stays down.
	restartPause = 300 * time.Millisecond
)

// node is one process of the tier.
type node struct {
	world  *world
	name   string
	zone   string
	caller string
	// inner is where the node listens for others, and links where they
	// reach it.
	inner  string
	links  *proxy
	seeds  []string
	readyz string
	store  *proxy

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	wanted  bool // whether the process is to run
	misses  int
	out     bool // out of the balancer's rotation
	askedAt time.Time
}

func newNode(w *world, name, zone string) (*node, error) {
	p, err := newProxy(w.storeAt)
	if err != nil {
		return nil, err
	}
	n := &node{world: w, name: name, zone: zone, store: p}
	for _, addr := range []*string{&n.caller, &n.inner, &n.readyz} {
		if *addr, err = fakes.FreeAddr(); err != nil {
			return nil, err
		}
	}
	n.links, err = newInnerProxy(n.inner)
	return n, err
}

func (n *node) settings() string {
	return fmt.Sprintf("vm: %s\nfailure_domain: %s\nregions: {a: ra, b: rb}\nlisten: {caller: %q, ready: %q, inner: %q, announce: %q}\n"+
		"ready_path: /readiness\nplatform: {url: \"http://%s\"}\npeers: [%s, %s]\nmemory_mb: 128\nbudget: {allowance: 60}\nstop: {grace: %s, notice: 1500ms}\n",
		n.name, n.zone, n.caller, n.readyz, n.inner, n.links.addr(), n.store.addr(), n.seeds[0], n.seeds[len(n.seeds)-1], grace)
}

// start runs the program and watches for its end.
func (n *node) start() error {
	path, err := n.world.settingsFile(n.name, n.settings())
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(n.world.program, "relay", "--config", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.process, n.ended, n.wanted = cmd, ended, true
	n.mu.Unlock()
	go n.watch(cmd, ended)
	return nil
}

// watch tells of a process that ends by itself or not in order.
func (n *node) watch(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	// Whoever waits for the end may start the next process at once.
	n.mu.Lock()
	wanted := n.wanted
	n.mu.Unlock()
	close(ended)
	if wanted {
		t := n.world.truth
		t.mu.Lock()
		t.problem("ended: node %s ended by itself: %v", n.name, err)
		t.mu.Unlock()
	}
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// want notes whether the process is to run and gives the channel of its end.
func (n *node) want(run bool) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wanted = run
	return n.ended
}

// kill ends the process at once.
func (n *node) kill() {
	ended := n.want(false)
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-ended
}

// stop ends the process in order and reports whether it did so in time.
func (n *node) stop() bool {
	ended := n.want(false)
	n.signal(syscall.SIGTERM)
	select {
	case <-ended:
		return true
	case <-time.After(grace):
		n.kill()
		return false
	}
}

// ready asks as the balancer does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + n.readyz + "/readiness")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// balanced tells whether the balancer sends callers: it asks every 500 ms and
// leaves a node out after two misses.
func (n *node) balanced() bool {
	n.mu.Lock()
	due := time.Since(n.askedAt) > 500*time.Millisecond
	if due {
		n.askedAt = time.Now()
	}
	n.mu.Unlock()
	if due {
		ok := n.ready()
		n.mu.Lock()
		n.misses++
		if ok {
			n.misses = 0
		}
		n.out = n.misses >= 2
		n.mu.Unlock()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.out
}
