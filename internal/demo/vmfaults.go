package demo

import (
	"context"
	"time"

	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/layout"
)

// restart stops and restarts one node after the other, gracefully.
func (in *injector) restart(ctx context.Context) {
	const gap = time.Second
	for n := 0; wait(ctx, gap); n++ {
		e := in.fleet.entries[n%len(in.fleet.entries)]
		e.stopNode()
		in.recordDisruption(e.vm)
		if err := in.fleet.startNode(e); err != nil {
			in.fleet.log.Errorf("demo: could not restart node %s: %v.", e.vm, err)
			return
		}
		in.markApplied("restart")
	}
}

// crashNode kills one node at a time and starts it again.
func (in *injector) crashNode(ctx context.Context) {
	const period, down = 6 * time.Second, 2 * time.Second
	n := 0
	every(ctx, period, func() {
		e := in.fleet.entries[(n*2)%len(in.fleet.entries)]
		n++
		e.killNode()
		in.recordDisruption(e.vm)
		time.Sleep(down)
		if err := in.fleet.startNode(e); err != nil {
			in.fleet.log.Errorf("demo: could not restart node %s: %v.", e.vm, err)
		}
		in.markApplied("crash-node")
	})
}

// pause freezes one node at a time, each for longer than a lease lasts.
func (in *injector) pause(ctx context.Context) {
	const frozen, gap = 12 * time.Second, 3 * time.Second
	n := 0
	for wait(ctx, gap/3) {
		e := in.fleet.entries[(n*4+1)%len(in.fleet.entries)]
		n++
		in.freeze(e, true)
		wait(ctx, frozen)
		in.freeze(e, false)
		if in.fleet.network.BlockedCount() > 0 {
			in.markApplied("pause")
		}
		wait(ctx, gap)
	}
}

func (in *injector) freeze(e *entry, frozen bool) {
	in.fleet.network.Freeze(e.host, frozen)
	in.recordDisruption(e.vm)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = frozen
	if !frozen {
		e.killed = time.Now()
	}
}

// partition cuts one failure domain at a time off from the others and the
// platform, and then reconnects it.
func (in *injector) partition(ctx context.Context) {
	const cutTime, gap = 6 * time.Second, 4 * time.Second
	domains := in.fleet.deployment.domains
	cut := func(a, b string, on bool) {
		in.fleet.network.Cut(a, b, on)
		for _, e := range in.fleet.entries {
			if e.domain == a || e.domain == b {
				in.recordDisruption(e.vm)
			}
		}
	}
	for n := 0; ctx.Err() == nil; n++ {
		isolated := domains[n%len(domains)]
		others := append([]string{groupPlatform}, domains...)
		set := func(on bool) {
			for _, d := range others {
				if d != isolated {
					cut(isolated, d, on)
				}
			}
		}
		set(true)
		wait(ctx, cutTime)
		set(false)
		if in.fleet.network.BlockedCount() > 0 {
			in.markApplied("partition")
		}
		wait(ctx, gap)
	}
}

// stranded cuts most nodes off from all upstreams, and then reconnects them.
func (in *injector) stranded(ctx context.Context) {
	const cutTime, gap = 4 * time.Second, 3 * time.Second
	for n := 0; ctx.Err() == nil; n++ {
		var cut []*entry
		for i, e := range in.fleet.entries {
			if (i+n)%3 != 0 {
				cut = append(cut, e)
				in.fleet.network.Strand(e.host, true)
			}
		}
		wait(ctx, cutTime)
		for _, e := range cut {
			in.fleet.network.Strand(e.host, false)
		}
		if in.fleet.network.BlockedCount() > 0 {
			in.markApplied("stranded")
		}
		wait(ctx, gap)
	}
}

// conflict sends concurrent changes by two operators to one object, both based on
// the same revision. At most one may be accepted.
func (in *injector) conflict(ctx context.Context) {
	const period = time.Second
	n := 0
	every(ctx, period, func() {
		n++
		a, b := in.callers.pick(uint64(n)), in.callers.pick(uint64(n+1))
		spec := in.contestedWorkspace()
		_, base, _ := a.currentNode().Config().Spec(config.KindWorkspace, spec.Name)
		results := make(chan error, 2)
		for i, e := range []*entry{a, b} {
			go func() { results <- in.prober.putWorkspace(e, spec, []string{"ann", "ben"}[i], &base) }()
		}
		accepted := 0
		for range 2 {
			if err := <-results; err == nil {
				accepted++
			}
		}
		if accepted > 1 {
			in.check.mu.Lock()
			in.check.addViolation(&in.check.violations.ConfigReverted, "two operators both changed %s at revision %d", spec.Name, base)
			in.check.mu.Unlock()
		}
		if accepted == 1 {
			in.markApplied("conflict")
		}
	})
}

// contestedWorkspace returns the change that both operators of conflict send.
func (in *injector) contestedWorkspace() config.WorkspaceSpec {
	w := in.fleet.deployment.workspaces[0]
	w.Defaults = map[string]any{"note": time.Now().Format(time.RFC3339Nano)}
	return w
}

// recordDisruption records that a VM was disrupted, so that the prober does not
// check it for a while.
func (in *injector) recordDisruption(vm string) {
	in.fleet.disruptedMu.Lock()
	defer in.fleet.disruptedMu.Unlock()
	in.fleet.disruptedAt[vm] = time.Now()
}

// reachable reports whether the VM is up, ready and connected to the platform, and
// has not been cut off, frozen or restarted since the given time.
func (f *fleet) reachable(e *entry, since time.Time) bool {
	f.disruptedMu.Lock()
	disrupted := f.disruptedAt[e.vm]
	f.disruptedMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up && e.ready && !e.frozen && disrupted.Before(since) && !f.network.Isolated(e.host, platformHost)
}

// reindex publishes a new version of every archive but the one for submissions,
// which has one replica. Upstreams stop serving the old version 300 ms later, or
// after 20 ms with repartition, when searches in flight still need it.
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
	check.recordCatalogue(next.Revision, pinnedVersions(next))
	f.storeCatalogue()
	time.Sleep(overlap)
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, v := range old {
		delete(f.served[name], v)
	}
}

// newVersion returns the archive with the next version and new replicas. With
// repartition, it has one shard less than the deployment sets, if that is more
// than 2. It must be called with f.mu held.
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
	a.Shards = assignReplicas(d, shards, ids)
	f.served[a.Name][a.Version] = shards
	return a
}

// pinnedVersions returns the version and number of shards of each archive in a
// catalogue.
func pinnedVersions(spec layout.Spec) map[string]version {
	archives := make(map[string]version)
	for _, a := range spec.Archives {
		archives[a.Name] = version{number: a.Version, shards: len(a.Shards)}
	}
	return archives
}
