package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/proto"
)

// testDialect decodes the responses of the upstreams in these tests.
type testDialect struct{ proto.Dialect }

func (testDialect) ReadReply(_ int, h http.Header) proto.Reply {
	return proto.Reply{RequestID: h.Get("Id")}
}

// newUpstream starts an upstream that serves each connection with the function, and
// returns a pool for it.
func newUpstream(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	p := NewPool(l.Addr().String(), Dial)
	t.Cleanup(p.Close)
	return p
}

// exchange sends a request with a body of the given size.
func exchange(t *testing.T, p *Pool, size int) (*Conn, *Response, error) {
	t.Helper()
	c, err := p.Connect(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	req := &proto.Request{ID: "r-1", Method: http.MethodPost, Host: "h", Target: "/", Body: make([]byte, size)}
	res, wrote, err := c.Exchange(req, EncodeRequest(EncodeHead(req, nil), nil, req.Body), testDialect{})
	if !wrote {
		t.Error("Exchange() wrote = false, want true")
	}
	return c, res, err
}

// writeResponse writes a response with a body of two bytes.
func writeResponse(w io.Writer, status int, head string) {
	_, _ = io.WriteString(w, "HTTP/1.1 "+strconv.Itoa(status)+" x\r\n"+head+"Content-Length: 2\r\n\r\nok")
}

// readRequest reads one complete request.
func readRequest(r *bufio.Reader) error {
	req, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err
}

// If an upstream rejects a long request without reading all of it, Exchange must
// return the response without waiting for the rest to be sent, and the connection,
// on which part of the body is missing, must not be reused.
func TestEarlyResponseToLongRequest(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	p := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		writeResponse(c, http.StatusTooManyRequests, "")
		<-hold
	})
	start := time.Now()
	c, res, err := exchange(t, p, 32<<20)
	if err != nil {
		t.Fatalf("Exchange() = %v, want the early response", err)
	}
	if got, want := res.Status(), http.StatusTooManyRequests; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
	if got, maxTime := time.Since(start), time.Second; got > maxTime {
		t.Errorf("early response took %v, want at most %v", got, maxTime)
	}
	if c.reusable {
		t.Error("connection with an incomplete request body is reusable, want not")
	}
}

func TestLongRequestIsSentCompletely(t *testing.T) {
	got := make(chan error, 1)
	p := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		got <- readRequest(r)
		writeResponse(c, http.StatusOK, "")
	})
	c, res, err := exchange(t, p, 8<<20)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-got; err != nil {
		t.Errorf("upstream read: %v", err)
	}
	if res.Status() != http.StatusOK || !c.reusable {
		t.Errorf("status = %d, reusable = %v, want 200 and true", res.Status(), c.reusable)
	}
}

// A connection must not be reused if the upstream sent bytes after its response, sent
// the response to another request, announced to close, or sent an incomplete or
// malformed response.
func TestFaultyConnectionsAreNotReused(t *testing.T) {
	for _, c := range []struct {
		name  string
		write func(w io.Writer)
		err   bool
	}{
		{"bytes after the response", func(w io.Writer) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 x\r\n\r\n")
		}, false},
		{"response to another request", func(w io.Writer) { writeResponse(w, http.StatusOK, "Id: r-0\r\n") }, true},
		{"close announced", func(w io.Writer) { writeResponse(w, http.StatusOK, "Connection: close\r\n") }, false},
		{"incomplete body", func(w io.Writer) { _, _ = io.WriteString(w, "HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nok") }, true},
		{"not HTTP", func(w io.Writer) { _, _ = io.WriteString(w, "\x00\x01\x02\r\n\r\n") }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newUpstream(t, func(conn net.Conn, r *bufio.Reader) {
				if readRequest(r) == nil {
					c.write(conn)
				}
			})
			conn, _, err := exchange(t, p, 10)
			if got := err != nil; got != c.err {
				t.Errorf("Exchange() = %v, want an error: %v", err, c.err)
			}
			if conn.reusable {
				t.Error("connection is reusable, want not")
			}
		})
	}
}

// Bytes that arrive on an idle connection belong to no request, so the connection
// must not be reused.
func TestIdleConnectionWithBytesIsClosed(t *testing.T) {
	p := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			return
		}
		writeResponse(c, http.StatusOK, "")
		time.Sleep(20 * time.Millisecond)
		writeResponse(c, http.StatusOK, "")
		_, _ = r.ReadByte() // until the pool closes the connection
	})
	c, _, err := exchange(t, p, 0)
	if err != nil {
		t.Fatal(err)
	}
	p.Release(c)
	time.Sleep(100 * time.Millisecond)
	next, err := p.Connect(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	if next == c {
		t.Error("Connect() returned the connection that received bytes while idle")
	}
}

// An attempt is canceled by a deadline in the past, which must interrupt a blocked
// write and the read of the response.
func TestDeadlineInterruptsLongSend(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	p := newUpstream(t, func(net.Conn, *bufio.Reader) { <-hold })
	c, err := p.Connect(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	req := &proto.Request{ID: "r-1", Method: http.MethodPost, Host: "h", Target: "/", Body: make([]byte, 32<<20)}
	_, _, err = c.Exchange(req, EncodeRequest(EncodeHead(req, nil), nil, req.Body), testDialect{})
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("Exchange() = %v, want a timeout", err)
	}
}
