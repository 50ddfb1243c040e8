package node

import (
	"net"
	"sync"
)

// connSet tracks the open connections of a listener and closes them when the
// listener stops.
type connSet struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

func newConnSet() *connSet { return &connSet{open: make(map[net.Conn]struct{})} }

// add records a connection. If the set is closed, it closes the connection and
// returns false.
func (s *connSet) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return false
	}
	s.open[c] = struct{}{}
	return true
}

func (s *connSet) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	_ = c.Close()
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.open {
		_ = c.Close()
	}
}
