package fakes

import (
	"net"
	"sync"
	"time"
)

// cappedListener accepts a limited number of connections and delays the first
// read on each by setupTime.
type cappedListener struct {
	net.Listener
	maxConns  int
	setupTime time.Duration

	mu       sync.Mutex
	open     map[*cappedConn]struct{}
	peak     int
	rejected int
}

func newCappedListener(l net.Listener, maxConns int, setupTime time.Duration) *cappedListener {
	return &cappedListener{Listener: l, maxConns: maxConns, setupTime: setupTime, open: make(map[*cappedConn]struct{})}
}

// Accept closes connections above the limit instead of returning them.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &cappedConn{Conn: conn, listener: l, ready: time.Now().Add(l.setupTime)}
		if l.add(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

func (l *cappedListener) add(c *cappedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.maxConns {
		l.rejected++
		return false
	}
	l.open[c] = struct{}{}
	l.peak = max(l.peak, len(l.open))
	return true
}

// peakOpen returns the largest number of simultaneous connections, plus all rejected
// ones, so that a result above the limit shows that callers exceeded it.
func (l *cappedListener) peakOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak + l.rejected
}

// reset closes the listener and resets every connection, as when a process is
// killed.
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

// cappedConn is a connection that counts towards the limit and delivers no data
// until its set-up time has passed.
type cappedConn struct {
	net.Conn
	listener *cappedListener
	ready    time.Time
	once     sync.Once
}

// Read waits until the set-up time has passed before it reads.
func (c *cappedConn) Read(b []byte) (int, error) {
	c.once.Do(func() { time.Sleep(time.Until(c.ready)) })
	return c.Conn.Read(b)
}

// Close closes the connection and removes it from the count.
func (c *cappedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
