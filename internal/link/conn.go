// Package link manages connections to upstreams. A connection carries one request at
// a time, never resends a request, and is closed if a response may be incomplete
// or may belong to another request.
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
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"geraniumstep.org/geraniumstep/internal/memory"
	"geraniumstep.org/geraniumstep/internal/proto"
)

const (
	// dialTimeout limits the time to open a connection. Round trips within a
	// region are far shorter.
	dialTimeout = time.Second
	// ackTimeout is how long sent bytes may stay unacknowledged. The
	// keepAlive constants set the TCP keep-alive probes that detect a
	// peer that stops responding on an idle connection. Since ackTimeout is set,
	// it decides when the probes give up: at the second one, 4 s after the last byte.
	ackTimeout        = 2 * time.Second
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTime is how long an idle connection may be reused if the
	// upstream sends no Keep-Alive timeout. idleMargin is subtracted from a
	// timeout that it sends.
	defaultIdleTime = 4 * time.Second
	idleMargin      = 500 * time.Millisecond
	readBufferBytes = 4 << 10
	// maxInterim is the number of interim (1xx) responses that are skipped before
	// the final one.
	maxInterim = 16
	// maxHeadBytes limits the head of a response, including all interim (1xx)
	// responses before it.
	maxHeadBytes = 64 << 10
	// maxResponseBytes limits the body of an upstream's response, which is held
	// in memory.
	maxResponseBytes = 8 << 20
	// maxSequentialBytes is the largest message that is written completely
	// before the response is read. The socket accepts it without blocking;
	// during a longer write the upstream may already respond.
	maxSequentialBytes = 16 << 10
)

// ErrStatus is the error of a response whose status is neither final (200 to 599) nor
// interim (100 to 199 except 101, without content). The request may have run.
var ErrStatus = errors.New("status of the response is neither final nor interim")

var (
	errWrongRequest   = errors.New("response belongs to another request")
	errTooManyInterim = errors.New("upstream sent too many interim responses")
)

// Conn is a connection to an upstream. It carries one request at a time.
type Conn struct {
	net.Conn
	limiter *memory.Limiter
	reader  *bufio.Reader
	// reusableUntil is the time until which the idle connection may be reused.
	// reusable reports whether the last exchange allows that.
	reusableUntil time.Time
	reusable      bool
	openedAt      time.Time
	// proven is whether a response has been read.
	proven bool
}

// OpenedAt returns when the connection was established.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// Proven reports whether a response has been read on the connection.
func (c *Conn) Proven() bool { return c.proven }

func newConn(raw net.Conn) *Conn {
	l := memory.NewLimiter(raw)
	return &Conn{
		Conn: raw, limiter: l, reader: bufio.NewReaderSize(l, readBufferBytes),
		reusable: true, reusableUntil: time.Now().Add(defaultIdleTime), openedAt: time.Now(),
	}
}

// Dial opens a connection that fails if the peer stops responding at the TCP level.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			outer := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			return errors.Join(outer, err)
		},
	}
	return d.DialContext(ctx, "tcp", addr)
}

// Healthy reports whether an idle connection may be reused: it is open, has not
// expired and has nothing to read. Bytes received while idle belong to no request.
func (c *Conn) Healthy() bool {
	if c.reader.Buffered() > 0 || time.Now().After(c.reusableUntil) {
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

// Response is a completely read response of an upstream.
type Response struct {
	status int
	header http.Header
	body   []byte
	reply  proto.Reply
}

// NewResponse returns a response that another node has read.
func NewResponse(status int, header http.Header, body []byte) *Response {
	return &Response{status: status, header: header, body: body}
}

// Status returns the status code.
func (r *Response) Status() int { return r.status }

// Header returns the headers. They must not be modified.
func (r *Response) Header() http.Header { return r.header }

// Body returns the complete body.
func (r *Response) Body() []byte { return r.body }

// Reply returns the values decoded from the headers.
func (r *Response) Reply() proto.Reply { return r.reply }

// Exchange sends message, the encoded request, and reads the response. The result
// wrote reports whether any bytes may have been sent.
func (c *Conn) Exchange(req *proto.Request, message []byte, d proto.Dialect) (res *Response, wrote bool, err error) {
	c.reusable = false
	r, sent, err := c.sendAndReadHead(req.Method, message)
	if err != nil {
		return nil, sent > 0, err
	}
	c.proven = true
	reply := d.ReadReply(r.StatusCode, r.Header)
	if reply.RequestID != "" && reply.RequestID != req.ID {
		return nil, true, errWrongRequest
	}
	body, err := req.Memory.ReadAll(r.Body, maxResponseBytes)
	if err != nil {
		return nil, true, fmt.Errorf("read response body: %w", err)
	}
	c.reusable = !r.Close && c.reader.Buffered() == 0 && sent == len(message)
	c.reusableUntil = time.Now().Add(idleTime(r.Header))
	return &Response{status: r.StatusCode, header: r.Header, body: body, reply: reply}, true, nil
}

// sendAndReadHead sends the message and reads the head of the response. An upstream
// may respond before it has read a long message; the remaining bytes are then not
// sent.
func (c *Conn) sendAndReadHead(method string, message []byte) (r *http.Response, sent int, err error) {
	if len(message) <= maxSequentialBytes {
		if sent, err = c.Write(message); err != nil {
			return nil, sent, fmt.Errorf("send request: %w", err)
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
	// Interrupts the write, unless the message has been written completely.
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

// readHead reads the head of the final response and skips interim (1xx) responses.
func (c *Conn) readHead(method string) (*http.Response, error) {
	// http.ReadResponse reads lines and headers of any length.
	c.limiter.Limit(maxHeadBytes)
	defer c.limiter.Unlimit()
	for range maxInterim + 1 {
		r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		switch {
		case isFinal(r.StatusCode):
			return r, nil
		case !isInterim(r):
			return nil, fmt.Errorf("%w: %s", ErrStatus, r.Status)
		}
	}
	return nil, errTooManyInterim
}

// maxStatus is the greatest status code of a response.
const maxStatus = 599

func isFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// isInterim reports whether another response follows right after the head. Content after it
// would be read as that response.
func isInterim(r *http.Response) bool {
	length := r.Header.Get("Content-Length")
	return r.StatusCode >= http.StatusContinue && r.StatusCode < http.StatusOK && r.StatusCode != http.StatusSwitchingProtocols &&
		r.ProtoAtLeast(1, 1) && len(r.TransferEncoding) == 0 && (length == "" || length == "0")
}

// idleTime returns how long the upstream keeps an idle connection open, less
// idleMargin.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTime
}

// EncodeHead returns the part of a request that is the same for all upstreams: the
// request line and the caller's headers.
func EncodeHead(req *proto.Request, head http.Header) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	// Writes to a bytes.Buffer never fail.
	_ = head.Write(&b)
	return b.Bytes()
}

// EncodeRequest returns a complete request: the head, the headers for one upstream
// and the body.
func EncodeRequest(head []byte, perUpstream http.Header, body []byte) []byte {
	b := bytes.NewBuffer(make([]byte, 0, len(head)+len(body)+upstreamHeaderBytes))
	b.Write(head)
	_ = perUpstream.Write(b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// upstreamHeaderBytes is the space reserved for the headers for one upstream.
const upstreamHeaderBytes = 128
