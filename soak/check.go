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
	// drainBound and configBound are the platform's bounds on a draining
	// server and on a configuration, of its strictest deployment.
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
	// touchTime is how long a node must have been without disturbance for
	// the bounds to hold; the platform says 5 s.
	touchTime = 5 * time.Second
	// recoverBound is when service must be back after the last fault.
	recoverBound = 12 * time.Second
)

// attempt is one request as its caller saw it.
type attempt struct {
	reply  fakes.Reply
	host   string
	node   string
	sentAt time.Time
	doneAt time.Time
}

// layout is one configuration that was written.
type layout struct {
	version int
	service string
	shards  []string
	at      time.Time
}

// truth is what the soak knows beside the callers: what ran, what was written,
// and when something was disturbed.
type truth struct {
	mu        sync.Mutex
	ledger    *fakes.RunLog
	servers   map[string]*fakes.Server
	drained   map[string]time.Time
	layouts   []layout
	faults    map[string][]span // by node, and by "" for all
	planned   map[string][]span
	problems  []string
	attempts  int
	successes int
}

// span is a time in which something was disturbed.
type span struct{ from, to time.Time }

func newTruth() *truth {
	return &truth{
		ledger: &fakes.RunLog{}, servers: make(map[string]*fakes.Server), drained: make(map[string]time.Time),
		faults: make(map[string][]span), planned: make(map[string][]span),
	}
}

// disturb notes a fault at a node, or at everything for "".
func (t *truth) disturb(node string, from, to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults[node] = append(t.faults[node], span{from, to})
}

// plan notes a planned stop of a node.
func (t *truth) plan(node string, from, to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.planned[node] = append(t.planned[node], span{from, to})
}

// inTouch tells whether nothing disturbed the node in the time before at.
func (t *truth) inTouch(node string, at time.Time) bool {
	for _, name := range []string{"", node} {
		for _, s := range t.faults[name] {
			if s.from.Before(at) && s.to.Add(touchTime).After(at) {
				return false
			}
		}
	}
	return true
}

func overlaps(spans []span, from, to time.Time) bool {
	for _, s := range spans {
		if s.from.Before(to) && s.to.After(from) {
			return true
		}
	}
	return false
}

func (t *truth) problem(format string, args ...any) {
	t.problems = append(t.problems, fmt.Sprintf(format, args...))
}

// check holds an answer against the promises that can be judged at once.
func (t *truth) check(a attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts++
	r := a.reply
	switch {
	case r.Err != nil:
		t.checkCut(a)
	case r.Status != 200:
	case a.host == hostAll:
		t.successes++
		t.checkMerged(a)
	default:
		t.successes++
		t.checkSingle(a)
	}
}

// checkCut judges a connection that ended without an answer: a planned stop
// alone must not cause it.
func (t *truth) checkCut(a attempt) {
	calm := t.inTouch(a.node, a.doneAt) && t.inTouch(a.node, a.sentAt)
	if calm && overlaps(t.planned[a.node], a.sentAt, a.doneAt) && a.doneAt.Sub(a.sentAt) < callerWait*7/10 {
		t.problem("cut off: request %s at %s during its planned stop: %v", a.reply.Request, a.node, a.reply.Err)
	}
}

func (t *truth) checkSingle(a attempt) {
	id, request, _ := strings.Cut(a.reply.Proof, ".")
	s, known := t.servers[id]
	if !known || request != a.reply.Request {
		t.problem("mixed: request %s got proof %q", a.reply.Request, a.reply.Proof)
		return
	}
	if a.reply.Body != s.Record() {
		t.problem("mixed: request %s got body %q of %s", a.reply.Request, a.reply.Body, id)
	}
	t.checkVersion(a, func(l layout) bool { return l.service == s.Service })
}

func (t *truth) checkMerged(a attempt) {
	var records, services []string
	for _, p := range a.reply.Proofs {
		id, request, _ := strings.Cut(p, ".")
		s, known := t.servers[id]
		if !known || request != a.reply.Request {
			t.problem("mixed: search %s got proof %q", a.reply.Request, p)
			return
		}
		records = append(records, s.Record())
		services = append(services, s.Service)
	}
	sort.Strings(services)
	if len(slices.Compact(slices.Clone(services))) != len(services) {
		t.problem("mixed: search %s got two parts of a shard: %v", a.reply.Request, a.reply.Proofs)
	}
	sort.Sort(sort.Reverse(sort.StringSlice(records)))
	if want := strings.Join(records[:min(len(records), topK)], ""); a.reply.Body != want {
		t.problem("mixed: search %s got body %q of parts %v", a.reply.Request, a.reply.Body, a.reply.Proofs)
	}
	fits := func(l layout) bool {
		return len(services)+a.reply.Missing == len(l.shards) && containsAll(l.shards, services) &&
			float64(len(services)) >= leastShare*float64(len(l.shards))
	}
	t.checkVersion(a, fits)
}

func containsAll(set, list []string) bool {
	for _, s := range list {
		if !slices.Contains(set, s) {
			return false
		}
	}
	return true
}

// checkVersion finds a configuration that explains the answer: any for a
// disturbed node, else one that was in force when the request was sent.
func (t *truth) checkVersion(a attempt, fits func(l layout) bool) {
	oldest := 0
	if t.inTouch(a.node, a.sentAt) && t.inTouch(a.node, a.doneAt) {
		for i, l := range t.layouts {
			if a.sentAt.Sub(l.at) > configBound {
				oldest = i
			}
		}
	}
	for _, l := range t.layouts[oldest:] {
		if fits(l) {
			return
		}
	}
	t.problem("configuration: request %s at %s is answered as no version from %d on says: %q %v",
		a.reply.Request, a.node, t.layouts[oldest].version, a.reply.Proof, a.reply.Proofs)
}

// finish judges what needs the whole record of runs.
func (t *truth) finish(promised, once map[string]attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string][]fakes.Run)
	for _, r := range t.ledger.Runs("") {
		runs[r.Request] = append(runs[r.Request], r)
		if at, drained := t.drained[r.Server]; drained && r.At.Sub(at) > drainBound && t.calmAt(r.At) {
			t.problem("drain: request %s reached %s %v after it said that it leaves", r.Request, r.Server, r.At.Sub(at))
		}
	}
	for id, a := range promised {
		if len(runs[id]) > 0 {
			t.problem("refused: request %s got %d and has run at %s", id, a.reply.Status, runs[id][0].Server)
		}
	}
	for id := range once {
		if len(runs[id]) > 1 {
			t.problem("twice: request %s ran %d times", id, len(runs[id]))
		}
	}
	for id := range runs {
		if !strings.HasPrefix(id, requestPrefix) {
			t.problem("unasked: a server ran request %q", id)
		}
	}
}

// calmAt tells whether no node was disturbed at the time.
func (t *truth) calmAt(at time.Time) bool {
	for node := range t.faults {
		if !t.inTouch(node, at) {
			return false
		}
	}
	return true
}

// found lists the broken promises.
func (t *truth) found() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.problems)
}
