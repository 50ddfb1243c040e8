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
	// watchWait is how long a watch of the store may wait.
	watchWait = 5 * time.Second
	// watcherCheck is how often a node looks whether it has to watch.
	watcherCheck = 500 * time.Millisecond
	// watchers is how many nodes of a failure domain watch the store.
	watchers = 2
)

// Watching tells whether this node is one of those that watch the store on
// behalf of their failure domain.
func (k *Syncer) Watching() bool {
	names := append([]string(nil), k.node.View().Candidates(k.self.Domain)...)
	for range watchers {
		owner := route.Owner("watch", names)
		if owner == k.self.VM {
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
func (k *Syncer) watch(ctx context.Context, prefix string, read func(context.Context) error) error {
	version, failures := uint64(0), 0
	for ctx.Err() == nil {
		if !k.Watching() {
			tasks.Sleep(ctx, k.random.Jitter(watcherCheck))
			continue
		}
		objects, err := k.store.Watch(ctx, prefix, version, watchWait)
		for _, o := range objects {
			version = max(version, o.Version)
		}
		if err == nil {
			err = read(ctx)
		}
		if err != nil {
			failures++
			tasks.Sleep(ctx, k.random.Backoff(failures))
			continue
		}
		failures = 0
		k.compact(ctx)
	}
	return nil
}

// Follow keeps to what the store says until the context ends.
func (k *Syncer) Follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	for prefix, read := range map[string]func(context.Context) error{config.Prefix: k.readChanges, CatalogueKey: k.readCatalogue} {
		group.Add(func() error { return k.watch(ctx, prefix, read) }, func(error) { cancel() })
	}
	return group.Run()
}
