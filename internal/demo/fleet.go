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
	platformHost = "127.0.1.1"
	callerHost   = "127.0.2.1"
	groupCaller  = "caller"
	groupStore   = "platform"
)

// fleet is a running deployment.
type fleet struct {
	deployment Deployment
	seed       uint64
	change     func(*setup.Settings)
	log        *logrus.Logger
	platform   *fakes.Platform
	links      *fakes.Network
	ledger     *fakes.Recorder
	upstreams  map[string]*fakes.Upstream
	byArchive  map[string][]*fakes.Upstream
	caller     *fakes.Host

	mu      sync.Mutex
	entries []*entry
	spec    layout.Spec
	served  map[string]map[uint64]int // archive to version to shards

	shakenMu sync.Mutex
	shaken   map[string]time.Time
}

// entry is one entry VM, whichever process runs on it.
type entry struct {
	vm     string
	host   string
	domain string

	mu     sync.Mutex
	node   *node.Node
	stop   context.CancelFunc
	done   chan struct{}
	up     bool
	ready  bool
	killed time.Time
	frozen bool
	store  *object.Client
}

func nodeHost(domain, i int) string     { return fmt.Sprintf("127.1.%d.%d", domain, i+1) }
func upstreamHost(domain, i int) string { return fmt.Sprintf("127.2.%d.%d", domain, i%250+1) }

// newFleet starts the stand-ins and stores the configuration.
func newFleet(d Deployment, seed uint64, change func(*setup.Settings), log *logrus.Logger) (*fleet, error) {
	f := &fleet{
		deployment: d, seed: seed, change: change, log: log,
		links: fakes.NewNetwork(), ledger: fakes.NewRecorder(),
		upstreams: make(map[string]*fakes.Upstream), byArchive: make(map[string][]*fakes.Upstream),
		served: make(map[string]map[uint64]int), shaken: make(map[string]time.Time),
	}
	var err error
	if f.platform, err = fakes.NewPlatform(platformHost+":0", seed); err != nil {
		return nil, err
	}
	f.network()
	f.spec.Revision = 1
	for i, a := range d.archives {
		if err := f.addArchive(a, uint64(i)*1000); err != nil {
			return nil, err
		}
	}
	f.publish()
	return f, f.configure()
}

// network lays out the delays between the failure domains.
func (f *fleet) network() {
	f.links.AddHost(platformHost, groupStore)
	f.links.AddHost(callerHost, groupCaller)
	for i, a := range f.deployment.domains {
		f.links.SetDelay(groupCaller, a, f.deployment.client)
		for _, b := range f.deployment.domains[i+1:] {
			f.links.SetDelay(a, b, f.deployment.near)
		}
	}
	f.caller = f.links.Host(callerHost, func(string) bool { return false })
}

// addArchive starts the servers of an archive and lays out its shards.
func (f *fleet) addArchive(a archive, seed uint64) error {
	var ids []string
	for i := range a.servers {
		domain := i % len(f.deployment.domains)
		host := upstreamHost(domain, i/len(f.deployment.domains))
		id := fmt.Sprintf("%s-%02d", a.name, i)
		u, err := fakes.NewUpstream(id, host+":0", a.shape, f.ledger, f.seed+seed+uint64(i), f.layoutOf)
		if err != nil {
			return err
		}
		u.SkipColdStart()
		f.links.AddHost(host, f.deployment.domains[domain])
		f.upstreams[id] = u
		f.byArchive[a.name] = append(f.byArchive[a.name], u)
		ids = append(ids, id)
		f.spec.Upstreams = append(f.spec.Upstreams, layout.UpstreamSpec{
			ID: id, Addr: u.Addr(), Domain: f.deployment.domains[domain], Slots: a.shape.Slots, Conns: a.shape.Conns,
		})
		f.platform.SetVM(store.VM{Name: id, Domain: f.deployment.domains[domain], Addr: u.Addr(), Role: store.RoleUpstream, Started: u.Started()})
	}
	f.spec.Archives = append(f.spec.Archives, layout.ArchiveSpec{Name: a.name, Version: 1, Shards: spread(a, a.shards, ids)})
	f.served[a.name] = map[uint64]int{1: a.shards}
	return nil
}

