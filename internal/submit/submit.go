// Package submit runs non-idempotent requests at most once. An Executor runs the
// requests whose keys its process has issued or whose slots of the key space it owns
// by lease, records their outcomes, and hands them over when the process leaves.
// Package lease decides which slots the process owns and until when, and package
// dedup what a repeated send of a key returns.
//
//	e := submit.New(ctx, self, leases, node, store)
//	go e.Run(ctx) // acquires slots, renews the lease and hands over slots
//	reply := e.Submit(ctx, args)
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
	// Started is when the process started, in milliseconds since 1970.
	Started int64
}

// Job is a checked request at the owner of its key.
type Job interface {
	// Execute sends the request and returns its outcome. Unless the fence is
	// zero, the request does not begin after it.
	Execute(fence time.Time) dedup.Outcome
}

// Node is the process as an Executor uses it.
type Node interface {
	// View returns the current view of the members.
	View() *roster.View
	// Call calls a method of the node at the address. CallAll calls a method
	// of all live members and does not wait for their replies.
	Call(ctx context.Context, addr, method string, args, reply any) error
	CallAll(ctx context.Context, method string, args any)
	// Go runs f in a goroutine that the process waits for before it exits.
	Go(f func())
	// Ready reports whether the process accepts requests from callers.
	Ready() bool
	// NewJob checks a request against the configuration in effect on this node.
	NewJob(args *peer.Submit, key dedup.Key) (Job, *wire.Problem)
}

// Executor runs the requests whose keys one process owns. It is safe for concurrent
// use.
type Executor struct {
	self   Self
	leases setup.Leases
	node   Node
	store  store.Store
	// work is the context of the actions that the lease holder requests.
	work context.Context

	mu     sync.Mutex
	holder *lease.Holder
	// tables holds the table of each slot that this process owns or is taking
	// over.
	tables map[int]*dedup.Table
	// issued is the table of the keys that this process issued. When sealed is
	// set, no further key is issued and no new request with an issued key runs.
	issued *dedup.Table
	sealed bool
	// inherited holds the tables of processes that have left, and successors
	// records which VM holds each of them.
	inherited  map[issuer]*dedup.Table
	successors map[issuer]successor
}

type issuer struct {
	vm      string
	started int64
}

// successor is the VM that holds the outcomes of an issuer's keys.
type successor struct {
	vm         string
	recordedAt time.Time
}

// New returns an Executor that owns no slots yet. Its calls to the store end with work.
func New(work context.Context, self Self, l setup.Leases, node Node, st store.Store) *Executor {
	e := &Executor{
		self: self, leases: l, node: node, store: st, work: work,
		holder:     lease.New(ownerName(self.VM, self.Started), lease.WithTTL(l.TTL), lease.WithMargin(l.Margin), lease.WithSlots(l.Slots)),
		tables:     make(map[int]*dedup.Table),
		inherited:  make(map[issuer]*dedup.Table),
		successors: make(map[issuer]successor),
	}
	e.issued = e.newTable()
	return e
}

func (e *Executor) newTable() *dedup.Table {
	return dedup.NewTable(dedup.WithWindow(e.leases.Window), dedup.WithMargin(e.leases.Margin))
}

// ownerName returns the name under which a process owns slots.
func ownerName(vm string, started int64) string {
	return vm + "/" + strconv.FormatInt(started, 36)
}

// Issue returns a new key that only this process runs. It reports false once the
// outcomes of issued keys are being handed over.
func (e *Executor) Issue() (dedup.Key, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sealed {
		return dedup.Key{}, false
	}
	key, err := dedup.Issue(e.self.VM, e.self.Started)
	return key, err == nil
}

