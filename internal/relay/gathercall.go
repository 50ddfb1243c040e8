package relay

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

// GatherCall asks a node to gather a part of a search.
type GatherCall struct {
	ID       string              `msgpack:"i"`
	Request  string              `msgpack:"r"`
	Route    string              `msgpack:"n"`
	Method   string              `msgpack:"m"`
	Host     string              `msgpack:"h"`
	Target   string              `msgpack:"t"`
	Header   map[string][]string `msgpack:"e"`
	Body     []byte              `msgpack:"b"`
	Services []string            `msgpack:"s"`
	TopK     int                 `msgpack:"k"`
	MinLegs  int                 `msgpack:"l"`
	Attempts int                 `msgpack:"a"`
	Priority prio.Priority       `msgpack:"p"`
	// Soft and Deadline are counted from the arrival of the call.
	Soft     time.Duration `msgpack:"so"`
	Deadline time.Duration `msgpack:"d"`
	Hops     int           `msgpack:"ho"`
	Version  uint64        `msgpack:"v"`
}

// GatherReply is the merged part of a search.
type GatherReply struct {
	// Legs are the places of the answered services in the call.
	Legs   []int    `msgpack:"l"`
	Proofs []string `msgpack:"p"`
	Body   []byte   `msgpack:"b"`
	// Reached is, for each service of the call, how many upstreams it may
	// have reached.
	Reached []int `msgpack:"u"`
	// NotRun tells that nothing ran, and RetryAfter when to come back if the
	// node rejected the call for load.
	NotRun     bool          `msgpack:"n"`
	RetryAfter time.Duration `msgpack:"r"`
	// Took is how long the called node worked on it.
	Took time.Duration `msgpack:"t"`
}

// CancelCall names a gather whose result is no longer wanted.
type CancelCall struct {
	ID string `msgpack:"i"`
}

// None is the answer to a call that returns nothing.
type None struct {
	_ struct{}
}

// GatherService is the name under which Gatherer is registered.
const GatherService = "Gather"
