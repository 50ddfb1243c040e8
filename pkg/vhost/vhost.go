// Package vhost matches a relayed request to its route by host name and longest path
// prefix. A Snapshot is immutable, so that one request uses a single version of the
// configuration throughout.
//
//	s := vhost.New(7, routes)
//	r, ok := s.Match("seats.example", "/search/2f")
package vhost

import (
	"sort"
	"strings"
	"time"

	"geraniumstep.org/geraniumstep/pkg/access"
	"geraniumstep.org/geraniumstep/pkg/prio"
)

// Destination is where the requests of a route are sent: Single, Split or Gather.
type Destination interface{ destination() }

// Single sends every request to one service.
type Single struct{ service string }

// Split distributes the requests over services in proportion to their weights.
type Split struct{ parts []Part }

// Gather sends every request to all its services, which are the shards, and merges the
// greatest records of their answers.
type Gather struct {
	shards   []string
	topK     int
	minShare float64
}

func (Single) destination() {}
func (Split) destination()  {}
func (Gather) destination() {}

// Part is one weighted service of a Split.
type Part struct {
	service string
	weight  float64
}

// NewPart returns a Part.
func NewPart(service string, weight float64) Part { return Part{service: service, weight: weight} }

// Service returns the name of the service.
func (p Part) Service() string { return p.service }

// Weight returns the share of the requests, relative to the weights of the other
// parts.
func (p Part) Weight() float64 { return p.weight }

// NewSingle returns a destination with one service.
func NewSingle(service string) Single { return Single{service: service} }

// NewSplit returns a destination with weighted services.
func NewSplit(parts []Part) Split { return Split{parts: parts} }

// NewGather returns a destination with shards. An answer holds the topK greatest
// records and needs at least the given share of the shards.
func NewGather(shards []string, topK int, minShare float64) Gather {
	return Gather{shards: shards, topK: max(topK, 0), minShare: minShare}
}

// Service returns the name of the service.
func (s Single) Service() string { return s.service }

// Parts returns the services with their weights. The slice must not be modified.
func (s Split) Parts() []Part { return s.parts }

// Shards returns the services that are queried for an answer. The slice must not be
// modified.
func (g Gather) Shards() []string { return g.shards }

// TopK returns the number of records of an answer.
func (g Gather) TopK() int { return g.topK }

// MinShards returns the minimum number of shards that an answer needs, at least 1.
func (g Gather) MinShards() int {
	n := len(g.shards)
	for k := 1; k <= n; k++ {
		if float64(k) >= g.minShare*float64(n)-shareTolerance {
			return k
		}
	}
	return max(n, 1)
}

// shareTolerance absorbs the rounding error of a share given as a decimal.
const shareTolerance = 1e-9

// Route is how the requests to a host under a path prefix are served.
type Route struct {
	name        string
	host        string
	prefix      string
	destination Destination
	idempotent  bool
	timeout     time.Duration
	target      time.Duration
	priority    prio.Priority
	attempts    int
	anonymous   bool
	homes       access.Homes
}

// Option configures a Route at construction.
type Option func(*Route)

// WithIdempotent sets whether a request may run more than once. The default is false.
func WithIdempotent(yes bool) Option { return func(r *Route) { r.idempotent = yes } }

// WithTimeout sets how long a request may take. The default is 30 s.
func WithTimeout(d time.Duration) Option { return func(r *Route) { r.timeout = d } }

// WithTarget sets the latency target: a later answer is of less use to the caller. The
// default is the timeout.
func WithTarget(d time.Duration) Option { return func(r *Route) { r.target = d } }

// WithPriority sets the priority. The default is bulk.
func WithPriority(p prio.Priority) Option { return func(r *Route) { r.priority = p } }

// WithMaxAttempts sets the maximum number of upstreams of a service that a request is
// sent to. The default is 1.
func WithMaxAttempts(n int) Option { return func(r *Route) { r.attempts = max(n, 1) } }

// WithAnonymous sets whether requests need no key. The default is false.
func WithAnonymous(yes bool) Option { return func(r *Route) { r.anonymous = yes } }

// WithHomes sets the regions in which requests may be served. The default is all regions.
func WithHomes(h access.Homes) Option { return func(r *Route) { r.homes = h } }

const defaultTimeout = 30 * time.Second

// NewRoute returns a route of the host for paths that begin with the prefix.
func NewRoute(name, host, prefix string, d Destination, opts ...Option) *Route {
	r := &Route{name: name, host: strings.ToLower(host), prefix: prefix, destination: d, timeout: defaultTimeout, attempts: 1}
	for _, opt := range opts {
		opt(r)
	}
	if r.target <= 0 || r.target > r.timeout {
		r.target = r.timeout
	}
	return r
}

// Name identifies the route in logs and metrics.
func (r *Route) Name() string { return r.name }

// Host returns the host name in lower case.
func (r *Route) Host() string { return r.host }

// Prefix returns the path prefix.
func (r *Route) Prefix() string { return r.prefix }

