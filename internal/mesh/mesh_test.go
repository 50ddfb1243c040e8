package mesh

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// fakeState is a state of two views.
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

func (s *fakeState) StoreAge() time.Duration     { return 0 }
func (s *fakeState) StoreFailing() time.Duration { return 0 }

// newMesh makes a node of the domain on loopback.
func newMesh(t testing.TB, vm, domain string, state State, seeds ...string) *Mesh {
	t.Helper()
	return newMeshAt(t, "127.0.0.1:0", vm, domain, state, seeds...)
}

func newMeshAt(t testing.TB, at, vm, domain string, state State, seeds ...string) *Mesh {
	t.Helper()
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	packets, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	addr := l.Addr().String()
	self := member.Record{VM: vm, Domain: domain, Addr: addr, Gossip: addr, Started: 1}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		return silentConn{c}, err
	}
	return New(self, l, packets, state, dial, WithSeeds(seeds), WithLog(logrus.NewEntry(log)))
}

// silenced swallows what nodes send each other over TCP.
var silenced atomic.Bool

type silentConn struct{ net.Conn }

func (c silentConn) Write(p []byte) (int, error) {
	if silenced.Load() {
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

func TestNodeThatKnowsNothingAsksItsDomain(t *testing.T) {
	full := newFakeState()
	full.views[follow.Routes].Apply(follow.Batch{Full: true, Revision: 7, Changes: []follow.Change{{Name: "main", Raw: []byte("x")}}})
	a := newMesh(t, "a", "d", full)
	a.start(t)
	empty := newFakeState()
	b := newMesh(t, "b", "d", empty, a.self.Addr)
	b.start(t)
	for end := time.Now().Add(3 * time.Second); empty.Revisions().Routes != 7; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the new node does not know the routes after 3 s")
		}
	}
}

// Replays the end of a power loss: a node is up before its seeds, and meets them
// soon after they start.
func TestSeedThatStartsLateIsMetSoon(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	seed := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	b := newMesh(t, "b", "d", newFakeState(), seed)
	b.start(t)
	time.Sleep(150 * time.Millisecond)
	a := newMeshAt(t, seed, "a", "d", newFakeState())
	a.start(t)
	begun := time.Now()
	eventually(t, "the node knows its seed", func() bool { return len(b.domain()) > 0 })
	if got, most := time.Since(begun), 600*time.Millisecond; got > most {
		t.Errorf("the seed was met after %v, want at most %v", got, most)
	}
}

func TestChangeIsPushedWithinTheDomain(t *testing.T) {
	sa, sb := newFakeState(), newFakeState()
	a := newMesh(t, "a", "d", sa)
	a.start(t)
	b := newMesh(t, "b", "d", sb, a.self.Addr)
	b.start(t)
	for end := time.Now().Add(3 * time.Second); len(a.domain()) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the nodes have not met after 3 s")
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

// Replays calls between nodes that get no answer while datagrams pass: a node
// that hears of a change and cannot get it reads the store itself.
func TestNodeThatCannotGetWhatItHearsOfReads(t *testing.T) {
	states := map[string]*fakeState{"a": newFakeState(), "b": newFakeState()}
	a := newMesh(t, "a", "d", states["a"])
	a.start(t)
	b := newMesh(t, "b", "d", states["b"], a.self.Addr)
	b.start(t)
	settled := time.Now()
	eventually(t, "one node reads for a second", func() bool {
		if a.ReadsStore() == b.ReadsStore() || len(a.domain()) == 0 || len(b.domain()) == 0 {
			settled = time.Now()
		}
		return time.Since(settled) > time.Second
	})
	first, other := a, b
	if b.ReadsStore() {
		first, other = b, a
	}
	silenced.Store(true)
	t.Cleanup(func() { silenced.Store(false) })
	batch := follow.Batch{Full: true, Revision: 9, Changes: []follow.Change{{Name: "i-1", Raw: []byte("x")}}}
	states[first.self.VM].Merge(follow.Upstreams, batch)
	first.Publish(follow.Upstreams, batch)
	begun := time.Now()
	eventually(t, "the other node reads", other.ReadsStore)
	if got, most := time.Since(begun), 2500*time.Millisecond; got > most {
		t.Errorf("the other node reads after %v, want at most %v", got, most)
	}
	silenced.Store(false)
	eventually(t, "one node reads again", func() bool { return !other.ReadsStore() })
}

// eventually waits up to 5 s for the condition.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// Whatever bytes come, the node goes on.
func FuzzDatagram(f *testing.F) {
	good, err := msgpack.Marshal(&datagram{Message: &member.Message{Kind: member.Probe, From: "x", Records: []member.Record{{VM: "x", Domain: "d"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	beaten, err := msgpack.Marshal(&datagram{Beat: &beat{VM: "y", Have: Revisions{Routes: 3}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(beaten)
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
		if d.Beat != nil {
			m.hear(*d.Beat)
		}
	})
}
