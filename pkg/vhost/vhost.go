// Package vhost finds the route of a relayed request by its host name and the
// longest path prefix. A Snapshot is immutable: all that one request asks of it
// comes from one version of the configuration.
//
//	s := vhost.New(7, routes)
//	r, ok := s.Match("seats.example", "/search/2f")
package vhost

import (
	"sort"
	"strings"
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

// Destination says where the requests of a route go: Single, Split or Gather.
type Destination interface{ destination() }

// Single sends every request to one service.
type Single struct{ service string }

// Split spreads the requests over services in proportion to their weights.
type Split struct{ parts []Part }

// Gather sends every request to all services, the shards, and merges the
// greatest records of their answers.
type Gather struct {
	shards []string
	topK   int
	least  float64
}

func (Single) destination() {}
func (Split) destination()  {}
func (Gather) destination() {}

// Part is one service of a Split.
type Part struct {
	service string
	weight  float64
}

// NewPart returns a part of a split.
func NewPart(service string, weight float64) Part { return Part{service: service, weight: weight} }

// Service names the service.
func (p Part) Service() string { return p.service }

// Weight is the part's share, relative to the other weights.
func (p Part) Weight() float64 { return p.weight }

// NewSingle returns the destination of one service.
func NewSingle(service string) Single { return Single{service: service} }

// NewSplit returns a destination of weighted services.
func NewSplit(parts []Part) Split { return Split{parts: parts} }

// NewGather returns a destination of shards. An answer holds the topK greatest
// records and needs at least the given share of the shards.
func NewGather(shards []string, topK int, least float64) Gather {
	return Gather{shards: shards, topK: max(topK, 0), least: least}
}

// Service names the service.
func (s Single) Service() string { return s.service }

// Parts lists the services with their weights. It must not be changed.
func (s Split) Parts() []Part { return s.parts }

// Shards lists the services that make up the whole. It must not be changed.
func (g Gather) Shards() []string { return g.shards }

// TopK is the number of records of an answer.
func (g Gather) TopK() int { return g.topK }

// MinShards is the number of shards that an answer needs, one at least.
func (g Gather) MinShards() int {
	n := len(g.shards)
	for k := 1; k <= n; k++ {
		if float64(k) >= g.least*float64(n)-shareSlack {
			return k
		}
	}
	return max(n, 1)
}

// shareSlack absorbs the rounding of a share written in decimals.
const shareSlack = 1e-9

// Route says how requests of a host under a path prefix are served.
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
}

// Option changes a Route at construction.
type Option func(*Route)

// WithIdempotent says whether requests may run more than once. The default is no.
func WithIdempotent(yes bool) Option { return func(r *Route) { r.idempotent = yes } }

// WithTimeout sets how long a request may be kept waiting. The default is 30 s.
func WithTimeout(d time.Duration) Option { return func(r *Route) { r.timeout = d } }

// WithTarget sets the time within which an answer is of full use. The default
// is the timeout.
func WithTarget(d time.Duration) Option { return func(r *Route) { r.target = d } }

// WithPriority sets the priority. The default is bulk.
func WithPriority(p prio.Priority) Option { return func(r *Route) { r.priority = p } }

// WithMaxAttempts sets to how many upstreams of a service one request may be sent.
// The default is 1.
func WithMaxAttempts(n int) Option { return func(r *Route) { r.attempts = max(n, 1) } }

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

// Host is the host name, in lower case.
func (r *Route) Host() string { return r.host }

// Prefix is how the paths of the route begin.
func (r *Route) Prefix() string { return r.prefix }

// Destination says where requests go.
func (r *Route) Destination() Destination { return r.destination }

// Idempotent tells whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Timeout is how long a request may be kept waiting.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Target is the time within which an answer is of full use.
func (r *Route) Target() time.Duration { return r.target }

// Priority is the rank of the requests.
func (r *Route) Priority() prio.Priority { return r.priority }

// MaxAttempts is the most upstreams of a service that one request may be sent to.
func (r *Route) MaxAttempts() int { return r.attempts }

// Snapshot is one version of all routes.
type Snapshot struct {
	version uint64
	hosts   map[string][]*Route
	routes  []*Route
	limits  Limits
	conns   map[string]int
	shards  map[string]bool
}

// Limits bound what callers may send.
type Limits struct {
	bodyBytes int64
	idle      time.Duration
}

// NewLimits returns limits on a request's body and on idle connections.
func NewLimits(bodyBytes int64, idle time.Duration) Limits {
	return Limits{bodyBytes: bodyBytes, idle: idle}
}

// MaxBodyBytes bounds the body of a request; 0 means no limit of its own.
func (l Limits) MaxBodyBytes() int64 { return l.bodyBytes }

// IdleTimeout is how long a caller's connection may stay idle.
func (l Limits) IdleTimeout() time.Duration { return l.idle }

// SnapshotOption changes a Snapshot at construction.
type SnapshotOption func(*Snapshot)

// WithLimits sets the limits on callers. The default is none.
func WithLimits(l Limits) SnapshotOption { return func(s *Snapshot) { s.limits = l } }

// WithMaxConnections sets how many connections each upstream of a service accepts
// from the whole tier.
func WithMaxConnections(byService map[string]int) SnapshotOption {
	return func(s *Snapshot) { s.conns = byService }
}

// New returns the snapshot of a version. Of two routes with one host and prefix
// the later one wins.
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

// Version orders the snapshots.
func (s *Snapshot) Version() uint64 { return s.version }

// Routes lists all routes. It must not be changed.
func (s *Snapshot) Routes() []*Route { return s.routes }

// Limits gives the limits on callers.
func (s *Snapshot) Limits() Limits { return s.limits }

// MaxConnections is how many connections each upstream of the service accepts from
// the whole tier, or 0 if that is not known.
func (s *Snapshot) MaxConnections(service string) int { return s.conns[service] }

// IsShard tells whether a route gathers from the service.
func (s *Snapshot) IsShard(service string) bool { return s.shards[service] }

// Match finds the route of the host, which may carry a port, whose prefix is
// the longest that begins the path.
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

// canonicalHost drops the port and writes the name in lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
