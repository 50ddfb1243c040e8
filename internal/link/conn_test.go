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

// testDialect reads what these tests' upstreams write.
type testDialect struct{ proto.Dialect }

func (testDialect) ReadReply(_ int, h http.Header) proto.Reply {
	return proto.Reply{RequestID: h.Get("Id")}
}

// upstream serves each connection with a function.
func upstream(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) *Pool {
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

// exchange sends one request with a body of the size.
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
		t.Error("Exchange() says that nothing was written")
	}
	return c, res, err
}

// answer writes an answer of two bytes.
func answer(w io.Writer, status int, head string) {
	_, _ = io.WriteString(w, "HTTP/1.1 "+strconv.Itoa(status)+" x\r\n"+head+"Content-Length: 2\r\n\r\nok")
}

// readRequest reads one whole request.
func readRequest(r *bufio.Reader) error {
	req, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err
}

// Replays an upstream that rejects long requests before it has read them, and
// leaves the rest unread: the answer arrives at once, and the connection, on
// which part of the body is missing, is not used again.
func TestEarlyAnswerToALongRequest(t *testing.T) {
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	p := upstream(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		answer(c, http.StatusTooManyRequests, "")
		<-held
	})
	begun := time.Now()
	c, res, err := exchange(t, p, 32<<20)
	if err != nil {
		t.Fatalf("Exchange() = %v, want the early answer", err)
	}
	if got, want := res.Status(), http.StatusTooManyRequests; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
	if got, most := time.Since(begun), time.Second; got > most {
		t.Errorf("early answer took %v, want at most %v", got, most)
	}
	if c.reuse {
		t.Error("the connection would be used again with part of a body missing")
	}
}

func TestLongRequestArrivesWhole(t *testing.T) {
	got := make(chan error, 1)
	p := upstream(t, func(c net.Conn, r *bufio.Reader) {
		got <- readRequest(r)
		answer(c, http.StatusOK, "")
	})
	c, res, err := exchange(t, p, 8<<20)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-got; err != nil {
		t.Errorf("upstream read: %v", err)
	}
	if res.Status() != http.StatusOK || !c.reuse {
		t.Errorf("status = %d, reuse = %v, want 200 and true", res.Status(), c.reuse)
	}
}

// An upstream that sends bytes beyond its answer, or another request's answer,
// or breaks off, is not believed a second time.
func TestDoubtfulConnectionsAreNotUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		write func(w io.Writer)
		err   bool
	}{
		{"bytes beyond the answer", func(w io.Writer) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 x\r\n\r\n")
		}, false},
		{"answer of another request", func(w io.Writer) { answer(w, http.StatusOK, "Id: r-0\r\n") }, true},
		{"close announced", func(w io.Writer) { answer(w, http.StatusOK, "Connection: close\r\n") }, false},
		{"broken off", func(w io.Writer) { _, _ = io.WriteString(w, "HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nok") }, true},
		{"no answer in the protocol", func(w io.Writer) { _, _ = io.WriteString(w, "\x00\x01\x02\r\n\r\n") }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := upstream(t, func(conn net.Conn, r *bufio.Reader) {
				if readRequest(r) == nil {
					c.write(conn)
				}
			})
			conn, _, err := exchange(t, p, 10)
			if got := err != nil; got != c.err {
				t.Errorf("Exchange() = %v, want an error: %v", err, c.err)
			}
			if conn.reuse {
				t.Error("the connection would be used again")
			}
		})
	}
}

// Bytes that arrive on an idle connection belong to no request.
func TestIdleConnectionWithBytesIsDropped(t *testing.T) {
	p := upstream(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			return
		}
		answer(c, http.StatusOK, "")
		time.Sleep(20 * time.Millisecond)
		answer(c, http.StatusOK, "")
		_, _ = r.ReadByte() // until the node closes
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
		t.Error("Connect() gave the connection that had brought bytes of no request")
	}
}

// The end of an attempt interrupts the sending and the reading.
func TestDeadlineEndsALongSend(t *testing.T) {
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	p := upstream(t, func(net.Conn, *bufio.Reader) { <-held })
	c, err := p.Connect(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	req := &proto.Request{ID: "r-1", Method: http.MethodPost, Host: "h", Target: "/", Body: make([]byte, 32<<20)}
	_, _, err = c.Exchange(req, EncodeRequest(EncodeHead(req, nil), nil, req.Body), testDialect{})
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("Exchange() = %v, want a time-out", err)
	}
}
