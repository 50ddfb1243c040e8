// Package link holds the connections to upstreams. A connection carries one
// request at a time, sends nothing a second time, and is closed on any doubt about
// what it brings.
//
//	p := link.NewPool(addr, link.Dial)
//	c, err := p.Connect(ctx)
//	res, wrote, err := c.Exchange(request, message, dialect)
//	p.Release(c)
package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"geraniumstep.org/geraniumstep/internal/proto"
)

const (
	// dialTimeout bounds the opening of a connection; a region's round trip
	// is far below it.
	dialTimeout = time.Second
	// silenceTimeout is how long sent bytes may stay unacknowledged, and
	// keepAlive* find connections that went silent while idle.
	silenceTimeout    = 2 * time.Second
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdle is how long an idle connection is trusted if the upstream
	// does not say; idleMargin is kept from what it says.
	defaultIdle = 4 * time.Second
	idleMargin  = 500 * time.Millisecond
	// maxAnswerBytes bounds an upstream's answer in memory.
	maxAnswerBytes = 8 << 20
	connBuffer     = 4 << 10
	// aheadBytes is the size of a message from which on the answer is read
	// while the message is sent. A socket takes a shorter one at once.
	aheadBytes = 16 << 10
)

var (
	errCrossed  = errors.New("answer belongs to another request")
	errTooLarge = errors.New("answer is larger than the tier holds")
)

// Conn is one connection to an upstream, with one request at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// usable is until when the idle connection may be used again, and reuse
	// whether the last exchange left it in order.
	usable time.Time
	reuse  bool
}

// Dial opens a connection that notices a silent far side.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			outer := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
			})
			return errors.Join(outer, err)
		},
	}
	return d.DialContext(ctx, "tcp", addr)
}

// quiet tells whether an idle connection is open with nothing to read: bytes
// that nobody asked for belong to no request.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 || time.Now().After(c.usable) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// Response is an upstream's answer, read to its end.
type Response struct {
	status int
	header http.Header
	body   []byte
	reply  proto.Reply
}

// Status is the status code.
func (r *Response) Status() int { return r.status }

// Header gives the headers. It must not be changed.
func (r *Response) Header() http.Header { return r.header }

// Body gives the whole body.
func (r *Response) Body() []byte { return r.body }

// Reply is what the headers say.
func (r *Response) Reply() proto.Reply { return r.reply }

// Exchange sends the message of a request and reads the answer. Wrote tells whether
// bytes may have left.
func (c *Conn) Exchange(req *proto.Request, message []byte, d proto.Dialect) (res *Response, wrote bool, err error) {
	c.reuse = false
	r, sent, err := c.sendAndReadHead(req.Method, message)
	if err != nil {
		return nil, sent > 0, err
	}
	reply := d.ReadReply(r.StatusCode, r.Header)
	if reply.RequestID != "" && reply.RequestID != req.ID {
		return nil, true, errCrossed
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, true, fmt.Errorf("read body: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return nil, true, errTooLarge
	}
	c.reuse = !r.Close && c.reader.Buffered() == 0 && sent == len(message)
	c.usable = time.Now().Add(idleTime(r.Header))
	return &Response{status: r.StatusCode, header: r.Header, body: body, reply: reply}, true, nil
}

// sendAndReadHead sends the message and reads the head of the answer. An upstream
// may answer before it has read a long message; the rest is not sent then.
func (c *Conn) sendAndReadHead(method string, message []byte) (r *http.Response, sent int, err error) {
	if len(message) <= aheadBytes {
		if sent, err = c.Write(message); err != nil {
			return nil, sent, fmt.Errorf("send: %w", err)
		}
		r, err = c.readHead(method)
		return r, sent, err
	}
	var sendErr error
	done := make(chan struct{})
	go func() {
		defer close(done)
		sent, sendErr = c.Write(message)
	}()
	r, err = c.readHead(method)
	// Has no effect on a message that is sent.
	deadlineErr := c.SetWriteDeadline(time.Unix(1, 0))
	if deadlineErr != nil {
		_ = c.Close()
	}
	<-done
	if err != nil {
		err = errors.Join(err, sendErr)
	}
	return r, sent, errors.Join(err, deadlineErr)
}

// readHead reads the head of the final answer, passing over interim ones.
func (c *Conn) readHead(method string) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if r.StatusCode >= http.StatusOK {
			return r, nil
		}
	}
}

// idleTime is how long the upstream leaves an idle connection open, less a
// margin.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// EncodeHead writes what all upstreams of a request get alike: the request
// line and the caller's headers.
func EncodeHead(req *proto.Request, head http.Header) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	// Write to a bytes.Buffer never fails.
	_ = head.Write(&b)
	return b.Bytes()
}

// EncodeRequest completes a message with the headers of one upstream and the body.
func EncodeRequest(start []byte, own http.Header, body []byte) []byte {
	b := bytes.NewBuffer(make([]byte, 0, len(start)+len(body)+ownHeaderBytes))
	b.Write(start)
	_ = own.Write(b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// ownHeaderBytes is room for the headers of one upstream.
const ownHeaderBytes = 128
