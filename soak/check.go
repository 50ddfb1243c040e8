package main

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

const (
	// drainBound is the time after which a draining server must receive no more
	// requests, and configBound the time after which a configuration must be in
	// force. They are the platform's bounds for its strictest deployment.
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
	// settleTime is how long a node must have been free of faults for the
	// bounds to apply. The platform specifies 5 s.
	settleTime = 5 * time.Second
	// crashReason is part of the reason with which nodes reject requests that crash
	// servers.
	crashReason = "crashed upstreams"
	// recoveryBound is the time after the last fault within which service must
	// recover.
	recoveryBound = 12 * time.Second
)

// attempt is one request and the reply that its caller received.
type attempt struct {
	reply  fakes.Reply
	host   string
	node   string
	sentAt time.Time
	doneAt time.Time
}

// writtenConfig is one version of the configuration and when it was stored.
type writtenConfig struct {
	version int
	service string
	shards  []string
	at      time.Time
}

// checker checks the replies that callers receive. It records the requests that
// servers ran, the configurations that were stored and when faults were active.
type checker struct {
	mu         sync.Mutex
	runLog     *fakes.RunLog
	servers    map[string]*fakes.Server
	drained    map[string]time.Time // start of the drain by server
	configs    []writtenConfig
	faults     map[string][]interval // by node; "" stands for all nodes
	stops      map[string][]interval // planned stops by node
	violations []string
	// cuts holds the attempts that failed without a response. They are checked at
	// the end, because a fault is recorded only after it has begun.
	cuts   []attempt
	limits []statedLimit
	// serverCuts, leavings and rests are evaluated at the end, and tries for them.
	serverCuts []serverCut
	leavings   []wordOfLeaving
	rests      []askedRest
	tries      []try
	// zones maps the servers to their zones.
	zones       map[string]string
	evacuations []evacuation
	// nodes is the number of nodes.
	nodes     int
	attempts  int
	successes int
}

// interval is the time span of a fault or a planned stop.
type interval struct{ from, to time.Time }

func newChecker() *checker {
	return &checker{
		runLog: &fakes.RunLog{}, servers: make(map[string]*fakes.Server), drained: make(map[string]time.Time), zones: make(map[string]string),
		faults: make(map[string][]interval), stops: make(map[string][]interval),
	}
}

// recordFault records a fault of a node, or of all nodes if node is "".
func (c *checker) recordFault(node string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[node] = append(c.faults[node], interval{from, to})
}

// recordStop records a planned stop of a node.
func (c *checker) recordStop(node string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops[node] = append(c.stops[node], interval{from, to})
}

// settled reports whether no fault affected the node at the given time or within
// settleTime before it. It must be called with mu held.
func (c *checker) settled(node string, at time.Time) bool {
	for _, name := range []string{"", node} {
		for _, s := range c.faults[name] {
			if s.from.Before(at) && s.to.Add(settleTime).After(at) {
				return false
			}
		}
	}
	return true
}

func overlaps(intervals []interval, from, to time.Time) bool {
	for _, s := range intervals {
		if s.from.Before(to) && s.to.After(from) {
			return true
		}
	}
	return false
}

// violate must be called with mu held.
func (c *checker) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// check checks a reply against the guarantees that can be evaluated immediately.
func (c *checker) check(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	r := a.reply
	c.tries = append(c.tries, try{node: a.node, at: a.sentAt, served: r.Err == nil && r.Status == 200})
	switch {
	case r.Err != nil:
		c.cuts = append(c.cuts, a)
	case r.Status != 200:
		c.checkRejected(a)
	case a.host == hostSearch:
		c.successes++
		c.checkMerged(a)
	default:
		c.successes++
		c.checkSingle(a)
	}
}

// checkRejected checks that no request of these callers is rejected as one that crashes
// servers. Some of them are equal, and may be in flight when servers end.
func (c *checker) checkRejected(a attempt) {
	if strings.Contains(a.reply.Body, crashReason) {
		c.violate("denied: request %s at %s is rejected as one that crashes servers", a.reply.Request, a.node)
	}
}

// checkCut checks a request that failed without a response. A planned stop of a node
// without other faults must not cause this. Requests that took 70 % of callerTimeout
// or more are left out, since their callers may have given up.
func (c *checker) checkCut(a attempt) {
	nodeSettled := c.settled(a.node, a.doneAt) && c.settled(a.node, a.sentAt)
	if nodeSettled && overlaps(c.stops[a.node], a.sentAt, a.doneAt) && a.doneAt.Sub(a.sentAt) < callerTimeout*7/10 {
		c.violate("cut off: request %s at %s during its planned stop: %v", a.reply.Request, a.node, a.reply.Err)
	}
}

