package main

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// linkState is the impairment that a proxy applies to its traffic.
type linkState int

const (
	linkOpen    linkState = iota
	linkDelayed           // bytes arrive late
	linkSilent            // nothing arrives, in either direction
	linkOneWay            // nothing arrives at the far side, its answers do
	linkReset             // connections break
)

// maxPortTries bounds the search for a port that is free for both TCP and UDP.
const maxPortTries = 20

// linkDelay is the added latency of a delayed link.
const linkDelay = 60 * time.Millisecond

// proxy forwards TCP connections, and optionally datagrams, to a target address and
// impairs them according to its state.
type proxy struct {
	target   string
	listener net.Listener
	// packets receives datagrams for the target; nil if they are not forwarded.
	packets *net.UDPConn

	mu    sync.Mutex
	state linkState
	// packetState is the impairment of datagrams.
	packetState linkState
	conns       map[net.Conn]bool
	// cutStateOf returns the state of a new connection whose node is cut off, if it is. cut
	// holds the state of such connections by their inbound side.
	cutStateOf func(inbound net.Conn) (linkState, bool)
	cut        map[net.Conn]linkState
}

// proxyOption configures a proxy at construction.
type proxyOption func(*proxy)

// withCuts sets the function that returns the state of a connection whose node is cut off.
func withCuts(stateOf func(inbound net.Conn) (linkState, bool)) proxyOption {
	return func(p *proxy) { p.cutStateOf = stateOf }
}

func newProxy(target string, opts ...proxyOption) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]bool), cut: make(map[net.Conn]linkState),
		cutStateOf: func(net.Conn) (linkState, bool) { return linkOpen, false }}
	for _, opt := range opts {
		opt(p)
	}
	go p.accept()
	return p, nil
}

// newInnerProxy returns a proxy that also forwards datagrams, on the same port.
func newInnerProxy(target string) (*proxy, error) {
	for range maxPortTries {
		p, err := newProxy(target)
		if err != nil {
			return nil, err
		}
		at, err := net.ResolveUDPAddr("udp", p.addr())
		if err != nil {
			return nil, err
		}
		if p.packets, err = net.ListenUDP("udp", at); err == nil {
			go p.forwardPackets()
			return p, nil
		}
		p.close()
	}
	return nil, errors.New("no port is free for both TCP and UDP")
}

// forwardPackets forwards datagrams until the socket is closed.
func (p *proxy) forwardPackets() {
	to, err := net.ResolveUDPAddr("udp", p.target)
	if err != nil {
		panic(err) // the soak has chosen the address itself
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

func (p *proxy) setPacketState(s linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.packetState = s
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// setState changes the impairment of connections. linkReset also resets all open
// connections.
func (p *proxy) setState(s linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	if s == linkReset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) currentState() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *proxy) close() {
	_ = p.listener.Close()
	if p.packets != nil {
		_ = p.packets.Close()
	}
	p.setState(linkReset)
}

// reset closes a connection so that its peer receives a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		inbound, err := p.listener.Accept()
		if err != nil {
			return
		}
		cut, isCut := p.cutStateOf(inbound)
		if p.currentState() == linkReset || cut == linkReset {
			reset(inbound)
			continue
		}
		if isCut {
			p.setCut(inbound, cut)
			if _, still := p.cutStateOf(inbound); !still {
				p.endCuts()
			}
		}
		go p.forward(inbound)
	}
}

func (p *proxy) forward(inbound net.Conn) {
	outbound, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(inbound)
		return
	}
	p.track(inbound, outbound)
	var both sync.WaitGroup
	both.Go(func() { p.copy(outbound, inbound, inbound, true) })
	both.Go(func() { p.copy(inbound, outbound, inbound, false) })
	both.Wait()
	p.closeAll(inbound, outbound)
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) closeAll(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
		delete(p.cut, c)
	}
}

func (p *proxy) setCut(inbound net.Conn, s linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[inbound] = s
}

// applyCut sets the state of the open connections from the ports.
func (p *proxy) applyCut(s linkState, ports map[int]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		switch {
		case !ports[remotePort(c)]:
		case s == linkReset:
			reset(c)
		default:
			p.cut[c] = s
		}
	}
}

// endCuts lets all connections carry bytes again.
func (p *proxy) endCuts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cut)
}

// stateOf returns the impairment of the connection.
func (p *proxy) stateOf(inbound net.Conn) linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.cut[inbound]; ok {
		return s
	}
	return p.state
}

// copy forwards bytes in one direction. The end of the input closes that direction
// only; an error resets both connections.
func (p *proxy) copy(to, from, inbound net.Conn, toTarget bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.applyState(inbound, toTarget)
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

// applyState waits before bytes are forwarded in one direction, for linkDelay or
// until the state allows it.
func (p *proxy) applyState(inbound net.Conn, toTarget bool) {
	for {
		switch s := p.stateOf(inbound); {
		case s == linkDelayed:
			time.Sleep(linkDelay)
			return
		case s == linkSilent || s == linkOneWay && toTarget:
			time.Sleep(10 * time.Millisecond)
		default:
			return
		}
	}
}
