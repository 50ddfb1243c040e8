package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
	process              *exec.Cmd
	exited               chan struct{}
}

// deployment is a small installation: a store, servers and nodes.
type deployment struct {
	folder  string
	regions string
	// delay is how long a message takes between the regions, one way.
	delay   time.Duration
	store   *store
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

// addNode makes a node that sees the servers through the links, by id, if there are any.
func (d *deployment) addNode(name, zone string, links map[string]string) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, d.store.view(links)) }()
	n := &node{name: name, zone: zone, store: l.Addr().String()}
	for _, addr := range []*string{&n.caller, &n.ready, &n.inner} {
		if *addr, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	d.nodes = append(d.nodes, n)
	return n, nil
}

// freeAddr returns a loopback address that is free for TCP and UDP.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
func (d *deployment) settings(n *node) string {
	var seeds []string
	for _, other := range d.nodes[:min(len(d.nodes), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", other.inner))
	}
	return fmt.Sprintf(`vm: %q
failure_domain: %q
regions: %s
listen:
  caller: %q
  ready: %q
  inner: %q
ready_path: /readiness
platform:
  url: "http://%s"
peers: [%s]
first_start: true
budget:
  ratio: 0.2
  allowance: 58
  window: 10s
capacity: 0.4
memory_mb: 284
stop:
  grace: 6s
`, n.name, n.zone, d.regions, n.caller, n.ready, n.inner, n.store, strings.Join(seeds, ", "))
}

// start starts all nodes and waits until they are ready.
func (d *deployment) start() error {
	for _, n := range d.nodes {
		path := filepath.Join(d.folder, n.name+".yaml")
		if err := os.WriteFile(path, []byte(d.settings(n)), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(d.folder, n.name+".log"))
		if err != nil {
			return err
		}
		n.process = exec.Command(program, "relay", "--config", path)
		n.process.Stdout, n.process.Stderr = log, log
		n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := n.process.Start(); err != nil {
			return err
		}
		n.exited = make(chan struct{})
		go func() {
			defer close(n.exited)
			_ = n.process.Wait()
		}()
	}
	for _, n := range d.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // the nodes find each other
	return nil
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
	for _, n := range d.nodes {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Signal(syscall.SIGKILL)
			<-n.exited
		}
		if folder := os.Getenv("KEEP_LOGS"); folder != "" {
			if data, err := os.ReadFile(filepath.Join(d.folder, n.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(folder, n.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.folder)
}
