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
	leaseTick       = 100 * time.Millisecond
	takeOverPatient = 1500 * time.Millisecond
	handOverTimeout = 5 * time.Second
)

func leaseKey(owner string) string { return "lease/" + owner }

func slotKey(n int) string { return fmt.Sprintf("slot/%05d", n) }

// Run lets time pass for the keeper until the context ends.
func (k *Executor) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.step(lease.Tick{Live: k.liveOwners()})
		}
	}
}

// liveOwners lists the processes that take slots. A node that leaves is not
// one of them.
func (k *Executor) liveOwners() []string {
	var names []string
	for _, r := range k.node.View().Live() {
		if r.Ready && (r.VM != k.self.VM || k.node.Ready()) {
			names = append(names, ownerName(r.VM, r.Started))
		}
	}
	return names
}

// step feeds one event to the keeper and starts what follows.
func (k *Executor) step(ev lease.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range k.keeper.Step(ev) {
		switch a := a.(type) {
		case lease.Acquired:
			if k.tables[a.Slot] == nil {
				k.tables[a.Slot] = k.newTable()
			}
		case lease.Dropped:
			delete(k.tables, a.Slot)
		default:
			k.node.Go(func() { k.carryOut(a) })
		}
	}
}

// carryOut makes one call for the keeper and feeds the result back.
func (k *Executor) carryOut(a lease.Action) {
	ctx, cancel := context.WithTimeout(k.work, handOverTimeout)
	defer cancel()
	switch a := a.(type) {
	case lease.WriteLease:
		version, err := k.put(ctx, leaseKey(a.Record.Owner), a.Record, a.Version)
		k.step(lease.Written{Expires: a.Record.Expires, Version: version, Err: err})
	case lease.RevokeLease:
		_, err := k.put(ctx, leaseKey(a.Owner), lease.Record{Owner: a.Owner, Revoked: true}, a.Version)
		k.step(lease.Revoked{Owner: a.Owner, Err: err})
	case lease.WriteSlot:
		version, err := k.put(ctx, slotKey(a.Slot), a.Record, a.Version)
		k.step(lease.SlotWritten{Slot: a.Slot, Owner: a.Record.Owner, Since: a.Record.Since, Version: version, Err: err})
	case lease.ReadLease:
		ev := lease.Read{Owner: a.Owner}
		ev.Version, ev.Found, ev.Err = k.get(ctx, leaseKey(a.Owner), &ev.Record)
		k.step(ev)
	case lease.ReadSlot:
		ev := lease.SlotRead{Slot: a.Slot}
		ev.Version, ev.Found, ev.Err = k.get(ctx, slotKey(a.Slot), &ev.Record)
		k.step(ev)
	case lease.HandOver:
		err := k.handOver(ctx, a)
		k.step(lease.HandedOver{Slot: a.Slot, Err: err})
	}
}

func (k *Executor) put(ctx context.Context, key string, record any, version uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	return k.store.Put(ctx, key, value, version)
}

func (k *Executor) get(ctx context.Context, key string, record any) (version uint64, found bool, err error) {
	o, err := k.store.Get(ctx, key)
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
func (k *Executor) handOver(ctx context.Context, a lease.HandOver) error {
	k.mu.Lock()
	table := k.tables[a.Slot]
	k.mu.Unlock()
	if table == nil || !k.await(ctx, table) {
		return fmt.Errorf("slot %d could not be handed over", a.Slot)
	}
	k.mu.Lock()
	items := table.Export()
	k.mu.Unlock()
	for _, r := range k.node.View().Live() {
		if ownerName(r.VM, r.Started) != a.To {
			continue
		}
		args := &peer.TakeOver{Slot: a.Slot, Since: a.Since, Version: a.Version, Items: items}
		return k.node.Call(ctx, r.Addr, peer.MethodTakeOver, args, &peer.None{})
	}
	return fmt.Errorf("new owner %s of slot %d is not known", a.To, a.Slot)
}

// TakeOver takes a slot from its owner and answers when this node has entered
// itself as the owner, or could not for a while.
func (k *Executor) TakeOver(args *peer.TakeOver) error {
	k.mu.Lock()
	if k.tables[args.Slot] == nil {
		k.tables[args.Slot] = k.newTable()
	}
	k.tables[args.Slot].Import(args.Items)
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), takeOverPatient)
	defer cancel()
	k.step(lease.Received{Slot: args.Slot, Since: args.Since, Version: args.Version})
	for {
		k.mu.Lock()
		_, owned := k.keeper.Since(args.Slot)
		k.mu.Unlock()
		if owned {
			return nil
		}
		if !tasks.Sleep(ctx, idlePoll) {
			return fmt.Errorf("slot %d is not entered yet", args.Slot)
		}
	}
}

// Leave hands over all slots and waits until nothing is left.
func (k *Executor) Leave(ctx context.Context) {
	k.step(lease.Leave{})
	for {
		k.mu.Lock()
		released := k.keeper.Released()
		k.mu.Unlock()
		if released || !tasks.Sleep(ctx, idlePoll) {
			return
		}
	}
}