func (c *checker) checkSingle(a attempt) {
	id, request, _ := strings.Cut(a.reply.Proof, ".")
	s, known := c.servers[id]
	if !known || request != a.reply.Request {
		c.violate("mixed: request %s got proof %q", a.reply.Request, a.reply.Proof)
		return
	}
	if a.reply.Body != s.Record() {
		c.violate("mixed: request %s got body %q of %s", a.reply.Request, a.reply.Body, id)
	}
	c.checkVersion(a, func(cfg writtenConfig) bool { return cfg.service == s.Service })
}

func (c *checker) checkMerged(a attempt) {
	var records, services []string
	for _, p := range a.reply.Proofs {
		id, request, _ := strings.Cut(p, ".")
		s, known := c.servers[id]
		if !known || request != a.reply.Request {
			c.violate("mixed: search %s got proof %q", a.reply.Request, p)
			return
		}
		records = append(records, s.Record())
		services = append(services, s.Service)
	}
	sort.Strings(services)
	if len(slices.Compact(slices.Clone(services))) != len(services) {
		c.violate("mixed: search %s got two parts of a shard: %v", a.reply.Request, a.reply.Proofs)
	}
	sort.Sort(sort.Reverse(sort.StringSlice(records)))
	if want := strings.Join(records[:min(len(records), topK)], ""); a.reply.Body != want {
		c.violate("mixed: search %s got body %q of parts %v", a.reply.Request, a.reply.Body, a.reply.Proofs)
	}
	fits := func(cfg writtenConfig) bool {
		return len(services)+a.reply.Missing == len(cfg.shards) && containsAll(cfg.shards, services) &&
			float64(len(services)) >= minShardShare*float64(len(cfg.shards))
	}
	c.checkVersion(a, fits)
}

func containsAll(set, list []string) bool {
	for _, s := range list {
		if !slices.Contains(set, s) {
			return false
		}
	}
	return true
}

// checkVersion checks that the response fits a configuration that may have been in
// force when the request was sent. For a node that is not settled, any stored
// configuration is accepted.
func (c *checker) checkVersion(a attempt, fits func(cfg writtenConfig) bool) {
	oldest := 0
	if c.settled(a.node, a.sentAt) && c.settled(a.node, a.doneAt) {
		for i, cfg := range c.configs {
			if a.sentAt.Sub(cfg.at) > configBound {
				oldest = i
			}
		}
	}
	for _, cfg := range c.configs[oldest:] {
		if fits(cfg) {
			return
		}
	}
	c.violate("configuration: request %s at %s is answered as no version from %d on says: %q %v",
		a.reply.Request, a.node, c.configs[oldest].version, a.reply.Proof, a.reply.Proofs)
}

// finish evaluates the guarantees that depend on all requests that servers ran.
// notRun contains the attempts whose reply proves that they did not run, and
// submissions those that must run at most once. receivers maps the attempts to the nodes
// that received them.
func (c *checker) finish(notRun, submissions map[string]attempt, receivers map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkCrashing(receivers)
	c.checkLimits(receivers)
	c.checkCuts()
	c.checkLeavings(receivers)
	c.checkRests()
	c.checkEvacuations()
	for _, a := range c.cuts {
		c.checkCut(a)
	}
	runs := make(map[string][]fakes.Run)
	for _, r := range c.runLog.Runs("") {
		runs[r.Request] = append(runs[r.Request], r)
		if at, drained := c.drained[r.Server]; drained && r.At.Sub(at) > drainBound && c.allSettled(r.At) {
			c.violate("drain: request %s reached %s %v after it said that it leaves", r.Request, r.Server, r.At.Sub(at))
		}
	}
	for id, a := range notRun {
		if len(runs[id]) > 0 {
			c.violate("refused: request %s got %d and has run at %s", id, a.reply.Status, runs[id][0].Server)
		}
	}
	for id := range submissions {
		if len(runs[id]) > 1 {
			c.violate("twice: request %s ran %d times", id, len(runs[id]))
		}
	}
	for id := range runs {
		if !strings.HasPrefix(id, requestPrefix) {
			c.violate("unasked: a server ran request %q", id)
		}
	}
}

// allSettled reports whether all nodes were settled at the time. It must be called
// with mu held.
func (c *checker) allSettled(at time.Time) bool {
	for node := range c.faults {
		if !c.settled(node, at) {
			return false
		}
	}
	return true
}

func (c *checker) listViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}
