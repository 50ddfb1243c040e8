package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// client sends one request at a time on a connection that it keeps. It does not send a request
// twice.
type client struct {
	addr, name string
	rec        *record
	conn       net.Conn
	reader     *bufio.Reader
}

// result is the answer to a request. Status is 0 without one.
type result struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends a request and waits for the answer.
func (c *client) send(method, host, path string, body string, wait time.Duration) result {
	id := fmt.Sprintf("%016x", rand.Uint64())
	r := c.exchange(id, method, host, path, body, wait)
	detail := "no answer"
	if r.err == nil {
		detail = fmt.Sprintf("%d %s%s", r.status, r.header.Get("X-Server-Stamp"), r.header.Get("X-Part-Stamps"))
	}
	c.rec.add("answered", id, c.name, detail)
	return r
}

func (c *client) exchange(id, method, host, path, body string, wait time.Duration) result {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return result{id: id, err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.rec.add("sent", id, c.name, method+" "+path+" "+hashOf([]byte(body)))
	_ = c.conn.SetDeadline(time.Now().Add(wait + 2*time.Second))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Time-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, id, wait.Milliseconds(), len(body), body)
	if err != nil {
		c.close()
		return result{id: id, err: err}
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return result{id: id, err: err}
	}
	data, err := io.ReadAll(res.Body)
	if err != nil || res.Close {
		c.close()
	}
	return result{id: id, status: res.StatusCode, header: res.Header, body: data, err: err}
}

func (c *client) close() {
	_ = c.conn.Close()
	c.conn = nil
}

// load sends requests with many clients until the context is done. Each client waits for its
// answer, and then for a pause of the mean length.
func load(ctx context.Context, d *deployment, nodes []*node, perNode int, pause time.Duration, one func(c *client)) *sync.WaitGroup {
	var all sync.WaitGroup
	for _, n := range nodes {
		for i := range perNode {
			c := &client{addr: n.caller, name: n.name + "-client-" + strconv.Itoa(i), rec: d.rec}
			all.Go(func() {
				for ctx.Err() == nil {
					select {
					case <-time.After(time.Duration(rand.ExpFloat64() * float64(pause))):
					case <-ctx.Done():
						return
					}
					one(c)
				}
			})
		}
	}
	return &all
}

// promisesNotRun reports whether the status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// stamps returns the receipts in an answer.
func stamps(h http.Header) []string {
	var list []string
	for _, s := range strings.Split(strings.Join(h.Values("X-Part-Stamps"), ","), ",") {
		if s = strings.TrimSpace(s); s != "" {
			list = append(list, s)
		}
	}
	return list
}
