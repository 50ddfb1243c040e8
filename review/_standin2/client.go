package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// client sends one request at a time on a connection that it keeps. It does not send a request
// twice.
type client struct {
	addr, name, key string
	rec             *record
	conn            net.Conn
	reader          *bufio.Reader
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
		detail = fmt.Sprintf("%d %s", r.status, r.header.Get(wire["stamp"]))
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
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, c.key, wire["id"], id, wire["remaining"], wait.Milliseconds(), len(body), body)
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
