package lease

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"geraniumstep.org/geraniumstep/pkg/route"
)

// Holder holds the lease and the slots of one node. It is not safe for
// concurrent use.
type Holder struct {
	base     string
	started  int
	ttl      time.Duration
	margin   time.Duration
	slots    int
	fenceOff bool
	skew     time.Duration

	live      []string
	owners    []string
	preferred bool

	version  uint64
	expires  time.Time
	writing  bool
	leaving  bool
	released bool
	renewAt  time.Time
	owned    map[int]*slot
	takes    map[int]*take
	sealed   map[int]handover
	out      []Action
}

// slot is a slot that this node owns.
type slot struct {
	since   time.Time
	version uint64
	sealed  bool
}

// take is an attempt to become the owner of a slot.
type take struct {
	probedAt time.Time
	busy     bool
	version  uint64
	owner    string
	// handed is what the slot's owner handed over, if it did.
	handed handover
}

// handover is a slot as its owner sealed it.
type handover struct {
	version uint64
	since   time.Time
	at      time.Time
}

// Option changes a Keeper at construction.
type Option func(*Holder)

// WithTTL sets how long a lease lasts. The default is 10 s.
func WithTTL(d time.Duration) Option { return func(k *Holder) { k.ttl = d } }

// WithMargin sets by how much any two clocks may differ. The default is 500 ms.
func WithMargin(d time.Duration) Option { return func(k *Holder) { k.margin = d } }

// WithSlots sets into how many slots the key space is cut. All nodes must
// agree. The default is 64.
func WithSlots(n int) Option { return func(k *Holder) { k.slots = n } }

// WithoutFence makes Fence ignore the end of the lease, which shows in tests
// what the fence prevents.
func WithoutFence() Option { return func(k *Holder) { k.fenceOff = true } }

// WithSkew makes the node's clock differ from the runtime's, as clocks of VMs
// do. It is for tests.
func WithSkew(d time.Duration) Option { return func(k *Holder) { k.skew = d } }

