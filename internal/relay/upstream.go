package relay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/place"
)

// upstream is one incarnation of an upstream with this node's connections,
// queue and evidence.
type upstream struct {
	entry fleet.Entry
	stats *place.Stats
	gate  *gate.Shared
	slots atomic.Int64
	dial  func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// same tells whether the entry describes this incarnation at this address.
func (u *upstream) same(e fleet.Entry) bool {
	old := u.entry
	return old.ID() == e.ID() && old.Started() == e.Started() && old.Addr() == e.Addr() && old.Service() == e.Service()
}

// connect takes an idle connection or opens one.
func (u *upstream) connect(ctx context.Context) (*conn, error) {
	for {
		c := u.popIdle()
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := u.dial(ctx, u.entry.Addr())
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, connBuffer)}, nil
}

func (u *upstream) popIdle() *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.idle) == 0 {
		return nil
	}
	c := u.idle[len(u.idle)-1]
	u.idle = u.idle[:len(u.idle)-1]
	return c
}

// release keeps a connection that may be used again and closes any other.
func (u *upstream) release(c *conn, reuse bool) {
	if reuse && u.keep(c) {
		return
	}
	_ = c.Close()
}

func (u *upstream) keep(c *conn) bool {
	if c.SetDeadline(time.Time{}) != nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return false
	}
	u.dropExpired(time.Now())
	u.idle = append(u.idle, c)
	return true
}

// dropExpired closes idle connections that the upstream has closed or will
// close soon. The oldest come first. The lock is held.
func (u *upstream) dropExpired(now time.Time) {
	for len(u.idle) > 0 && now.After(u.idle[0].usable) {
		_ = u.idle[0].Close()
		u.idle = u.idle[1:]
	}
}

// close closes the idle connections; those in use are closed after their
// request.
func (u *upstream) close() {
	u.mu.Lock()
	idle := u.idle
	u.idle, u.closed = nil, true
	u.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}