// spread gives each shard its replicas. Neighbours differ in failure domain.
func spread(a archive, shards int, ids []string) [][]string {
	layout := make([][]string, shards)
	for s := range layout {
		for r := range a.replicas {
			layout[s] = append(layout[s], ids[(s*a.servers/shards+r)%a.servers])
		}
	}
	return layout
}

// layoutOf tells upstreams which versions they serve.
func (f *fleet) layoutOf(archive string, version uint64) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	shards, ok := f.served[archive][version]
	return shards, ok
}

// publish stores the catalogue.
func (f *fleet) publish() {
	value, err := json.Marshal(f.spec)
	if err != nil {
		panic("demo: the catalogue cannot be encoded: " + err.Error())
	}
	f.platform.Write(syncer.CatalogueKey, value)
}

// configure stores the templates and workspaces.
func (f *fleet) configure() error {
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

// startAll starts a node on every entry VM and waits until all are ready.
func (f *fleet) startAll(ctx context.Context) error {
	for i := range f.deployment.nodes {
		d := i % len(f.deployment.domains)
		e := &entry{
			vm:     fmt.Sprintf("entry-%s-%d", f.deployment.domains[d], i/len(f.deployment.domains)+1),
			host:   nodeHost(d, i/len(f.deployment.domains)),
			domain: f.deployment.domains[d],
		}
		f.links.AddHost(e.host, e.domain)
		f.entries = append(f.entries, e)
		if err := f.start(e); err != nil {
			return err
		}
		f.platform.PublishVMs()
	}
	return f.awaitReady(ctx)
}

// start runs a new process on an entry VM.
func (f *fleet) start(e *entry) error {
	set := setup.Defaults()
	set.VM, set.FailureDomain, set.Seed = e.vm, e.domain, f.seed
	set.Listen = setup.Listen{Caller: e.host + ":0", Inner: e.host + ":0", Gossip: e.host + ":0"}
	set.Platform.URL = f.platform.URL()
	set.Routing.Claimants = (f.deployment.nodes + len(f.deployment.domains) - 1) / len(f.deployment.domains)
	f.change(&set)
	host := f.links.Host(e.host, func(ip string) bool { return f.sameDomainUpstream(e, ip) })
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
			f.log.Errorf("demo: node %s ended: %v.", e.vm, err)
		}
	}()
	return nil
}

// sameDomainUpstream tells which hosts a node reaches without the stand-in
// network: the upstreams of its own failure domain.
func (f *fleet) sameDomainUpstream(e *entry, ip string) bool {
	if !strings.HasPrefix(ip, "127.2.") {
		return false
	}
	return strings.Split(ip, ".")[2] == strings.Split(e.host, ".")[2]
}

func (f *fleet) awaitReady(ctx context.Context) error {
	for {
		ready := 0
		for _, e := range f.entries {
			if n := e.current(); n != nil && n.Ready() && n.Status().Slots > 0 && n.LiveMembers() == len(f.entries) {
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

func (e *entry) current() *node.Node {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node
}

// addr is where callers reach the VM, whether or not a process runs there.
func (e *entry) addr() string { return e.current().Addr() }

// stopNode ends the process gracefully and waits for its end.
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

// killNode ends the process at once.
func (e *entry) killNode() {
	e.mu.Lock()
	n, done := e.node, e.done
	e.up, e.ready, e.killed = false, false, time.Now()
	e.mu.Unlock()
	n.Kill()
	<-done
}

// disturbed tells whether the VM was killed or frozen not long ago, so that a
// broken connection to it is no fault of a planned stop.
func (e *entry) disturbed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.frozen || !e.killed.IsZero() && time.Since(e.killed) < 5*time.Second
}

// close ends everything.
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

// quiet returns a log that shows only what the level asks for.
func quiet(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	return log
}

// callerClient is the HTTP client that callers share for one VM.
func (f *fleet) callerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: f.caller.Dial, MaxIdleConnsPerHost: 64, MaxConnsPerHost: 512}}
}
