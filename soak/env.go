package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

const (
	// hostSubmission is the host of submissions, hostSearch that of searches.
	hostSubmission = "once.example"
	hostSearch     = "all.example"
	// requestPrefix is the prefix of the IDs of all requests of the soak.
	requestPrefix = "soak-"

	topK          = 3
	minShardShare = 0.5
	shardCount    = 4
	replicas      = 2
	// serviceTime is the time that a server takes for a request.
	serviceTime = 8 * time.Millisecond
	// callerTimeout is the time that callers wait for a response.
	callerTimeout = 2500 * time.Millisecond
)

// server is a fake server behind a proxy.
type server struct {
	*fakes.Server
	http  *http.Server
	proxy *proxy
	zone  string
}

// testEnv is the deployment under test: the store, the servers and the nodes.
type testEnv struct {
	random      *rand.Rand
	programs    []string // the builds that the starts of nodes run in turn
	starts      atomic.Int64
	dir         string
	checker     *checker
	store       *fakes.Store
	storeServer *http.Server
	storeAddr   string

	mu          sync.Mutex
	servers     map[string]*server
	nodes       []*node
	serverCount int
	version     int
	shardSet    int
	// evacuated holds the zones that are evacuated.
	evacuated map[string]bool

	// cutNode is the node that is cut off from the servers, or nil.
	cutNode atomic.Pointer[nodeCut]

	requests    atomic.Int64
	notRun      map[string]attempt
	submissions map[string]attempt
	// receivers maps the attempts to the nodes that received them.
	receivers map[string]string
	// crashEnds is positive while servers end in various ways under requests. left
	// holds those of which the address is still in use.
	crashEnds atomic.Int64
	left      []*server
	closed    bool
}

func newTestEnv(o options, dir string) (*testEnv, error) {
	e := &testEnv{
		random: rand.New(rand.NewPCG(o.seed, 1)), programs: []string{o.program}, dir: dir, checker: newChecker(), store: fakes.NewStore(),
		servers: make(map[string]*server), evacuated: make(map[string]bool), notRun: make(map[string]attempt), submissions: make(map[string]attempt), receivers: make(map[string]string),
	}
	if o.beside != "" {
		e.programs = append(e.programs, o.beside)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.storeAddr = l.Addr().String()
	e.storeServer = &http.Server{Handler: e.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.storeServer.Serve(l) }()
	for _, service := range []string{"old", "new"} {
		if err := e.startServers(service, replicas); err != nil {
			return nil, err
		}
	}
	if err := e.startShards(); err != nil {
		return nil, err
	}
	e.configure("old")
	return e, e.startNodes(o.nodes)
}

// nextProgram returns the build that the next start of a node runs.
func (e *testEnv) nextProgram() string {
	return e.programs[int(e.starts.Add(1)-1)%len(e.programs)]
}

// startServers starts n servers of a service, alternately in the two zones.
func (e *testEnv) startServers(service string, n int) error {
	for i := range n {
		e.mu.Lock()
		e.serverCount++
		id := fmt.Sprintf("i%d", e.serverCount)
		e.mu.Unlock()
		s := &server{Server: &fakes.Server{ID: id, Service: service, Slots: 4, Work: serviceTime, RunLog: e.checker.runLog}}
		s.zone = zones[i%len(zones)]
		s.Crash = func() { e.crashUnder(s) }
		if err := e.addServer(s); err != nil {
			return err
		}
	}
	return nil
}

// zones are the failure domains. Each is in a separate region.
var zones = []string{"a", "b"}

// addServer starts the server behind a proxy and registers it in the store.
func (e *testEnv) addServer(s *server) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if s.proxy, err = newProxy(l.Addr().String(), withCuts(e.cutStateOf)); err != nil {
		return err
	}
	s.http = &http.Server{Handler: s.Server, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }()
	e.checker.mu.Lock()
	e.checker.servers[s.ID] = s.Server
	e.checker.zones[s.ID] = s.zone
	e.checker.mu.Unlock()
	e.mu.Lock()
	e.servers[s.ID] = s
	e.mu.Unlock()
	e.store.Put("servers", s.ID, s.Entry(s.proxy.addr(), s.zone, "ready"))
	return nil
}

