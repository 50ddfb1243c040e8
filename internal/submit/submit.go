// Package submit runs non-idempotent requests at most once. A Keeper owns slots of
// the key space by lease, remembers what became of their keys, hands them over
// when it leaves, and alone runs the keys that its process issued. Which slots,
// and until when, is decided by pkg/lease; what a key's second send gets, by
// pkg/dedup.
//
//	k := submit.New(ctx, self, leases, node, store)
//	err := k.Run(ctx)
//	reply := k.Submit(ctx, submit)
package submit

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/roster"
	"geraniumstep.org/geraniumstep/internal/setup"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/dedup"
	"geraniumstep.org/geraniumstep/pkg/lease"
	"geraniumstep.org/geraniumstep/pkg/store"
)

// Self identifies the process.
type Self struct {
	VM string
	// Started is when it began, in milliseconds since 1970.
	Started int64
}

// Job is a request in the hands of its key's owner.
type Job interface {
	// Execute sends the request, but not after the fence if there is one.
	Execute(fence time.Time) dedup.Outcome
}

// Node is what a Keeper needs of its process.
type Node interface {
	// View is the present picture of the members.
	View() *roster.View
	// Call calls a method of the node at the address, TellAll one of all
	// live members without waiting for them.
	Call(ctx context.Context, addr, method string, args, reply any) error
	CallAll(ctx context.Context, method string, args any)
	// Go runs f in a goroutine that the process waits for.
	Go(f func())
	// Ready tells whether the process takes callers.
	Ready() bool
	// NewJob checks a request against the configuration in force here.
	NewJob(args *peer.Submit, key dedup.Key) (Job, *wire.Problem)
}

// Executor keeps one process's share of the keys. It is safe for concurrent use.
type Executor struct {
	self   Self
	leases setup.Leases
	node   Node
	store  store.Store
	work   context.Context

	mu        sync.Mutex
	keeper    *lease.Holder
	tables    map[int]*dedup.Table
	issued    *dedup.Table
	sealed    bool
	inherited map[issuer]*dedup.Table
	heirs     map[issuer]heir
}

// issuer is a process that issued keys.
type issuer struct {
	vm      string
	started int64
}

// heir is the VM that holds what became of an issuer's keys.
type heir struct {
	vm    string
	known time.Time
}

// New returns a Keeper that owns nothing yet. Its calls to the store end with work.
func New(work context.Context, self Self, l setup.Leases, node Node, st store.Store) *Executor {
	k := &Executor{
		self: self, leases: l, node: node, store: st, work: work,
		keeper:    lease.New(ownerName(self.VM, self.Started), lease.WithTTL(l.TTL), lease.WithMargin(l.Margin), lease.WithSlots(l.Slots)),
		tables:    make(map[int]*dedup.Table),
		inherited: make(map[issuer]*dedup.Table),
		heirs:     make(map[issuer]heir),
	}
	k.issued = k.newTable()
	return k
}

func (k *Executor) newTable() *dedup.Table {
	return dedup.NewTable(dedup.WithWindow(k.leases.Window), dedup.WithMargin(k.leases.Margin))
}

// ownerName names one process as the owner of slots.
func ownerName(vm string, started int64) string {
	return vm + "/" + strconv.FormatInt(started, 36)
}

// Issue makes a key that only this process runs.
func (k *Executor) Issue() (dedup.Key, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sealed {
		return dedup.Key{}, false
	}
	key, err := dedup.Issue(k.self.VM, k.self.Started)
	return key, err == nil
}

// Submit runs a request if this process owns its key, and waits for its end.
func (k *Executor) Submit(ctx context.Context, args *peer.Submit) peer.SubmitReply {
	key, err := dedup.ParseKey(args.Key)
	if err != nil {
		return peer.SubmitReply{Verdict: peer.VerdictInvalid, Reason: err.Error()}
	}
	j, p := k.node.NewJob(args, key)
	if p != nil {
		return peer.SubmitReply{Verdict: peer.VerdictNotOwner, Reason: p.Detail}
	}
	k.mu.Lock()
	table, since, fence, mayRun, owned := k.place(key)
	if !owned {
		k.mu.Unlock()
		return peer.SubmitReply{Verdict: peer.VerdictNotOwner}
	}
	decision := table.Begin(key, since, mayRun, args.First)
	k.mu.Unlock()
	switch d := decision.(type) {
	case dedup.Run:
		return ended(k.run(ctx, j, key, table, fence))
	case dedup.Wait:
		return ended(k.wait(ctx, table, key, d.Done))
	case dedup.Replay:
		return ended(d.Outcome)
	case dedup.Refuse:
		return peer.SubmitReply{Outcome: dedup.Outcome{Status: d.Status}, Reason: d.Reason}
	}
	return peer.SubmitReply{Verdict: peer.VerdictNotOwner}
}

func ended(o dedup.Outcome) peer.SubmitReply { return peer.SubmitReply{Outcome: o} }

// place finds the table of a key. A table that was inherited is complete, and
// nothing new runs from it.
func (k *Executor) place(key dedup.Key) (table *dedup.Table, since, fence time.Time, mayRun, owned bool) {
	vm, started := key.Issuer()
	switch {
	case vm == k.self.VM && started == k.self.Started:
		return k.issued, time.Time{}, time.Time{}, !k.sealed, true
	case vm != "":
		table, owned = k.inherited[issuer{vm, started}]
		return table, time.Time{}, time.Time{}, false, owned
	}
	slot := key.Slot(k.leases.Slots)
	since, owned = k.keeper.Since(slot)
	fence, mayRun = k.keeper.Fence(slot)
	if !owned || k.tables[slot] == nil {
		return nil, since, fence, false, false
	}
	return k.tables[slot], since, fence, mayRun, true
}

