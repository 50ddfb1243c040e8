package mesh

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/outage"
)

// fakeState implements State with one view per topic.
type fakeState struct{ views [2]*follow.View }

func newFakeState() *fakeState {
	return &fakeState{views: [2]*follow.View{follow.NewView(), follow.NewView()}}
}

func (s *fakeState) Revisions() Revisions {
	return Revisions{Routes: s.views[0].LastChangeRevision(), Upstreams: s.views[1].LastChangeRevision()}
}

func (s *fakeState) Merge(t follow.Topic, b follow.Batch) bool {
	_, ok := s.views[t].Apply(b)
	return ok
}

func (s *fakeState) Since(t follow.Topic, revision uint64) follow.Batch {
	return s.views[t].Since(revision)
}

func (s *fakeState) StoreAge() time.Duration      { return 0 }
func (s *fakeState) StoreFailing() time.Duration  { return 0 }
func (s *fakeState) StoreReplyAge() time.Duration { return 0 }
func (s *fakeState) StoreReplies() outage.Span    { return outage.Span{} }
func (s *fakeState) AddStoreReplies(outage.Span)  {}
func (s *fakeState) StoreInDoubt() bool           { return false }

// newMesh returns a node of the domain that listens on a free loopback port.
func newMesh(t testing.TB, vm, domain string, state State, seeds ...string) *Mesh {
	t.Helper()
	return newMeshAt(t, "127.0.0.1:0", vm, domain, state, seeds...)
}

func newMeshAt(t testing.TB, at, vm, domain string, state State, seeds ...string) *Mesh {
	t.Helper()
	l, packets := listenPair(t, at)
	log := logrus.New()
	log.SetOutput(io.Discard)
	addr := l.Addr().String()
	self := member.Record{VM: vm, Domain: domain, Addr: addr, Gossip: addr, Started: 1}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		return droppingConn{c}, err
	}
	return New(self, l, packets, state, dial, WithSeeds(seeds), WithLog(logrus.NewEntry(log)))
}

// maxPortTries bounds the search for a port that is free for both TCP and UDP.
const maxPortTries = 20

// listenPair listens at the address over TCP and, on the same port, over UDP. If the
// address leaves the port open, it chooses one that is free for both.
func listenPair(t testing.TB, at string) (net.Listener, net.PacketConn) {
	t.Helper()
	var failure error
	for range maxPortTries {
		l, err := net.Listen("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		packets, err := net.ListenPacket("udp", l.Addr().String())
		if err == nil {
			return l, packets
		}
		failure = err
		_ = l.Close()
	}
	t.Fatal(failure)
	return nil, nil
}

// dropWrites makes all connections between nodes discard what is written.
var dropWrites atomic.Bool

// droppingConn discards writes while dropWrites is set.
type droppingConn struct{ net.Conn }

func (c droppingConn) Write(p []byte) (int, error) {
	if dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// start runs the node until the test ends.
func (m *Mesh) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func TestEmptyNodePullsFromItsDomain(t *testing.T) {
	full := newFakeState()
	full.views[follow.Routes].Apply(follow.Batch{Full: true, Revision: 7, Changes: []follow.Change{{Name: "main", Raw: []byte("x")}}})
	a := newMesh(t, "a", "d", full)
	a.start(t)
	empty := newFakeState()
	b := newMesh(t, "b", "d", empty, a.self.Addr)
	b.start(t)
	for end := time.Now().Add(3 * time.Second); empty.Revisions().Routes != 7; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the new node has not received the routes within 3 s")
		}
	}
}

