package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/prio"
)

const (
	readyPoll   = 250 * time.Millisecond
	queries     = 2000
	holdTries   = 4
	holdPause   = 150 * time.Millisecond
	callPatient = 15 * time.Second
)

// callers send requests through a balancer that polls readiness.
type callers struct {
	fleet   *fleet
	check   *checker
	client  *http.Client
	start   time.Time
	sent    atomic.Int64
	running sync.WaitGroup
	random  *rand.Rand
	rates   map[prio.Priority]*atomic.Uint64 // searches a second, in thousandths
	next    atomic.Uint64
}

func newCallers(f *fleet, c *checker, seed uint64, rate float64) *callers {
	random := rand.New(rand.NewPCG(seed, 3))
	l := &callers{
		fleet: f, check: c, client: f.callerClient(), random: random,
		rates: make(map[prio.Priority]*atomic.Uint64),
	}
	for _, s := range f.deployment.mix {
		l.rates[s.priority] = &atomic.Uint64{}
		l.setRate(s.priority, rate*s.part)
	}
	return l
}

// setRate changes how many searches of a priority are sent each second.
func (l *callers) setRate(p prio.Priority, perSecond float64) {
	l.rates[p].Store(uint64(perSecond * 1000))
}

// run sends an open-loop load until the context ends, then waits for the
// answers.
func (l *callers) run(ctx context.Context, rate float64) {
	l.start = time.Now()
	var senders sync.WaitGroup
	senders.Go(func() { l.pollReady(ctx) })
	for i, s := range l.fleet.deployment.mix {
		random := rand.New(rand.NewPCG(l.random.Uint64(), uint64(i)))
		senders.Go(func() {
			l.pace(ctx, random, func() float64 { return float64(l.rates[s.priority].Load()) / 1000 }, func(due time.Time, n uint64) {
				l.search(s, due, n)
			})
		})
	}
	random := rand.New(rand.NewPCG(l.random.Uint64(), 9))
	senders.Go(func() {
		l.pace(ctx, random, func() float64 { return rate * l.fleet.deployment.holdRate }, l.hold)
	})
	senders.Wait()
	l.running.Wait()
}

// pace starts requests at random intervals, each at its intended time whether
// or not earlier ones have been answered.
func (l *callers) pace(ctx context.Context, random *rand.Rand, rate func() float64, send func(due time.Time, n uint64)) {
	due := time.Now()
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / max(rate(), 0.001) * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		} else if ctx.Err() != nil {
			return
		}
		at, n := due, l.next.Add(1)
		l.sent.Add(1)
		l.running.Go(func() { send(at, n) })
	}
}

// pollReady asks every VM whether it takes requests, as balancers do.
func (l *callers) pollReady(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range l.fleet.entries {
			go l.pollOne(ctx, e)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readyPoll):
		}
	}
}

func (l *callers) pollOne(ctx context.Context, e *entry) {
	ctx, cancel := context.WithTimeout(ctx, 4*readyPoll)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.addr()+"/readyz", nil)
	if err != nil {
		return
	}
	ready := false
	if res, err := l.client.Do(req); err == nil {
		ready = res.StatusCode == http.StatusOK
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ready = ready
}

// pick chooses a VM that the balancer takes for ready.
func (l *callers) pick(n uint64) *entry {
	for i := range l.fleet.entries {
		e := l.fleet.entries[(n*7+uint64(i)*5)%uint64(len(l.fleet.entries))]
		e.mu.Lock()
		ready := e.ready
		e.mu.Unlock()
		if ready {
			return e
		}
	}
	return l.fleet.entries[n%uint64(len(l.fleet.entries))]
}

// search sends one search and checks what comes back. A balancer sends a
// search again elsewhere when the connection fails.
func (l *callers) search(s share, due time.Time, n uint64) {
	c := call{
		trace:     fmt.Sprintf("s-%d", n),
		priority:  s.priority,
		template:  s.template,
		workspace: s.workspaces[n%uint64(len(s.workspaces))],
		query:     l.query(n),
		due:       due,
	}
	l.searchCall(c, n)
}

func (l *callers) searchCall(c call, n uint64) {
	c, r := sendAgain(c, func(c call, try uint64) result { return l.post(l.pick(n+try), "searches", c, nil) })
	l.check.searched(c, r)
}

// sendAgain sends a search once more when the connection of the first send fails.
// Each send has a trace of its own: what the first has run says nothing of what
// is promised of the second.
func sendAgain(c call, post func(c call, try uint64) result) (call, result) {
	const tries = 2
	trace := c.trace
	var r result
	for try := range uint64(tries) {
		if try > 0 {
			c.trace = fmt.Sprintf("%s.%d", trace, try)
		}
		if r = post(c, try); !r.broken() {
			break
		}
	}
	return c, r
}