// run executes the request and records its outcome. The caller may go away;
// the request goes on to its deadline.
func (k *Executor) run(ctx context.Context, j Job, key dedup.Key, table *dedup.Table, fence time.Time) dedup.Outcome {
	ended := make(chan dedup.Outcome, 1)
	k.node.Go(func() {
		outcome := j.Execute(fence)
		k.mu.Lock()
		table.End(key, outcome)
		k.mu.Unlock()
		ended <- outcome
	})
	select {
	case o := <-ended:
		return o
	case <-ctx.Done():
		return dedup.Outcome{Status: dedup.Unknown}
	}
}

// wait waits for the end of a request that another send of the key began.
func (k *Executor) wait(ctx context.Context, table *dedup.Table, key dedup.Key, done <-chan struct{}) dedup.Outcome {
	select {
	case <-done:
	case <-ctx.Done():
		return dedup.Outcome{Status: dedup.Unknown}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := table.Outcome(key); ok {
		return o
	}
	return dedup.Outcome{Status: dedup.NotRun}
}

// KeyCount counts the keys that this node remembers.
func (k *Executor) KeyCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := k.issued.Len()
	for _, t := range k.tables {
		n += t.Len()
	}
	for _, t := range k.inherited {
		n += t.Len()
	}
	return n
}

// SlotsOwned counts the slots that this node owns.
func (k *Executor) SlotsOwned() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.keeper.Owned())
}

// Owner finds the member that owns a key, as far as this node knows.
func (k *Executor) Owner(key dedup.Key) (vm, addr string, ok bool) {
	v := k.node.View()
	if vm, started := key.Issuer(); vm != "" {
		return k.issuerOf(v, vm, started)
	}
	names := make(map[string]string)
	var live []string
	for _, r := range v.Live() {
		if r.Ready {
			name := ownerName(r.VM, r.Started)
			names[name] = r.VM
			live = append(live, name)
		}
	}
	vm = names[lease.PreferredOwner(key.Slot(k.leases.Slots), live)]
	return vm, addrOf(v, vm), vm != ""
}

// issuerOf finds the process that issued a key, or its heir.
func (k *Executor) issuerOf(v *roster.View, vm string, started int64) (string, string, bool) {
	if vm == k.self.VM && started == k.self.Started {
		return vm, "", true
	}
	k.mu.Lock()
	next, inherited := k.heirs[issuer{vm, started}]
	_, here := k.inherited[issuer{vm, started}]
	k.mu.Unlock()
	switch {
	case here:
		return k.self.VM, "", true
	case inherited:
		r, ok := v.Member(next.vm)
		return next.vm, r.Addr, ok
	}
	r, ok := v.Member(vm)
	return vm, r.Addr, ok && r.Started == started
}

// Inherit takes over the outcomes of keys that another process issued.
func (k *Executor) Inherit(args *peer.Inherit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	table := k.newTable()
	table.Import(args.Items)
	k.inherited[issuer{args.VM, args.Started}] = table
}

// RecordSuccessors notes who holds the outcomes of processes that have left.
func (k *Executor) RecordSuccessors(list []peer.Successor) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range list {
		k.heirs[issuer{e.VM, e.Started}] = heir{vm: e.Holder, known: time.Now()}
	}
	for who, e := range k.heirs {
		if time.Since(e.known) > 2*k.leases.Window {
			delete(k.heirs, who)
			delete(k.inherited, who)
		}
	}
}

// Successors lists the processes that have left and who holds what became of their keys.
func (k *Executor) Successors() []peer.Successor {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []peer.Successor
	for who, e := range k.heirs {
		list = append(list, peer.Successor{VM: who.vm, Started: who.started, Holder: e.vm})
	}
	return list
}

// HandOverOutcomes seals the keys that this process issued, waits for those that run,
// and gives their outcomes to the heir, with those that it inherited itself.
func (k *Executor) HandOverOutcomes(ctx context.Context, vm, addr string) error {
	k.mu.Lock()
	k.sealed = true
	k.mu.Unlock()
	if !k.await(ctx, k.issued) {
		return fmt.Errorf("requests with issued keys were still running")
	}
	k.mu.Lock()
	parts := map[issuer][]dedup.Item{{k.self.VM, k.self.Started}: k.issued.Export()}
	for who, table := range k.inherited {
		parts[who] = table.Export()
	}
	k.mu.Unlock()
	var heirs []peer.Successor
	for who, items := range parts {
		args := &peer.Inherit{VM: who.vm, Started: who.started, Items: items}
		if err := k.node.Call(ctx, addr, peer.MethodInherit, args, &peer.None{}); err != nil {
			return err
		}
		heirs = append(heirs, peer.Successor{VM: who.vm, Started: who.started, Holder: vm})
	}
	k.RecordSuccessors(heirs)
	k.node.CallAll(ctx, peer.MethodNotice, &peer.Notices{Successors: heirs})
	return nil
}

// idlePoll is how often a table is looked at until none of its requests runs.
const idlePoll = 5 * time.Millisecond

// await waits until none of a table's requests runs.
func (k *Executor) await(ctx context.Context, table *dedup.Table) bool {
	for {
		k.mu.Lock()
		idle := table.Idle()
		k.mu.Unlock()
		if idle {
			return true
		}
		if !tasks.Sleep(ctx, idlePoll) {
			return false
		}
	}
}

func addrOf(v *roster.View, vm string) string {
	r, _ := v.Member(vm)
	return r.Addr
}
