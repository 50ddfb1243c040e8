package lease

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"geraniumstep.org/geraniumstep/pkg/route"
)

// Holder manages the lease and the slots of one node. It is not safe for
// concurrent use.
type Holder struct {
	baseName string
	// generation counts the leases that were revoked and replaced by a new one.
	generation    int
	ttl           time.Duration
	margin        time.Duration
	slots         int
	fenceDisabled bool
	skew          time.Duration

	live []string
	// preferredOwners lists the preferred owner of each slot, and hasPreferred
	// reports whether this node is one of them.
	preferredOwners []string
	hasPreferred    bool

	// version and expires are those of the lease as last stored; version is
	// zero without a lease.
	version           uint64
	expires           time.Time
	leaseWritePending bool
	leaving           bool
	released          bool
	renewAt           time.Time
	owned             map[int]*ownedSlot
	acquisitions      map[int]*acquisition
	// sealed lists the slots that this node sealed for handover and that no
	// other node is known to own yet.
	sealed map[int]handover
	out    []Action
}

// ownedSlot is a slot that this node owns. No new request of a sealed slot runs.
type ownedSlot struct {
	since   time.Time
	version uint64
	sealed  bool
}

// acquisition is an attempt to become the owner of a slot.
type acquisition struct {
	readAt time.Time
	// pending is set while a store call for the slot is outstanding.
	pending bool
	// version and owner are those of the slot's object as last read.
	version uint64
	owner   string
	// handed is the state in which the slot's owner handed it over to this node,
	// or zero if it did not.
	handed handover
}

// handover is the state of a slot when its owner sealed it.
type handover struct {
	version  uint64
	since    time.Time
	sealedAt time.Time
}

// Option configures a Holder at construction.
type Option func(*Holder)

// WithTTL sets the duration of a lease. The default is 10 s.
func WithTTL(d time.Duration) Option { return func(h *Holder) { h.ttl = d } }

// WithMargin sets the largest assumed difference between any two clocks. The
// default is 500 ms.
func WithMargin(d time.Duration) Option { return func(h *Holder) { h.margin = d } }

// WithSlots sets the number of slots in the key space, which must be the same
// on all nodes. The default is 64.
func WithSlots(n int) Option { return func(h *Holder) { h.slots = n } }

// WithoutFence makes Fence ignore the end of the lease. It is for tests that
// show what the fence prevents.
func WithoutFence() Option { return func(h *Holder) { h.fenceDisabled = true } }

// WithSkew adds an offset to the node's clock, to simulate the clock skew between
// VMs in tests.
func WithSkew(d time.Duration) Option { return func(h *Holder) { h.skew = d } }

