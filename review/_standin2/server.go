package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// serverQueue is how many requests wait at a server that has no free slot.
	serverQueue = 12
	// serverIdle is how long a server keeps an idle connection.
	serverIdle = 5 * time.Second
	// recordBytes is the size of a record of a part.
	recordBytes = 16
)

// server is a stand-in of a server. Its fields are set before it serves.
type server struct {
	id, service, zone string
	slots             int
	work              time.Duration
	// records is how many records an answer holds, or 0 for a body of plain bytes.
	records int
	// pause is how long the server stands still each pauseEvery, or 0.
	pause, pauseEvery time.Duration
	// cutOff and second are the shares of the answers that the server breaks off, and after
	// which it sends a second one, late.
	cutOff, second float64
	rec            *record

	listener net.Listener
	running  atomic.Int64
	free     chan struct{}
	pauses   sync.RWMutex
	faulty   atomic.Bool
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
	if s.pause > 0 {
		go s.pauseAtTimes()
	}
	return nil
}

// pauseAtTimes makes the server pause for a moment at its own times.
func (s *server) pauseAtTimes() {
	time.Sleep(rand.N(s.pauseEvery))
	for {
		s.pauses.Lock()
		time.Sleep(s.pause)
		s.pauses.Unlock()
		time.Sleep(s.pauseEvery - s.pause)
	}
}

// entry is what the server says of itself in the store.
func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "coldLeftMs": 0, "sequence": 1, "born": time.Now().Add(-time.Hour).UnixMilli(),
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
	var late []byte
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
		if late != nil { // a second answer arrives where the next one is expected
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		message := s.answer(req, body).bytes()
		if s.faulty.Load() && rand.Float64() < s.cutOff {
			_, _ = c.Write(message[:len(message)-len(message)/4])
			return
		}
		if _, err := c.Write(message); err != nil {
			return
		}
		if s.faulty.Load() && rand.Float64() < s.second {
			late = message
			s.rec.add("second", "", s.id, req.Header.Get("X-Request-Id"))
		}
	}
}

// answer runs a request, or turns it away.
func (s *server) answer(req *http.Request, body []byte) answer {
	s.pauses.RLock()
	s.pauses.RUnlock() //nolint:staticcheck // waits for the end of a pause
	id := req.Header.Get("X-Request-Id")
	a := answer{header: http.Header{}}
	if id != "" {
		a.header.Set("X-Request-Id", id)
	}
	n := s.running.Add(1)
	defer s.running.Add(-1)
	a.header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(n, int64(s.slots)), max(n-int64(s.slots), 0), s.slots))
	notRun := func(status int) answer {
		a.status = status
		a.header.Set("X-Not-Executed", "1")
		return a
	}
	switch expected := req.Header.Get("X-Expect-Instance"); {
	case expected != "" && expected != s.id:
		a.header.Set("X-Instance-Id", s.id)
		return notRun(http.StatusMisdirectedRequest)
	case id == "":
		return notRun(http.StatusBadRequest)
	case n > int64(s.slots+serverQueue):
		return notRun(http.StatusServiceUnavailable)
	}
	left := time.Minute
	if ms, err := strconv.ParseFloat(req.Header.Get("X-Time-Remaining"), 64); err == nil {
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
	s.pauses.RLock()
	s.pauses.RUnlock() //nolint:staticcheck // waits for the end of a pause
	a.status = http.StatusOK
	a.header.Set("X-Server-Stamp", s.service+"/"+s.id+"/"+id)
	a.body = s.body(id)
	return a
}

// body returns the body of the answer to a request.
func (s *server) body(id string) []byte {
	if s.records > 0 {
		return recordsOf(s.service, id, s.records)
	}
	return []byte("answer of " + s.id + " to " + id)
}

// recordsOf returns the records of a shard for a request, in no order. All servers of the shard
// have the same.
func recordsOf(service, id string, n int) []byte {
	var b []byte
	for i := range n {
		sum := sha256.Sum256(binary.AppendVarint([]byte(service+"/"+id+"/"), int64(i)))
		b = append(b, sum[:recordBytes]...)
	}
	return b
}

func hashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("%x", sum[:6])
}
