package relay

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
)

var (
	errCrossed  = errors.New("answer belongs to another request")
	errTooLarge = errors.New("answer is larger than the tier holds")
)

// conn is one connection to an upstream, with one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usable is until when the idle connection may be used again.
	usable time.Time
}

// Dial opens connections to upstreams. It is the default of WithDial.
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
func (c *conn) quiet() bool {
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

// response is an upstream's answer, read to its end.
type response struct {
	status int
	header http.Header
	body   []byte
	reply  Reply
}

// exchange sends the request and reads the answer. Wrote tells whether bytes may
// have left; reuse whether the connection may carry another request.
func (c *conn) exchange(req *Request, message []byte, d Dialect) (res *response, wrote, reuse bool, err error) {
	n, err := c.Write(message)
	if err != nil {
		return nil, n > 0, false, fmt.Errorf("send: %w", err)
	}
	r, err := c.readHead(req.Method)
	if err != nil {
		return nil, true, false, fmt.Errorf("read answer: %w", err)
	}
	reply := d.ReadReply(r.StatusCode, r.Header)
	if reply.RequestID != "" && reply.RequestID != req.ID {
		return nil, true, false, errCrossed
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, true, false, fmt.Errorf("read body: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return nil, true, false, errTooLarge
	}
	reuse = !r.Close && c.reader.Buffered() == 0
	c.usable = time.Now().Add(idleTime(r.Header))
	return &response{status: r.StatusCode, header: r.Header, body: body, reply: reply}, true, reuse, nil
}

// readHead reads the head of the final answer, passing over interim ones.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || r.StatusCode >= http.StatusOK {
			return r, err
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

// encodeStart writes what all upstreams of a request get alike: the request
// line and the caller's headers.
func encodeStart(req *Request, head http.Header) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	// Write to a bytes.Buffer never fails.
	_ = head.Write(&b)
	return b.Bytes()
}

// encode completes a message with the headers of one upstream and the body.
func encode(start []byte, own http.Header, body []byte) []byte {
	b := bytes.NewBuffer(make([]byte, 0, len(start)+len(body)+ownHeaderBytes))
	b.Write(start)
	_ = own.Write(b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// ownHeaderBytes is room for the headers of one upstream.
const ownHeaderBytes = 128
