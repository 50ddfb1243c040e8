package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Dial opens a connection to a peer.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

const dialTimeout = 500 * time.Millisecond

// ErrUnsent is returned when a call failed before any byte of it was sent.
var ErrUnsent = merry.New("call not sent; the peer could not be reached, try another node")

// ErrBroken is returned when the connection broke or the context ended after the call
// may have been sent.
var ErrBroken = merry.New("connection to the peer broke; the call may have been carried out")

// Peers is a pool with one connection to each peer that has been called. It is safe for
// concurrent use.
type Peers struct {
	dial Dial

	mu     sync.Mutex
	conns  map[string]*connection
	closed bool
}

// connection is the connection to one peer. client and err are set before ready is
// closed.
type connection struct {
	ready  chan struct{}
	client *rpc.Client
	err    error
}

// NewPeers returns a pool that opens connections with dial.
func NewPeers(dial Dial) *Peers {
	return &Peers{dial: dial, conns: make(map[string]*connection)}
}

// Call calls a method of the peer at the address and waits for the reply or the end of
// the context. A reply that arrives later is dropped.
func (p *Peers) Call(ctx context.Context, addr, method string, args, reply any) error {
	client, err := p.client(ctx, addr)
	if err != nil {
		return merry.Wrap(ErrUnsent, merry.WithCause(err))
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return p.checkError(addr, client, call.Error)
	case <-ctx.Done():
		return merry.Wrap(ErrBroken, merry.WithCause(ctx.Err()))
	}
}

// checkError returns the error of a call. An error that the method itself returned is
// passed on unchanged; for any other error the connection is dropped.
func (p *Peers) checkError(addr string, client *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	if _, answered := err.(rpc.ServerError); answered {
		return err
	}
	p.drop(addr, client)
	return merry.Wrap(ErrBroken, merry.WithCause(err))
}

func (p *Peers) client(ctx context.Context, addr string) (*rpc.Client, error) {
	p.mu.Lock()
	c, ok := p.conns[addr]
	if !ok && !p.closed {
		c = &connection{ready: make(chan struct{})}
		p.conns[addr] = c
		go p.open(addr, c)
	}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	select {
	case <-c.ready:
		return c.client, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Peers) open(addr string, c *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(c.ready)
	if err == nil && p.closed {
		err = net.ErrClosed
		_ = conn.Close()
	}
	if err != nil {
		c.err = err
		delete(p.conns, addr)
		return
	}
	c.client = rpc.NewClientWithCodec(watchedCodec{NewClientCodec(conn), func() { p.remove(addr, c) }})
}

// watchedCodec is a codec that calls onEnd when its connection can deliver no more
// replies.
type watchedCodec struct {
	rpc.ClientCodec
	onEnd func()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c watchedCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.ClientCodec.ReadResponseHeader(r)
	if err != nil {
		c.onEnd()
		_ = c.Close()
	}
	return err
}

// remove removes a connection that has ended from the pool. The next call then opens a
// new one and, if that fails, returns ErrUnsent; on the old connection it could not be
// excluded that the call was sent.
func (p *Peers) remove(addr string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
}

func (p *Peers) drop(addr string, client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[addr]; ok && c.client == client {
		delete(p.conns, addr)
		_ = client.Close()
	}
}

// Disconnect closes the connection to a peer that has left or failed. Calls that are
// waiting for a reply from it fail.
func (p *Peers) Disconnect(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[addr]; ok && c.client != nil {
		delete(p.conns, addr)
		_ = c.client.Close()
	}
}

// Close closes all connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, c := range p.conns {
		if c.client != nil {
			_ = c.client.Close()
		}
		delete(p.conns, addr)
	}
}
