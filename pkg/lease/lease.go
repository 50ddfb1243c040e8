// Package lease shares out the slots of the key space among the nodes, so that
// each idempotency key has at most one owner at any time.
//
// A node renews one lease object in the platform's store and owns slots, one
// object each, in the name of that lease. A slot is taken over only after its
// owner's lease has expired by more than the clock margin and has been revoked
// by a conditional write, or when its owner hands it over.
//
// An owner runs a new key only before the fence, the end of its lease less the
// clock margin, and a new owner only keys made after it took over. Together the
// two rules keep a paused owner's request from running beside that of the next.
// The fence also goes with the request as a deadline after which the upstream
// must not begin it.
//
// A Keeper is a state machine. It takes events, among them the results of
// store calls, and returns the calls to make:
//
//	k := lease.New("vm-3/1718", lease.WithSlots(64))
//	for _, a := range k.Step(lease.Tick{Live: names}) { … }
package lease

import (
	"time"
)

// Record is the stored form of a node's lease.
type Record struct {
	Owner   string    `json:"owner"`
	Expires time.Time `json:"expires"`
	Revoked bool      `json:"revoked"`
}

// SlotRecord is the stored form of a slot's ownership. Since is the time from
// which the owner knows every request of the slot: its table is complete for
// keys that were made later.
type SlotRecord struct {
	Owner string    `json:"owner"`
	Since time.Time `json:"since"`
}

// Event is an input of Step.
type Event interface{ event() }

// Tick lets time-driven work happen. Live lists the owners that take slots, in
// any order; it includes this node unless it leaves.
type Tick struct{ Live []string }

// Written is the result of WriteLease.
type Written struct {
	Expires time.Time
	Version uint64
	Err     error
}

// Read is the result of ReadLease. Found is false when there is none.
type Read struct {
	Owner   string
	Record  Record
	Version uint64
	Found   bool
	Err     error
}

// Revoked is the result of RevokeLease.
type Revoked struct {
	Owner string
	Err   error
}

// SlotRead is the result of ReadSlot. Found is false when there is none.
type SlotRead struct {
	Slot    int
	Record  SlotRecord
	Version uint64
	Found   bool
	Err     error
}

// SlotWritten is the result of WriteSlot.
type SlotWritten struct {
	Slot    int
	Owner   string
	Since   time.Time
	Version uint64
	Err     error
}

// Received tells that the slot's owner handed it over to this node. Version is
// that of the slot's object under the old owner.
type Received struct {
	Slot    int
	Since   time.Time
	Version uint64
}

// HandedOver tells that the new owner has the slot.
type HandedOver struct {
	Slot int
	Err  error
}

// Leave starts to hand over every slot.
type Leave struct{}

func (Tick) event()        {}
func (Written) event()     {}
func (Read) event()        {}
func (Revoked) event()     {}
func (SlotRead) event()    {}
func (SlotWritten) event() {}
func (Received) event()    {}
func (HandedOver) event()  {}
func (Leave) event()       {}

// Action is an output of Step.
type Action interface{ action() }

// WriteLease tells to write this node's lease object if it has the version.
type WriteLease struct {
	Record  Record
	Version uint64
}

// ReadLease tells to read the lease object of an owner.
type ReadLease struct{ Owner string }

// RevokeLease tells to mark the lease of an owner as revoked if its object has
// the version.
type RevokeLease struct {
	Owner   string
	Version uint64
}

// ReadSlot tells to read a slot's object.
type ReadSlot struct{ Slot int }

// WriteSlot tells to write a slot's object if it has the version.
type WriteSlot struct {
	Slot    int
	Record  SlotRecord
	Version uint64
}

// HandOver tells to wait for the slot's running requests, send its table to
// the new owner, and report HandedOver.
type HandOver struct {
	Slot    int
	To      string
	Since   time.Time
	Version uint64
}

// Dropped tells that this node does not own the slot any more.
type Dropped struct{ Slot int }

// Acquired tells that this node owns the slot. Since is as in SlotRecord.
type Acquired struct {
	Slot  int
	Since time.Time
}

func (WriteLease) action()  {}
func (ReadLease) action()   {}
func (RevokeLease) action() {}
func (ReadSlot) action()    {}
func (WriteSlot) action()   {}
func (HandOver) action()    {}
func (Dropped) action()     {}
func (Acquired) action()    {}

const (
	defaultTTL    = 10 * time.Second
	defaultMargin = 500 * time.Millisecond
	defaultSlots  = 64
	// probeEvery is how often a node looks at a slot that it should own and
	// another still has.
	probeEvery = time.Second
	// handoverTimeout is how long the new owner of a slot may take to enter
	// itself before the old one takes the slot back.
	handoverTimeout = 3 * time.Second
	// probesPerTick bounds the store reads of one tick.
	probesPerTick = 16
)
