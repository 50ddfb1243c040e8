package link

import (
	"context"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// A connection whose peer has become unreachable must be given up within seconds, also if
// nothing is in flight on it.
func TestDialSetsTimeoutsOfTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := Dial(context.Background(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ level, option, want int }{
		"user timeout in ms":     {unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 2000},
		"keep-alive":             {unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		"idle time in s":         {unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 3},
		"time between probes, s": {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
	} {
		var got int
		controlErr := raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), c.level, c.option) })
		if controlErr != nil || err != nil || got != c.want {
			t.Errorf("%s = %d (%v, %v), want %d", name, got, controlErr, err, c.want)
		}
	}
}
