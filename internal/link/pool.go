package link

import (
	"context"
	"net"
	"sync"
	"time"
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Pool holds the connections to one upstream. It is safe for concurrent use.
type Pool struct {
	addr string
	dial Dialer

	mu     sync.Mutex
	idle   []*Conn
	closed bool
}

// NewPool returns a pool of connections to the address.
func NewPool(addr string, dial Dialer) *Pool { return &Pool{addr: addr, dial: dial} }

// Connect returns an idle connection or opens a new one.
func (p *Pool) Connect(ctx context.Context) (*Conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if c.Healthy() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.Open(ctx)
}

// Open opens a new connection, even if an idle one is available.
func (p *Pool) Open(ctx context.Context) (*Conn, error) {
	raw, err := p.dial(ctx, p.addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// HasIdle reports whether a connection waits to be used.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// Release returns a connection to the pool if it is reusable, and closes it
// otherwise.
func (p *Pool) Release(c *Conn) {
	if c.reusable && p.pushIdle(c) {
		return
	}
	_ = c.Close()
}

func (p *Pool) pushIdle(c *Conn) bool {
	if c.SetDeadline(time.Time{}) != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.closeExpired(time.Now())
	p.idle = append(p.idle, c)
	return true
}

// closeExpired closes idle connections that the upstream has closed or will close
// soon, starting with the oldest. It must be called with mu held.
func (p *Pool) closeExpired(now time.Time) {
	for len(p.idle) > 0 && now.After(p.idle[0].reusableUntil) {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// Close closes the idle connections. Connections in use are closed when they are
// released.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}
