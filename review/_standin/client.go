package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host of all routes of the stand-ins.
const host = "pupu76.example"

// answer is what a client received for one request, or the error that ended it.
type answer struct {
	request string
	node    string
	sent    time.Time
	done    time.Time
	status  int
	stamp   string
	body    string
	err     error
}

// clients send requests at a rate until they are stopped. Each request is one attempt with an id of
// its own; refused ones are not sent again.
type clients struct {
	record *record
	http   *http.Client
	nodes  []*node
	path   string
	count  atomic.Int64
	group  sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

func newClients(r *record, nodes []*node, path string) *clients {
	return &clients{record: r, nodes: nodes, path: path, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
	}}}
}

// run sends perSecond requests a second, to the nodes in turn, until the time has passed.
func (c *clients) run(perSecond float64, length time.Duration) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	end := time.After(length)
	for {
		select {
		case <-ticker.C:
			c.send()
		case <-end:
			return
		}
	}
}

// send sends one request that may run once at most.
func (c *clients) send() {
	n := c.count.Add(1)
	to := c.nodes[int(n)%len(c.nodes)]
	id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+n)
	c.group.Go(func() {
		a := c.post(to, id, n)
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
		c.record.add("answer %s from %s: status %d stamp %q error %v", id, a.node, a.status, a.stamp, a.err)
	})
}

func (c *clients) post(to *node, id string, n int64) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a := answer{request: id, node: to.name, sent: time.Now()}
	defer func() { a.done = time.Now() }()
	body := strings.Repeat(id, 18)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s%d", to.caller, c.path, n), strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil // net/http must not send it again by itself
	req.Host = host
	req.Header.Set(header("id"), id)
	req.Header.Set(header("remaining"), strconv.FormatInt(deadline.Milliseconds(), 10))
	c.record.add("sent %s to %s", id, to.name)
	res, err := c.http.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	a.status, a.stamp, a.body, a.err = res.StatusCode, res.Header.Get(header("stamp")), string(text), err
	return a
}

// await waits for all answers and returns them.
func (c *clients) await() []answer {
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}

// unsafeRoute returns a configuration with one route to a service, whose requests may run
// once at most.
func unsafeRoute(version int, path, service string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-hold", "host": host, field("prefix"): path, "kind": "unsafe", "timeoutMs": deadline.Milliseconds(),
			field("target"): target.Milliseconds(), "priority": 2, "service": service, field("attempts"): attempts,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConnections": maxConns, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// isPromise reports whether a status says that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
