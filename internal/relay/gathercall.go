package relay

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/trace"
)

// GatherCall is the request to another node to gather some shards of a search, or to send
// a request to one service.
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
	// Soft is the target and Deadline the timeout, from the arrival of the call.
	Soft     time.Duration `msgpack:"so"`
	Deadline time.Duration `msgpack:"d"`
	Hops     int           `msgpack:"ho"`
	Version  uint64        `msgpack:"v"`
	// Fingerprint identifies equal requests of the same caller.
	Fingerprint poison.Fingerprint `msgpack:"f"`
	// Content identifies requests that differ only in their caller.
	Content poison.Fingerprint `msgpack:"y,omitempty"`
	// Cautious reports that the caller's node suspects the request of crashing
	// upstreams.
	Cautious bool `msgpack:"c,omitempty"`
	// Led reports that the caller's node has sent a leg ahead of these.
	Led bool `msgpack:"w,omitempty"`
	// Idempotent reports that a request to one service may run more than once. Requests to
	// shards always may.
	Idempotent bool `msgpack:"j,omitempty"`
	// Workspace is the workspace of the caller, if it has one, and Homes the regions in
	// which the request may be served, if not in all. Older builds send neither.
	Workspace string   `msgpack:"q,omitempty"`
	Homes     []string `msgpack:"g,omitempty"`
	// Extra reports that the legs are extra attempts, which the caller's node has taken from
	// its budget.
	Extra bool `msgpack:"x,omitempty"`
	// Single reports that the call holds a request to one service. The method says so to
	// the peer.
	Single bool `msgpack:"-"`
	// Trace asks for GatherReply.Slowest. Older builds ignore it.
	Trace bool `msgpack:"z,omitempty"`
	// created is when Soft and Deadline were set.
	created time.Time
}

// method returns the method of the peer that serves the call. A node that does not know
// Forward must not take a request that may run once for a search.
func (c *GatherCall) method() string {
	if c.Single {
		return GatherService + ".Forward"
	}
	return GatherService + ".Gather"
}

// EncodeMsgpack implements msgpack.CustomEncoder. A call may wait for a connection to the
// peer, or behind other messages on it, and that time is no longer left.
func (c *GatherCall) EncodeMsgpack(encoder *msgpack.Encoder) error {
	type plain GatherCall
	p := plain(*c)
	if !c.created.IsZero() {
		waited := time.Since(c.created)
		p.Soft -= waited
		p.Deadline -= waited
	}
	return encoder.Encode(&p)
}

// GatherReply holds the merged responses of the shards of a GatherCall.
type GatherReply struct {
	// Legs holds the indexes in GatherCall.Services of the services that
	// answered, and Proofs their proofs in the same order.
	Legs   []int    `msgpack:"l"`
	Proofs []string `msgpack:"p"`
	Body   []byte   `msgpack:"b"`
	// Reached holds, for each service of the call, the number of upstreams
	// that may have received the request.
	Reached []int `msgpack:"u"`
	// NotRun reports that nothing ran. RetryAfter is the delay before a retry
	// if the node rejected the call because of load.
	NotRun     bool          `msgpack:"n"`
	RetryAfter time.Duration `msgpack:"r"`
	// InDoubt reports that upstreams closed connections without a response and
	// none ran the request to its end. Crashes holds what is known of that.
	InDoubt bool            `msgpack:"x,omitempty"`
	Crashes []poison.Report `msgpack:"c,omitempty"`
	// Cut reports that the node cannot reach the upstreams.
	Cut bool `msgpack:"o,omitempty"`
	// Response is the upstream's response to a request to one service. Legs is empty if
	// it is a failure.
	Response *PeerResponse `msgpack:"s,omitempty"`
	// Slowest is the trace of the slowest legs, if the call asks for it.
	Slowest []trace.Leg `msgpack:"z,omitempty"`
	// Took is how long the called node worked on the call.
	Took time.Duration `msgpack:"t"`
}

// PeerResponse is an upstream's response that another node has received.
type PeerResponse struct {
	Status int                 `msgpack:"s"`
	Header map[string][]string `msgpack:"h"`
	Body   []byte              `msgpack:"b"`
}

// CancelCall identifies a gather whose result is no longer needed.
type CancelCall struct {
	ID string `msgpack:"i"`
}

// None is the reply to a call that returns nothing.
type None struct {
	_ struct{}
}

// GatherService is the name under which Gatherer is registered.
const GatherService = "Gather"
