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

// injector brings about faults while the load runs.
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

// faults names every fault that a demo can bring about.
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
	}
}

// FaultNames lists the faults in order.
func FaultNames() []string {
	var names []string
	for name := range (&injector{}).faults() {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ParseFaults splits and checks a list of faults.
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

func (in *injector) apply(fault string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.applied[fault] = true
}

// settle is how long the load runs before a fault begins.
const settle = 2 * time.Second

// every calls f at once and then at intervals until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	for wait(ctx, 0) {
		f()
		if !wait(ctx, interval) {
			return
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return ctx.Err() == nil
	}
}

// busy lists the upstreams of the busiest archive.
func (in *injector) busy() []*fakes.Upstream {
	return in.fleet.byArchive[in.fleet.deployment.busiest]
}

// straggler makes one replica in ten ten times slower, others every few seconds.
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
		slow = in.some(in.busy(), 10)
		for _, u := range slow {
			u.SetSlow(factor)
		}
	})
	in.noteEffect("straggler", "straggler")
}

func (in *injector) noteEffect(fault, effect string) {
	if in.fleet.ledger.Effects(effect) > 0 {
		in.apply(fault)
	}
}

// some draws one in n upstreams, at most one of each pair that share shards:
// a shard of which every replica is ten times slower can be served by no policy.
func (in *injector) some(all []*fakes.Upstream, n int) []*fakes.Upstream {
	in.mu.Lock()
	defer in.mu.Unlock()
	var drawn []*fakes.Upstream
	pairs := in.random.Perm(len(all) / 2)
	for _, pair := range pairs[:min(max(len(all)/n, 1), len(pairs))] {
		drawn = append(drawn, all[2*pair+in.random.IntN(2)])
	}
	return drawn
}

// shed makes one upstream in five refuse a third of its requests.
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
		chosen = in.some(in.busy(), 5)
		for _, u := range chosen {
			u.SetShedding(share)
		}
	})
	in.noteEffect("shed", "shed")
}

// drain lets one upstream after the other drain, go and come back.
func (in *injector) drain(ctx context.Context) {
	const period, lasts = 2 * time.Second, 5 * time.Second
	var all sync.WaitGroup
	n := 0
	every(ctx, period, func() {
		u := in.busy()[(n*7)%len(in.busy())]
		n++
		all.Go(func() {
			u.Drain()
			in.announce(u, true)
			time.Sleep(lasts)
			u.Crash()
			if err := u.Start(); err != nil {
				in.fleet.log.Errorf("demo: upstream %s did not come back: %v.", u.ID(), err)
			}
			in.announce(u, false)
		})
	})
	all.Wait()
	if n > 0 {
		in.apply("drain")
	}
}

func (in *injector) announce(u *fakes.Upstream, leaving bool) {
	in.fleet.platform.SetVM(store.VM{Name: u.ID(), Addr: u.Addr(), Role: store.RoleUpstream, Leaving: leaving, Started: u.Started()})
}

// replicaLoss takes one replica of a few shards away for a while.
func (in *injector) replicaLoss(ctx context.Context) {
	const period, lasts = 4 * time.Second, 6 * time.Second
	var all sync.WaitGroup
	n := 0
	every(ctx, period, func() {
		// Every fourth upstream is far enough from the next that no shard
		// loses both replicas.
		u := in.busy()[(n*4)%len(in.busy())]
		n++
		all.Go(func() {
			u.Crash()
			time.Sleep(lasts)
			if err := u.Start(); err != nil {
				in.fleet.log.Errorf("demo: upstream %s did not come back: %v.", u.ID(), err)
			}
		})
	})
	all.Wait()
	if n > 0 {
		in.apply("replica-loss")
	}
}

// reindex publishes new index versions, now and then with another number of
// shards, and withdraws the old ones soon after.
func (in *injector) reindex(ctx context.Context) {
	const period = 2 * time.Second
	n := 0
	every(ctx, period, func() {
		n++
		in.fleet.reindex(in.check, n%2 == 1)
	})
	in.noteEffect("reindex", "reindex")
}

