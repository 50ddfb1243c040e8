// Package member keeps a node's view of the other nodes: who lives, in which
// failure domain, in which incarnation.
//
// Nodes of one failure domain probe each other directly, and only they declare
// one of theirs dead. Across domains a node trusts the domain's own word and
// notes which domains it cannot reach. News travels on the probes, a bounded
// number of records on each, so that a node's traffic does not grow with the
// fleet; views that differ are compared and repaired in full, rarely.
//
// A Tracker is a state machine without sockets or goroutines:
//
//	t := member.New(self, rand)
//	for _, a := range t.Step(member.Tick{}) {
//		switch a := a.(type) {
//		case member.Send: // one datagram
//		case member.Sync: // exchange whole views with a.Addr
//		}
//	}
package member

import (
	"github.com/cespare/xxhash/v2"
)

//go:generate go tool stringer -type Status -linecomment

// Status is what is known of a member.
type Status uint8

// The statuses, in the order in which they override each other at the same epoch.
const (
	Alive   Status = iota // alive
	Suspect               // suspect
	Dead                  // dead
	Left                  // left
)

// Record is the news of one member. Started is when its process started and
// Epoch counts the times it has contradicted its death.
type Record struct {
	VM      string `msgpack:"v"`
	Domain  string `msgpack:"d"`
	Addr    string `msgpack:"a"`
	Gossip  string `msgpack:"g"`
	Caller  string `msgpack:"c"`
	Started int64  `msgpack:"s"`
	Epoch   uint32 `msgpack:"e"`
	Status  Status `msgpack:"st"`
	// Ready tells whether the member takes requests of callers.
	Ready bool `msgpack:"r"`
	// Capacity is how much work the member can do, relative to others.
	Capacity float64 `msgpack:"w,omitempty"`
}

// overrides tells whether r is newer than old. A process that has left never
// returns; its VM may, with a process that started later.
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

// sum contributes the record to the digest of a view. Departed members do not
// count, because every node forgets them at a time of its own.
func (r Record) sum() uint64 {
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
	// From and To are VM names. Target is who an indirect probe is for.
	From    string   `msgpack:"f"`
	Target  string   `msgpack:"t,omitempty"`
	Records []Record `msgpack:"r"`
	Digest  uint64   `msgpack:"d"`
	// Versions tells what the sender has in force.
	Versions Versions `msgpack:"c"`
}

// Versions names the configuration and the catalogue that a member has in force.
type Versions struct {
	Config    uint64 `msgpack:"c"`
	Catalogue uint64 `msgpack:"a"`
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
