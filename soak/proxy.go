package main

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// link is what a proxy does to the connections that go through it.
type link int

const (
	linkOpen    link = iota
	linkDelayed      // bytes arrive late
	linkSilent       // nothing arrives, in either direction
	linkOneWay       // nothing arrives at the far side, its answers do
	linkReset        // connections break
)

// portTries bounds the search for a port that is free for TCP and UDP.
const portTries = 20

// linkDelay is how late bytes arrive on a delayed link.
const linkDelay = 60 * time.Millisecond

// proxy passes TCP connections on to an address and harms them on order.
type proxy struct {
	target   string
	listener net.Listener
	// packets takes datagrams for the same target, if they are passed on.
	packets *net.UDPConn

	mu    sync.Mutex
	state link
	// packetState is what happens to datagrams.
	packetState link
	conns       map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// newInnerProxy passes on datagrams as well.
func newInnerProxy(target string) (*proxy, error) {
	for range portTries {
		p, err := newProxy(target)
		if err != nil {
			return nil, err
		}
		at, err := net.ResolveUDPAddr("udp", p.addr())
		if err != nil {
			return nil, err
		}
		if p.packets, err = net.ListenUDP("udp", at); err == nil {
			go p.passPackets()
			return p, nil
		}
		p.close()
	}
	return nil, errors.New("no port is free for both TCP and UDP")
}

// passPackets passes datagrams on until the socket is closed.
func (p *proxy) passPackets() {
	to, err := net.ResolveUDPAddr("udp", p.target)
	if err != nil {
		panic(err) // an address of the soak's own
	}
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := p.packets.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.mu.Lock()
		state := p.packetState
		p.mu.Unlock()
		data := slices.Clone(buffer[:n])
		switch state {
		case linkOpen:
			_, _ = p.packets.WriteToUDP(data, to)
		case linkDelayed:
			time.AfterFunc(linkDelay, func() { _, _ = p.packets.WriteToUDP(data, to) })
		case linkSilent, linkOneWay, linkReset:
		}
	}
}

// setPackets changes what happens to datagrams.
func (p *proxy) setPackets(s link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.packetState = s
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// set changes the state; a reset breaks all open connections.
func (p *proxy) set(s link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	if s == linkReset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) now() link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *proxy) close() {
	_ = p.listener.Close()
	if p.packets != nil {
		_ = p.packets.Close()
	}
	p.set(linkReset)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == linkReset {
			reset(near)
			continue
		}
		go p.join(near)
	}
}

func (p *proxy) join(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	p.keep(near, far)
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, true) })
	both.Go(func() { p.copy(near, far, false) })
	both.Wait()
	p.drop(near, far)
}

func (p *proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// copy moves bytes one way and ends both connections at the end of either.
func (p *proxy) copy(to, from net.Conn, forth bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(forth)
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			reset(from)
			return
		}
	}
}

// hold keeps bytes back as the state has it.
func (p *proxy) hold(forth bool) {
	for {
		switch s := p.now(); {
		case s == linkDelayed:
			time.Sleep(linkDelay)
			return
		case s == linkSilent || s == linkOneWay && forth:
			time.Sleep(10 * time.Millisecond)
		default:
			return
		}
	}
}
