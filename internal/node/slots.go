package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"geraniumstep.org/geraniumstep/internal/inner"
	"geraniumstep.org/geraniumstep/pkg/lease"
	"geraniumstep.org/geraniumstep/pkg/life"
	"geraniumstep.org/geraniumstep/pkg/store"
)

const (
	leaseTick       = 100 * time.Millisecond
	takeOverPatient = 1500 * time.Millisecond
	handOverTimeout = 5 * time.Second
)

func leaseKey(owner string) string { return "lease/" + owner }

func slotKey(n int) string { return fmt.Sprintf("slot/%05d", n) }

// keep lets time pass for the keeper until the context ends.
func (h *holds) keep(ctx context.Context) error {
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.step(lease.Tick{Live: h.liveOwners()})
		}
	}
}

// liveOwners lists the processes that take slots. A node that leaves is not
// one of them.
func (h *holds) liveOwners() []string {
	var names []string
	for _, r := range h.node.view.Load().live() {
		if r.Ready && (r.VM != h.node.set.VM || h.node.State() == life.NodeReady) {
			names = append(names, ownerName(r.VM, r.Started))
		}
	}
	return names
}

// step feeds one event to the keeper and starts what follows.
func (h *holds) step(ev lease.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.keeper.Step(ev) {
		switch a := a.(type) {
		case lease.Gained:
			if h.tables[a.Slot] == nil {
				h.tables[a.Slot] = newTable(h.node)
			}
		case lease.Dropped:
			delete(h.tables, a.Slot)
		default:
			h.node.goServe(func() { h.carryOut(a) })
		}
	}
}

// carryOut makes one call for the keeper and feeds the result back.
func (h *holds) carryOut(a lease.Action) {
	ctx, cancel := context.WithTimeout(h.node.work, handOverTimeout)
	defer cancel()
	switch a := a.(type) {
	case lease.WriteLease:
		version, err := h.put(ctx, leaseKey(a.Record.Owner), a.Record, a.Version)
		h.step(lease.Written{Expires: a.Record.Expires, Version: version, Err: err})
	case lease.RevokeLease:
		_, err := h.put(ctx, leaseKey(a.Owner), lease.Record{Owner: a.Owner, Revoked: true}, a.Version)
		h.step(lease.Revoked{Owner: a.Owner, Err: err})
	case lease.WriteSlot:
		version, err := h.put(ctx, slotKey(a.Slot), a.Record, a.Version)
		h.step(lease.SlotWritten{Slot: a.Slot, Owner: a.Record.Owner, Since: a.Record.Since, Version: version, Err: err})
	case lease.ReadLease:
		ev := lease.Read{Owner: a.Owner}
		ev.Version, ev.Found, ev.Err = h.get(ctx, leaseKey(a.Owner), &ev.Record)
		h.step(ev)
	case lease.ReadSlot:
		ev := lease.SlotRead{Slot: a.Slot}
		ev.Version, ev.Found, ev.Err = h.get(ctx, slotKey(a.Slot), &ev.Record)
		h.step(ev)
	case lease.HandOver:
		err := h.handOver(ctx, a)
		h.step(lease.HandedOver{Slot: a.Slot, Err: err})
	}
}

func (h *holds) put(ctx context.Context, key string, record any, version uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	return h.node.store.Put(ctx, key, value, version)
}

func (h *holds) get(ctx context.Context, key string, record any) (version uint64, found bool, err error) {
	o, err := h.node.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	return o.Version, true, json.Unmarshal(o.Value, record)
}

// handOver waits for the slot's running requests and sends its table to the
// new owner.
func (h *holds) handOver(ctx context.Context, a lease.HandOver) error {
	h.mu.Lock()
	table := h.tables[a.Slot]
	h.mu.Unlock()
	if table == nil || !h.await(ctx, table) {
		return fmt.Errorf("slot %d could not be handed over", a.Slot)
	}
	h.mu.Lock()
	items := table.Export()
	h.mu.Unlock()
	for _, r := range h.node.view.Load().live() {
		if ownerName(r.VM, r.Started) != a.To {
			continue
		}
		args := &inner.TakeOver{Slot: a.Slot, Since: a.Since, Version: a.Version, Items: items}
		return h.node.peers.Call(ctx, r.Addr, inner.MethodTakeOver, args, &inner.None{})
	}
	return fmt.Errorf("new owner %s of slot %d is not known", a.To, a.Slot)
}

// takeOver takes a slot from its owner and answers when this node has entered
// itself as the owner, or could not for a while.
func (h *holds) takeOver(args *inner.TakeOver) error {
	h.mu.Lock()
	if h.tables[args.Slot] == nil {
		h.tables[args.Slot] = newTable(h.node)
	}
	h.tables[args.Slot].Import(args.Items)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), takeOverPatient)
	defer cancel()
	h.step(lease.Received{Slot: args.Slot, Since: args.Since, Version: args.Version})
	for {
		h.mu.Lock()
		_, owned := h.keeper.Since(args.Slot)
		h.mu.Unlock()
		if owned {
			return nil
		}
		if !sleep(ctx, idlePoll) {
			return fmt.Errorf("slot %d is not entered yet", args.Slot)
		}
	}
}

// leave hands over all slots and waits until nothing is left.
func (h *holds) leave(ctx context.Context) {
	h.step(lease.Leave{})
	for {
		h.mu.Lock()
		released := h.keeper.Released()
		h.mu.Unlock()
		if released || !sleep(ctx, idlePoll) {
			return
		}
	}
}
