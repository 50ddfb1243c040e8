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
	readyPollInterval = 250 * time.Millisecond
	distinctQueries   = 2000
	submitAttempts    = 4
	submitRetryDelay  = 150 * time.Millisecond
	callTimeout       = 15 * time.Second
)

// callers sends requests to VMs that are ready according to a simulated load
// balancer.
type callers struct {
	fleet   *fleet
	check   *checker
	client  *http.Client
	start   time.Time
	sent    atomic.Int64
	running sync.WaitGroup
	random  *rand.Rand
	rates   map[prio.Priority]*atomic.Uint64 // searches per 1000 s
	next    atomic.Uint64
}

func newCallers(f *fleet, c *checker, seed uint64, rate float64) *callers {
	random := rand.New(rand.NewPCG(seed, 3))
	l := &callers{
		fleet: f, check: c, client: f.newCallerClient(), random: random,
		rates: make(map[prio.Priority]*atomic.Uint64),
	}
	for _, w := range f.deployment.workloads {
		l.rates[w.priority] = &atomic.Uint64{}
		l.setRate(w.priority, rate*w.fraction)
	}
	return l
}

func (l *callers) setRate(p prio.Priority, perSecond float64) {
	l.rates[p].Store(uint64(perSecond * 1000))
}

// run sends an open-loop load until the context ends, then waits for all
// outstanding requests.
func (l *callers) run(ctx context.Context, rate float64) {
	l.start = time.Now()
	var senders sync.WaitGroup
	senders.Go(func() { l.pollReady(ctx) })
	for i, w := range l.fleet.deployment.workloads {
		random := rand.New(rand.NewPCG(l.random.Uint64(), uint64(i)))
		senders.Go(func() {
			l.sendAtRate(ctx, random, func() float64 { return float64(l.rates[w.priority].Load()) / 1000 }, func(due time.Time, n uint64) {
				l.search(w, due, n)
			})
		})
	}
	random := rand.New(rand.NewPCG(l.random.Uint64(), 9))
	senders.Go(func() {
		l.sendAtRate(ctx, random, func() float64 { return rate * l.fleet.deployment.submissionRatio }, l.submit)
	})
	senders.Wait()
	l.running.Wait()
}

// sendAtRate sends requests at exponentially distributed intervals. Each is sent
// when it is due, even if earlier ones have not been answered, so that a slow tier
// does not reduce the load.
func (l *callers) sendAtRate(ctx context.Context, random *rand.Rand, rate func() float64, send func(due time.Time, n uint64)) {
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

// pollReady polls the readiness of every VM, as a load balancer does.
func (l *callers) pollReady(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range l.fleet.entries {
			go l.pollNode(ctx, e)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readyPollInterval):
		}
	}
}

func (l *callers) pollNode(ctx context.Context, e *entry) {
	ctx, cancel := context.WithTimeout(ctx, 4*readyPollInterval)
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

// pick returns a VM that was ready at its last poll. If there is none, it returns
// any VM.
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

// search sends one search and checks its outcome. Like a load balancer, it sends
// the search to another VM when the connection fails.
func (l *callers) search(w workload, due time.Time, n uint64) {
	c := call{
		trace:     fmt.Sprintf("s-%d", n),
		priority:  w.priority,
		template:  w.template,
		workspace: w.workspaces[n%uint64(len(w.workspaces))],
		query:     l.query(n),
		due:       due,
	}
	l.sendSearch(c, n)
}

func (l *callers) sendSearch(c call, n uint64) {
	c, r := sendWithRetry(c, func(c call, try uint64) result { return l.post(l.pick(n+try), "searches", c, nil) })
	l.check.checkSearch(c, r)
}

// sendWithRetry sends a search a second time when the connection of the first send
// fails. Each send has a separate trace: a reply of "not run" to the second send
// must be true of that send only, since the first may have run.
func sendWithRetry(c call, post func(c call, try uint64) result) (call, result) {
	const tries = 2
	trace := c.trace
	var r result
	for try := range uint64(tries) {
		if try > 0 {
			c.trace = fmt.Sprintf("%s.%d", trace, try)
		}
		if r = post(c, try); !r.failed() {
			break
		}
	}
	return c, r
}

// query returns a query drawn from a skewed distribution, because many people search
// for the same things. One in twenty is unique.
func (l *callers) query(n uint64) string {
	random := rand.New(rand.NewPCG(n, l.fleet.seed))
	if random.Float64() < 0.05 {
		return fmt.Sprintf("rare-%d", n)
	}
	return fmt.Sprintf("q-%d", rand.NewZipf(random, 1.2, 4, distinctQueries-1).Uint64())
}

// submit sends one submission, and repeats it with the same key while its outcome
// is unknown. If it is rejected as not run, for example because no node can accept
// the key at present, submit sends it again with a key that a node issues.
func (l *callers) submit(due time.Time, n uint64) {
	kind := l.fleet.deployment.submissions
	c := call{
		trace:     fmt.Sprintf("h-%d", n),
		priority:  prio.Urgent,
		template:  kind.template,
		workspace: kind.workspaces[n%uint64(len(kind.workspaces))],
		query:     fmt.Sprintf("hold-%d", n),
		seat:      fmt.Sprintf("seat-%d", n%997),
		due:       due,
	}
	key := uuid.Must(uuid.NewV7()).String()
	r := l.submitKey(c, key, n)
	if r.kind() == wire.KindNotRun {
		l.check.recordNotRunKey(key, r)
		if issued, ok := l.requestKey(l.pick(n)); ok {
			key = issued
			r = l.submitKey(c, key, n)
		}
	}
	l.check.checkSubmission(c, key, r)
}

// submitKey sends a submission with the key until its outcome is known, at most
// submitAttempts times. Sends are marked as the first until one may have reached a
// node.
func (l *callers) submitKey(c call, key string, n uint64) result {
	var r result
	first := true
	for try := range submitAttempts {
		header := http.Header{wire.HeaderKey: {`"` + key + `"`}}
		if first {
			header.Set(wire.HeaderFirstSend, "?1")
		}
		r = l.post(l.pick(n+uint64(try)), "submissions", c, header)
		if r.answer != nil || r.kind() == wire.KindNotRun || r.kind() == wire.KindInvalid || r.kind() == wire.KindQuarantined {
			return r
		}
		first = first && r.connRefused
		time.Sleep(submitRetryDelay)
	}
	return r
}

func (l *callers) requestKey(e *entry) (string, bool) {
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

type call struct {
	trace     string
	priority  prio.Priority
	template  string
	workspace string
	query     string
	seat      string
	due       time.Time
}

// result is the outcome of one send.
type result struct {
	answer  *wire.Answer
	problem *wire.Problem
	err     error
	// connRefused reports whether the connection was refused, so that nothing was
	// sent.
	connRefused bool
	entry       *entry
	took        time.Duration
	retryAfter  string
}

func (r result) failed() bool { return r.err != nil }

func (r result) kind() string {
	if r.problem == nil {
		return ""
	}
	return r.problem.Kind
}

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
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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
		r.err, r.connRefused = err, errors.Is(err, syscall.ECONNREFUSED)
		return r
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	r.took = time.Since(sent)
	if err != nil {
		r.err = err
		return r
	}
	r.retryAfter = res.Header.Get("Retry-After")
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
		r.err = fmt.Errorf("status %d with a body that is not a problem document: %w", status, err)
	}
	return r
}
