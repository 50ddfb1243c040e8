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
	// drainGracePeriod is how long after the start of its drain an upstream may
	// still receive new requests.
	drainGracePeriod = 2 * time.Second
	// healthReportLag is how long the health endpoint reports the state before
	// a drain.
	healthReportLag = 300 * time.Millisecond
	// Service times are coldStartFactor times as long when a process starts, and
	// fall linearly to normal within coldStartDuration.
	coldStartDuration = 2 * time.Second
	coldStartFactor   = 3
	// maxWaiting limits the requests that wait for a slot. More are shed.
	maxWaiting     = 64
	lateReplyDelay = 400 * time.Millisecond
	// PoisonPrefix starts each query that crashes the upstream on which it runs.
	PoisonPrefix = "poison-"
)

// UpstreamConfig sets the capacity and the service times of an Upstream.
type UpstreamConfig struct {
	Slots int
	Conns int
	// Connect is the set-up time of a new connection. Service is the mean time
	// to run a shard request, and Sigma the standard deviation of its
	// logarithm. A share TailShare of the shard requests takes TailFactor times
	// as long.
	Connect    time.Duration
	Service    time.Duration
	Sigma      float64
	TailShare  float64
	TailFactor float64
}

// Upstream is a fake upstream that serves HTTP on one address.
type Upstream struct {
	id         string
	addr       string
	config     UpstreamConfig
	recorder   *Recorder
	shardCount func(archive string, version uint64) (shards int, served bool)

	mu                   sync.Mutex
	random               *rand.Rand
	server               *http.Server
	listener             *cappedListener
	slots                chan struct{}
	running              int
	waiting              int
	started              time.Time
	drainStarted         time.Time
	slowFactor           float64
	shedShare            float64
	invalidShare         float64
	falseDrain           bool
	previousBody         []byte
	completedServiceTime time.Duration
	up                   bool
}

// NewUpstream starts a fake upstream on the address. shardCount returns the number
// of shards of an archive at a version, and whether that version is served.
func NewUpstream(id, addr string, config UpstreamConfig, recorder *Recorder, seed uint64, shardCount func(string, uint64) (int, bool)) (*Upstream, error) {
	u := &Upstream{id: id, addr: addr, config: config, recorder: recorder, shardCount: shardCount, slowFactor: 1}
	u.random = rand.New(rand.NewPCG(seed, 2))
	return u, u.Start()
}

// ID returns the upstream's identifier.
func (u *Upstream) ID() string { return u.id }

// Addr returns the upstream's address, which stays the same across restarts.
func (u *Upstream) Addr() string { return u.addr }

// Start starts to serve, with a cold start.
func (u *Upstream) Start() error {
	l, err := net.Listen("tcp", u.addr)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.addr = l.Addr().String()
	u.listener = newCappedListener(l, u.config.Conns, u.config.Connect)
	u.slots = make(chan struct{}, u.config.Slots)
	u.running, u.waiting = 0, 0
	u.started = time.Now()
	u.drainStarted = time.Time{}
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

// Crash stops serving and resets every connection, as when the process is killed.
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

// Up reports whether the upstream serves.
func (u *Upstream) Up() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.up
}

// Started returns when the upstream started, in milliseconds since the Unix epoch.
func (u *Upstream) Started() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.started.UnixMilli()
}

// SkipColdStart ends the cold start, so that service times are normal immediately.
func (u *Upstream) SkipColdStart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started = u.started.Add(-coldStartDuration)
}

// Drain starts a drain: from now on the upstream rejects new requests.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drainStarted = time.Now()
}

// SetSlow multiplies service times by the factor.
func (u *Upstream) SetSlow(factor float64) { u.set(func() { u.slowFactor = factor }) }

// SetShedding sets the share of requests that are rejected for load.
func (u *Upstream) SetShedding(share float64) { u.set(func() { u.shedShare = share }) }

// SetInvalidReplies sets the share of replies that are invalid: truncated, or the
// reply to another request, sent immediately or late.
func (u *Upstream) SetInvalidReplies(share float64) { u.set(func() { u.invalidShare = share }) }

// SetFalseDrain sets whether the health endpoint reports a drain regardless of
// the state.
func (u *Upstream) SetFalseDrain(on bool) { u.set(func() { u.falseDrain = on }) }

