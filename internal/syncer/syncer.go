// Package syncer keeps a node's configuration and catalogue current. It reads the
// platform's store, watches it on behalf of the node's failure domain, pulls newer
// versions from other nodes and notifies them of its own.
//
//	s := syncer.New(self, node, store, syncer.WithLog(log))
//	err := s.Start(ctx)  // from the store, or from peers
//	err = s.Follow(ctx)  // until ctx ends
package syncer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/random"
	"geraniumstep.org/geraniumstep/internal/roster"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/store"
)

const (
	// CatalogueKey is the key under which the platform stores the newest catalogue.
	CatalogueKey = "catalogue"
	snapshotKey  = "config/snapshot"

	listPageSize = 500
	pullTimeout  = 2 * time.Second
	// retryInterval is the time between attempts of Start, with jitter. It also
	// bounds a read in RefreshCatalogue.
	retryInterval = 200 * time.Millisecond
	// notifyAllLimit is the number of other members up to which a node notifies
	// all of them of a new version. With more members it notifies notifyFanout
	// of them, which notify others in turn.
	notifyAllLimit = 16
	notifyFanout   = 4
	// changesPerSnapshot is the number of changes between two stored snapshots.
	changesPerSnapshot = 256
)

// Self identifies the node.
type Self struct {
	VM     string
	Domain string
	// Addr is the address at which other nodes reach it.
	Addr string
	// Peers are addresses of other nodes. They are used when the node starts while
	// the store is unavailable.
	Peers []string
}

// Node is the process as a Syncer uses it.
type Node interface {
	// View returns the current view of the members.
	View() *roster.View
	// Call calls a method of the node at the address.
	Call(ctx context.Context, addr, method string, args, reply any) error
	// Go runs f in a goroutine that the process waits for before it exits.
	Go(f func())
}

// Syncer keeps the configuration and the catalogue of one node current. It is safe
// for concurrent use.
type Syncer struct {
	self    Self
	node    Node
	store   store.Store
	random  *random.Source
	log     *logrus.Logger
	changed func(*layout.Catalogue)

	conf      *config.Log
	catalogue atomic.Pointer[layout.Catalogue]

	// pulling and refreshing are set while a pull or a read of the catalogue is
	// running, so that there is at most one of each.
	pulling    atomic.Bool
	refreshing atomic.Bool
	// notifiedConfig and notifiedCatalogue are the highest versions of which other
	// nodes have been notified.
	notifiedConfig    atomic.Uint64
	notifiedCatalogue atomic.Uint64
	// snapshotRevision is the revision of the newest stored snapshot that this node
	// has read or written.
	snapshotRevision atomic.Uint64
	fromStore        atomic.Bool
}

// Option configures a Syncer at construction.
type Option func(*Syncer)

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Logger) Option { return func(s *Syncer) { s.log = log } }

// WithRandom sets the source of jitter. The default is seeded with 0.
func WithRandom(r *random.Source) Option { return func(s *Syncer) { s.random = r } }

// WithChanged sets a function that is called with each new catalogue. The
// default does nothing.
func WithChanged(f func(*layout.Catalogue)) Option { return func(s *Syncer) { s.changed = f } }

// New returns a Syncer with an empty configuration and an empty catalogue.
func New(self Self, node Node, st store.Store, opts ...Option) *Syncer {
	s := &Syncer{
		self: self, node: node, store: st, random: random.New(0, self.VM), log: logrus.StandardLogger(),
		changed: func(*layout.Catalogue) {}, conf: config.NewLog(),
	}
	empty, err := layout.New(layout.Spec{})
	if err != nil {
		panic(err) // a catalogue without archives is valid
	}
	s.catalogue.Store(empty)
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Config returns the configuration in effect.
func (s *Syncer) Config() *config.State { return s.conf.State() }

// Catalogue returns the catalogue in effect.
func (s *Syncer) Catalogue() *layout.Catalogue { return s.catalogue.Load() }

// Versions returns the versions in effect.
func (s *Syncer) Versions() member.Versions {
	return member.Versions{Config: s.Config().Revision(), Catalogue: s.Catalogue().Revision()}
}

// FromStore reports whether Start read the store, rather than only peers.
func (s *Syncer) FromStore() bool { return s.fromStore.Load() }

// Commit commits a change to the configuration and notifies other nodes of it.
func (s *Syncer) Commit(ctx context.Context, c config.Change) (config.Change, error) {
	committed, err := config.Commit(ctx, s.store, s.conf, c)
	s.notify()
	return committed, err
}

// Since returns what a node with the given versions lacks.
func (s *Syncer) Since(have member.Versions) peer.PullReply {
	reply := peer.PullReply{Feed: s.conf.Since(have.Config)}
	if c := s.Catalogue(); c.Revision() > have.Catalogue {
		spec := c.Spec()
		reply.Catalogue = &spec
	}
	return reply
}

// PullIfNewer pulls from a node in the background if the node has a newer version and
// no other pull is running.
func (s *Syncer) PullIfNewer(v member.PeerVersions) {
	have := s.Versions()
	if v.Versions.Config <= have.Config && v.Versions.Catalogue <= have.Catalogue {
		return
	}
	if !s.pulling.CompareAndSwap(false, true) {
		return
	}
	s.node.Go(func() {
		defer s.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		_ = s.pull(ctx, v.Addr)
	})
}

// pull requests what this node lacks from another node and puts it into effect.
func (s *Syncer) pull(ctx context.Context, addr string) error {
	var reply peer.PullReply
	args := peer.Pull{Have: s.Versions()}
	if err := s.node.Call(ctx, addr, peer.MethodPull, &args, &reply); err != nil {
		return err
	}
	if err := s.conf.ApplyFeed(reply.Feed); err != nil {
		return err
	}
	if reply.Catalogue != nil {
		if err := s.setCatalogue(*reply.Catalogue); err != nil {
			return err
		}
	}
	s.notify()
	return nil
}

// setCatalogue puts a catalogue into effect if it is newer than the current one.
func (s *Syncer) setCatalogue(spec layout.Spec) error {
	next, err := layout.New(spec)
	if err != nil {
		return err
	}
	for {
		old := s.catalogue.Load()
		if old.Revision() >= next.Revision() {
			return nil
		}
		if s.catalogue.CompareAndSwap(old, next) {
			s.changed(next)
			s.log.Infof("config: catalogue %d is in effect.", next.Revision())
			return nil
		}
	}
}

// notify notifies other nodes of versions that this node has put into effect since
// the last call.
func (s *Syncer) notify() {
	have := s.Versions()
	newConfig := advance(&s.notifiedConfig, have.Config)
	if !advance(&s.notifiedCatalogue, have.Catalogue) && !newConfig {
		return
	}
	v := s.node.View()
	var names []string
	for _, r := range v.Live() {
		if r.VM != s.self.VM {
			names = append(names, r.VM)
		}
	}
	if len(names) > notifyAllLimit {
		names = s.random.Pick(names, notifyFanout)
	}
	args := &peer.Notify{Addr: s.self.Addr, Have: have}
	for _, name := range names {
		r, _ := v.Member(name)
		s.node.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
			defer cancel()
			_ = s.node.Call(ctx, r.Addr, peer.MethodNotify, args, &peer.None{})
		})
	}
}

