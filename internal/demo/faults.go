package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/internal/fakes"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/store"
)

// injector injects faults while the load runs.
type injector struct {
	fleet   *fleet
	callers *callers
	prober  *prober
	check   *checker
	rate    float64
	random  *rand.Rand

	mu      sync.Mutex
	applied map[string]bool
}

// faults returns the functions that inject each fault until the context ends, by
// the name of the fault.
func (in *injector) faults() map[string]func(context.Context) {
	return map[string]func(context.Context){
		"straggler":    in.straggler,
		"shed":         in.shed,
		"drain":        in.drain,
		"replica-loss": in.replicaLoss,
		"reindex":      in.reindex,
		"crossed":      in.crossed,
		"poison":       in.poison,
		"flood-bulk":   func(ctx context.Context) { in.flood(ctx, prio.Bulk) },
		"flood-urgent": func(ctx context.Context) { in.flood(ctx, prio.Urgent) },
		"store-outage": in.storeOutage,
		"store-slow":   in.storeSlow,
		"lost-reply":   in.lostReply,
		"pause":        in.pause,
		"restart":      in.restart,
		"crash-node":   in.crashNode,
		"partition":    in.partition,
		"conflict":     in.conflict,
		"health-lies":  in.healthLies,
		"stranded":     in.stranded,
	}
}

