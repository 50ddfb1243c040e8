package fakes

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// Network simulates the network between hosts: it delays traffic between groups
// of hosts and blocks traffic between groups or to and from single hosts. A host
// is an IP address.
type Network struct {
	mu           sync.Mutex
	groups       map[string]string
	delays       map[[2]string]time.Duration
	cuts         map[[2]string]bool
	frozen       map[string]bool
	servers      map[string]bool
	stranded     map[string]bool
	changed      chan struct{}
	blockedCount int64
}

// NewNetwork returns a network without delays or blocked traffic.
func NewNetwork() *Network {
	return &Network{
		groups:  make(map[string]string),
		delays:  make(map[[2]string]time.Duration),
		cuts:    make(map[[2]string]bool),
		frozen:  make(map[string]bool),
		servers: make(map[string]bool), stranded: make(map[string]bool),
		changed: make(chan struct{}),
	}
}

// AddHost assigns a host to a group.
func (n *Network) AddHost(host, group string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups[host] = group
}

// SetDelay sets the one-way delay between two groups.
func (n *Network) SetDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[[2]string{a, b}], n.delays[[2]string{b, a}] = d, d
}

// Cut blocks all traffic between two groups, or unblocks it.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}], n.cuts[[2]string{b, a}] = cut, cut
	n.notifyChange()
}

// Freeze blocks all traffic to and from a host, as when its process is paused,
// or unblocks it.
func (n *Network) Freeze(host string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[host] = frozen
	n.notifyChange()
}

// AddServer marks a host as an upstream.
func (n *Network) AddServer(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[host] = true
}

// Strand blocks all traffic between a host and the upstreams, or unblocks it.
func (n *Network) Strand(host string, stranded bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stranded[host] = stranded
	n.notifyChange()
}

// notifyChange wakes all goroutines that wait for traffic to be unblocked. It must
// be called with mu held.
func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// BlockedCount returns how often cuts and freezes blocked a dial, a datagram or a
// segment.
func (n *Network) BlockedCount() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blockedCount
}

// blocked reports whether traffic is blocked now, and returns a channel that is
// closed when this may have changed.
func (n *Network) blocked(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pair := [2]string{n.groups[from], n.groups[to]}
	blocked := n.cuts[pair] || n.frozen[from] || n.frozen[to] || n.stranded[from] && n.servers[to]
	if blocked {
		n.blockedCount++
	}
	return blocked, n.changed
}

// Isolated reports whether traffic between two hosts is blocked now.
func (n *Network) Isolated(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{n.groups[a], n.groups[b]}] || n.frozen[a] || n.frozen[b]
}

func (n *Network) delay(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delays[[2]string{n.groups[from], n.groups[to]}]
}

// Host is the interface of one host to a Network. It implements node.Network.
type Host struct {
	network *Network
	ip      string
	// direct reports whether a host is reached by plain TCP, without delays
	// and cuts.
	direct func(ip string) bool
}

// Host returns the interface of the host with the IP address to the network. direct
// reports which hosts it reaches by plain TCP.
func (n *Network) Host(ip string, direct func(ip string) bool) *Host {
	return &Host{network: n, ip: ip, direct: direct}
}

// Listen opens a listener on an address of the host.
func (h *Host) Listen(network, addr string) (net.Listener, error) { return net.Listen(network, addr) }

// Dial opens a connection. It first waits until traffic to the address is not
// blocked.
func (h *Host) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(h.ip)}}
	if err := h.network.await(ctx.Done(), h.ip, to); err != nil {
		return nil, err
	}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if h.direct(to) {
		return &directConn{Conn: conn, network: h.network, from: h.ip, to: to, done: make(chan struct{})}, nil
	}
	return newLinkConn(conn, h.network, h.ip, to), nil
}

// await waits until traffic between the hosts is not blocked, or done is closed.
func (n *Network) await(done <-chan struct{}, from, to string) error {
	for {
		blocked, changed := n.blocked(from, to)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return os.ErrDeadlineExceeded
		}
	}
}

// directConn is a connection without delays, on which nothing is sent while traffic is
// blocked.
type directConn struct {
	net.Conn
	network  *Network
	from, to string
	done     chan struct{}
	once     sync.Once
}

// Write implements net.Conn.
func (c *directConn) Write(b []byte) (int, error) {
	if err := c.network.await(c.done, c.from, c.to); err != nil {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *directConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// ListenPacket opens a datagram socket that drops blocked datagrams. Datagrams
// are not delayed.
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

// WriteTo drops datagrams while traffic to the address is blocked.
func (p *linkPackets) WriteTo(b []byte, addr net.Addr) (int, error) {
	to, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return 0, err
	}
	if blocked, _ := p.host.network.blocked(p.host.ip, to); blocked {
		return len(b), nil
	}
	return p.PacketConn.WriteTo(b, addr)
}

// linkConn is a connection that delays data and holds it back while traffic is
// blocked.
type linkConn struct {
	net.Conn
	network  *Network
	from, to string
	out, in  chan segment
	unread   []byte
	done     chan struct{}
	once     sync.Once
	inErr    error
}

// segment is data in flight. It is delivered no earlier than due.
type segment struct {
	data []byte
	due  time.Time
}

const maxSegmentsInFlight = 256

func newLinkConn(conn net.Conn, network *Network, from, to string) *linkConn {
	c := &linkConn{
		Conn: conn, network: network, from: from, to: to,
		out: make(chan segment, maxSegmentsInFlight), in: make(chan segment, maxSegmentsInFlight), done: make(chan struct{}),
	}
	go c.deliverOutbound()
	go c.receiveInbound()
	return c
}

func (c *linkConn) newSegment(b []byte) segment {
	return segment{data: append([]byte(nil), b...), due: time.Now().Add(c.network.delay(c.from, c.to))}
}

// Write queues data for delivery.
func (c *linkConn) Write(b []byte) (int, error) {
	select {
	case c.out <- c.newSegment(b):
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

func (c *linkConn) deliverOutbound() {
	for {
		select {
		case s := <-c.out:
			if !c.waitUntilDeliverable(s) {
				return
			}
			if _, err := c.Conn.Write(s.data); err != nil {
				_ = c.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}

// waitUntilDeliverable waits until the segment is due and traffic is not blocked.
// It reports false if the connection is closed first.
func (c *linkConn) waitUntilDeliverable(s segment) bool {
	time.Sleep(time.Until(s.due))
	for {
		blocked, changed := c.network.blocked(c.from, c.to)
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-c.done:
			return false
		}
	}
}

func (c *linkConn) receiveInbound() {
	defer close(c.in)
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			select {
			case c.in <- c.newSegment(buffer[:n]):
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

// Read returns data of the next segment that has arrived.
func (c *linkConn) Read(b []byte) (int, error) {
	if len(c.unread) == 0 {
		select {
		case s, ok := <-c.in:
			if !ok {
				return 0, c.inErr
			}
			if !c.waitUntilDeliverable(s) {
				return 0, net.ErrClosed
			}
			c.unread = s.data
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close closes the connection. Data in flight is lost.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
