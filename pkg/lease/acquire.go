package lease

import "time"

// readSlot requests a read of a slot that this node should acquire. It reports
// false if a call for the slot is pending or the last read is too recent.
func (h *Holder) readSlot(n int, now time.Time) bool {
	a, ok := h.acquisitions[n]
	if !ok {
		a = &acquisition{}
		h.acquisitions[n] = a
	}
	if a.pending || now.Sub(a.readAt) < readInterval {
		return false
	}
	a.pending = true
	a.readAt = now
	h.out = append(h.out, ReadSlot{Slot: n})
	return true
}

// slotRead acquires the slot if it has no owner, if this node has sealed it
// and no other node has recorded its ownership, if its owner has handed it
// over to this node, or if its object already names this node, as after a write
// whose reply was lost. Otherwise it requests a read of the owner's lease.
func (h *Holder) slotRead(ev SlotRead) {
	a, ok := h.acquisitions[ev.Slot]
	if !ok {
		return
	}
	a.pending = false
	if ev.Err != nil || h.leaving || h.version == 0 {
		return
	}
	a.version, a.owner = ev.Version, ev.Record.Owner
	switch {
	case !ev.Found:
		h.writeOwner(ev.Slot, a, h.newKeysSince())
	case ev.Record.Owner == h.Name() && h.sealed[ev.Slot].version >= ev.Version:
		h.writeOwner(ev.Slot, a, h.newKeysSince())
	case a.handed.version != 0 && a.handed.version == ev.Version:
		h.writeOwner(ev.Slot, a, a.handed.since)
	case ev.Record.Owner == h.Name():
		h.acquired(ev.Slot, ev.Record.Since, ev.Version)
	default:
		delete(h.sealed, ev.Slot)
		a.pending = true
		h.out = append(h.out, ReadLease{Owner: ev.Record.Owner})
	}
}

// leaseRead acquires the slots of another owner whose lease is missing or revoked,
// and requests the revocation of a lease that has expired by more than the margin.
func (h *Holder) leaseRead(ev Read) {
	if ev.Owner == h.Name() {
		h.ownLeaseRead(ev)
		return
	}
	expired := ev.Err == nil && ev.Found && h.now().After(ev.Record.Expires.Add(h.margin))
	switch {
	case ev.Err == nil && (!ev.Found || ev.Record.Revoked):
		h.acquireFrom(ev.Owner)
	case expired:
		h.out = append(h.out, RevokeLease{Owner: ev.Owner, Version: ev.Version})
	default:
		h.stopWaitingFor(ev.Owner)
	}
}

func (h *Holder) leaseRevoked(ev Revoked) {
	if ev.Err != nil {
		h.stopWaitingFor(ev.Owner)
		return
	}
	h.acquireFrom(ev.Owner)
}

// stopWaitingFor ends the attempts to acquire the owner's slots; they are read
// again after readInterval.
func (h *Holder) stopWaitingFor(owner string) {
	for _, a := range h.acquisitions {
		if a.owner == owner {
			a.pending = false
		}
	}
}

// acquireFrom acquires the slots that were waiting for the end of the owner's
// lease. The requests that the old owner ran are not known, so the table is
// complete only from now on.
func (h *Holder) acquireFrom(owner string) {
	since := h.newKeysSince()
	for n := range h.slots {
		a, ok := h.acquisitions[n]
		if ok && a.pending && a.owner == owner {
			h.writeOwner(n, a, since)
		}
	}
}

// newKeysSince returns the earliest time from which the timestamp of a key proves
// that the key was created after now. The timestamp of a key that has already run
// may be ahead of now by the margin, because clocks differ by up to that.
func (h *Holder) newKeysSince() time.Time { return h.now().Add(h.margin) }

func (h *Holder) writeOwner(n int, a *acquisition, since time.Time) {
	a.pending = true
	a.owner = h.Name()
	h.out = append(h.out, WriteSlot{Slot: n, Record: SlotRecord{Owner: h.Name(), Since: since}, Version: a.version})
}

func (h *Holder) slotWritten(ev SlotWritten) {
	a, ok := h.acquisitions[ev.Slot]
	if !ok || ev.Owner != h.Name() {
		return
	}
	a.pending = false
	if ev.Err != nil {
		a.readAt = time.Time{}
		return
	}
	h.acquired(ev.Slot, ev.Since, ev.Version)
}

func (h *Holder) acquired(n int, since time.Time, version uint64) {
	delete(h.acquisitions, n)
	delete(h.sealed, n)
	if h.owned[n] != nil {
		return
	}
	h.owned[n] = &ownedSlot{since: since, version: version}
	h.out = append(h.out, Acquired{Slot: n, Since: since})
}

// received acquires a slot that its owner has sealed for this node.
func (h *Holder) received(ev Received) {
	if h.leaving || h.version == 0 || h.owned[ev.Slot] != nil {
		return
	}
	a := &acquisition{version: ev.Version, handed: handover{version: ev.Version, since: ev.Since}}
	h.acquisitions[ev.Slot] = a
	h.writeOwner(ev.Slot, a, ev.Since)
}