// After a power loss a node may be up before its seeds. It must join them soon
// after they start.
func TestNodeJoinsSeedThatStartsLater(t *testing.T) {
	l, packets := listenPair(t, "127.0.0.1:0")
	seed := l.Addr().String()
	if err := errors.Join(l.Close(), packets.Close()); err != nil {
		t.Fatal(err)
	}
	b := newMesh(t, "b", "d", newFakeState(), seed)
	b.start(t)
	time.Sleep(150 * time.Millisecond)
	a := newMeshAt(t, seed, "a", "d", newFakeState())
	a.start(t)
	started := time.Now()
	eventually(t, "the node lists its seed", func() bool { return len(b.domainMembers()) > 0 })
	if got, limit := time.Since(started), 600*time.Millisecond; got > limit {
		t.Errorf("joined the seed after %v, want at most %v", got, limit)
	}
}

func TestChangeIsPushedWithinTheDomain(t *testing.T) {
	sa, sb := newFakeState(), newFakeState()
	a := newMesh(t, "a", "d", sa)
	a.start(t)
	b := newMesh(t, "b", "d", sb, a.self.Addr)
	b.start(t)
	for end := time.Now().Add(3 * time.Second); len(a.domainMembers()) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the nodes have not joined within 3 s")
		}
	}
	batch := follow.Batch{Full: true, Revision: 9, Changes: []follow.Change{{Name: "i-1", Raw: []byte("x")}}}
	sa.Merge(follow.Upstreams, batch)
	a.Publish(follow.Upstreams, batch)
	for end := time.Now().Add(3 * time.Second); sb.Revisions().Upstreams != 9; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the change did not arrive within 3 s")
		}
	}
}

// Calls between nodes get no reply while datagrams pass. A node that receives
// heartbeats with a newer revision and cannot pull it must read the store itself.
func TestNodeReadsStoreWhenPullsFail(t *testing.T) {
	states := map[string]*fakeState{"a": newFakeState(), "b": newFakeState()}
	a := newMesh(t, "a", "d", states["a"])
	a.start(t)
	b := newMesh(t, "b", "d", states["b"], a.self.Addr)
	b.start(t)
	settled := time.Now()
	eventually(t, "a single node reads the store for one second", func() bool {
		if a.ReadsStore() == b.ReadsStore() || len(a.domainMembers()) == 0 || len(b.domainMembers()) == 0 {
			settled = time.Now()
		}
		return time.Since(settled) > time.Second
	})
	reading, other := a, b
	if b.ReadsStore() {
		reading, other = b, a
	}
	dropWrites.Store(true)
	t.Cleanup(func() { dropWrites.Store(false) })
	batch := follow.Batch{Full: true, Revision: 9, Changes: []follow.Change{{Name: "i-1", Raw: []byte("x")}}}
	states[reading.self.VM].Merge(follow.Upstreams, batch)
	reading.Publish(follow.Upstreams, batch)
	started := time.Now()
	eventually(t, "the other node reads the store", other.ReadsStore)
	if got, limit := time.Since(started), 2500*time.Millisecond; got > limit {
		t.Errorf("the other node reads the store after %v, want at most %v", got, limit)
	}
	dropWrites.Store(false)
	eventually(t, "a single node reads the store again", func() bool { return !other.ReadsStore() })
}

// eventually fails the test if the condition does not hold within 5 s.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 5 s: %s", what)
		}
	}
}

// Arbitrary datagrams must not make the node fail.
func FuzzDatagram(f *testing.F) {
	good, err := msgpack.Marshal(&datagram{Message: &member.Message{Kind: member.Probe, From: "x", Records: []member.Record{{VM: "x", Domain: "d"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	encoded, err := msgpack.Marshal(&datagram{Heartbeat: &heartbeat{VM: "y", Have: Revisions{Routes: 3}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	m := newMesh(f, "self", "d", newFakeState())
	f.Cleanup(m.close)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var d datagram
		if msgpack.Unmarshal(data, &d) != nil {
			return
		}
		if d.Message != nil {
			m.step(member.Received{Message: *d.Message})
		}
		if d.Heartbeat != nil {
			m.receiveHeartbeat(*d.Heartbeat)
		}
		if d.Crashes != nil {
			m.receiveReports(*d.Crashes)
		}
	})
}
