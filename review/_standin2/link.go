package main

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// The columns of a process's table of connections, and how the links of its sockets begin.
const (
	tableLocal   = 1
	tableInode   = 9
	socketPrefix = "socket:["
)

// link carries what the other nodes send to one node. During a cut it carries nothing between
// nodes of different sides: connections are reset and datagrams are lost.
type link struct {
	d    *deployment
	to   *node
	addr string

	mu    sync.Mutex
	conns map[net.Conn]*node // with the node that opened it
}

func newLink(d *deployment, to *node) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{d: d, to: to, addr: listener.Addr().String(), conns: make(map[net.Conn]*node)}
	packets, err := net.ListenPacket("udp", l.addr)
	if err != nil {
		return nil, err
	}
	target, err := net.ResolveUDPAddr("udp", to.inner)
	if err != nil {
		return nil, err
	}
	go l.carryDatagrams(packets, target)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l, nil
}

// carryDatagrams passes datagrams on. A node sends them from its inner address.
func (l *link) carryDatagrams(packets net.PacketConn, target net.Addr) {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		for _, sender := range l.d.nodes {
			if sender.inner == from.String() && !l.d.separates(sender, l.to) {
				_, _ = packets.WriteTo(buffer[:n], target)
			}
		}
	}
}

// carry passes the bytes of a connection in both directions until one side closes.
func (l *link) carry(c net.Conn) {
	sender := l.d.senderOf(c)
	if sender == nil || l.d.separates(sender, l.to) {
		reset(c)
		return
	}
	s, err := net.Dial("tcp", l.to.inner)
	if err != nil {
		reset(c)
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[s] = sender, sender
	l.mu.Unlock()
	var both sync.WaitGroup
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		_ = to.Close()
		_ = from.Close()
	}
	both.Go(func() { pass(s, c) })
	both.Go(func() { pass(c, s) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, s)
	l.mu.Unlock()
}

// resetSeparated resets the connections between nodes of different sides.
func (l *link) resetSeparated() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, sender := range l.conns {
		if l.d.separates(sender, l.to) {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// separates reports whether a cut lies between two nodes.
func (d *deployment) separates(a, b *node) bool { return d.cut.Load() && a.side != b.side }

// senderOf returns the node whose process has opened the connection.
func (d *deployment) senderOf(c net.Conn) *node {
	addr, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	for _, n := range d.nodes {
		if n.hasPort(addr.Port) {
			return n
		}
	}
	return nil
}

// hasPort reports whether the process of the node has a connection from the local port.
func (n *node) hasPort(port int) bool {
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	if process == nil {
		return false
	}
	folder := filepath.Join("/proc", strconv.Itoa(process.Process.Pid))
	files, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return false // it has just ended
	}
	inodes := make(map[string]bool)
	for _, f := range files {
		if name, err := os.Readlink(filepath.Join(folder, "fd", f.Name())); err == nil && strings.HasPrefix(name, socketPrefix) {
			inodes[strings.TrimSuffix(strings.TrimPrefix(name, socketPrefix), "]")] = true
		}
	}
	table, err := os.ReadFile(filepath.Join(folder, "net", "tcp"))
	if err != nil {
		return false
	}
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) <= tableInode || !inodes[fields[tableInode]] {
			continue
		}
		_, text, _ := strings.Cut(fields[tableLocal], ":")
		if p, err := strconv.ParseInt(text, 16, 32); err == nil && int(p) == port {
			return true
		}
	}
	return false
}