// Submit runs a request if this process owns its key, and waits for its outcome.
func (e *Executor) Submit(ctx context.Context, args *peer.Submit) peer.SubmitReply {
	key, err := dedup.ParseKey(args.Key)
	if err != nil {
		return peer.SubmitReply{Verdict: peer.VerdictInvalid, Reason: err.Error()}
	}
	job, p := e.node.NewJob(args, key)
	if p != nil {
		return peer.SubmitReply{Verdict: peer.VerdictNotOwner, Reason: p.Detail}
	}
	e.mu.Lock()
	table, since, fence, mayRun, owned := e.tableOf(key)
	if !owned {
		e.mu.Unlock()
		return peer.SubmitReply{Verdict: peer.VerdictNotOwner}
	}
	decision := table.Begin(key, since, mayRun, args.First)
	e.mu.Unlock()
	switch d := decision.(type) {
	case dedup.Run:
		return endedReply(e.run(ctx, job, key, table, fence))
	case dedup.Wait:
		return endedReply(e.wait(ctx, table, key, d.Done))
	case dedup.Replay:
		return endedReply(d.Outcome)
	case dedup.Refuse:
		return peer.SubmitReply{Outcome: dedup.Outcome{Status: d.Status}, Reason: d.Reason}
	}
	return peer.SubmitReply{Verdict: peer.VerdictNotOwner}
}

func endedReply(o dedup.Outcome) peer.SubmitReply { return peer.SubmitReply{Outcome: o} }

// tableOf returns the table of a key and the time since which it has a record of
// every request. mayRun reports whether a new request of the key may run, and fence
// is the time after which it must not begin, zero if there is none. An inherited
// table is complete, and no new request runs from it. The caller must hold mu.
func (e *Executor) tableOf(key dedup.Key) (table *dedup.Table, since, fence time.Time, mayRun, owned bool) {
	vm, started := key.Issuer()
	switch {
	case vm == e.self.VM && started == e.self.Started:
		return e.issued, time.Time{}, time.Time{}, !e.sealed, true
	case vm != "":
		table, owned = e.inherited[issuer{vm, started}]
		return table, time.Time{}, time.Time{}, false, owned
	}
	slot := key.Slot(e.leases.Slots)
	since, owned = e.holder.Since(slot)
	fence, mayRun = e.holder.Fence(slot)
	if !owned || e.tables[slot] == nil {
		return nil, since, fence, false, false
	}
	return e.tables[slot], since, fence, mayRun, true
}

// run executes the request and records its outcome. If ctx ends first, run returns
// Unknown and the request continues until its deadline.
func (e *Executor) run(ctx context.Context, job Job, key dedup.Key, table *dedup.Table, fence time.Time) dedup.Outcome {
	finished := make(chan dedup.Outcome, 1)
	e.node.Go(func() {
		outcome := job.Execute(fence)
		e.mu.Lock()
		table.End(key, outcome)
		e.mu.Unlock()
		finished <- outcome
	})
	select {
	case o := <-finished:
		return o
	case <-ctx.Done():
		return dedup.Outcome{Status: dedup.Unknown}
	}
}

// wait waits for the end of a request that another send of the key started.
func (e *Executor) wait(ctx context.Context, table *dedup.Table, key dedup.Key, done <-chan struct{}) dedup.Outcome {
	select {
	case <-done:
	case <-ctx.Done():
		return dedup.Outcome{Status: dedup.Unknown}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o, ok := table.Outcome(key); ok {
		return o
	}
	return dedup.Outcome{Status: dedup.NotRun}
}

// KeyCount returns the number of keys of which this node has a record.
func (e *Executor) KeyCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.issued.Len()
	for _, t := range e.tables {
		n += t.Len()
	}
	for _, t := range e.inherited {
		n += t.Len()
	}
	return n
}

// SlotsOwned returns the number of slots that this node owns.
func (e *Executor) SlotsOwned() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.holder.Owned())
}

