package peer_test

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/prio"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Node is a receiver that replies to shard requests after a delay.
type Node struct{ delay time.Duration }

// Run copies the request's identifier to the reply, and sets OK if its priority is
// urgent.
func (n *Node) Run(req *peer.ShardRequest, reply *peer.ShardReply) error {
	time.Sleep(n.delay)
	reply.OK = req.Priority == prio.Urgent
	reply.Reply.Request = req.Request
	return nil
}

// serve runs a node and returns its address and a function that stops it.
func serve(t *testing.T, n *Node) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := server.RegisterName(peer.Service, n); err != nil {
		t.Fatal(err)
	}
	var conns []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns = append(conns, conn)
			go server.ServeCodec(peer.NewServerCodec(conn))
		}
	}()
	return l.Addr().String(), func() {
		_ = l.Close()
		<-done
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

func call(p *peer.Peers, addr string, timeout time.Duration) (peer.ShardReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply peer.ShardReply
	err := p.Call(ctx, addr, peer.MethodRun, &peer.ShardRequest{Request: "r", Priority: prio.Urgent}, &reply)
	return reply, err
}

func TestCallRoundTrip(t *testing.T) {
	addr, stop := serve(t, &Node{})
	defer stop()
	p := peer.NewPeers(dial)
	defer p.Close()
	reply, err := call(p, addr, time.Minute)
	if err != nil || !reply.OK || reply.Reply.Request != "r" {
		t.Errorf("Call() = %+v, %v, want the request echoed", reply, err)
	}
}

// Call returns ErrUnsent only if nothing can have reached the peer.
func TestErrorsReportWhetherCallWasSent(t *testing.T) {
	p := peer.NewPeers(dial)
	defer p.Close()
	addr, stop := serve(t, &Node{delay: 300 * time.Millisecond})
	if _, err := call(p, addr, 50*time.Millisecond); !errors.Is(err, peer.ErrBroken) || errors.Is(err, peer.ErrUnsent) {
		t.Errorf("Call() that ran out of time = %v, want ErrBroken", err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := call(p, addr, time.Minute)
		result <- err
	}()
	time.Sleep(100 * time.Millisecond)
	stop()
	if err := <-result; !errors.Is(err, peer.ErrBroken) {
		t.Errorf("Call() whose connection broke = %v, want ErrBroken", err)
	}
	if _, err := call(p, addr, time.Minute); !errors.Is(err, peer.ErrUnsent) {
		t.Errorf("Call() to a closed port = %v, want ErrUnsent", err)
	}
}

func FuzzDecode(f *testing.F) {
	for _, v := range []any{peer.ShardRequest{Request: "r"}, peer.TakeOver{Slot: 1}, member.Message{From: "a", Records: []member.Record{{VM: "a"}}}} {
		data, err := msgpack.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = msgpack.Unmarshal(data, &peer.ShardRequest{})
		_ = msgpack.Unmarshal(data, &peer.ShardReply{})
		_ = msgpack.Unmarshal(data, &peer.TakeOver{})
		_ = msgpack.Unmarshal(data, &peer.PullReply{})
		_ = msgpack.Unmarshal(data, &peer.Views{})
		_ = msgpack.Unmarshal(data, &member.Message{})
	})
}

// A peer stops while no call to it is running. The next call must return ErrUnsent
// rather than ErrBroken, which means that it may have been carried out.
func TestCallAfterAStopIsUnsent(t *testing.T) {
	addr, stop := serve(t, &Node{})
	p := peer.NewPeers(dial)
	defer p.Close()
	if _, err := call(p, addr, time.Second); err != nil {
		t.Fatal(err)
	}
	stop()
	time.Sleep(50 * time.Millisecond)
	if _, err := call(p, addr, time.Second); !errors.Is(err, peer.ErrUnsent) {
		t.Errorf("Call() after the peer's stop = %v, want ErrUnsent", err)
	}
}

// A message without end must close the connection and must not fill the memory.
func TestMessageWithoutEndClosesTheConnection(t *testing.T) {
	addr, stop := serve(t, &Node{})
	defer stop()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	// A map with one key, whose name is 4 GB long.
	if _, err := conn.Write([]byte{0x81, 0xdb, 0xff, 0xff, 0xff, 0xff}); err != nil {
		t.Fatal(err)
	}
	chunk := make([]byte, 1<<20)
	sent := 0
	for err == nil {
		var n int
		n, err = conn.Write(chunk)
		sent += n
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Fatalf("Write() = %v after %d bytes, want a closed connection", err, sent)
	}
	// The limit and what the sockets hold.
	if limit := 64 << 20; sent > limit {
		t.Errorf("bytes accepted = %d, want at most %d", sent, limit)
	}
}