// crossed spoils replies: those of others, cut short, duplicated or late.
func (in *injector) crossed(ctx context.Context) {
	const share = 0.01
	for _, u := range in.fleet.upstreams {
		u.SetInvalidReplies(share)
	}
	<-ctx.Done()
	for _, u := range in.fleet.upstreams {
		u.SetInvalidReplies(0)
	}
	in.noteEffect("crossed", "crossed")
}

// healthLies makes every health endpoint report a drain that is not so.
func (in *injector) healthLies(ctx context.Context) {
	for _, u := range in.fleet.upstreams {
		u.SetFalseDrain(true)
	}
	<-ctx.Done()
	for _, u := range in.fleet.upstreams {
		u.SetFalseDrain(false)
	}
	in.apply("health-lies")
}

// poison sends requests that crash the upstreams that run them, again and
// again through any node, three at once.
func (in *injector) poison(ctx context.Context) {
	const at, resends, period = 3, 8, 5 * time.Second
	s := in.fleet.deployment.mix[0]
	round := 0
	var all sync.WaitGroup
	every(ctx, period, func() {
		round++
		for i := range at {
			all.Go(func() { in.sendPoison(ctx, s, round*at+i, resends) })
		}
	})
	all.Wait()
	in.noteEffect("poison", "poison")
}

func (in *injector) sendPoison(ctx context.Context, s share, number, resends int) {
	const pause = 300 * time.Millisecond
	for try := range resends {
		c := call{
			trace:    fmt.Sprintf("x-%d-%d", number, try),
			priority: s.priority, template: s.template, workspace: s.workspaces[0],
			query: fmt.Sprintf("%s%d", fakes.PoisonPrefix, number), due: time.Now(),
		}
		in.callers.post(in.callers.pick(uint64(number*31+try*7)), "searches", c, nil)
		if !wait(ctx, pause) {
			return
		}
	}
}

// reviveCrashed brings back upstreams that a request has crashed.
func (f *fleet) reviveCrashed(ctx context.Context, lasts time.Duration) {
	downSince := make(map[string]time.Time)
	for wait(ctx, 200*time.Millisecond) {
		for id, u := range f.upstreams {
			since, known := downSince[id]
			switch {
			case u.Up():
				delete(downSince, id)
			case !known:
				downSince[id] = time.Now()
			case time.Since(since) > lasts:
				_ = u.Start()
			}
		}
	}
}

// flood sends ten times the capacity in one priority.
func (in *injector) flood(ctx context.Context, p prio.Priority) {
	const times = 10
	in.callers.setRate(p, times*in.fleet.deployment.capacity())
	in.apply("flood-" + p.String())
	<-ctx.Done()
}

// storeOutage stops the platform's store for most of the run.
func (in *injector) storeOutage(ctx context.Context) {
	in.fleet.platform.SetDown(true)
	<-ctx.Done()
	in.fleet.platform.SetDown(false)
	if denied, _, _ := in.fleet.platform.Faults(); denied > 0 {
		in.apply("store-outage")
	}
}

// storeSlow makes every call to the store slow.
func (in *injector) storeSlow(ctx context.Context) {
	const delay = 700 * time.Millisecond
	in.fleet.platform.SetDelay(delay)
	<-ctx.Done()
	in.fleet.platform.SetDelay(0)
	if _, slowed, _ := in.fleet.platform.Faults(); slowed > 0 {
		in.apply("store-slow")
	}
}

// lostReply makes writes take effect without an answer.
func (in *injector) lostReply(ctx context.Context) {
	const share = 0.3
	in.fleet.platform.SetLostReplies(share)
	<-ctx.Done()
	in.fleet.platform.SetLostReplies(0)
	if _, _, lost := in.fleet.platform.Faults(); lost > 0 {
		in.apply("lost-reply")
	}
}
