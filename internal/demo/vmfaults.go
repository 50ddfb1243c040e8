package demo

import (
	"context"
	"time"

	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/layout"
)

// restart replaces every node, one after the other, by planned stops.
func (in *injector) restart(ctx context.Context) {
	const gap = time.Second
	for n := 0; wait(ctx, gap); n++ {
		e := in.fleet.entries[n%len(in.fleet.entries)]
		e.stopNode()
		in.shake(e.vm)
		if err := in.fleet.start(e); err != nil {
			in.fleet.log.Errorf("demo: node %s did not come back: %v.", e.vm, err)
			return
		}
		in.apply("restart")
	}
}

// crashNode kills a node every few seconds and starts it again.
func (in *injector) crashNode(ctx context.Context) {
	const period, down = 6 * time.Second, 2 * time.Second
	n := 0
	every(ctx, period, func() {
		e := in.fleet.entries[(n*2)%len(in.fleet.entries)]
		n++
		e.killNode()
		in.shake(e.vm)
		time.Sleep(down)
		if err := in.fleet.start(e); err != nil {
			in.fleet.log.Errorf("demo: node %s did not come back: %v.", e.vm, err)
		}
		in.apply("crash-node")
	})
}

// pause freezes one node for longer than a lease, then another.
func (in *injector) pause(ctx context.Context) {
	const frozen, gap = 12 * time.Second, 3 * time.Second
	n := 0
	for wait(ctx, gap/3) {
		e := in.fleet.entries[(n*4+1)%len(in.fleet.entries)]
		n++
		in.freeze(e, true)
		wait(ctx, frozen)
		in.freeze(e, false)
		if in.fleet.links.BlockedCount() > 0 {
			in.apply("pause")
		}
		wait(ctx, gap)
	}
}

func (in *injector) freeze(e *entry, frozen bool) {
	in.fleet.links.Freeze(e.host, frozen)
	in.shake(e.vm)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = frozen
	if !frozen {
		e.killed = time.Now()
	}
}

// partition cuts one failure domain off from the others and the platform, then
// all of them from each other, then heals.
func (in *injector) partition(ctx context.Context) {
	const lasts, gap = 6 * time.Second, 4 * time.Second
	domains := in.fleet.deployment.domains
	cut := func(a, b string, on bool) {
		in.fleet.links.Cut(a, b, on)
		for _, e := range in.fleet.entries {
			if e.domain == a || e.domain == b {
				in.shake(e.vm)
			}
		}
	}
	for n := 0; ctx.Err() == nil; n++ {
		lone := domains[n%len(domains)]
		others := append([]string{groupStore}, domains...)
		set := func(on bool) {
			for _, d := range others {
				if d != lone {
					cut(lone, d, on)
				}
			}
		}
		set(true)
		wait(ctx, lasts)
		set(false)
		if in.fleet.links.BlockedCount() > 0 {
			in.apply("partition")
		}
		wait(ctx, gap)
	}
}

// conflict lets operators race each other with changes to one object.
func (in *injector) conflict(ctx context.Context) {
	const period = time.Second
	n := 0
	every(ctx, period, func() {
		n++
		a, b := in.callers.pick(uint64(n)), in.callers.pick(uint64(n+1))
		spec := in.racer()
		_, base, _ := a.current().Config().Spec(config.KindWorkspace, spec.Name)
		results := make(chan error, 2)
		for i, e := range []*entry{a, b} {
			go func() { results <- in.prober.apply(e, spec, []string{"ann", "ben"}[i], &base) }()
		}
		won := 0
		for range 2 {
			if err := <-results; err == nil {
				won++
			}
		}
		if won > 1 {
			in.check.mu.Lock()
			in.check.violate(&in.check.found.ConfigReverted, "two operators both changed %s at revision %d", spec.Name, base)
			in.check.mu.Unlock()
		}
		if won == 1 {
			in.apply("conflict")
		}
	})
}

// racer is the workspace that racing operators change.
func (in *injector) racer() config.WorkspaceSpec {
	w := in.fleet.deployment.workspaces[0]
	w.Defaults = map[string]any{"note": time.Now().Format(time.RFC3339Nano)}
	return w
}

// shake notes that a VM was disturbed, so that for a while nothing is expected
// of it.
func (in *injector) shake(vm string) {
	in.fleet.shakenMu.Lock()
	defer in.fleet.shakenMu.Unlock()
	in.fleet.shaken[vm] = time.Now()
}

// reachable tells whether the VM is up, and has not been cut off, frozen or
// restarted since the given time.
func (f *fleet) reachable(e *entry, since time.Time) bool {
	f.shakenMu.Lock()
	shaken := f.shaken[e.vm]
	f.shakenMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up && e.ready && !e.frozen && shaken.Before(since) && !f.links.Isolated(e.host, platformHost)
}

// reindex puts a new version of every archive but that of holds into service.
// The version before is withdrawn a moment later, and of a repartition so soon
// that searches in flight still need it.
func (f *fleet) reindex(check *checker, repartition bool) {
	overlap := 300 * time.Millisecond
	if repartition {
		overlap = 20 * time.Millisecond
	}
	f.mu.Lock()
	next := layout.Spec{Revision: f.spec.Revision + 1, Upstreams: f.spec.Upstreams}
	old := make(map[string]uint64)
	for i, a := range f.spec.Archives {
		d := f.deployment.archives[i]
		if d.replicas > 1 {
			old[a.Name] = a.Version
			a = f.newVersion(a, d, repartition)
		}
		next.Archives = append(next.Archives, a)
	}
	f.spec = next
	f.mu.Unlock()
	check.published(next.Revision, pinned(next))
	f.publish()
	time.Sleep(overlap)
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, v := range old {
		delete(f.served[name], v)
	}
}

// newVersion lays an archive out anew. Repartitioned, it has a shard less.
func (f *fleet) newVersion(a layout.ArchiveSpec, d archive, repartition bool) layout.ArchiveSpec {
	shards := d.shards
	if repartition && shards > 2 {
		shards--
	}
	var ids []string
	for _, u := range f.byArchive[a.Name] {
		ids = append(ids, u.ID())
	}
	a.Version++
	a.Shards = spread(d, shards, ids)
	f.served[a.Name][a.Version] = shards
	return a
}

// pinned tells what a catalogue pins, for the checker.
func pinned(spec layout.Spec) map[string]version {
	archives := make(map[string]version)
	for _, a := range spec.Archives {
		archives[a.Name] = version{number: a.Version, shards: len(a.Shards)}
	}
	return archives
}
