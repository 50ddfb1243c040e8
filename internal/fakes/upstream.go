package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/internal/wire"
)

const (
	// drainAllowance is how long after its first sign of drain new work may
	// still come to an upstream.
	drainAllowance = 2 * time.Second
	healthLag      = 300 * time.Millisecond
	coldTime       = 2 * time.Second
	coldFactor     = 3
	maxWaiting     = 64
	lateReply      = 400 * time.Millisecond
	// PoisonPrefix marks the queries that crash the upstreams that run them.
	PoisonPrefix = "poison-"
)

// UpstreamConfig describes how an upstream behaves.
type UpstreamConfig struct {
	Slots int
	Conns int
	// Connect is what a new connection costs and Service the mean time to
	// run a sub-request; Sigma is the spread of its logarithm. A share Tail
	// of the sub-requests takes TailFactor times as long.
	Connect    time.Duration
	Service    time.Duration
	Sigma      float64
	TailShare  float64
	TailFactor float64
}

// Upstream stands in for one back-end server.
type Upstream struct {
	id     string
	addr   string
	shape  UpstreamConfig
	ledger *Recorder
	layout func(archive string, version uint64) (shards int, served bool)

	mu       sync.Mutex
	random   *rand.Rand
	server   *http.Server
	listener *cappedListener
	slots    chan struct{}
	running  int
	waiting  int
	started  time.Time
	draining time.Time
	slow     float64
	shedding float64
	crossing float64
	lying    bool
	lastBody []byte
	useful   time.Duration
	up       bool
}

// NewUpstream starts an upstream on the address. Layout tells into how many
// shards an archive is cut at a version, and whether it is served.
func NewUpstream(id, addr string, shape UpstreamConfig, ledger *Recorder, seed uint64, layout func(string, uint64) (int, bool)) (*Upstream, error) {
	u := &Upstream{id: id, addr: addr, shape: shape, ledger: ledger, layout: layout, slow: 1}
	u.random = rand.New(rand.NewPCG(seed, 2))
	return u, u.Start()
}

// ID is the upstream's identifier.
func (u *Upstream) ID() string { return u.id }

// Addr is the upstream's address, which stays over restarts.
func (u *Upstream) Addr() string { return u.addr }

// Start begins to serve, cold.
func (u *Upstream) Start() error {
	l, err := net.Listen("tcp", u.addr)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.addr = l.Addr().String()
	u.listener = newCappedListener(l, u.shape.Conns, u.shape.Connect)
	u.slots = make(chan struct{}, u.shape.Slots)
	u.running, u.waiting = 0, 0
	u.started = time.Now()
	u.draining = time.Time{}
	u.up = true
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRun, u.run)
	mux.HandleFunc("GET "+wire.PathHealth, u.health)
	mux.HandleFunc("GET "+wire.PathLoad, u.load)
	u.server = &http.Server{Handler: mux}
	server, listener := u.server, u.listener
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Crash ends the process: every connection is reset.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.up {
		return
	}
	u.up = false
	u.listener.reset()
	_ = u.server.Close()
}

// Up tells whether the upstream serves.
func (u *Upstream) Up() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.up
}

// Started is when the upstream came up, in milliseconds since 1970.
func (u *Upstream) Started() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.started.UnixMilli()
}

// SkipColdStart ends the cold start.
func (u *Upstream) SkipColdStart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started = u.started.Add(-coldTime)
}

// Drain refuses new work from now on.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = time.Now()
}

// SetSlow multiplies service times.
func (u *Upstream) SetSlow(factor float64) { u.set(func() { u.slow = factor }) }

// SetShedding refuses a share of the requests for load.
func (u *Upstream) SetShedding(share float64) { u.set(func() { u.shedding = share }) }

// SetInvalidReplies spoils a share of the replies: those of other requests, cut
// short, or late.
func (u *Upstream) SetInvalidReplies(share float64) { u.set(func() { u.crossing = share }) }

// SetFalseDrain makes the health endpoint report a drain that is not so.
func (u *Upstream) SetFalseDrain(lying bool) { u.set(func() { u.lying = lying }) }

func (u *Upstream) set(change func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change()
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	var req wire.Run
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	shards, served := u.layout(req.Archive, req.Version)
	switch why := u.admit(served); why {
	case "":
	case wire.RefusalVersion:
		u.ledger.Effect("reindex-gone")
		refuse(w, http.StatusGone, why)
		return
	default:
		u.ledger.Effect(why)
		refuse(w, http.StatusServiceUnavailable, why)
		return
	}
	if !u.enter(r.Context()) {
		return
	}
	defer u.leave()
	if time.Now().After(req.Deadline) {
		refuse(w, http.StatusConflict, wire.RefusalDeadline)
		return
	}
	u.serve(w, r, req, shards)
}

