package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// program is the program of the deploy file, in the repository's root.
const program = "target/geraniumstep"

// node is a process of the tier.
type node struct {
	name, zone           string
	caller, ready, inner string
	store                string
	// link is what the others reach inner by, and side the side of the cut that it is on.
	link *link
	side int

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// deployment is a small installation: a store, servers and nodes.
type deployment struct {
	folder  string
	regions string
	store   *store
	// cut is whether the nodes of the two sides are separated.
	cut atomic.Bool

	// life is held while a process starts and while all are ended.
	life    sync.Mutex
	stopped bool
	servers []*server
	nodes   []*node
	rec     *record
}

func newDeployment(regions string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return nil, err
	}
	return &deployment{folder: folder, regions: regions, store: newStore(), rec: &record{start: time.Now()}}, nil
}

// addServer starts a server and registers it.
func (d *deployment) addServer(s *server) error {
	s.rec = d.rec
	if err := s.start(); err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	d.store.put("servers", s.id, s.entry())
	return nil
}

// addNode makes a node. The others reach it through a link.
func (d *deployment) addNode(name, zone string) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, d.store.handler()) }()
	n := &node{name: name, zone: zone, store: l.Addr().String()}
	for _, addr := range []*string{&n.caller, &n.ready, &n.inner} {
		if *addr, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	if n.link, err = newLink(d, n); err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	return n, nil
}

// addresses counts the addresses that freeAddr has returned.
var addresses atomic.Uint32

// freeAddr returns a loopback address that is free for TCP and UDP. Each call uses another IP
// address, so that no other listener or connection takes the port before the node opens it.
func freeAddr() (string, error) {
	n := addresses.Add(1)
	ip := net.IPv4(127, byte(2+os.Getpid()%250), byte(n>>8), byte(n))
	l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	p, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		return "", err
	}
	return l.Addr().String(), p.Close()
}

// settings returns what the platform makes of deploy/settings.yaml.
func (d *deployment) settings(n *node, first bool) string {
	var seeds []string
	for _, other := range d.nodes[:min(len(d.nodes), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", other.link.addr))
	}
	return fmt.Sprintf(`vm: %q
failure_domain: %q
regions: %s
listen:
  caller: %q
  ready: %q
  inner: %q
  announce: %q
ready_path: /readiness
platform:
  url: "http://%s"
peers: [%s]
first_start: %v
budget:
  ratio: 0.2
  allowance: 58
  window: 10s
allotment:
  window: 5s
  excess: 0.1
  slack: 20
capacity: 0.4
memory_mb: 284
stop:
  grace: 6s
`, n.name, n.zone, d.regions, n.caller, n.ready, n.inner, n.link.addr, n.store, strings.Join(seeds, ", "), first)
}

// start starts all nodes and waits until they are ready.
func (d *deployment) start() error {
	for _, n := range d.nodes {
		if err := d.startNode(n, true); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // the nodes find each other
	return nil
}

// startNode starts the process of a node.
func (d *deployment) startNode(n *node, first bool) error {
	d.life.Lock()
	defer d.life.Unlock()
	if d.stopped {
		return errors.New("the case has been ended")
	}
	path := filepath.Join(d.folder, n.name+".yaml")
	if err := os.WriteFile(path, []byte(d.settings(n, first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(program, "relay", "--config", path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited = process, exited
	n.mu.Unlock()
	go func() {
		defer close(exited)
		_ = process.Wait()
	}()
	return nil
}

// kill ends the process of a node, if it has one.
func (n *node) kill() {
	n.mu.Lock()
	process, exited := n.process, n.exited
	n.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGKILL)
	<-exited
}

func (n *node) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get("http://" + n.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready", n.name)
}

// stop ends all nodes, and keeps their logs if KEEP_LOGS names a folder.
func (d *deployment) stop() {
	d.life.Lock()
	defer d.life.Unlock()
	d.stopped = true
	for _, n := range d.nodes {
		n.kill()
		if folder := os.Getenv("KEEP_LOGS"); folder != "" {
			if data, err := os.ReadFile(filepath.Join(d.folder, n.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(folder, n.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.folder)
}
