// Package member maintains a node's view of the other nodes: which are alive, in
// which failure domain and in which incarnation.
//
// Nodes of one failure domain probe each other directly, and only they declare a
// node of that domain dead. For other domains a node accepts the status reported
// by the domain itself and records which domains it cannot reach. Updates are
// piggybacked on the probes, with a bounded number of records on each, so that a
// node's traffic does not grow with the fleet. Nodes whose views differ exchange
// them in full at a limited rate.
//
// A Tracker is a state machine without sockets or goroutines:
//
//	t := member.New(self, rand)
//	for _, a := range t.Step(member.Tick{}) {
//		switch a := a.(type) {
//		case member.Send: // one datagram
//		case member.Sync: // exchange complete views with a.Addr
//		}
//	}
package member

import (
	"github.com/cespare/xxhash/v2"
)

//go:generate go tool stringer -type Status -linecomment

// Status is the assumed status of a member.
type Status uint8

// The statuses, in the order in which they override each other at the same epoch.
const (
	Alive   Status = iota // alive
	Suspect               // suspect
	Dead                  // dead
	Left                  // left
)

// Record describes one member. Started is the start time of its process, and Epoch
// increases each time the member changes its readiness or refutes a report that it
// is not alive.
type Record struct {
	VM      string `msgpack:"v"`
	Domain  string `msgpack:"d"`
	Addr    string `msgpack:"a"`
	Gossip  string `msgpack:"g"`
	Caller  string `msgpack:"c"`
	Started int64  `msgpack:"s"`
	Epoch   uint32 `msgpack:"e"`
	Status  Status `msgpack:"st"`
	// Ready reports whether the member accepts requests from callers.
	Ready bool `msgpack:"r"`
	// Capacity is the member's processing capacity relative to other members.
	Capacity float64 `msgpack:"w,omitempty"`
}

// overrides reports whether r is newer than old. A process that has left never
// rejoins; its VM may, with a process that started later.
func (r Record) overrides(old Record) bool {
	if r.Started != old.Started {
		return r.Started > old.Started
	}
	if old.Status == Left {
		return false
	}
	if r.Status == Left {
		return true
	}
	if r.Epoch != old.Epoch {
		return r.Epoch > old.Epoch
	}
	return r.Status > old.Status
}

// hash returns the record's contribution to the digest of a view. Dead and
// departed members contribute zero, because each node purges them at a different
// time.
func (r Record) hash() uint64 {
	if r.Status >= Dead {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.VM)
	_, _ = d.Write([]byte{
		byte(r.Started), byte(r.Started >> 8), byte(r.Started >> 16), byte(r.Started >> 24),
		byte(r.Started >> 32), byte(r.Started >> 40), byte(r.Epoch), byte(r.Epoch >> 8), byte(r.Status),
	})
	return d.Sum64()
}

// Message is one datagram between members.
type Message struct {
	Kind Kind   `msgpack:"k"`
	Seq  uint64 `msgpack:"q"`
	// From is the sender's VM name. Target is the VM name of the member to
	// probe for an IndirectProbe.
	From    string   `msgpack:"f"`
	Target  string   `msgpack:"t,omitempty"`
	Records []Record `msgpack:"r"`
	Digest  uint64   `msgpack:"d"`
	// Versions lists the versions that the sender has in effect.
	Versions Versions `msgpack:"c"`
}

// Versions identifies the configuration, the catalogue and the evacuations that a member has
// in effect. Older builds ignore what they do not know, and do not send it.
type Versions struct {
	Config      uint64 `msgpack:"c"`
	Catalogue   uint64 `msgpack:"a"`
	Evacuations uint64 `msgpack:"e,omitempty"`
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Probe Kind = iota
	Ack
	IndirectProbe
	IndirectAck
)
