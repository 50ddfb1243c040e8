package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/api"
	"geraniumstep.org/geraniumstep/internal/fakes"
	"geraniumstep.org/geraniumstep/internal/node"
	"geraniumstep.org/geraniumstep/internal/object"
	"geraniumstep.org/geraniumstep/internal/setup"
	"geraniumstep.org/geraniumstep/internal/syncer"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/store"
)

const (
	platformHost  = "127.0.1.1"
	callerHost    = "127.0.2.1"
	groupCaller   = "caller"
	groupPlatform = "platform"
)

// fleet is a running deployment.
type fleet struct {
	deployment     Deployment
	seed           uint64
	changeSettings func(*setup.Settings)
	log            *logrus.Logger
	platform       *fakes.Platform
	network        *fakes.Network
	recorder       *fakes.Recorder
	upstreams      map[string]*fakes.Upstream
	byArchive      map[string][]*fakes.Upstream
	caller         *fakes.Host

	mu      sync.Mutex
	entries []*entry
	spec    layout.Spec
	served  map[string]map[uint64]int // number of shards by archive and version

	disruptedMu sync.Mutex
	disruptedAt map[string]time.Time // by VM; see recordDisruption
}

// entry is an entry VM, a VM that runs a node of the tier. A restart replaces the
// node.
type entry struct {
	vm     string
	host   string
	domain string

	mu     sync.Mutex
	node   *node.Node
	stop   context.CancelFunc
	done   chan struct{}
	up     bool
	ready  bool      // at the last poll of the callers
	killed time.Time // when the node was last killed or unfrozen
	frozen bool
	store  *object.Client
}

func nodeHost(domain, i int) string     { return fmt.Sprintf("127.1.%d.%d", domain, i+1) }
func upstreamHost(domain, i int) string { return fmt.Sprintf("127.2.%d.%d", domain, i%250+1) }

// newFleet starts the fakes and stores the catalogue and the configuration. It
// starts no nodes.
func newFleet(d Deployment, seed uint64, changeSettings func(*setup.Settings), log *logrus.Logger) (*fleet, error) {
	f := &fleet{
		deployment: d, seed: seed, changeSettings: changeSettings, log: log,
		network: fakes.NewNetwork(), recorder: fakes.NewRecorder(),
		upstreams: make(map[string]*fakes.Upstream), byArchive: make(map[string][]*fakes.Upstream),
		served: make(map[string]map[uint64]int), disruptedAt: make(map[string]time.Time),
	}
	var err error
	if f.platform, err = fakes.NewPlatform(platformHost+":0", seed); err != nil {
		return nil, err
	}
	f.setUpNetwork()
	f.spec.Revision = 1
	for i, a := range d.archives {
		if err := f.addArchive(a, uint64(i)*1000); err != nil {
			return nil, err
		}
	}
	f.storeCatalogue()
	return f, f.storeConfig()
}

// setUpNetwork registers the hosts of the platform and the callers, and sets the
// delays between failure domains and between them and callers.
func (f *fleet) setUpNetwork() {
	f.network.AddHost(platformHost, groupPlatform)
	f.network.AddHost(callerHost, groupCaller)
	for i, a := range f.deployment.domains {
		f.network.SetDelay(groupCaller, a, f.deployment.callerDelay)
		for _, b := range f.deployment.domains[i+1:] {
			f.network.SetDelay(a, b, f.deployment.domainDelay)
		}
	}
	f.caller = f.network.Host(callerHost, func(string) bool { return false })
}

// addArchive starts the upstreams of an archive and assigns its shards to them.
func (f *fleet) addArchive(a archive, seed uint64) error {
	var ids []string
	for i := range a.upstreams {
		domain := i % len(f.deployment.domains)
		host := upstreamHost(domain, i/len(f.deployment.domains))
		id := fmt.Sprintf("%s-%02d", a.name, i)
		u, err := fakes.NewUpstream(id, host+":0", a.config, f.recorder, f.seed+seed+uint64(i), f.shardCount)
		if err != nil {
			return err
		}
		u.SkipColdStart()
		f.network.AddHost(host, f.deployment.domains[domain])
		f.network.AddServer(host)
		f.upstreams[id] = u
		f.byArchive[a.name] = append(f.byArchive[a.name], u)
		ids = append(ids, id)
		f.spec.Upstreams = append(f.spec.Upstreams, layout.UpstreamSpec{
			ID: id, Addr: u.Addr(), Domain: f.deployment.domains[domain], Slots: a.config.Slots, Conns: a.config.Conns,
		})
		f.platform.SetVM(store.VM{Name: id, Domain: f.deployment.domains[domain], Addr: u.Addr(), Role: store.RoleUpstream, Started: u.Started()})
	}
	f.spec.Archives = append(f.spec.Archives, layout.ArchiveSpec{Name: a.name, Version: 1, Shards: assignReplicas(a, a.shards, ids)})
	f.served[a.name] = map[uint64]int{1: a.shards}
	return nil
}

// assignReplicas returns the IDs of the upstreams that serve each shard. The
// replicas of a shard are on adjacent upstreams in the list, since these differ in
// failure domain.
func assignReplicas(a archive, shards int, ids []string) [][]string {
	assigned := make([][]string, shards)
	for s := range assigned {
		for r := range a.replicas {
			assigned[s] = append(assigned[s], ids[(s*a.upstreams/shards+r)%a.upstreams])
		}
	}
	return assigned
}

// shardCount returns the number of shards of an archive at a version, and whether
// upstreams serve that version.
func (f *fleet) shardCount(archive string, version uint64) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	shards, ok := f.served[archive][version]
	return shards, ok
}