// Destination returns where requests are sent.
func (r *Route) Destination() Destination { return r.destination }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Timeout returns how long a request may take.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Target returns the latency target, which is at most the timeout.
func (r *Route) Target() time.Duration { return r.target }

// Priority returns the priority of the requests.
func (r *Route) Priority() prio.Priority { return r.priority }

// MaxAttempts returns the maximum number of upstreams of a service that a request is
// sent to.
func (r *Route) MaxAttempts() int { return r.attempts }

// Anonymous reports whether requests need no key.
func (r *Route) Anonymous() bool { return r.anonymous }

// Homes returns the regions in which requests may be served.
func (r *Route) Homes() access.Homes { return r.homes }

// For returns the route as it applies to the requests of a workspace: its priority goes
// before that of the route, and the homes of both bind.
func (r *Route) For(w *access.Workspace) *Route {
	p, ranked := w.Priority()
	if !ranked && !w.Homes().Restricted() {
		return r
	}
	own := *r
	if ranked {
		own.priority = p
	}
	own.homes = r.homes.And(w.Homes())
	return &own
}

// Snapshot is one immutable version of all routes.
type Snapshot struct {
	version        uint64
	hosts          map[string][]*Route
	routes         []*Route
	limits         Limits
	maxConnections map[string]int
	cold           map[string]Cold
	shards         map[string]bool
	workspaces     *access.Directory
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	maxBodyBytes int64
	idleTimeout  time.Duration
}

// NewLimits returns limits on the body of a request and on idle connections.
func NewLimits(maxBodyBytes int64, idleTimeout time.Duration) Limits {
	return Limits{maxBodyBytes: maxBodyBytes, idleTimeout: idleTimeout}
}

// MaxBodyBytes returns the maximum size of a request body; 0 means that the
// configuration sets no limit.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// IdleTimeout returns how long a caller's connection may stay idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// SnapshotOption configures a Snapshot at construction.
type SnapshotOption func(*Snapshot)

// WithLimits sets the limits on callers. The default is none.
func WithLimits(l Limits) SnapshotOption { return func(s *Snapshot) { s.limits = l } }

// WithMaxConnections sets the maximum number of connections that each upstream of a
// service accepts from all nodes of the tier together.
func WithMaxConnections(byService map[string]int) SnapshotOption {
	return func(s *Snapshot) { s.maxConnections = byService }
}

// Cold is how the upstreams of a service are after their start.
type Cold struct {
	// For is how long they are cold, and PerSecond how many requests a second they then
	// handle from all nodes together; 0 means as many as otherwise.
	For       time.Duration
	PerSecond float64
}

// WithCold sets how the upstreams of services are after their start. The default is as usual.
func WithCold(byService map[string]Cold) SnapshotOption {
	return func(s *Snapshot) { s.cold = byService }
}

// WithWorkspaces sets the workspaces whose keys requests must carry. By default requests need
// no key.
func WithWorkspaces(d *access.Directory) SnapshotOption {
	return func(s *Snapshot) { s.workspaces = d }
}

// New returns the snapshot of a version. Of two routes with the same host and prefix
// the later one is used.
func New(version uint64, routes []*Route, opts ...SnapshotOption) *Snapshot {
	s := &Snapshot{version: version, hosts: make(map[string][]*Route), routes: routes, shards: make(map[string]bool)}
	for _, opt := range opts {
		opt(s)
	}
	for i := len(routes) - 1; i >= 0; i-- {
		r := routes[i]
		s.hosts[r.host] = append(s.hosts[r.host], r)
		if g, ok := r.destination.(Gather); ok {
			for _, service := range g.shards {
				s.shards[service] = true
			}
		}
	}
	for _, list := range s.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
	return s
}

// Version returns the version, which is higher for a newer snapshot.
func (s *Snapshot) Version() uint64 { return s.version }

// Routes returns all routes. The slice must not be modified.
func (s *Snapshot) Routes() []*Route { return s.routes }

// Workspaces returns the workspaces, or nil if requests need no key.
func (s *Snapshot) Workspaces() *access.Directory { return s.workspaces }

// Limits returns the limits on callers.
func (s *Snapshot) Limits() Limits { return s.limits }

// MaxConnections returns the maximum number of connections that each upstream of the
// service accepts from all nodes of the tier together, or 0 if it is not known.
func (s *Snapshot) MaxConnections(service string) int { return s.maxConnections[service] }

// Cold returns how the upstreams of the service are after their start.
func (s *Snapshot) Cold(service string) Cold { return s.cold[service] }

// IsShard reports whether the service is a shard of a Gather destination.
func (s *Snapshot) IsShard(service string) bool { return s.shards[service] }

// Match returns the route of the host with the longest prefix of the path. The host may
// include a port.
func (s *Snapshot) Match(host, path string) (*Route, bool) {
	list, ok := s.hosts[host]
	if !ok {
		list = s.hosts[canonicalHost(host)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return nil, false
}

// canonicalHost returns the host without its port, in lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
