package syncer

import (
	"context"
	"time"

	"github.com/oklog/run"

	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/route"
)

const (
	// watchTimeout is the maximum time that a watch of the store waits for a change.
	watchTimeout = 5 * time.Second
	// watcherCheckInterval is the time between checks of whether this node is a
	// watcher, with jitter.
	watcherCheckInterval = 500 * time.Millisecond
	// watchersPerDomain is the number of nodes of a failure domain that watch the
	// store.
	watchersPerDomain = 2
)

// Watching reports whether this node is one of the nodes that watch the store on
// behalf of their failure domain.
func (s *Syncer) Watching() bool {
	names := append([]string(nil), s.node.View().Candidates(s.self.Domain)...)
	for range watchersPerDomain {
		owner := route.Owner("watch", names)
		if owner == s.self.VM {
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

// watch watches the objects with a prefix while this node is a watcher, and calls
// read after every watch that succeeds. The objects that a watch returns only trigger
// the read; their values are not used.
func (s *Syncer) watch(ctx context.Context, prefix string, read func(context.Context) error) error {
	version, failures := uint64(0), 0
	for ctx.Err() == nil {
		if !s.Watching() {
			tasks.Sleep(ctx, s.random.Jitter(watcherCheckInterval))
			continue
		}
		objects, err := s.store.Watch(ctx, prefix, version, watchTimeout)
		for _, o := range objects {
			version = max(version, o.Version)
		}
		if err == nil {
			err = read(ctx)
		}
		if err != nil {
			failures++
			tasks.Sleep(ctx, s.random.Backoff(failures))
			continue
		}
		failures = 0
		s.compact(ctx)
	}
	return nil
}

// Follow watches the store and applies its changes until the context ends.
func (s *Syncer) Follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	for prefix, read := range map[string]func(context.Context) error{config.Prefix: s.readChanges, CatalogueKey: s.readCatalogue} {
		group.Add(func() error { return s.watch(ctx, prefix, read) }, func(error) { cancel() })
	}
	return group.Run()
}