// set runs change with mu held.
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
	shards, served := u.shardCount(req.Archive, req.Version)
	switch reason := u.admit(served); reason {
	case "":
	case wire.RefusalVersion:
		u.recorder.Effect("reindex-gone")
		refuse(w, http.StatusGone, reason)
		return
	default:
		u.recorder.Effect(reason)
		refuse(w, http.StatusServiceUnavailable, reason)
		return
	}
	release, ok := u.acquireSlot(r.Context())
	if !ok {
		return
	}
	defer release()
	if time.Now().After(req.Deadline) {
		refuse(w, http.StatusConflict, wire.RefusalDeadline)
		return
	}
	u.serve(w, r, req, shards)
}

// admit returns the reason to reject a request, or an empty string.
func (u *Upstream) admit(served bool) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !u.drainStarted.IsZero():
		u.recorder.LateWork(time.Since(u.drainStarted))
		return wire.RefusalDraining
	case !served:
		return wire.RefusalVersion
	case u.waiting >= maxWaiting, u.shedShare > 0 && u.random.Float64() < u.shedShare:
		return wire.RefusalShed
	}
	return ""
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(wire.HeaderRefusal, reason)
	w.WriteHeader(status)
}

// acquireSlot waits for a slot and returns the function that releases it. It reports
// false if the context ends first. A request that outlives its incarnation does not
// change the counts of the next one.
func (u *Upstream) acquireSlot(ctx context.Context) (release func(), ok bool) {
	var slots chan struct{}
	u.set(func() {
		slots = u.slots
		u.waiting++
	})
	count := func(change func()) {
		u.set(func() {
			if u.slots == slots {
				change()
			}
		})
	}
	defer count(func() { u.waiting-- })
	select {
	case slots <- struct{}{}:
		count(func() { u.running++ })
	case <-ctx.Done():
		return nil, false
	}
	return func() {
		<-slots
		count(func() { u.running-- })
	}, true
}

// serve waits for the service time of the shard request and sends the reply.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request, req wire.Run, shards int) {
	var params struct {
		Query string `json:"q"`
	}
	_ = json.Unmarshal(req.Params, &params)
	shard := ShardKey(req.Archive, req.Version, req.Shard)
	u.recorder.Begin(req.Trace, shard, req.Key)
	if req.Version > 1 {
		u.recorder.Effect("reindex")
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
		u.recorder.Crash(params.Query)
		u.recorder.Effect("poison")
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
	if req.Key == "" && u.sendInvalid(w, body) {
		return
	}
	u.recorder.Complete(req.Trace, shard)
	u.set(func() { u.completedServiceTime += service })
	_, _ = w.Write(body)
}

// sendInvalid sends an invalid reply, which the tier must not merge, for a share
// of the requests. It reports whether it sent one.
func (u *Upstream) sendInvalid(w http.ResponseWriter, body []byte) bool {
	u.mu.Lock()
	other := u.previousBody
	u.previousBody = body
	invalid := u.random.Float64() < u.invalidShare
	kind := u.random.IntN(3)
	u.mu.Unlock()
	if !invalid || other == nil {
		return false
	}
	u.recorder.Effect("crossed")
	switch kind {
	case 0:
		_, _ = w.Write(other)
	case 1:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body[:len(body)/2])
	default:
		time.Sleep(lateReplyDelay)
		_, _ = w.Write(other)
	}
	return true
}

func (u *Upstream) serviceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.config
	mean := c.Service.Seconds() / (1 + c.TailShare*(c.TailFactor-1))
	t := mean * math.Exp(c.Sigma*u.random.NormFloat64()-c.Sigma*c.Sigma/2)
	if u.random.Float64() < c.TailShare {
		t *= c.TailFactor
	}
	if u.slowFactor > 1 {
		u.recorder.Effect("straggler")
	}
	t *= u.slowFactor
	if age := time.Since(u.started); age < coldStartDuration {
		t *= 1 + (coldStartFactor-1)*(1-age.Seconds()/coldStartDuration.Seconds())
	}
	return time.Duration(t * float64(time.Second))
}

// health reports the state as it was healthReportLag ago.
func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	h := wire.Health{State: wire.StateOK, Started: u.started.UnixMilli()}
	if u.falseDrain || !u.drainStarted.IsZero() && time.Since(u.drainStarted) > healthReportLag {
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

// CompletedServiceTime returns the total service time of all shard requests that
// got a complete reply.
func (u *Upstream) CompletedServiceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.completedServiceTime
}

// Slots returns the maximum number of requests that run at the same time.
func (u *Upstream) Slots() int { return u.config.Slots }

// PeakConns returns the largest number of simultaneous connections since the last
// start, plus all connections rejected above the limit.
func (u *Upstream) PeakConns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listener.peakOpen()
}
