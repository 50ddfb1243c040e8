// Package syncer keeps a node's configuration and catalogue at the newest: it reads
// the platform's store, watches it on behalf of the node's failure domain, takes
// from other nodes what they have and tells them what is new.
//
//	k := syncer.New(self, node, store, syncer.WithLog(log))
//	err := k.Start(ctx)  // from the store, or from peers
//	err = k.Follow(ctx)  // until ctx ends
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
	// CatalogueKey is where the platform keeps the newest catalogue.
	CatalogueKey = "catalogue"
	snapshotKey  = "config/snapshot"

	listPage      = 500
	pullTimeout   = 2 * time.Second
	startInterval = 200 * time.Millisecond
	// notifyAll is up to how many members a change is told to all of them;
	// in a larger fleet each node tells a few and they tell others.
	notifyAll = 16
	notifyFew = 4
	// compactEvery is how many changes pass between two stored snapshots.
	compactEvery = 256
)

// Self says who the node is.
type Self struct {
	VM     string
	Domain string
	// Addr is where other nodes reach it.
	Addr string
	// Peers are addresses of other nodes, for a start without the store.
	Peers []string
}

// Node is what a Keeper needs of its process.
type Node interface {
	// View is the present picture of the members.
	View() *roster.View
	// Call calls a method of the node at the address.
	Call(ctx context.Context, addr, method string, args, reply any) error
	// Go runs f in a goroutine that the process waits for.
	Go(f func())
}

// Syncer keeps the configuration and the catalogue of one node. It is safe for
// concurrent use.
type Syncer struct {
	self    Self
	node    Node
	store   store.Store
	random  *random.Source
	log     *logrus.Logger
	changed func(*layout.Catalogue)

	conf      *config.Log
	catalogue atomic.Pointer[layout.Catalogue]

	pulling   atomic.Bool
	reading   atomic.Bool
	told      atomic.Uint64
	toldCat   atomic.Uint64
	snapshot  atomic.Uint64
	fromStore atomic.Bool
}

// Option changes a Keeper at construction.
type Option func(*Syncer)

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Logger) Option { return func(k *Syncer) { k.log = log } }

// WithRandom sets the source of jitter. The default is seeded with 0.
func WithRandom(r *random.Source) Option { return func(k *Syncer) { k.random = r } }

// WithChanged sets a function that is called with each new catalogue. The
// default does nothing.
func WithChanged(f func(*layout.Catalogue)) Option { return func(k *Syncer) { k.changed = f } }

// New returns a Keeper that knows nothing yet.
func New(self Self, node Node, st store.Store, opts ...Option) *Syncer {
	k := &Syncer{
		self: self, node: node, store: st, random: random.New(0, self.VM), log: logrus.StandardLogger(),
		changed: func(*layout.Catalogue) {}, conf: config.NewLog(),
	}
	empty, err := layout.New(layout.Spec{})
	if err != nil {
		panic(err) // a catalogue without archives is valid
	}
	k.catalogue.Store(empty)
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Config gives the configuration in force.
func (k *Syncer) Config() *config.State { return k.conf.State() }

// Catalogue gives the newest snapshot of the archives.
func (k *Syncer) Catalogue() *layout.Catalogue { return k.catalogue.Load() }

// Versions tells what is in force.
func (k *Syncer) Versions() member.Versions {
	return member.Versions{Config: k.Config().Revision(), Catalogue: k.Catalogue().Revision()}
}

// FromStore tells whether the store itself was read, not only peers.
func (k *Syncer) FromStore() bool { return k.fromStore.Load() }

// Commit accepts a change of the configuration into the log.
func (k *Syncer) Commit(ctx context.Context, c config.Change) (config.Change, error) {
	won, err := config.Commit(ctx, k.store, k.conf, c)
	k.tell()
	return won, err
}

// Since lists what a node with the given versions lacks.
func (k *Syncer) Since(have member.Versions) peer.PullReply {
	reply := peer.PullReply{Feed: k.conf.Since(have.Config)}
	if c := k.Catalogue(); c.Revision() > have.Catalogue {
		spec := c.Spec()
		reply.Catalogue = &spec
	}
	return reply
}

// PullIfNewer pulls from a node that has something newer.
func (k *Syncer) PullIfNewer(h member.PeerVersions) {
	have := k.Versions()
	if h.Versions.Config <= have.Config && h.Versions.Catalogue <= have.Catalogue {
		return
	}
	if !k.pulling.CompareAndSwap(false, true) {
		return
	}
	k.node.Go(func() {
		defer k.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		_ = k.pull(ctx, h.Addr)
	})
}

// pull takes from one node what this one lacks.
func (k *Syncer) pull(ctx context.Context, addr string) error {
	var reply peer.PullReply
	args := peer.Pull{Have: k.Versions()}
	if err := k.node.Call(ctx, addr, peer.MethodPull, &args, &reply); err != nil {
		return err
	}
	if err := k.conf.ApplyFeed(reply.Feed); err != nil {
		return err
	}
	if reply.Catalogue != nil {
		if err := k.setCatalogue(*reply.Catalogue); err != nil {
			return err
		}
	}
	k.tell()
	return nil
}

// setCatalogue puts a catalogue in force, unless that would step back.
func (k *Syncer) setCatalogue(spec layout.Spec) error {
	next, err := layout.New(spec)
	if err != nil {
		return err
	}
	for {
		old := k.catalogue.Load()
		if old.Revision() >= next.Revision() {
			return nil
		}
		if k.catalogue.CompareAndSwap(old, next) {
			k.changed(next)
			k.log.Infof("config: catalogue %d is in force.", next.Revision())
			return nil
		}
	}
}

// tell lets other nodes know of a version that this node has put in force.
func (k *Syncer) tell() {
	have := k.Versions()
	news := advance(&k.told, have.Config)
	if !advance(&k.toldCat, have.Catalogue) && !news {
		return
	}
	v := k.node.View()
	var names []string
	for _, r := range v.Live() {
		if r.VM != k.self.VM {
			names = append(names, r.VM)
		}
	}
	if len(names) > notifyAll {
		names = k.random.Pick(names, notifyFew)
	}
	args := &peer.Notify{Addr: k.self.Addr, Have: have}
	for _, name := range names {
		r, _ := v.Member(name)
		k.node.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
			defer cancel()
			_ = k.node.Call(ctx, r.Addr, peer.MethodNotify, args, &peer.None{})
		})
	}
}

