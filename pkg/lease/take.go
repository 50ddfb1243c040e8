package lease

import "time"

// probeSlot looks at a slot that this node should own.
func (k *Holder) probeSlot(n int, now time.Time) bool {
	t, ok := k.takes[n]
	if !ok {
		t = &take{}
		k.takes[n] = t
	}
	if t.busy || now.Sub(t.probedAt) < probeEvery {
		return false
	}
	t.busy = true
	t.probedAt = now
	k.out = append(k.out, ReadSlot{Slot: n})
	return true
}

func (k *Holder) slotRead(ev SlotRead) {
	t, ok := k.takes[ev.Slot]
	if !ok {
		return
	}
	t.busy = false
	if ev.Err != nil || k.leaving || k.version == 0 {
		return
	}
	t.version, t.owner = ev.Version, ev.Record.Owner
	switch {
	case !ev.Found:
		k.takeSlot(ev.Slot, t, k.newKeys())
	case ev.Record.Owner == k.Name() && k.sealed[ev.Slot].version >= ev.Version:
		k.takeSlot(ev.Slot, t, k.newKeys())
	case t.handed.version != 0 && t.handed.version == ev.Version:
		k.takeSlot(ev.Slot, t, t.handed.since)
	case ev.Record.Owner == k.Name():
		k.gain(ev.Slot, ev.Record.Since, ev.Version)
	default:
		delete(k.sealed, ev.Slot)
		t.busy = true
		k.out = append(k.out, ReadLease{Owner: ev.Record.Owner})
	}
}

// leaseRead decides whether the slots of another owner are free.
func (k *Holder) leaseRead(ev Read) {
	if ev.Owner == k.Name() {
		k.ownRead(ev)
		return
	}
	expired := ev.Err == nil && ev.Found && k.now().After(ev.Record.Expires.Add(k.margin))
	switch {
	case ev.Err == nil && (!ev.Found || ev.Record.Revoked):
		k.takeFrom(ev.Owner)
	case expired:
		k.out = append(k.out, RevokeLease{Owner: ev.Owner, Version: ev.Version})
	default:
		k.giveUp(ev.Owner)
	}
}

func (k *Holder) leaseRevoked(ev Revoked) {
	if ev.Err != nil {
		k.giveUp(ev.Owner)
		return
	}
	k.takeFrom(ev.Owner)
}

func (k *Holder) giveUp(owner string) {
	for _, t := range k.takes {
		if t.owner == owner {
			t.busy = false
		}
	}
}

// takeFrom takes the slots that were waiting for the end of a lease. What the
// old owner ran is not known, so the table is complete from now on only.
func (k *Holder) takeFrom(owner string) {
	since := k.newKeys()
	for n := range k.slots {
		t, ok := k.takes[n]
		if ok && t.busy && t.owner == owner {
			k.takeSlot(n, t, since)
		}
	}
}

// newKeys is the time after which a key was certainly made from now on: a key
// that was run before may be from a clock that is ahead by the margin.
func (k *Holder) newKeys() time.Time { return k.now().Add(k.margin) }

func (k *Holder) takeSlot(n int, t *take, since time.Time) {
	t.busy = true
	t.owner = k.Name()
	k.out = append(k.out, WriteSlot{Slot: n, Record: SlotRecord{Owner: k.Name(), Since: since}, Version: t.version})
}

func (k *Holder) slotWritten(ev SlotWritten) {
	t, ok := k.takes[ev.Slot]
	if !ok || ev.Owner != k.Name() {
		return
	}
	t.busy = false
	if ev.Err != nil {
		t.probedAt = time.Time{}
		return
	}
	k.gain(ev.Slot, ev.Since, ev.Version)
}

func (k *Holder) gain(n int, since time.Time, version uint64) {
	delete(k.takes, n)
	delete(k.sealed, n)
	if k.owned[n] != nil {
		return
	}
	k.owned[n] = &slot{since: since, version: version}
	k.out = append(k.out, Acquired{Slot: n, Since: since})
}

// received takes a slot that its owner has sealed for this node.
func (k *Holder) received(ev Received) {
	if k.leaving || k.version == 0 || k.owned[ev.Slot] != nil {
		return
	}
	t := &take{version: ev.Version, handed: handover{version: ev.Version, since: ev.Since}}
	k.takes[ev.Slot] = t
	k.takeSlot(ev.Slot, t, ev.Since)
}