// startShards starts the servers of the next set of shards.
func (e *testEnv) startShards() error {
	e.shardSet++
	for _, shard := range e.shards() {
		if err := e.startServers(shard, replicas); err != nil {
			return err
		}
	}
	return nil
}

// shards returns the names of the shards in the current set.
func (e *testEnv) shards() []string {
	var names []string
	for i := range shardCount + e.shardSet - 1 {
		names = append(names, fmt.Sprintf("set%d-%d", e.shardSet, i))
	}
	return names
}

// configure stores a new version of the configuration.
func (e *testEnv) configure(service string) {
	e.version += 1 + e.random.IntN(4)
	shards := e.shards()
	doc := fakes.Config(e.version, []fakes.Route{
		{Host: hostSubmission, Service: service},
		{Host: hostSearch, Idempotent: true, Shards: shards, TopK: topK, MinCoverage: minShardShare},
	})
	// Nodes may apply the version before Put returns. The lock ensures that no
	// response is checked before the version is recorded.
	e.checker.mu.Lock()
	defer e.checker.mu.Unlock()
	e.store.Put("config", "main", doc)
	e.checker.configs = append(e.checker.configs, writtenConfig{version: e.version, service: service, shards: shards, at: time.Now()})
}

func (e *testEnv) startNodes(n int) error {
	var seeds []string
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		node, err := newNode(e, name, zones[i%len(zones)])
		if err != nil {
			return err
		}
		e.nodes = append(e.nodes, node)
		if len(seeds) < 3 {
			seeds = append(seeds, node.innerProxy.addr())
		}
	}
	for _, node := range e.nodes {
		node.seeds = seeds
		if err := node.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all nodes are ready, or fails after the given time.
func (e *testEnv) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, n := range e.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s was not ready within %v", n.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close stops the nodes, servers, proxies and the store.
func (e *testEnv) close() {
	for _, n := range e.nodes {
		n.kill()
		n.innerProxy.close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, s := range slices.AppendSeq(e.left, maps.Values(e.servers)) {
		s.proxy.close()
		_ = s.http.Close()
	}
	_ = e.storeServer.Close()
}

// runCaller sends searches and submissions to one node until the context is done. It
// pauses while the load balancer excludes the node.
func (e *testEnv) runCaller(ctx context.Context, n *node, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		if !n.inRotation() {
			continue
		}
		host, method := hostSearch, http.MethodGet
		if random.IntN(3) == 0 {
			host, method = hostSubmission, http.MethodPost
		}
		path := fmt.Sprintf("/p/%d", random.Uint64())
		if random.IntN(popularShare) == 0 {
			path = "/p/popular"
		}
		e.checker.check(e.sendOnce(client, n, method, host, path))
	}
}

// popularShare is the number of requests of which one is equal to others.
const popularShare = 4

// sendOnce sends one attempt to the node and records it for the checks of finish.
func (e *testEnv) sendOnce(client *http.Client, n *node, method, host, path string) attempt {
	id := fmt.Sprintf("%s%d", requestPrefix, e.requests.Add(1))
	a := attempt{host: host, node: n.name, sentAt: time.Now()}
	a.reply = fakes.Send(context.Background(), client, method, n.callerAddr, host, path, id, callerTimeout)
	a.doneAt = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.receivers[id] = n.name
	if a.reply.Err == nil && a.reply.NotRun() {
		e.notRun[id] = a
	}
	if host == hostSubmission {
		e.submissions[id] = a
	}
	return a
}

// writeSettings writes the settings file of a node and returns its path.
func (e *testEnv) writeSettings(name, text string) (string, error) {
	path := filepath.Join(e.dir, name+".yaml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}
