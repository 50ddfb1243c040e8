package syncer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/roster"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/store"
)

// memoryStore is a store in memory that can be made unavailable.
type memoryStore struct {
	store.Store
	mu      sync.Mutex
	objects map[string]store.Object
	version uint64
	down    bool
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: make(map[string]store.Object)} }

var errDown = errors.New("store is down")

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memoryStore) Get(_ context.Context, key string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Object{}, errDown
	}
	o, ok := s.objects[key]
	if !ok {
		return o, store.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, version uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, errDown
	}
	if s.objects[key].Version != version {
		return 0, store.ErrConflict
	}
	s.version++
	s.objects[key] = store.Object{Key: key, Version: s.version, Value: value}
	return s.version, nil
}

func (s *memoryStore) List(_ context.Context, prefix, after string, limit int) ([]store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	var list []store.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list[:min(limit, len(list))], nil
}

// publish stores a catalogue.
func (s *memoryStore) publish(t *testing.T, revision uint64) {
	t.Helper()
	data, err := json.Marshal(layout.Spec{Revision: revision})
	if err != nil {
		t.Fatal(err)
	}
	o := s.objects[CatalogueKey]
	if _, err := s.Put(t.Context(), CatalogueKey, data, o.Version); err != nil {
		t.Fatal(err)
	}
}

// fakeNode is a Node that calls other syncers directly.
type fakeNode struct {
	view  *roster.View
	peers map[string]*Syncer
}

func (n *fakeNode) View() *roster.View { return n.view }

func (n *fakeNode) Call(_ context.Context, addr, method string, args, reply any) error {
	s, ok := n.peers[addr]
	if !ok || method != peer.MethodPull {
		return errors.New("peer cannot be reached")
	}
	*reply.(*peer.PullReply) = s.Since(args.(*peer.Pull).Have)
	return nil
}

func (n *fakeNode) Go(f func()) { f() }

// newSyncer returns a syncer. The peers' addresses equal their names.
func newSyncer(name string, st store.Store, peers map[string]*Syncer) *Syncer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := Self{VM: name, Domain: "d", Addr: name}
	var records []member.Record
	for peer := range peers {
		self.Peers = append(self.Peers, peer)
		records = append(records, member.Record{VM: peer, Domain: "d", Addr: peer, Ready: true})
	}
	view := roster.New(records, func(string) bool { return true })
	return New(self, &fakeNode{view: view, peers: peers}, st, WithLog(log))
}

func change(id string) config.Change {
	return config.Change{ID: id, Who: "test", Kind: config.KindTemplate, Name: id, After: json.RawMessage(`{}`)}
}

func TestStartReadsTheStore(t *testing.T) {
	st := newMemoryStore()
	st.publish(t, 3)
	first := newSyncer("a", st, nil)
	if _, err := first.Commit(t.Context(), change("one")); err != nil {
		t.Fatal(err)
	}
	second := newSyncer("b", st, nil)
	if err := second.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got, want := second.Versions(), (member.Versions{Config: 1, Catalogue: 3}); got != want || !second.FromStore() {
		t.Errorf("versions = %+v, from the store %v, want %+v and true", got, second.FromStore(), want)
	}
}

// A node that starts while the store is unavailable pulls the configuration and the
// catalogue from its peers.
func TestStartPullsFromPeersWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newMemoryStore()
		st.publish(t, 3)
		first := newSyncer("a", st, nil)
		if err := first.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, err := first.Commit(t.Context(), change("one")); err != nil {
			t.Fatal(err)
		}
		st.setDown(true)
		second := newSyncer("b", st, map[string]*Syncer{"a": first})
		if err := second.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got, want := second.Versions(), first.Versions(); got != want || second.FromStore() {
			t.Errorf("versions = %+v, from the store %v, want %+v and false", got, second.FromStore(), want)
		}
	})
}

// A node that starts while neither the store nor a peer is available waits for one of
// them.
func TestStartWaitsForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newMemoryStore()
		st.publish(t, 1)
		st.setDown(true)
		time.AfterFunc(time.Second, func() { st.setDown(false) })
		start := time.Now()
		if err := newSyncer("a", st, nil).Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got, maxWait := time.Since(start), time.Second+retryInterval; got < time.Second || got > maxWait {
			t.Errorf("Start() took %v, want between 1 s and %v", got, maxWait)
		}
	})
}

// An older catalogue, such as one from a lagging peer, is never put into effect.
func TestCatalogueRevisionNeverDecreases(t *testing.T) {
	s := newSyncer("a", newMemoryStore(), nil)
	for _, step := range []struct{ given, want uint64 }{{5, 5}, {4, 5}, {5, 5}, {6, 6}} {
		if err := s.setCatalogue(layout.Spec{Revision: step.given}); err != nil {
			t.Fatal(err)
		}
		if got := s.Catalogue().Revision(); got != step.want {
			t.Errorf("catalogue after %d = %d, want %d", step.given, got, step.want)
		}
	}
}