// advance raises a high-water mark and reports whether it has risen.
func advance(mark *atomic.Uint64, to uint64) bool {
	for {
		old := mark.Load()
		if to <= old {
			return false
		}
		if mark.CompareAndSwap(old, to) {
			return true
		}
	}
}

// Start loads the newest configuration and catalogue from the store or, while the
// store is unavailable, from peers that have a catalogue. It retries until either
// succeeds or ctx ends.
func (s *Syncer) Start(ctx context.Context) error {
	for {
		err := s.readStore(ctx)
		if err == nil {
			s.fromStore.Store(true)
			return nil
		}
		if s.pullFromPeers(ctx) && s.Catalogue().Revision() > 0 {
			s.log.Warnf("config: store unavailable; serving configuration %d from peers.", s.Config().Revision())
			return nil
		}
		s.log.Warnf("config: loading from the store and from peers failed; retrying: %v.", err)
		if !tasks.Sleep(ctx, s.random.Jitter(retryInterval)) {
			return ctx.Err()
		}
	}
}

func (s *Syncer) readStore(ctx context.Context) error {
	if err := s.loadSnapshot(ctx); err != nil {
		return err
	}
	if err := s.readChanges(ctx); err != nil {
		return err
	}
	return s.readCatalogue(ctx)
}

// pullFromPeers pulls from all configured peers and live members and reports whether
// one of them answered.
func (s *Syncer) pullFromPeers(ctx context.Context) bool {
	addrs := append([]string(nil), s.self.Peers...)
	for _, r := range s.node.View().Live() {
		if r.VM != s.self.VM {
			addrs = append(addrs, r.Addr)
		}
	}
	answered := false
	for _, addr := range addrs {
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		answered = s.pull(ctx, addr) == nil || answered
		cancel()
	}
	return answered
}

// readChanges applies the changes in the store that are newer than this node's
// revision.
func (s *Syncer) readChanges(ctx context.Context) error {
	for {
		objects, err := s.store.List(ctx, config.Prefix, config.KeyOf(s.Config().Revision()), listPageSize)
		if err != nil {
			return err
		}
		before := s.Config().Revision()
		for _, o := range objects {
			var c config.Change
			if err := json.Unmarshal(o.Value, &c); err != nil {
				return fmt.Errorf("change %s cannot be decoded: %w", o.Key, err)
			}
			s.conf.Append(c)
		}
		if after := s.Config().Revision(); after > before {
			s.log.Infof("config: changes up to %d are in effect.", after)
		}
		if len(objects) < listPageSize {
			s.notify()
			return nil
		}
	}
}

func (s *Syncer) readCatalogue(ctx context.Context) error {
	o, err := s.store.Get(ctx, CatalogueKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var spec layout.Spec
	if err := json.Unmarshal(o.Value, &spec); err != nil {
		return fmt.Errorf("catalogue cannot be decoded: %w", err)
	}
	if err := s.setCatalogue(spec); err != nil {
		return err
	}
	s.notify()
	return nil
}

// RefreshCatalogue reads the catalogue from the store after an upstream has rejected
// the current version as no longer served. Concurrent searches share one read: while
// it is running, other calls only wait for a quarter of retryInterval.
func (s *Syncer) RefreshCatalogue(ctx context.Context) {
	if !s.refreshing.CompareAndSwap(false, true) {
		tasks.Sleep(ctx, retryInterval/4)
		return
	}
	defer s.refreshing.Store(false)
	ctx, cancel := context.WithTimeout(ctx, retryInterval)
	defer cancel()
	_ = s.readCatalogue(ctx)
}
