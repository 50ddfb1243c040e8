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

// ErrUnsent marks a failure of a call of which no byte was sent.
var ErrUnsent = merry.New("call not sent; the peer could not be reached, try another node")

// ErrBroken marks a call whose connection broke after it may have been sent.
var ErrBroken = merry.New("connection to the peer broke; the call may have been carried out")

// Peers keeps one connection to each peer that is called. It is safe for
// concurrent use.
type Peers struct {
	dial Dial

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// link is the connection to one peer, or the attempt to open it.
type link struct {
	ready  chan struct{}
	client *rpc.Client
	err    error
}

// NewPeers returns a pool that opens connections with dial.
func NewPeers(dial Dial) *Peers {
	return &Peers{dial: dial, links: make(map[string]*link)}
}

// Call calls a method of the peer at the address and waits for its reply or
// for the context. A reply that comes later is dropped.
func (p *Peers) Call(ctx context.Context, addr, method string, args, reply any) error {
	client, err := p.client(ctx, addr)
	if err != nil {
		return merry.Wrap(ErrUnsent, merry.WithCause(err))
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return p.checked(addr, client, call.Error)
	case <-ctx.Done():
		return merry.Wrap(ErrBroken, merry.WithCause(ctx.Err()))
	}
}

// checked drops a broken connection. An error that the peer itself answered is
// passed on as it is.
func (p *Peers) checked(addr string, client *rpc.Client, err error) error {
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
	l, ok := p.links[addr]
	if !ok && !p.closed {
		l = &link{ready: make(chan struct{})}
		p.links[addr] = l
		go p.open(addr, l)
	}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	select {
	case <-l.ready:
		return l.client, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Peers) open(addr string, l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(l.ready)
	if err == nil && p.closed {
		err = net.ErrClosed
		_ = conn.Close()
	}
	if err != nil {
		l.err = err
		delete(p.links, addr)
		return
	}
	l.client = rpc.NewClientWithCodec(watchedCodec{NewClientCodec(conn), func() { p.ended(addr, l) }})
}

// watchedCodec tells when its connection can bring no more replies.
type watchedCodec struct {
	rpc.ClientCodec
	ended func()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c watchedCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.ClientCodec.ReadResponseHeader(r)
	if err != nil {
		c.ended()
		_ = c.Close()
	}
	return err
}

// ended forgets a connection that has ended, so that the next call opens another
// one and knows whether it was sent.
func (p *Peers) ended(addr string, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[addr] == l {
		delete(p.links, addr)
	}
}

func (p *Peers) drop(addr string, client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[addr]; ok && l.client == client {
		delete(p.links, addr)
		_ = client.Close()
	}
}

// Disconnect closes the connection to a peer that has gone, which fails the calls
// that wait on it.
func (p *Peers) Disconnect(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[addr]; ok && l.client != nil {
		delete(p.links, addr)
		_ = l.client.Close()
	}
}

// Close closes all connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, l := range p.links {
		if l.client != nil {
			_ = l.client.Close()
		}
		delete(p.links, addr)
	}
}
