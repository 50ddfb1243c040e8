// Package fakes provides fakes of the systems around the tier, for tests and the
// demo: the platform's object API, upstreams, and the network between failure
// domains. The upstreams share a Recorder of what they ran, with which a checker
// compares the replies that callers received:
//
//	r := fakes.NewRecorder()
//	u, err := fakes.NewUpstream("u-1", "127.0.0.1:0", config, r, seed, shardCount)
//	...
//	ran := r.Ran(trace)
package fakes

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"geraniumstep.org/geraniumstep/internal/object"
	"geraniumstep.org/geraniumstep/pkg/store"
)

const (
	// writesPerSecond and readsPerSecond are the rate limits, above which calls
	// get status 429.
	writesPerSecond = 300
	readsPerSecond  = 2000
	// vmListLag is the time until a change to the list of VMs is visible.
	vmListLag = time.Second
)

// Platform is a fake of the platform's object API. It keeps its objects in memory.
type Platform struct {
	server *http.Server
	addr   string
	writes *rate.Limiter
	reads  *rate.Limiter
	random *rand.Rand

	mu             sync.Mutex
	objects        map[string]store.Object
	version        uint64
	changed        chan struct{}
	vms            []store.VM
	publishedVMs   []store.VM
	vmsChangedAt   time.Time
	down           bool
	delay          time.Duration
	lostReplyShare float64
	lostReplies    int
	denied         int
	slowed         int
	calls          map[string]int
}

// NewPlatform starts a fake platform on the address.
func NewPlatform(addr string, seed uint64) (*Platform, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		addr:    l.Addr().String(),
		writes:  rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:   rate.NewLimiter(readsPerSecond, readsPerSecond),
		random:  rand.New(rand.NewPCG(seed, 1)),
		objects: make(map[string]store.Object),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+object.PathObjects+"{key...}", p.withFaults("get", p.reads, p.get))
	mux.HandleFunc("PUT "+object.PathObjects+"{key...}", p.withFaults("put", p.writes, p.put))
	mux.HandleFunc("GET "+object.PathList, p.withFaults("list", p.reads, p.list))
	mux.HandleFunc("GET "+object.PathWatch, p.withFaults("watch", p.reads, p.watch))
	mux.HandleFunc("GET "+object.PathVMs, p.withFaults("vms", p.reads, p.listVMs))
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// URL returns the base URL of the object API.
func (p *Platform) URL() string { return "http://" + p.addr }

// Close stops the fake platform.
func (p *Platform) Close() { _ = p.server.Close() }

// SetDown sets whether every call fails with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatchers()
}

// SetDelay adds a delay to every call.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetLostReplies sets the share of writes that take effect but whose connection
// is closed without a reply.
func (p *Platform) SetLostReplies(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostReplyShare = share
}

// Faults returns the numbers of calls that were denied while the platform was
// down, that were slowed, and whose reply was lost.
func (p *Platform) Faults() (denied, slowed, lost int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.denied, p.slowed, p.lostReplies
}

// Calls returns the number of calls by kind. A watch counts once, no matter how
// long it waits.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// SetVM adds or replaces an entry in the list of VMs. Callers receive the change
// after vmListLag, or as soon as the next change is made.
func (p *Platform) SetVM(vm store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishDueVMs()
	p.publishedVMs = slices.Clone(p.vms)
	p.vmsChangedAt = time.Now()
	i := slices.IndexFunc(p.vms, func(have store.VM) bool { return have.Name == vm.Name })
	if i < 0 {
		p.vms = append(p.vms, vm)
		return
	}
	p.vms[i] = vm
}

// PublishVMs makes all changes to the list of VMs visible to callers immediately.
func (p *Platform) PublishVMs() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishedVMs = p.vms
}

// publishDueVMs makes all changes to the list of VMs visible if the latest is older
// than vmListLag. It must be called with mu held.
func (p *Platform) publishDueVMs() {
	if time.Since(p.vmsChangedAt) > vmListLag {
		p.publishedVMs = p.vms
	}
}

// Write stores an object regardless of its current version, as tools outside the
// tier do, and returns the new version.
func (p *Platform) Write(key string, value []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.write(key, value)
}

// write must be called with mu held.
func (p *Platform) write(key string, value []byte) uint64 {
	p.version++
	p.objects[key] = store.Object{Key: key, Version: p.version, Value: value}
	p.notifyWatchers()
	return p.version
}

// notifyWatchers wakes every watch. It must be called with mu held.
func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// withFaults returns a handler that counts the call, applies the current faults
// and the rate limit, and then calls serve.
func (p *Platform) withFaults(kind string, limiter *rate.Limiter, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[kind]++
		down, delay := p.down, p.delay
		if down {
			p.denied++
		}
		if delay > 0 {
			p.slowed++
		}
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case !limiter.Allow():
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			serve(w, r)
		}
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, o)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(value) > store.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("key")
	if !precondition(r.Header, p.objects[key].Version) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	version := p.write(key, value)
	if p.random.Float64() < p.lostReplyShare {
		p.lostReplies++
		panic(http.ErrAbortHandler)
	}
	respond(w, object.Written{Version: version})
}

// precondition reports whether the conditional headers of a write match the
// current version of the object.
func precondition(h http.Header, version uint64) bool {
	if h.Get("If-None-Match") == "*" {
		return version == store.Absent
	}
	want, err := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	return err == nil && want == version
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	list := p.match(q.Get("prefix"), func(o store.Object) bool { return o.Key > q.Get("after") })
	p.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	respond(w, list[:min(limit, len(list))])
}

// match must be called with mu held.
func (p *Platform) match(prefix string, want func(store.Object) bool) []store.Object {
	list := []store.Object{}
	for key, o := range p.objects {
		if strings.HasPrefix(key, prefix) && want(o) {
			list = append(list, o)
		}
	}
	return list
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("version"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		list := p.match(q.Get("prefix"), func(o store.Object) bool { return o.Version > after })
		changed, down := p.changed, p.down
		p.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(list) > 0 {
			sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
			respond(w, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			respond(w, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.publishDueVMs()
	list := slices.Clone(p.publishedVMs)
	p.mu.Unlock()
	respond(w, list)
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
