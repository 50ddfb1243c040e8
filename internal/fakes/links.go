package fakes

import (
	"context"
	"net"
	"sync"
	"time"
)

// Network stands in for the network between hosts: it delays what passes between
// groups of hosts and cuts groups or hosts off from each other. A host is an IP
// address.
type Network struct {
	mu     sync.Mutex
	groups map[string]string
	delays map[[2]string]time.Duration
	cuts   map[[2]string]bool
	frozen map[string]bool
	healed chan struct{}
	held   int64
}

// NewNetwork returns a network without delays or cuts.
func NewNetwork() *Network {
	return &Network{
		groups: make(map[string]string),
		delays: make(map[[2]string]time.Duration),
		cuts:   make(map[[2]string]bool),
		frozen: make(map[string]bool),
		healed: make(chan struct{}),
	}
}

// AddHost puts a host into a group.
func (l *Network) AddHost(host, group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups[host] = group
}

// SetDelay sets the one-way delay between two groups.
func (l *Network) SetDelay(a, b string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[[2]string{a, b}], l.delays[[2]string{b, a}] = d, d
}

// Cut stops everything between two groups, or lets it pass again.
func (l *Network) Cut(a, b string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[[2]string{a, b}], l.cuts[[2]string{b, a}] = cut, cut
	l.heal()
}

// Freeze stops everything to and from a host, as when its process is paused.
func (l *Network) Freeze(host string, frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[host] = frozen
	l.heal()
}

func (l *Network) heal() {
	close(l.healed)
	l.healed = make(chan struct{})
}

// BlockedCount counts what was held back by cuts and freezes.
func (l *Network) BlockedCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// blocked tells whether nothing passes now, and when to ask again.
func (l *Network) blocked(from, to string) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := [2]string{l.groups[from], l.groups[to]}
	blocked := l.cuts[pair] || l.frozen[from] || l.frozen[to]
	if blocked {
		l.held++
	}
	return blocked, l.healed
}

// Isolated tells whether nothing passes between two hosts now.
func (l *Network) Isolated(a, b string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[[2]string{l.groups[a], l.groups[b]}] || l.frozen[a] || l.frozen[b]
}

func (l *Network) delay(from, to string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delays[[2]string{l.groups[from], l.groups[to]}]
}

// Host is the network as one host sees it. It implements node.Network.
type Host struct {
	links *Network
	ip    string
	// direct hosts are reached without delay or cut.
	direct func(ip string) bool
}

// Host gives the network as the host sees it. Direct tells which hosts are
// reached by plain TCP.
func (l *Network) Host(ip string, direct func(ip string) bool) *Host {
	return &Host{links: l, ip: ip, direct: direct}
}

// Listen opens a listener on an address of the host.
func (h *Host) Listen(network, addr string) (net.Listener, error) { return net.Listen(network, addr) }

// Dial opens a connection once the way is clear.
func (h *Host) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(h.ip)}}
	if h.direct(to) {
		return dialer.DialContext(ctx, network, addr)
	}
	for {
		blocked, healed := h.links.blocked(h.ip, to)
		if !blocked {
			break
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return newLinkConn(conn, h.links, h.ip, to), nil
}

// ListenPacket opens a datagram socket that drops what cannot pass.
func (h *Host) ListenPacket(network, addr string) (net.PacketConn, error) {
	conn, err := net.ListenPacket(network, addr)
	if err != nil {
		return nil, err
	}
	return &linkPackets{PacketConn: conn, host: h}, nil
}

type linkPackets struct {
	net.PacketConn
	host *Host
}

// WriteTo drops datagrams while the way is blocked.
func (p *linkPackets) WriteTo(b []byte, addr net.Addr) (int, error) {
	to, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return 0, err
	}
	if blocked, _ := p.host.links.blocked(p.host.ip, to); blocked {
		return len(b), nil
	}
	return p.PacketConn.WriteTo(b, addr)
}

// linkConn delays and holds back what passes over a connection.
type linkConn struct {
	net.Conn
	links    *Network
	from, to string
	out, in  chan parcel
	rest     []byte
	done     chan struct{}
	once     sync.Once
	inErr    error
}

// parcel is data on its way.
type parcel struct {
	data []byte
	due  time.Time
}

const parcelsInFlight = 256

func newLinkConn(conn net.Conn, links *Network, from, to string) *linkConn {
	c := &linkConn{
		Conn: conn, links: links, from: from, to: to,
		out: make(chan parcel, parcelsInFlight), in: make(chan parcel, parcelsInFlight), done: make(chan struct{}),
	}
	go c.pumpOut()
	go c.pumpIn()
	return c
}

func (c *linkConn) parcel(b []byte) parcel {
	return parcel{data: append([]byte(nil), b...), due: time.Now().Add(c.links.delay(c.from, c.to))}
}

// Write accepts data for delivery.
func (c *linkConn) Write(b []byte) (int, error) {
	select {
	case c.out <- c.parcel(b):
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

func (c *linkConn) pumpOut() {
	for {
		select {
		case p := <-c.out:
			if !c.await(p) {
				return
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				_ = c.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}

// await waits until the parcel is due and the way is clear.
func (c *linkConn) await(p parcel) bool {
	time.Sleep(time.Until(p.due))
	for {
		blocked, healed := c.links.blocked(c.from, c.to)
		if !blocked {
			return true
		}
		select {
		case <-healed:
		case <-c.done:
			return false
		}
	}
}

func (c *linkConn) pumpIn() {
	defer close(c.in)
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			select {
			case c.in <- c.parcel(buffer[:n]):
			case <-c.done:
				return
			}
		}
		if err != nil {
			c.inErr = err
			return
		}
	}
}

// Read gives data that has arrived.
func (c *linkConn) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case p, ok := <-c.in:
			if !ok {
				return 0, c.inErr
			}
			if !c.await(p) {
				return 0, net.ErrClosed
			}
			c.rest = p.data
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close closes the connection; what is under way is lost.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