// FaultNames returns the names of all faults in alphabetical order.
func FaultNames() []string {
	var names []string
	for name := range (&injector{}).faults() {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ParseFaults parses a comma-separated list of faults. It returns nil for an empty
// list or "none".
func ParseFaults(list string) ([]string, error) {
	if list == "" || list == "none" {
		return nil, nil
	}
	names := strings.Split(list, ",")
	for _, name := range names {
		if !slices.Contains(FaultNames(), name) {
			return nil, fmt.Errorf("there is no fault %q; use none or some of %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	return names, nil
}

// markApplied records that the fault affected the deployment.
func (in *injector) markApplied(fault string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.applied[fault] = true
}

// faultDelay is how long the load runs before a fault begins.
const faultDelay = 2 * time.Second

// every calls f immediately, and again an interval after each call returns, until
// the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	for wait(ctx, 0) {
		f()
		if !wait(ctx, interval) {
			return
		}
	}
}

// wait waits for d. It reports false if the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return ctx.Err() == nil
	}
}

func (in *injector) busiestUpstreams() []*fakes.Upstream {
	return in.fleet.byArchive[in.fleet.deployment.busiestArchive]
}

// straggler makes one upstream in ten slower by a factor of ten, and picks others
// every period.
func (in *injector) straggler(ctx context.Context) {
	const factor, period = 10, 4 * time.Second
	var slow []*fakes.Upstream
	restore := func() {
		for _, u := range slow {
			u.SetSlow(1)
		}
	}
	defer restore()
	every(ctx, period, func() {
		restore()
		slow = in.pickUpstreams(in.busiestUpstreams(), 10)
		for _, u := range slow {
			u.SetSlow(factor)
		}
	})
	in.markAppliedIfSeen("straggler", "straggler")
}

// markAppliedIfSeen marks the fault as applied if upstreams recorded the effect.
func (in *injector) markAppliedIfSeen(fault, effect string) {
	if in.fleet.recorder.Effects(effect) > 0 {
		in.markApplied(fault)
	}
}

// pickUpstreams picks one in n upstreams at random. Of each pair of adjacent
// upstreams, which share shards, it picks at most one: if every replica of a shard
// were ten times slower, no routing policy could serve the shard in time.
func (in *injector) pickUpstreams(all []*fakes.Upstream, n int) []*fakes.Upstream {
	in.mu.Lock()
	defer in.mu.Unlock()
	var drawn []*fakes.Upstream
	pairs := in.random.Perm(len(all) / 2)
	for _, pair := range pairs[:min(max(len(all)/n, 1), len(pairs))] {
		drawn = append(drawn, all[2*pair+in.random.IntN(2)])
	}
	return drawn
}

// shed makes one upstream in five shed a third of its requests, and picks others
// every period.
func (in *injector) shed(ctx context.Context) {
	const share, period = 0.33, 3 * time.Second
	var chosen []*fakes.Upstream
	restore := func() {
		for _, u := range chosen {
			u.SetShedding(0)
		}
	}
	defer restore()
	every(ctx, period, func() {
		restore()
		chosen = in.pickUpstreams(in.busiestUpstreams(), 5)
		for _, u := range chosen {
			u.SetShedding(share)
		}
	})
	in.markAppliedIfSeen("shed", "shed")
}

// drain begins to drain one upstream every period, and stops and restarts each after
// drainTime.
func (in *injector) drain(ctx context.Context) {
	const period, drainTime = 2 * time.Second, 5 * time.Second
	var all sync.WaitGroup
	n := 0
	every(ctx, period, func() {
		u := in.busiestUpstreams()[(n*7)%len(in.busiestUpstreams())]
		n++
		all.Go(func() {
			u.Drain()
			in.setLeaving(u, true)
			time.Sleep(drainTime)
			u.Crash()
			if err := u.Start(); err != nil {
				in.fleet.log.Errorf("demo: could not restart upstream %s: %v.", u.ID(), err)
			}
			in.setLeaving(u, false)
		})
	})
	all.Wait()
	if n > 0 {
		in.markApplied("drain")
	}
}

func (in *injector) setLeaving(u *fakes.Upstream, leaving bool) {
	in.fleet.platform.SetVM(store.VM{Name: u.ID(), Addr: u.Addr(), Role: store.RoleUpstream, Leaving: leaving, Started: u.Started()})
}

// replicaLoss crashes one upstream every period. It restarts each after downTime,
// unless restartCrashed has done so before.
func (in *injector) replicaLoss(ctx context.Context) {
	const period, downTime = 4 * time.Second, 6 * time.Second
	var all sync.WaitGroup
	n := 0
	every(ctx, period, func() {
		// No shard loses both replicas at the same time: they are on adjacent
		// upstreams, and successive crashes hit upstreams that are four apart.
		u := in.busiestUpstreams()[(n*4)%len(in.busiestUpstreams())]
		n++
		all.Go(func() {
			u.Crash()
			time.Sleep(downTime)
			if err := u.Start(); err != nil {
				in.fleet.log.Errorf("demo: could not restart upstream %s: %v.", u.ID(), err)
			}
		})
	})
	all.Wait()
	if n > 0 {
		in.markApplied("replica-loss")
	}
}

// reindex publishes new index versions and withdraws the old ones soon after. Every
// other time, the number of shards changes.
func (in *injector) reindex(ctx context.Context) {
	const period = 2 * time.Second
	n := 0
	every(ctx, period, func() {
		n++
		in.fleet.reindex(in.check, n%2 == 1)
	})
	in.markAppliedIfSeen("reindex", "reindex")
}

// crossed makes upstreams send invalid replies: truncated, or the reply to another
// request, sent immediately or late.
func (in *injector) crossed(ctx context.Context) {
	const share = 0.01
	for _, u := range in.fleet.upstreams {
		u.SetInvalidReplies(share)
	}
	<-ctx.Done()
	for _, u := range in.fleet.upstreams {
		u.SetInvalidReplies(0)
	}
	in.markAppliedIfSeen("crossed", "crossed")
}

// healthLies makes the health endpoint of every upstream report a false drain.
func (in *injector) healthLies(ctx context.Context) {
	for _, u := range in.fleet.upstreams {
		u.SetFalseDrain(true)
	}
	<-ctx.Done()
	for _, u := range in.fleet.upstreams {
		u.SetFalseDrain(false)
	}
	in.markApplied("health-lies")
}

// poison sends queries that crash the upstreams on which they run, three at a time.
// Each is sent repeatedly, through different nodes.
func (in *injector) poison(ctx context.Context) {
	const concurrent, resends, period = 3, 8, 5 * time.Second
	w := in.fleet.deployment.workloads[0]
	round := 0
	var all sync.WaitGroup
	every(ctx, period, func() {
		round++
		for i := range concurrent {
			all.Go(func() { in.sendPoison(ctx, w, round*concurrent+i, resends) })
		}
	})
	all.Wait()
	in.markAppliedIfSeen("poison", "poison")
}

// sendPoison sends a query that crashes upstreams, resends times in all, through
// different nodes.
func (in *injector) sendPoison(ctx context.Context, w workload, number, resends int) {
	const pause = 300 * time.Millisecond
	for try := range resends {
		c := call{
			trace:    fmt.Sprintf("x-%d-%d", number, try),
			priority: w.priority, template: w.template, workspace: w.workspaces[0],
			query: fmt.Sprintf("%s%d", fakes.PoisonPrefix, number), due: time.Now(),
		}
		in.callers.post(in.callers.pick(uint64(number*31+try*7)), "searches", c, nil)
		if !wait(ctx, pause) {
			return
		}
	}
}

// restartCrashed restarts each upstream that has been down for longer than delay.
func (f *fleet) restartCrashed(ctx context.Context, delay time.Duration) {
	downSince := make(map[string]time.Time)
	for wait(ctx, 200*time.Millisecond) {
		for id, u := range f.upstreams {
			since, known := downSince[id]
			switch {
			case u.Up():
				delete(downSince, id)
			case !known:
				downSince[id] = time.Now()
			case time.Since(since) > delay:
				_ = u.Start()
			}
		}
	}
}

// flood raises the rate of the searches of one priority to ten times the capacity.
func (in *injector) flood(ctx context.Context, p prio.Priority) {
	const loadFactor = 10
	in.callers.setRate(p, loadFactor*in.fleet.deployment.capacity())
	in.markApplied("flood-" + p.String())
	<-ctx.Done()
}

// storeOutage makes every call to the platform's store fail until the context
// ends.
func (in *injector) storeOutage(ctx context.Context) {
	in.fleet.platform.SetDown(true)
	<-ctx.Done()
	in.fleet.platform.SetDown(false)
	if denied, _, _ := in.fleet.platform.Faults(); denied > 0 {
		in.markApplied("store-outage")
	}
}

// storeSlow adds a delay to every call to the platform's store.
func (in *injector) storeSlow(ctx context.Context) {
	const delay = 700 * time.Millisecond
	in.fleet.platform.SetDelay(delay)
	<-ctx.Done()
	in.fleet.platform.SetDelay(0)
	if _, slowed, _ := in.fleet.platform.Faults(); slowed > 0 {
		in.markApplied("store-slow")
	}
}

// lostReply makes a share of the writes to the platform's store take effect
// without a reply.
func (in *injector) lostReply(ctx context.Context) {
	const share = 0.3
	in.fleet.platform.SetLostReplies(share)
	<-ctx.Done()
	in.fleet.platform.SetLostReplies(0)
	if _, _, lost := in.fleet.platform.Faults(); lost > 0 {
		in.markApplied("lost-reply")
	}
}