// New returns a Keeper for the owner of that name. The name must differ between
// two processes of one VM.
func New(owner string, opts ...Option) *Holder {
	k := &Holder{
		base:   owner,
		ttl:    defaultTTL,
		margin: defaultMargin,
		slots:  defaultSlots,
		owned:  make(map[int]*slot),
		takes:  make(map[int]*take),
		sealed: make(map[int]handover),
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Name is the owner's name in the store. It changes when the lease was revoked
// and a new one begins.
func (k *Holder) Name() string { return fmt.Sprintf("%s#%d", k.base, k.started) }

func (k *Holder) now() time.Time { return time.Now().Add(k.skew) }

// Margin is by how much any two clocks may differ.
func (k *Holder) Margin() time.Duration { return k.margin }

// Owned lists the slots that this node owns and has not sealed.
func (k *Holder) Owned() []int {
	var list []int
	for n, s := range k.owned {
		if !s.sealed {
			list = append(list, n)
		}
	}
	sort.Ints(list)
	return list
}

// Released tells whether a leaving node has nothing left to hand over.
func (k *Holder) Released() bool { return k.released }

// PreferredOwner is the owner that the slot should have among the live ones.
func PreferredOwner(n int, live []string) string {
	return route.Owner(fmt.Sprintf("slot/%d", n), live)
}

// Fence tells whether this node may run new requests of the slot now, and the
// time after which no upstream may begin one.
func (k *Holder) Fence(n int) (fence time.Time, ok bool) {
	s, owned := k.owned[n]
	if !owned || s.sealed {
		return time.Time{}, false
	}
	if k.fenceOff {
		return time.Time{}, true
	}
	fence = k.expires.Add(-k.margin)
	return fence, k.now().Before(fence)
}

// Since is the time from which this node knows every request of the slot.
func (k *Holder) Since(n int) (time.Time, bool) {
	s, ok := k.owned[n]
	if !ok {
		return time.Time{}, false
	}
	return s.since, true
}

// Step applies one event and returns what has to be done. The slice is valid
// until the next call.
func (k *Holder) Step(ev Event) []Action {
	k.out = k.out[:0]
	switch ev := ev.(type) {
	case Tick:
		k.tick(k.now(), ev.Live)
	case Written:
		k.leaseWritten(ev)
	case Read:
		k.leaseRead(ev)
	case Revoked:
		k.leaseRevoked(ev)
	case SlotRead:
		k.slotRead(ev)
	case SlotWritten:
		k.slotWritten(ev)
	case Received:
		k.received(ev)
	case HandedOver:
		k.handedOver(ev)
	case Leave:
		k.leaving = true
	}
	return k.out
}

func (k *Holder) tick(now time.Time, live []string) {
	k.prefer(live)
	if k.leaving || len(k.owned) > 0 || k.preferred {
		k.renew(now)
	}
	if k.version == 0 {
		return
	}
	if k.leaving {
		k.handOverAll(live)
		return
	}
	probes := 0
	for n := range k.slots {
		owner := k.owners[n]
		switch s := k.owned[n]; {
		case s != nil && owner != k.base && owner != "":
			k.handOver(n, s, owner)
		case s == nil && k.wants(n, owner, now) && probes < probesPerTick && k.probeSlot(n, now):
			probes++
		}
	}
}

// wants tells whether this node should look at a slot: one that it should own,
// or one that it handed over and that may not have arrived.
func (k *Holder) wants(n int, owner string, now time.Time) bool {
	if owner == k.base {
		return true
	}
	h, ok := k.sealed[n]
	return ok && now.Sub(h.at) > handoverTimeout
}

// prefer chooses the owner that each slot should have, when the live ones have
// changed. A node that should own none needs no lease.
func (k *Holder) prefer(live []string) {
	if k.owners != nil && slices.Equal(live, k.live) {
		return
	}
	k.live = append(k.live[:0], live...)
	k.owners = make([]string, k.slots)
	k.preferred = false
	for n := range k.owners {
		k.owners[n] = PreferredOwner(n, live)
		k.preferred = k.preferred || k.owners[n] == k.base
	}
}

// renew writes the lease when a third of it has passed.
func (k *Holder) renew(now time.Time) {
	if k.writing || k.released || now.Before(k.renewAt) {
		return
	}
	k.writing = true
	k.renewAt = now.Add(k.ttl / 3)
	k.out = append(k.out, WriteLease{Record: Record{Owner: k.Name(), Expires: now.Add(k.ttl)}, Version: k.version})
}

func (k *Holder) leaseWritten(ev Written) {
	k.writing = false
	if ev.Err != nil {
		k.renewAt = k.now().Add(k.ttl / 20)
		k.out = append(k.out, ReadLease{Owner: k.Name()})
		return
	}
	k.confirm(ev.Version, ev.Expires)
}

func (k *Holder) confirm(version uint64, expires time.Time) {
	if version <= k.version {
		return
	}
	k.version = version
	k.expires = expires
}

// ownRead learns what became of a write whose reply was lost. A revoked
// lease is never renewed; a new one begins under another name, without slots.
func (k *Holder) ownRead(ev Read) {
	switch {
	case !ev.Found:
	case ev.Record.Revoked:
		k.begin()
	default:
		k.confirm(ev.Version, ev.Record.Expires)
	}
}

// begin starts again without a lease.
func (k *Holder) begin() {
	for n := range k.slots {
		if k.owned[n] != nil {
			k.drop(n)
		}
	}
	clear(k.takes)
	clear(k.sealed)
	k.started++
	k.version, k.expires, k.renewAt = 0, time.Time{}, time.Time{}
}

func (k *Holder) drop(n int) {
	delete(k.owned, n)
	k.out = append(k.out, Dropped{Slot: n})
}

// handOver seals a slot. A sealed slot is never opened again by this node,
// since the new owner may have its table.
func (k *Holder) handOver(n int, s *slot, to string) {
	if s.sealed {
		return
	}
	s.sealed = true
	k.sealed[n] = handover{version: s.version, since: s.since, at: k.now()}
	k.out = append(k.out, HandOver{Slot: n, To: to, Since: s.since, Version: s.version})
}

func (k *Holder) handedOver(ev HandedOver) {
	if _, ok := k.owned[ev.Slot]; ok {
		k.drop(ev.Slot)
	}
}

// handOverAll hands over every slot of a leaving node and then gives up its
// lease, so that slots which nobody took are free at once.
func (k *Holder) handOverAll(live []string) {
	for n := range k.slots {
		s := k.owned[n]
		if s == nil {
			continue
		}
		to := PreferredOwner(n, live)
		if to == "" || to == k.base {
			k.drop(n)
			continue
		}
		k.handOver(n, s, to)
	}
	if len(k.owned) == 0 && !k.released && !k.writing {
		k.released = true
		k.out = append(k.out, RevokeLease{Owner: k.Name(), Version: k.version})
	}
}