// New returns a Holder for the owner with the given name. Two processes on the
// same VM must have different names.
func New(owner string, opts ...Option) *Holder {
	h := &Holder{
		baseName:     owner,
		ttl:          defaultTTL,
		margin:       defaultMargin,
		slots:        defaultSlots,
		owned:        make(map[int]*ownedSlot),
		acquisitions: make(map[int]*acquisition),
		sealed:       make(map[int]handover),
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Name returns the owner's name in the store. It changes when the lease has been
// revoked and a new one begins.
func (h *Holder) Name() string { return fmt.Sprintf("%s#%d", h.baseName, h.generation) }

func (h *Holder) now() time.Time { return time.Now().Add(h.skew) }

// Margin returns the largest assumed difference between any two clocks.
func (h *Holder) Margin() time.Duration { return h.margin }

// Owned returns the slots that this node owns and has not sealed, in order.
func (h *Holder) Owned() []int {
	var list []int
	for n, s := range h.owned {
		if !s.sealed {
			list = append(list, n)
		}
	}
	sort.Ints(list)
	return list
}

// Released reports whether a leaving node has no slots left and has requested the
// revocation of its lease.
func (h *Holder) Released() bool { return h.released }

// PreferredOwner returns the live owner that should own the slot.
func PreferredOwner(n int, live []string) string {
	return route.Owner(fmt.Sprintf("slot/%d", n), live)
}

// Fence reports whether this node may run new requests of the slot now, and
// returns the time after which no upstream may begin one.
func (h *Holder) Fence(n int) (fence time.Time, ok bool) {
	s, owned := h.owned[n]
	if !owned || s.sealed {
		return time.Time{}, false
	}
	if h.fenceDisabled {
		return time.Time{}, true
	}
	fence = h.expires.Add(-h.margin)
	return fence, h.now().Before(fence)
}

// Since returns the time from which this node has a record of every request of
// the slot. It reports false if the node does not own the slot.
func (h *Holder) Since(n int) (time.Time, bool) {
	s, ok := h.owned[n]
	if !ok {
		return time.Time{}, false
	}
	return s.since, true
}

// Step applies one event and returns the actions to carry out. The slice is valid
// until the next call.
func (h *Holder) Step(ev Event) []Action {
	h.out = h.out[:0]
	switch ev := ev.(type) {
	case Tick:
		h.tick(h.now(), ev.Live)
	case Written:
		h.leaseWritten(ev)
	case Read:
		h.leaseRead(ev)
	case Revoked:
		h.leaseRevoked(ev)
	case SlotRead:
		h.slotRead(ev)
	case SlotWritten:
		h.slotWritten(ev)
	case Received:
		h.received(ev)
	case HandedOver:
		h.handedOver(ev)
	case Leave:
		h.leaving = true
	}
	return h.out
}

func (h *Holder) tick(now time.Time, live []string) {
	h.updatePreferredOwners(live)
	if h.leaving || len(h.owned) > 0 || h.hasPreferred {
		h.renew(now)
	}
	if h.version == 0 {
		return
	}
	if h.leaving {
		h.handOverAll(live)
		return
	}
	reads := 0
	for n := range h.slots {
		owner := h.preferredOwners[n]
		switch s := h.owned[n]; {
		case s != nil && owner != h.baseName && owner != "":
			h.handOver(n, s, owner)
		case s == nil && h.shouldAcquire(n, owner, now) && reads < maxReadsPerTick && h.readSlot(n, now):
			reads++
		}
	}
}

// shouldAcquire reports whether this node should try to acquire a slot: it is the
// preferred owner, or it handed the slot over and the new owner has not recorded
// its ownership in time.
func (h *Holder) shouldAcquire(n int, owner string, now time.Time) bool {
	if owner == h.baseName {
		return true
	}
	handed, ok := h.sealed[n]
	return ok && now.Sub(handed.sealedAt) > handoverTimeout
}

// updatePreferredOwners computes the preferred owner of each slot when the list
// of live owners has changed. A node that is the preferred owner of none needs no
// lease.
func (h *Holder) updatePreferredOwners(live []string) {
	if h.preferredOwners != nil && slices.Equal(live, h.live) {
		return
	}
	h.live = append(h.live[:0], live...)
	h.preferredOwners = make([]string, h.slots)
	h.hasPreferred = false
	for n := range h.preferredOwners {
		h.preferredOwners[n] = PreferredOwner(n, live)
		h.hasPreferred = h.hasPreferred || h.preferredOwners[n] == h.baseName
	}
}

// renew writes the lease when a third of its duration has passed.
func (h *Holder) renew(now time.Time) {
	if h.leaseWritePending || h.released || now.Before(h.renewAt) {
		return
	}
	h.leaseWritePending = true
	h.renewAt = now.Add(h.ttl / 3)
	h.out = append(h.out, WriteLease{Record: Record{Owner: h.Name(), Expires: now.Add(h.ttl)}, Version: h.version})
}

func (h *Holder) leaseWritten(ev Written) {
	h.leaseWritePending = false
	if ev.Err != nil {
		h.renewAt = h.now().Add(h.ttl / 20)
		h.out = append(h.out, ReadLease{Owner: h.Name()})
		return
	}
	h.leaseConfirmed(ev.Version, ev.Expires)
}

func (h *Holder) leaseConfirmed(version uint64, expires time.Time) {
	if version <= h.version {
		return
	}
	h.version = version
	h.expires = expires
}

// ownLeaseRead resolves a lease write whose reply was lost. A revoked lease is
// never renewed; a new one begins under another name and without slots.
func (h *Holder) ownLeaseRead(ev Read) {
	switch {
	case !ev.Found:
	case ev.Record.Revoked:
		h.restart()
	default:
		h.leaseConfirmed(ev.Version, ev.Record.Expires)
	}
}

// restart drops the revoked lease and all slots held under it.
func (h *Holder) restart() {
	for n := range h.slots {
		if h.owned[n] != nil {
			h.drop(n)
		}
	}
	clear(h.acquisitions)
	clear(h.sealed)
	h.generation++
	h.version, h.expires, h.renewAt = 0, time.Time{}, time.Time{}
}

func (h *Holder) drop(n int) {
	delete(h.owned, n)
	h.out = append(h.out, Dropped{Slot: n})
}

// handOver seals a slot and requests its handover to the new owner. The slot is never
// unsealed, because the new owner may already have its table. If no other node has
// recorded its ownership within handoverTimeout, this node can acquire the slot again,
// and then runs only keys that are created later.
func (h *Holder) handOver(n int, s *ownedSlot, to string) {
	if s.sealed {
		return
	}
	s.sealed = true
	h.sealed[n] = handover{version: s.version, since: s.since, sealedAt: h.now()}
	h.out = append(h.out, HandOver{Slot: n, To: to, Since: s.since, Version: s.version})
}

func (h *Holder) handedOver(ev HandedOver) {
	if _, ok := h.owned[ev.Slot]; ok {
		h.drop(ev.Slot)
	}
}

// handOverAll hands over every slot of a leaving node and then revokes its lease,
// so that slots without a new owner are free immediately.
func (h *Holder) handOverAll(live []string) {
	for n := range h.slots {
		s := h.owned[n]
		if s == nil {
			continue
		}
		to := PreferredOwner(n, live)
		if to == "" || to == h.baseName {
			h.drop(n)
			continue
		}
		h.handOver(n, s, to)
	}
	if len(h.owned) == 0 && !h.released && !h.leaseWritePending {
		h.released = true
		h.out = append(h.out, RevokeLease{Owner: h.Name(), Version: h.version})
	}
}
