package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// serverQueue is how many requests wait at a server that has no free slot.
	serverQueue = 12
	// serverIdle is how long a server keeps an idle connection.
	serverIdle = 5 * time.Second
)

// server is a stand-in of a server. Its fields are set before it serves.
type server struct {
	id, service, zone string
	slots             int
	work              time.Duration
	rec               *record

	listener net.Listener
	running  atomic.Int64
	free     chan struct{}
}

// start listens on a free loopback address.
func (s *server) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.free = l, make(chan struct{}, s.slots)
	for range s.slots {
		s.free <- struct{}{}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// entry is what the server says of itself in the store.
func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", wire["cold"]: 0, "sequence": 1, "born": time.Now().Add(-time.Hour).UnixMilli(),
	}
}

// answer is a response of a server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a answer) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	a.header.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(serverIdle.Seconds())))
	_ = a.header.Write(&b) // a buffer takes all
	b.WriteString("\r\n")
	b.Write(a.body)
	return b.Bytes()
}

// serve serves one request at a time on a connection.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(serverIdle + 500*time.Millisecond))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		message := s.answer(req, body).bytes()
		if _, err := c.Write(message); err != nil {
			return
		}
	}
}

// answer runs a request, or turns it away.
func (s *server) answer(req *http.Request, body []byte) answer {
	id := req.Header.Get(wire["id"])
	a := answer{header: http.Header{}}
	if id != "" {
		a.header.Set(wire["id"], id)
	}
	n := s.running.Add(1)
	defer s.running.Add(-1)
	a.header.Set(wire["load"], fmt.Sprintf("%d,%d,%d", min(n, int64(s.slots)), max(n-int64(s.slots), 0), s.slots))
	notRun := func(status int) answer {
		a.status = status
		a.header.Set(wire["notRun"], "1")
		return a
	}
	switch expected := req.Header.Get(wire["expect"]); {
	case expected != "" && expected != s.id:
		a.header.Set(wire["instance"], s.id)
		return notRun(http.StatusMisdirectedRequest)
	case id == "":
		return notRun(http.StatusBadRequest)
	case n > int64(s.slots+serverQueue):
		return notRun(http.StatusServiceUnavailable)
	}
	left := time.Minute
	if ms, err := strconv.ParseFloat(req.Header.Get(wire["remaining"]), 64); err == nil {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	select {
	case <-s.free:
	case <-time.After(left):
		return notRun(http.StatusServiceUnavailable)
	}
	defer func() { s.free <- struct{}{} }()
	s.rec.add("run", id, s.id, req.Method+" "+req.URL.RequestURI()+" "+hashOf(body))
	time.Sleep(time.Duration(float64(s.work) * (0.7 + 0.6*rand.Float64())))
	a.status = http.StatusOK
	a.header.Set(wire["stamp"], s.service+"/"+s.id+"/"+id)
	a.body = []byte("answer of " + s.id + " to " + id)
	return a
}

func hashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("%x", sum[:6])
}
