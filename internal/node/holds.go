package node

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/internal/inner"
	"geraniumstep.org/geraniumstep/pkg/dedup"
	"geraniumstep.org/geraniumstep/pkg/lease"
)

// holds runs non-idempotent requests at most once. It owns slots of the key
// space by lease, and alone runs the keys that this process issued.
type holds struct {
	node *Node

	mu        sync.Mutex
	keeper    *lease.Keeper
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

func newHolds(n *Node) *holds {
	l := n.set.Leases
	return &holds{
		node:      n,
		keeper:    lease.New(ownerName(n.set.VM, n.Started()), lease.WithTTL(l.TTL), lease.WithMargin(l.Margin), lease.WithSlots(l.Slots)),
		tables:    make(map[int]*dedup.Table),
		issued:    newTable(n),
		inherited: make(map[issuer]*dedup.Table),
		heirs:     make(map[issuer]heir),
	}
}

func newTable(n *Node) *dedup.Table {
	return dedup.NewTable(dedup.WithWindow(n.set.Leases.Window), dedup.WithMargin(n.set.Leases.Margin))
}

// ownerName names one process as the owner of slots.
func ownerName(vm string, started int64) string {
	return vm + "/" + strconv.FormatInt(started, 36)
}

// issue makes a key that only this process runs.
func (h *holds) issue() (dedup.Key, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sealed {
		return dedup.Key{}, false
	}
	k, err := dedup.Issue(h.node.set.VM, h.node.Started())
	return k, err == nil
}

// submit runs a request if this process owns its key, and waits for its end.
func (h *holds) submit(ctx context.Context, args *inner.Submit) inner.SubmitReply {
	key, err := dedup.ParseKey(args.Key)
	if err != nil {
		return inner.SubmitReply{Verdict: inner.VerdictInvalid, Why: err.Error()}
	}
	j, p := h.node.newJob(args, key)
	if p != nil {
		return inner.SubmitReply{Verdict: inner.VerdictNotOwner, Why: p.Detail}
	}
	h.mu.Lock()
	table, since, fence, mayRun, owned := h.place(key)
	if !owned {
		h.mu.Unlock()
		return inner.SubmitReply{Verdict: inner.VerdictNotOwner}
	}
	decision := table.Begin(key, since, mayRun, args.First)
	h.mu.Unlock()
	switch d := decision.(type) {
	case dedup.Run:
		return ended(h.run(ctx, j, table, fence))
	case dedup.Wait:
		return ended(h.wait(ctx, table, key, d.Done))
	case dedup.Replay:
		return ended(d.Outcome)
	case dedup.Refuse:
		return inner.SubmitReply{Outcome: dedup.Outcome{Status: d.Status}, Why: d.Why}
	}
	return inner.SubmitReply{Verdict: inner.VerdictNotOwner}
}

func ended(o dedup.Outcome) inner.SubmitReply { return inner.SubmitReply{Outcome: o} }

// place finds the table of a key. A table that was inherited is complete, and
// nothing new runs from it.
func (h *holds) place(key dedup.Key) (table *dedup.Table, since, fence time.Time, mayRun, owned bool) {
	vm, started := key.Issuer()
	switch {
	case vm == h.node.set.VM && started == h.node.Started():
		return h.issued, time.Time{}, time.Time{}, !h.sealed, true
	case vm != "":
		table, owned = h.inherited[issuer{vm, started}]
		return table, time.Time{}, time.Time{}, false, owned
	}
	slot := key.Slot(h.node.set.Leases.Slots)
	since, owned = h.keeper.Since(slot)
	fence, mayRun = h.keeper.Fence(slot)
	if !owned || h.tables[slot] == nil {
		return nil, since, fence, false, false
	}
	return h.tables[slot], since, fence, mayRun, true
}

// run executes the request and records its outcome. The caller may go away;
// the request goes on to its deadline.
func (h *holds) run(ctx context.Context, j *job, table *dedup.Table, fence time.Time) dedup.Outcome {
	ended := make(chan dedup.Outcome, 1)
	h.node.goServe(func() {
		outcome := j.execute(fence)
		h.mu.Lock()
		table.End(j.key, outcome)
		h.mu.Unlock()
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
func (h *holds) wait(ctx context.Context, table *dedup.Table, key dedup.Key, done <-chan struct{}) dedup.Outcome {
	select {
	case <-done:
	case <-ctx.Done():
		return dedup.Outcome{Status: dedup.Unknown}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if o, ok := table.Outcome(key); ok {
		return o
	}
	return dedup.Outcome{Status: dedup.NotRun}
}

// remembered counts the keys that this node remembers.
func (h *holds) remembered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.issued.Len()
	for _, t := range h.tables {
		n += t.Len()
	}
	for _, t := range h.inherited {
		n += t.Len()
	}
	return n
}

// slotsOwned counts the slots that this node owns.
func (h *holds) slotsOwned() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.keeper.Owned())
}

// owner finds the member that owns a key, as far as this node knows.
func (h *holds) owner(key dedup.Key) (vm, addr string, ok bool) {
	v := h.node.view.Load()
	if vm, started := key.Issuer(); vm != "" {
		return h.issuerOf(v, vm, started)
	}
	names := make(map[string]string)
	var live []string
	for _, r := range v.live() {
		if r.Ready {
			name := ownerName(r.VM, r.Started)
			names[name] = r.VM
			live = append(live, name)
		}
	}
	vm = names[lease.Preferred(key.Slot(h.node.set.Leases.Slots), live)]
	return vm, v.members[vm].Addr, vm != ""
}

// issuerOf finds the process that issued a key, or its heir.
func (h *holds) issuerOf(v *view, vm string, started int64) (string, string, bool) {
	if vm == h.node.set.VM && started == h.node.Started() {
		return vm, "", true
	}
	h.mu.Lock()
	next, inherited := h.heirs[issuer{vm, started}]
	_, here := h.inherited[issuer{vm, started}]
	h.mu.Unlock()
	switch {
	case here:
		return h.node.set.VM, "", true
	case inherited:
		r, ok := v.members[next.vm]
		return next.vm, r.Addr, ok
	}
	r, ok := v.members[vm]
	return vm, r.Addr, ok && r.Started == started
}

// inherit takes over the outcomes of keys that another process issued.
func (h *holds) inherit(args *inner.Inherit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	table := newTable(h.node)
	table.Import(args.Items)
	h.inherited[issuer{args.VM, args.Started}] = table
}

// inheritances notes who holds the outcomes of processes that have left.
func (h *holds) inheritances(list []inner.Heir) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range list {
		h.heirs[issuer{e.VM, e.Started}] = heir{vm: e.Holder, known: time.Now()}
	}
	for who, e := range h.heirs {
		if time.Since(e.known) > 2*h.node.set.Leases.Window {
			delete(h.heirs, who)
			delete(h.inherited, who)
		}
	}
}

func (h *holds) heirList() []inner.Heir {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []inner.Heir
	for who, e := range h.heirs {
		list = append(list, inner.Heir{VM: who.vm, Started: who.started, Holder: e.vm})
	}
	return list
}

// bequeath seals the keys that this process issued, waits for those that run,
// and gives their outcomes to the heir, with those that it inherited itself.
func (h *holds) bequeath(ctx context.Context, vm, addr string) error {
	h.mu.Lock()
	h.sealed = true
	h.mu.Unlock()
	if !h.await(ctx, h.issued) {
		return fmt.Errorf("requests with issued keys were still running")
	}
	h.mu.Lock()
	parts := map[issuer][]dedup.Item{{h.node.set.VM, h.node.Started()}: h.issued.Export()}
	for who, table := range h.inherited {
		parts[who] = table.Export()
	}
	h.mu.Unlock()
	var heirs []inner.Heir
	for who, items := range parts {
		args := &inner.Inherit{VM: who.vm, Started: who.started, Items: items}
		if err := h.node.peers.Call(ctx, addr, inner.MethodInherit, args, &inner.None{}); err != nil {
			return err
		}
		heirs = append(heirs, inner.Heir{VM: who.vm, Started: who.started, Holder: vm})
	}
	h.inheritances(heirs)
	h.node.tellAll(ctx, inner.MethodNotice, &inner.Notices{Heirs: heirs})
	return nil
}

// idlePoll is how often a table is looked at until none of its requests runs.
const idlePoll = 5 * time.Millisecond

// await waits until none of a table's requests runs.
func (h *holds) await(ctx context.Context, table *dedup.Table) bool {
	for {
		h.mu.Lock()
		idle := table.Idle()
		h.mu.Unlock()
		if idle {
			return true
		}
		if !sleep(ctx, idlePoll) {
			return false
		}
	}
}