// query draws from a skewed set, as people ask for the same things.
func (l *callers) query(n uint64) string {
	random := rand.New(rand.NewPCG(n, l.fleet.seed))
	if random.Float64() < 0.05 {
		return fmt.Sprintf("rare-%d", n)
	}
	return fmt.Sprintf("q-%d", rand.NewZipf(random, 1.2, 4, queries-1).Uint64())
}

// hold sends one non-idempotent request, and again with the same key as long
// as its outcome is not known. A key that nobody can take at present is
// replaced by one that a node issues.
func (l *callers) hold(due time.Time, n uint64) {
	ask := l.fleet.deployment.holds
	c := call{
		trace:     fmt.Sprintf("h-%d", n),
		priority:  prio.Urgent,
		template:  ask.template,
		workspace: ask.workspaces[n%uint64(len(ask.workspaces))],
		query:     fmt.Sprintf("hold-%d", n),
		seat:      fmt.Sprintf("seat-%d", n%997),
		due:       due,
	}
	key := uuid.Must(uuid.NewV7()).String()
	r := l.holdKey(c, key, n)
	if r.kind() == wire.KindNotRun {
		l.check.keyed(key, r)
		if issued, ok := l.issuedKey(l.pick(n)); ok {
			key = issued
			r = l.holdKey(c, key, n)
		}
	}
	l.check.held(c, key, r)
}

func (l *callers) holdKey(c call, key string, n uint64) result {
	var r result
	first := true
	for try := range holdTries {
		header := http.Header{wire.HeaderKey: {`"` + key + `"`}}
		if first {
			header.Set(wire.HeaderFirstSend, "?1")
		}
		r = l.post(l.pick(n+uint64(try)), "submissions", c, header)
		if r.answer != nil || r.kind() == wire.KindNotRun || r.kind() == wire.KindInvalid || r.kind() == wire.KindQuarantined {
			return r
		}
		first = first && r.refused
		time.Sleep(holdPause)
	}
	return r
}

func (l *callers) issuedKey(e *entry) (string, bool) {
	res, err := l.client.Post("http://"+e.addr()+"/v1/keys", "application/json", nil)
	if err != nil {
		return "", false
	}
	defer res.Body.Close()
	var keys wire.Keys
	if err := json.NewDecoder(res.Body).Decode(&keys); err != nil || len(keys.Keys) == 0 {
		return "", false
	}
	return keys.Keys[0], true
}

// call is one request as its caller knows it.
type call struct {
	trace     string
	priority  prio.Priority
	template  string
	workspace string
	query     string
	seat      string
	due       time.Time
}

// result is what a caller got.
type result struct {
	answer  *wire.Answer
	problem *wire.Problem
	err     error
	// refused tells that no connection could be opened, so nothing was sent.
	refused bool
	entry   *entry
	took    time.Duration
	retry   string
}

func (r result) broken() bool { return r.err != nil }

func (r result) kind() string {
	if r.problem == nil {
		return ""
	}
	return r.problem.Kind
}

// post sends one request to one VM.
func (l *callers) post(e *entry, path string, c call, header http.Header) result {
	params := map[string]any{"q": c.query}
	if c.seat != "" {
		params["seat"] = c.seat
	}
	if c.query == "" {
		params = nil
	}
	r := result{entry: e}
	body, err := json.Marshal(wire.RequestBody{Parameters: params})
	if err != nil {
		return result{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callPatient)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/workspaces/%s/%s/%s", e.addr(), c.workspace, path, c.template)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set(wire.HeaderTrace, c.trace)
	sent := time.Now()
	res, err := l.client.Do(req)
	if err != nil {
		r.err, r.refused = err, errors.Is(err, syscall.ECONNREFUSED)
		return r
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	r.took = time.Since(sent)
	if err != nil {
		r.err = err
		return r
	}
	r.retry = res.Header.Get("Retry-After")
	return r.decode(res.StatusCode, data)
}

func (r result) decode(status int, data []byte) result {
	if status == http.StatusOK {
		r.answer = &wire.Answer{}
		r.err = json.Unmarshal(data, r.answer)
		return r
	}
	r.problem = &wire.Problem{}
	if err := json.Unmarshal(data, r.problem); err != nil {
		r.err = fmt.Errorf("status %d with a body that is no problem: %w", status, err)
	}
	return r
}
