package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

const (
	// hostOnce takes requests that run at most once, hostAll searches.
	hostOnce = "once.example"
	hostAll  = "all.example"
	// requestPrefix begins the ids of all requests of the soak.
	requestPrefix = "soak-"

	topK       = 3
	leastShare = 0.5
	shardCount = 4
	copies     = 2
	// serverWork is how long a server works on a request.
	serverWork = 8 * time.Millisecond
	// callerWait is how long callers wait for an answer.
	callerWait = 2500 * time.Millisecond
)

// server is a stand-in of a server behind a proxy.
type server struct {
	*fakes.Server
	http  *http.Server
	proxy *proxy
	zone  string
}

// world is the platform of a soak: the store, the servers and the nodes.
type world struct {
	random  *rand.Rand
	program string
	dir     string
	truth   *truth
	store   *fakes.Store
	backend *http.Server
	storeAt string

	mu      sync.Mutex
	servers map[string]*server
	nodes   []*node
	born    int
	version int
	set     int

	requests atomic.Int64
	promised map[string]attempt
	once     map[string]attempt
}

func newWorld(seed uint64, program, dir string, nodes int) (*world, error) {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), program: program, dir: dir, truth: newTruth(), store: fakes.NewStore(),
		servers: make(map[string]*server), promised: make(map[string]attempt), once: make(map[string]attempt),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = l.Addr().String()
	w.backend = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.backend.Serve(l) }()
	for _, service := range []string{"old", "new"} {
		if err := w.startServers(service, copies); err != nil {
			return nil, err
		}
	}
	if err := w.startShards(); err != nil {
		return nil, err
	}
	w.configure("old")
	return w, w.startNodes(nodes)
}

// startServers starts servers of a service in the two zones in turn.
func (w *world) startServers(service string, n int) error {
	for i := range n {
		w.born++
		s := &server{Server: &fakes.Server{ID: fmt.Sprintf("i%d", w.born), Service: service, Slots: 4, Work: serverWork, RunLog: w.truth.ledger}}
		s.zone = zones[i%len(zones)]
		if err := w.serve(s); err != nil {
			return err
		}
	}
	return nil
}

// zones are the failure domains, each a region of its own.
var zones = []string{"a", "b"}

func (w *world) serve(s *server) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if s.proxy, err = newProxy(l.Addr().String()); err != nil {
		return err
	}
	s.http = &http.Server{Handler: s.Server, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }()
	w.truth.mu.Lock()
	w.truth.servers[s.ID] = s.Server
	w.truth.mu.Unlock()
	w.mu.Lock()
	w.servers[s.ID] = s
	w.mu.Unlock()
	w.store.Put("servers", s.ID, s.Entry(s.proxy.addr(), s.zone, "ready"))
	return nil
}

// startShards starts the servers of the next set of shards.
func (w *world) startShards() error {
	w.set++
	for _, shard := range w.shards() {
		if err := w.startServers(shard, copies); err != nil {
			return err
		}
	}
	return nil
}

// shards names the shards of the present set.
func (w *world) shards() []string {
	var names []string
	for i := range shardCount + w.set - 1 {
		names = append(names, fmt.Sprintf("set%d-%d", w.set, i))
	}
	return names
}

// configure writes a new version.
func (w *world) configure(service string) {
	w.version += 1 + w.random.IntN(4)
	shards := w.shards()
	doc := fakes.Config(w.version, []fakes.Route{
		{Host: hostOnce, Service: service},
		{Host: hostAll, Idempotent: true, Shards: shards, TopK: topK, MinCoverage: leastShare},
	})
	// Both times are noted: the version may be seen before it is known to be
	// accepted.
	w.truth.mu.Lock()
	defer w.truth.mu.Unlock()
	w.store.Put("config", "main", doc)
	w.truth.layouts = append(w.truth.layouts, layout{version: w.version, service: service, shards: shards, at: time.Now()})
}

func (w *world) startNodes(n int) error {
	var seeds []string
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		node, err := newNode(w, name, zones[i%len(zones)])
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, node)
		if len(seeds) < 3 {
			seeds = append(seeds, node.links.addr())
		}
	}
	for _, node := range w.nodes {
		node.seeds = seeds
		if err := node.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, n := range w.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready within %v", n.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all that the soak has started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
		n.links.close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.proxy.close()
		_ = s.http.Close()
	}
	_ = w.backend.Close()
}

// call runs callers of one node until the context ends.
func (w *world) call(ctx context.Context, n *node, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		if !n.balanced() {
			continue
		}
		host, method := hostAll, http.MethodGet
		if random.IntN(3) == 0 {
			host, method = hostOnce, http.MethodPost
		}
		w.attempt(client, n, method, host)
	}
}

// attempt sends one request and checks its answer.
func (w *world) attempt(client *http.Client, n *node, method, host string) {
	id := fmt.Sprintf("%s%d", requestPrefix, w.requests.Add(1))
	a := attempt{host: host, node: n.name, sentAt: time.Now()}
	a.reply = fakes.Send(context.Background(), client, method, n.caller, host, "/p/"+id, id, callerWait)
	a.doneAt = time.Now()
	w.truth.check(a)
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.reply.Err == nil && a.reply.NotRun() {
		w.promised[id] = a
	}
	if host == hostOnce {
		w.once[id] = a
	}
}

// settingsFile writes a node's settings.
func (w *world) settingsFile(name, text string) (string, error) {
	path := filepath.Join(w.dir, name+".yaml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}
