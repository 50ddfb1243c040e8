package submit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/lease"
	"geraniumstep.org/geraniumstep/pkg/store"
)

const (
	tickInterval = 100 * time.Millisecond
	// takeOverTimeout bounds how long TakeOver waits until this node has recorded
	// its ownership in the store.
	takeOverTimeout = 1500 * time.Millisecond
	// actionTimeout bounds each action that the lease holder requests.
	actionTimeout = 5 * time.Second
)

func leaseKey(owner string) string { return "lease/" + owner }

func slotKey(n int) string { return fmt.Sprintf("slot/%05d", n) }

// Run acquires slots, renews the lease and hands over slots until the context ends.
func (e *Executor) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.step(lease.Tick{Live: e.liveOwners()})
		}
	}
}

// liveOwners lists the names of the live processes that may own slots, which excludes
// those that are not ready or are leaving.
func (e *Executor) liveOwners() []string {
	var names []string
	for _, r := range e.node.View().Live() {
		if r.Ready && (r.VM != e.self.VM || e.node.Ready()) {
			names = append(names, ownerName(r.VM, r.Started))
		}
	}
	return names
}

// step applies one event to the lease holder and starts the resulting actions.
func (e *Executor) step(ev lease.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.holder.Step(ev) {
		switch a := a.(type) {
		case lease.Acquired:
			if e.tables[a.Slot] == nil {
				e.tables[a.Slot] = e.newTable()
			}
		case lease.Dropped:
			delete(e.tables, a.Slot)
		default:
			e.node.Go(func() { e.perform(a) })
		}
	}
}

// perform carries out one action and applies its result to the lease holder.
func (e *Executor) perform(a lease.Action) {
	ctx, cancel := context.WithTimeout(e.work, actionTimeout)
	defer cancel()
	switch a := a.(type) {
	case lease.WriteLease:
		version, err := e.put(ctx, leaseKey(a.Record.Owner), a.Record, a.Version)
		e.step(lease.Written{Expires: a.Record.Expires, Version: version, Err: err})
	case lease.RevokeLease:
		_, err := e.put(ctx, leaseKey(a.Owner), lease.Record{Owner: a.Owner, Revoked: true}, a.Version)
		e.step(lease.Revoked{Owner: a.Owner, Err: err})
	case lease.WriteSlot:
		version, err := e.put(ctx, slotKey(a.Slot), a.Record, a.Version)
		e.step(lease.SlotWritten{Slot: a.Slot, Owner: a.Record.Owner, Since: a.Record.Since, Version: version, Err: err})
	case lease.ReadLease:
		ev := lease.Read{Owner: a.Owner}
		ev.Version, ev.Found, ev.Err = e.get(ctx, leaseKey(a.Owner), &ev.Record)
		e.step(ev)
	case lease.ReadSlot:
		ev := lease.SlotRead{Slot: a.Slot}
		ev.Version, ev.Found, ev.Err = e.get(ctx, slotKey(a.Slot), &ev.Record)
		e.step(ev)
	case lease.HandOver:
		err := e.handOver(ctx, a)
		e.step(lease.HandedOver{Slot: a.Slot, Err: err})
	}
}

func (e *Executor) put(ctx context.Context, key string, record any, version uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	return e.store.Put(ctx, key, value, version)
}

func (e *Executor) get(ctx context.Context, key string, record any) (version uint64, found bool, err error) {
	o, err := e.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	return o.Version, true, json.Unmarshal(o.Value, record)
}

// handOver waits for the slot's running requests and sends its table to the new
// owner.
func (e *Executor) handOver(ctx context.Context, a lease.HandOver) error {
	e.mu.Lock()
	table := e.tables[a.Slot]
	e.mu.Unlock()
	if table == nil || !e.waitIdle(ctx, table) {
		return fmt.Errorf("slot %d has no table, or its requests are still running", a.Slot)
	}
	e.mu.Lock()
	items := table.Export()
	e.mu.Unlock()
	for _, r := range e.node.View().Live() {
		if ownerName(r.VM, r.Started) != a.To {
			continue
		}
		args := &peer.TakeOver{Slot: a.Slot, Since: a.Since, Version: a.Version, Items: items}
		return e.node.Call(ctx, r.Addr, peer.MethodTakeOver, args, &peer.None{})
	}
	return fmt.Errorf("new owner %s of slot %d is not a live member", a.To, a.Slot)
}

// TakeOver takes over a slot and its table from its owner. It returns nil when this
// node has recorded its ownership in the store, or an error if it has not done so
// within takeOverTimeout.
func (e *Executor) TakeOver(args *peer.TakeOver) error {
	e.mu.Lock()
	if e.tables[args.Slot] == nil {
		e.tables[args.Slot] = e.newTable()
	}
	e.tables[args.Slot].Import(args.Items)
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), takeOverTimeout)
	defer cancel()
	e.step(lease.Received{Slot: args.Slot, Since: args.Since, Version: args.Version})
	for {
		e.mu.Lock()
		_, owned := e.holder.Since(args.Slot)
		e.mu.Unlock()
		if owned {
			return nil
		}
		if !tasks.Sleep(ctx, pollInterval) {
			return fmt.Errorf("slot %d is not entered yet", args.Slot)
		}
	}
}

// Leave hands over all slots and waits until none is left or the context ends.
func (e *Executor) Leave(ctx context.Context) {
	e.step(lease.Leave{})
	for {
		e.mu.Lock()
		released := e.holder.Released()
		e.mu.Unlock()
		if released || !tasks.Sleep(ctx, pollInterval) {
			return
		}
	}
}