// Owner returns the member that owns a key according to this node's view. It reports
// false if there is none.
func (e *Executor) Owner(key dedup.Key) (vm, addr string, ok bool) {
	v := e.node.View()
	if vm, started := key.Issuer(); vm != "" {
		return e.issuerOrSuccessor(v, vm, started)
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
	vm = names[lease.PreferredOwner(key.Slot(e.leases.Slots), live)]
	return vm, addrOf(v, vm), vm != ""
}

// issuerOrSuccessor returns the member whose process issued a key, or its successor.
func (e *Executor) issuerOrSuccessor(v *roster.View, vm string, started int64) (string, string, bool) {
	if vm == e.self.VM && started == e.self.Started {
		return vm, "", true
	}
	e.mu.Lock()
	next, departed := e.successors[issuer{vm, started}]
	_, inherited := e.inherited[issuer{vm, started}]
	e.mu.Unlock()
	switch {
	case inherited:
		return e.self.VM, "", true
	case departed:
		r, ok := v.Member(next.vm)
		return next.vm, r.Addr, ok
	}
	r, ok := v.Member(vm)
	return vm, r.Addr, ok && r.Started == started
}

// Inherit stores the outcomes of keys that another process issued.
func (e *Executor) Inherit(args *peer.Inherit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	table := e.newTable()
	table.Import(args.Items)
	e.inherited[issuer{args.VM, args.Started}] = table
}

// RecordSuccessors records which VMs hold the outcomes of processes that have left.
// Records that have not been received again for two key windows are deleted, as their
// keys have expired.
func (e *Executor) RecordSuccessors(list []peer.Successor) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range list {
		e.successors[issuer{s.VM, s.Started}] = successor{vm: s.Holder, recordedAt: time.Now()}
	}
	for id, s := range e.successors {
		if time.Since(s.recordedAt) > 2*e.leases.Window {
			delete(e.successors, id)
			delete(e.inherited, id)
		}
	}
}

// Successors lists the processes that have left and the VMs that hold the outcomes of
// their keys.
func (e *Executor) Successors() []peer.Successor {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []peer.Successor
	for id, s := range e.successors {
		list = append(list, peer.Successor{VM: id.vm, Started: id.started, Holder: s.vm})
	}
	return list
}

// HandOverOutcomes seals the keys that this process issued, waits for their running
// requests, and sends their outcomes and all inherited outcomes to the successor,
// which is the VM at the address.
func (e *Executor) HandOverOutcomes(ctx context.Context, vm, addr string) error {
	e.mu.Lock()
	e.sealed = true
	e.mu.Unlock()
	if !e.waitIdle(ctx, e.issued) {
		return fmt.Errorf("requests with issued keys were still running")
	}
	e.mu.Lock()
	parts := map[issuer][]dedup.Item{{e.self.VM, e.self.Started}: e.issued.Export()}
	for id, table := range e.inherited {
		parts[id] = table.Export()
	}
	e.mu.Unlock()
	var successors []peer.Successor
	for id, items := range parts {
		args := &peer.Inherit{VM: id.vm, Started: id.started, Items: items}
		if err := e.node.Call(ctx, addr, peer.MethodInherit, args, &peer.None{}); err != nil {
			return err
		}
		successors = append(successors, peer.Successor{VM: id.vm, Started: id.started, Holder: vm})
	}
	e.RecordSuccessors(successors)
	e.node.CallAll(ctx, peer.MethodNotice, &peer.Notices{Successors: successors})
	return nil
}

const pollInterval = 5 * time.Millisecond

// waitIdle waits until none of a table's requests is running. It reports false if ctx
// ends first.
func (e *Executor) waitIdle(ctx context.Context, table *dedup.Table) bool {
	for {
		e.mu.Lock()
		idle := table.Idle()
		e.mu.Unlock()
		if idle {
			return true
		}
		if !tasks.Sleep(ctx, pollInterval) {
			return false
		}
	}
}

func addrOf(v *roster.View, vm string) string {
	r, _ := v.Member(vm)
	return r.Addr
}