// admit tells why a request is refused, or nothing.
func (u *Upstream) admit(served bool) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !u.draining.IsZero():
		u.ledger.LateWork(time.Since(u.draining))
		return wire.RefusalDraining
	case !served:
		return wire.RefusalVersion
	case u.waiting >= maxWaiting, u.shedding > 0 && u.random.Float64() < u.shedding:
		return wire.RefusalShed
	}
	return ""
}

func refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set(wire.HeaderRefusal, why)
	w.WriteHeader(status)
}

func (u *Upstream) enter(ctx context.Context) bool {
	u.set(func() { u.waiting++ })
	defer u.set(func() { u.waiting-- })
	select {
	case u.slots <- struct{}{}:
		u.set(func() { u.running++ })
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *Upstream) leave() {
	<-u.slots
	u.set(func() { u.running-- })
}

// serve runs the sub-request for its service time and answers.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request, req wire.Run, shards int) {
	var params struct {
		Query string `json:"q"`
	}
	_ = json.Unmarshal(req.Params, &params)
	part := ShardKey(req.Archive, req.Version, req.Shard)
	u.ledger.Begin(req.Trace, part, req.Key)
	if req.Version > 1 {
		u.ledger.Effect("reindex")
	}
	service := u.serviceTime()
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	if len(params.Query) > len(PoisonPrefix) && params.Query[:len(PoisonPrefix)] == PoisonPrefix {
		u.ledger.Crash(params.Query)
		u.ledger.Effect("poison")
		u.Crash()
		return
	}
	hits := Hits(req.Archive, req.Version, req.Shard, shards, params.Query, req.Trace)
	body, err := json.Marshal(wire.RunReply{
		Request: req.Request, Attempt: req.Attempt, Archive: req.Archive, Shard: req.Shard, Version: req.Version,
		Hits: hits, Sum: float64(len(hits)), Started: u.Started(),
	})
	if err != nil {
		return
	}
	if req.Key == "" && u.spoil(w, body) {
		return
	}
	u.ledger.Complete(req.Trace, part)
	u.set(func() { u.useful += service })
	_, _ = w.Write(body)
}

// spoil sends a reply that must not be merged and tells whether it did.
func (u *Upstream) spoil(w http.ResponseWriter, body []byte) bool {
	u.mu.Lock()
	other := u.lastBody
	u.lastBody = body
	hit := u.random.Float64() < u.crossing
	kind := u.random.IntN(3)
	u.mu.Unlock()
	if !hit || other == nil {
		return false
	}
	u.ledger.Effect("crossed")
	switch kind {
	case 0:
		_, _ = w.Write(other)
	case 1:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body[:len(body)/2])
	default:
		time.Sleep(lateReply)
		_, _ = w.Write(other)
	}
	return true
}

func (u *Upstream) serviceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.shape
	mean := s.Service.Seconds() / (1 + s.TailShare*(s.TailFactor-1))
	t := mean * math.Exp(s.Sigma*u.random.NormFloat64()-s.Sigma*s.Sigma/2)
	if u.random.Float64() < s.TailShare {
		t *= s.TailFactor
	}
	if u.slow > 1 {
		u.ledger.Effect("straggler")
	}
	t *= u.slow
	if age := time.Since(u.started); age < coldTime {
		t *= 1 + (coldFactor-1)*(1-age.Seconds()/coldTime.Seconds())
	}
	return time.Duration(t * float64(time.Second))
}

// health reports the state, as it was a while ago.
func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	h := wire.Health{State: wire.StateOK, Started: u.started.UnixMilli()}
	if u.lying || !u.draining.IsZero() && time.Since(u.draining) > healthLag {
		h.State = wire.StateDraining
	}
	u.mu.Unlock()
	respond(w, h)
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	l := wire.Load{Running: u.running, Waiting: u.waiting}
	u.mu.Unlock()
	respond(w, l)
}

// CompletedServiceTime is the service time of all requests that were answered whole.
func (u *Upstream) CompletedServiceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.useful
}

// Slots is the number of requests that run at once.
func (u *Upstream) Slots() int { return u.shape.Slots }

// PeakConns is the largest number of connections that were open at once.
func (u *Upstream) PeakConns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listener.mostOpen()
}
