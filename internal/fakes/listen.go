package fakes

import (
	"net"
	"sync"
	"time"
)

// cappedListener accepts connections up to a cap, at a cost for each.
type cappedListener struct {
	net.Listener
	limit int
	cost  time.Duration

	mu   sync.Mutex
	open map[*cappedConn]struct{}
	most int
	over int
}

func newCappedListener(l net.Listener, limit int, cost time.Duration) *cappedListener {
	return &cappedListener{Listener: l, limit: limit, cost: cost, open: make(map[*cappedConn]struct{})}
}

// Accept refuses connections over the cap by closing them.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &cappedConn{Conn: conn, listener: l, ready: time.Now().Add(l.cost)}
		if l.add(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

func (l *cappedListener) add(c *cappedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		l.over++
		return false
	}
	l.open[c] = struct{}{}
	l.most = max(l.most, len(l.open))
	return true
}

func (l *cappedListener) mostOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most + l.over
}

// reset closes the listener and every connection as a dying process does.
func (l *cappedListener) reset() {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
	clear(l.open)
}

// cappedConn is a connection that counts, and that answers nothing until its
// set-up time has passed.
type cappedConn struct {
	net.Conn
	listener *cappedListener
	ready    time.Time
	once     sync.Once
}

// Read waits for the end of the set-up time first.
func (c *cappedConn) Read(b []byte) (int, error) {
	c.once.Do(func() { time.Sleep(time.Until(c.ready)) })
	return c.Conn.Read(b)
}

// Close frees the connection's place.
func (c *cappedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
