// Package lease assigns the slots of the key space to nodes, so that each
// idempotency key has at most one owner at any time.
//
// A node renews one lease object in the platform's store and owns slots, one
// object each, under that lease. Another node acquires a slot only after the
// owner's lease has expired by more than the clock margin and has been revoked
// by a conditional write, or after the owner has handed the slot over.
//
// An owner runs a new key only before the fence, which is the end of its lease
// minus the clock margin, and a new owner runs only keys created after it
// acquired the slot. Together the two rules prevent a paused owner and its
// successor from both running the same key. The fence is also sent with the
// request, as a deadline after which the upstream must not begin it.
//
// A Holder is a state machine. It receives events, among them the results of
// store calls, and returns the calls to make:
//
//	h := lease.New("vm-3/1718", lease.WithSlots(64))
//	for _, a := range h.Step(lease.Tick{Live: names}) { … }
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
// which the owner has a record of every request of the slot: its table is
// complete for keys created later.
type SlotRecord struct {
	Owner string    `json:"owner"`
	Since time.Time `json:"since"`
}

// Event is an input of Step.
type Event interface{ event() }

// Tick triggers time-driven work. Live lists the owners that may own slots, in
// any order; it includes this node unless the node is leaving.
type Tick struct{ Live []string }

// Written is the result of WriteLease.
type Written struct {
	Expires time.Time
	Version uint64
	Err     error
}

// Read is the result of ReadLease. Found is false when the owner has no lease.
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

// SlotRead is the result of ReadSlot. Found is false when the slot has no object.
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

// Received reports that the slot's owner has handed it over to this node. Version
// is that of the slot's object under the old owner.
type Received struct {
	Slot    int
	Since   time.Time
	Version uint64
}

// HandedOver is the result of HandOver. Err is nil when the new owner has the
// slot; this node no longer owns it in either case.
type HandedOver struct {
	Slot int
	Err  error
}

// Leave starts the handover of every slot.
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

// WriteLease requests a write of this node's lease object if it still has the
// version.
type WriteLease struct {
	Record  Record
	Version uint64
}

// ReadLease requests a read of an owner's lease object.
type ReadLease struct{ Owner string }

// RevokeLease requests that an owner's lease be marked as revoked if its object
// still has the version.
type RevokeLease struct {
	Owner   string
	Version uint64
}

// ReadSlot requests a read of a slot's object.
type ReadSlot struct{ Slot int }

// WriteSlot requests a write of a slot's object if it still has the version.
type WriteSlot struct {
	Slot    int
	Record  SlotRecord
	Version uint64
}

// HandOver requests a wait for the slot's running requests, then the transfer of
// its table to the new owner, and HandedOver as the result.
type HandOver struct {
	Slot    int
	To      string
	Since   time.Time
	Version uint64
}

// Dropped reports that this node no longer owns the slot.
type Dropped struct{ Slot int }

// Acquired reports that this node owns the slot. Since is as in SlotRecord.
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
	// readInterval is the minimum time between two reads of a slot that this
	// node is trying to acquire.
	readInterval = time.Second
	// handoverTimeout is the time in which the new owner of a slot must record
	// its ownership before the old owner reclaims the slot.
	handoverTimeout = 3 * time.Second
	// maxReadsPerTick bounds the slot reads started in one tick.
	maxReadsPerTick = 16
)