// advance raises a high-water mark and tells whether it rose.
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

// Start gets the newest configuration there is, from the store or, while that
// does not answer, from the peers.
func (k *Syncer) Start(ctx context.Context) error {
	for {
		err := k.readStore(ctx)
		if err == nil {
			k.fromStore.Store(true)
			return nil
		}
		if k.fromPeers(ctx) && k.Catalogue().Revision() > 0 {
			k.log.Warnf("config: store did not answer; serving configuration %d from peers.", k.Config().Revision())
			return nil
		}
		k.log.Warnf("config: neither store nor peers answered (%v); trying again.", err)
		if !tasks.Sleep(ctx, k.random.Jitter(startInterval)) {
			return ctx.Err()
		}
	}
}

func (k *Syncer) readStore(ctx context.Context) error {
	if err := k.loadSnapshot(ctx); err != nil {
		return err
	}
	if err := k.readChanges(ctx); err != nil {
		return err
	}
	return k.readCatalogue(ctx)
}

// fromPeers asks every peer that is known and tells whether one answered.
func (k *Syncer) fromPeers(ctx context.Context) bool {
	addrs := append([]string(nil), k.self.Peers...)
	for _, r := range k.node.View().Live() {
		if r.VM != k.self.VM {
			addrs = append(addrs, r.Addr)
		}
	}
	answered := false
	for _, addr := range addrs {
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		answered = k.pull(ctx, addr) == nil || answered
		cancel()
	}
	return answered
}

// readChanges applies the changes that the store has and this node has not.
func (k *Syncer) readChanges(ctx context.Context) error {
	for {
		objects, err := k.store.List(ctx, config.Prefix, config.KeyOf(k.Config().Revision()), listPage)
		if err != nil {
			return err
		}
		before := k.Config().Revision()
		for _, o := range objects {
			var c config.Change
			if err := json.Unmarshal(o.Value, &c); err != nil {
				return fmt.Errorf("change %s is not readable: %w", o.Key, err)
			}
			k.conf.Append(c)
		}
		if after := k.Config().Revision(); after > before {
			k.log.Infof("config: changes up to %d are in force.", after)
		}
		if len(objects) < listPage {
			k.tell()
			return nil
		}
	}
}

func (k *Syncer) readCatalogue(ctx context.Context) error {
	o, err := k.store.Get(ctx, CatalogueKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var spec layout.Spec
	if err := json.Unmarshal(o.Value, &spec); err != nil {
		return fmt.Errorf("catalogue is not readable: %w", err)
	}
	if err := k.setCatalogue(spec); err != nil {
		return err
	}
	k.tell()
	return nil
}

// RefreshCatalogue looks for a newer catalogue because an upstream no longer
// serves this one. Searches that find out together share one read.
func (k *Syncer) RefreshCatalogue(ctx context.Context) {
	if !k.reading.CompareAndSwap(false, true) {
		tasks.Sleep(ctx, startInterval/4)
		return
	}
	defer k.reading.Store(false)
	ctx, cancel := context.WithTimeout(ctx, startInterval)
	defer cancel()
	_ = k.readCatalogue(ctx)
}
