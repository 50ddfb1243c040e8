package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/internal/inner"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/route"
	"geraniumstep.org/geraniumstep/pkg/store"
)

const (
	// CatalogueKey is where the platform keeps the newest catalogue.
	CatalogueKey = "catalogue"
	snapshotKey  = "config/snapshot"

	watchWait     = 5 * time.Second
	watcherCheck  = 500 * time.Millisecond
	watchers      = 2
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

// syncer keeps the node's configuration and catalogue at the newest.
type syncer struct {
	node      *Node
	pulling   atomic.Bool
	reading   atomic.Bool
	told      atomic.Uint64
	toldCat   atomic.Uint64
	snapshot  atomic.Uint64
	fromStore atomic.Bool
}

// since lists what a node with the given versions lacks.
func (s *syncer) since(have member.Versions) inner.PullReply {
	reply := inner.PullReply{Feed: s.node.conf.Since(have.Config)}
	if c := s.node.Catalogue(); c.Revision() > have.Catalogue {
		spec := c.Spec()
		reply.Catalogue = &spec
	}
	return reply
}

// heard pulls from a node that has something newer.
func (s *syncer) heard(h member.Heard) {
	have := s.node.versions()
	if h.Versions.Config <= have.Config && h.Versions.Catalogue <= have.Catalogue {
		return
	}
	if !s.pulling.CompareAndSwap(false, true) {
		return
	}
	s.node.goServe(func() {
		defer s.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		_ = s.pull(ctx, h.Addr)
	})
}

// pull takes from one node what this one lacks.
func (s *syncer) pull(ctx context.Context, addr string) error {
	var reply inner.PullReply
	args := inner.Pull{Have: s.node.versions()}
	if err := s.node.peers.Call(ctx, addr, inner.MethodPull, &args, &reply); err != nil {
		return err
	}
	if err := s.node.conf.Take(reply.Feed); err != nil {
		return err
	}
	if reply.Catalogue != nil {
		if err := s.setCatalogue(*reply.Catalogue); err != nil {
			return err
		}
	}
	s.tell()
	return nil
}

// setCatalogue puts a catalogue in force, unless that would step back.
func (s *syncer) setCatalogue(spec layout.Spec) error {
	next, err := layout.New(spec)
	if err != nil {
		return err
	}
	for {
		old := s.node.catalogue.Load()
		if old.Revision() >= next.Revision() {
			return nil
		}
		if s.node.catalogue.CompareAndSwap(old, next) {
			s.node.table.Update(next)
			s.node.log.Infof("config: catalogue %d is in force.", next.Revision())
			return nil
		}
	}
}

// tell lets other nodes know of a version that this node has put in force.
func (s *syncer) tell() {
	have := s.node.versions()
	news := advance(&s.told, have.Config)
	if !advance(&s.toldCat, have.Catalogue) && !news {
		return
	}
	v := s.node.view.Load()
	var names []string
	for _, r := range v.live() {
		if r.VM != s.node.set.VM {
			names = append(names, r.VM)
		}
	}
	if len(names) > notifyAll {
		names = s.node.random.pick(names, notifyFew)
	}
	args := &inner.Notify{Addr: s.node.InnerAddr(), Have: have}
	for _, name := range names {
		addr := v.members[name].Addr
		s.node.goServe(func() {
			ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
			defer cancel()
			_ = s.node.peers.Call(ctx, addr, inner.MethodNotify, args, &inner.None{})
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

// start gets the newest configuration there is, from the store or, while that
// does not answer, from the peers.
func (s *syncer) start(ctx context.Context) error {
	for {
		err := s.readStore(ctx)
		if err == nil {
			s.fromStore.Store(true)
			return nil
		}
		if s.fromPeers(ctx) && s.node.Catalogue().Revision() > 0 {
			s.node.log.Warnf("config: store did not answer; serving configuration %d from peers.", s.node.Config().Revision())
			return nil
		}
		s.node.log.Warnf("config: neither store nor peers answered (%v); trying again.", err)
		if !sleep(ctx, s.node.random.jitter(startInterval)) {
			return ctx.Err()
		}
	}
}

func (s *syncer) readStore(ctx context.Context) error {
	if err := s.loadSnapshot(ctx); err != nil {
		return err
	}
	if err := s.readChanges(ctx); err != nil {
		return err
	}
	return s.readCatalogue(ctx)
}

// fromPeers asks every peer that is known and tells whether one answered.
func (s *syncer) fromPeers(ctx context.Context) bool {
	addrs := append([]string(nil), s.node.set.Peers...)
	for _, r := range s.node.view.Load().live() {
		if r.VM != s.node.set.VM {
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

// readChanges applies the changes that the store has and this node has not.
func (s *syncer) readChanges(ctx context.Context) error {
	for {
		objects, err := s.node.store.List(ctx, config.Prefix, config.KeyOf(s.node.Config().Revision()), listPage)
		if err != nil {
			return err
		}
		before := s.node.Config().Revision()
		for _, o := range objects {
			var c config.Change
			if err := json.Unmarshal(o.Value, &c); err != nil {
				return fmt.Errorf("change %s is not readable: %w", o.Key, err)
			}
			s.node.conf.Append(c)
		}
		if after := s.node.Config().Revision(); after > before {
			s.node.log.Infof("config: changes up to %d are in force.", after)
		}
		if len(objects) < listPage {
			s.tell()
			return nil
		}
	}
}

func (s *syncer) readCatalogue(ctx context.Context) error {
	o, err := s.node.store.Get(ctx, CatalogueKey)
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
	if err := s.setCatalogue(spec); err != nil {
		return err
	}
	s.tell()
	return nil
}

// catalogueNow looks for a newer catalogue because an upstream no longer
// serves this one. Searches that find out together share one read.
func (s *syncer) catalogueNow(ctx context.Context) {
	if !s.reading.CompareAndSwap(false, true) {
		sleep(ctx, startInterval/4)
		return
	}
	defer s.reading.Store(false)
	ctx, cancel := context.WithTimeout(ctx, startInterval)
	defer cancel()
	_ = s.readCatalogue(ctx)
}

// watching tells whether this node is one of those that watch the store on
// behalf of their failure domain.
func (s *syncer) watching() bool {
	names := append([]string(nil), s.node.view.Load().candidates(s.node.set.FailureDomain)...)
	for range watchers {
		owner := route.Owner("watch", names)
		if owner == s.node.set.VM {
			return true
		}
		for i, name := range names {
			if name == owner {
				names = append(names[:i], names[i+1:]...)
				break
			}
		}
	}
	return false
}

// watch follows the objects with a prefix while this node is a watcher. A
// watch only says when to read; what is read decides.
func (s *syncer) watch(ctx context.Context, prefix string, read func(context.Context) error) error {
	version, failures := uint64(0), 0
	for ctx.Err() == nil {
		if !s.watching() {
			sleep(ctx, s.node.random.jitter(watcherCheck))
			continue
		}
		objects, err := s.node.store.Watch(ctx, prefix, version, watchWait)
		for _, o := range objects {
			version = max(version, o.Version)
		}
		if err == nil {
			err = read(ctx)
		}
		if err != nil {
			failures++
			sleep(ctx, s.node.backoff(failures))
			continue
		}
		failures = 0
		s.compact(ctx)
	}
	return nil
}

// followVMs reads the platform's list of VMs while this node is a watcher.
func (s *syncer) followVMs(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.watching() {
			vms, err := s.node.store.VMs(ctx)
			if err == nil {
				s.node.members.step(member.Healthy{})
				s.node.members.listed(vms)
			}
		}
		sleep(ctx, s.node.random.jitter(vmListInterval))
	}
	return nil
}

// sleep waits and tells whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