func (f *fleet) storeCatalogue() {
	value, err := json.Marshal(f.spec)
	if err != nil {
		panic("demo: cannot encode the catalogue: " + err.Error())
	}
	f.platform.Write(syncer.CatalogueKey, value)
}

// storeConfig writes the templates and workspaces to the platform's store.
func (f *fleet) storeConfig() error {
	client := object.New(f.platform.URL())
	defer client.Close()
	log := config.NewLog()
	put := func(kind config.Kind, name string, spec any) error {
		after, err := json.Marshal(spec)
		if err != nil {
			return err
		}
		_, err = config.Commit(context.Background(), client, log, config.Change{
			ID: "setup-" + name, Who: "demo", When: time.Now().UTC(), Kind: kind, Name: name, After: after,
		})
		return err
	}
	for _, t := range f.deployment.templates {
		if err := put(config.KindTemplate, t.Name, t); err != nil {
			return err
		}
	}
	for _, w := range f.deployment.workspaces {
		if err := put(config.KindWorkspace, w.Name, w); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts a node on every entry VM and waits until all nodes are ready.
func (f *fleet) startAll(ctx context.Context) error {
	for i := range f.deployment.nodes {
		d := i % len(f.deployment.domains)
		e := &entry{
			vm:     fmt.Sprintf("entry-%s-%d", f.deployment.domains[d], i/len(f.deployment.domains)+1),
			host:   nodeHost(d, i/len(f.deployment.domains)),
			domain: f.deployment.domains[d],
		}
		f.network.AddHost(e.host, e.domain)
		f.entries = append(f.entries, e)
		if err := f.startNode(e); err != nil {
			return err
		}
		f.platform.PublishVMs()
	}
	return f.awaitReady(ctx)
}

func (f *fleet) startNode(e *entry) error {
	set := setup.Defaults()
	set.VM, set.FailureDomain, set.Seed = e.vm, e.domain, f.seed
	set.Listen = setup.Listen{Caller: e.host + ":0", Inner: e.host + ":0", Gossip: e.host + ":0"}
	set.Platform.URL = f.platform.URL()
	set.Routing.Claimants = (f.deployment.nodes + len(f.deployment.domains) - 1) / len(f.deployment.domains)
	f.changeSettings(&set)
	host := f.network.Host(e.host, func(ip string) bool { return f.sameDomainUpstream(e, ip) })
	client := object.New(set.Platform.URL, object.WithDial(host.Dial), object.WithTimeout(set.Platform.Timeout))
	n, err := node.New(set, client, node.WithNetwork(host), node.WithLog(f.log))
	if err != nil {
		return err
	}
	n.Handle(api.New(n))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	e.mu.Lock()
	e.node, e.stop, e.done, e.up, e.store = n, cancel, done, true, client
	e.mu.Unlock()
	f.platform.SetVM(store.VM{Name: e.vm, Domain: e.domain, Addr: n.InnerAddr(), Role: store.RoleEntry, Started: n.Started()})
	go func() {
		defer close(done)
		defer client.Close()
		if err := n.Run(ctx); err != nil {
			f.log.Errorf("demo: node %s stopped with an error: %v.", e.vm, err)
		}
	}()
	return nil
}

// sameDomainUpstream reports whether the host is an upstream in the node's failure
// domain, which the node reaches without the fake network.
func (f *fleet) sameDomainUpstream(e *entry, ip string) bool {
	if !strings.HasPrefix(ip, "127.2.") {
		return false
	}
	return strings.Split(ip, ".")[2] == strings.Split(e.host, ".")[2]
}

// awaitReady waits until every node is ready, owns slots and lists all nodes as
// live.
func (f *fleet) awaitReady(ctx context.Context) error {
	for {
		ready := 0
		for _, e := range f.entries {
			if n := e.currentNode(); n != nil && n.Ready() && n.Status().Slots > 0 && n.LiveMembers() == len(f.entries) {
				ready++
			}
		}
		if ready == len(f.entries) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("only %d of %d nodes became ready; run with --log info to see why", ready, len(f.entries))
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (e *entry) currentNode() *node.Node {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node
}

// addr returns the address for callers of the latest node on the VM, whether or not
// that node still runs.
func (e *entry) addr() string { return e.currentNode().Addr() }

// stopNode stops the node gracefully and waits for its end.
func (e *entry) stopNode() {
	e.mu.Lock()
	stop, done := e.stop, e.done
	e.mu.Unlock()
	stop()
	<-done
	e.mu.Lock()
	e.up = false
	e.mu.Unlock()
}

// killNode ends the node immediately, without a graceful stop.
func (e *entry) killNode() {
	e.mu.Lock()
	n, done := e.node, e.done
	e.up, e.ready, e.killed = false, false, time.Now()
	e.mu.Unlock()
	n.Kill()
	<-done
}

// recentlyKilledOrFrozen reports whether the node is frozen, or was killed or
// unfrozen in the last 5 s. A broken connection to such a node is expected. To any
// other node, it means that a planned stop cut off a request.
func (e *entry) recentlyKilledOrFrozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.frozen || !e.killed.IsZero() && time.Since(e.killed) < 5*time.Second
}

// close kills all nodes and stops the fakes.
func (f *fleet) close() {
	var all sync.WaitGroup
	for _, e := range f.entries {
		all.Go(func() {
			e.mu.Lock()
			up := e.up
			e.mu.Unlock()
			if up {
				e.killNode()
			}
		})
	}
	all.Wait()
	for _, u := range f.upstreams {
		u.Crash()
	}
	f.platform.Close()
}

func newLogger(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	return log
}

// newCallerClient returns the HTTP client that all callers share. Its connection
// limits apply to each VM separately.
func (f *fleet) newCallerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: f.caller.Dial, MaxIdleConnsPerHost: 64, MaxConnsPerHost: 512}}
}
