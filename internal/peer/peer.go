// Package peer defines the protocol between nodes: net/rpc calls with msgpack bodies.
// It contains the messages, the codec, and a client that keeps one connection to each
// peer. The node implements the methods.
//
//	peers := peer.NewPeers(dial)
//	err := peers.Call(ctx, addr, peer.MethodRun, &request, &reply)
package peer

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/dedup"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// Service is the name under which a node registers its methods.
const Service = "Node"

// The methods of a node.
const (
	MethodRun      = Service + ".Run"
	MethodCancel   = Service + ".Cancel"
	MethodNotice   = Service + ".Notice"
	MethodSubmit   = Service + ".Submit"
	MethodTakeOver = Service + ".TakeOver"
	MethodPull     = Service + ".Pull"
	MethodNotify   = Service + ".Notify"
	MethodViews    = Service + ".Views"
	MethodInherit  = Service + ".Inherit"
	MethodVersions = Service + ".Versions"
)

// ShardRequest is a request to one shard. The node that serves the caller sends it to
// the upstream's front, the node that holds its queue and connections.
//
// Budget is the time left for the request. The upstream must not start it after the
// Fence, unless that is zero. Proven is set if the sender has a record that a request
// with the fingerprint completed. Solo requires that no other request of the front
// runs on the upstream at the same time, because this one may crash it.
type ShardRequest struct {
	Request     string             `msgpack:"r"`
	Trace       string             `msgpack:"tr"`
	Attempt     uint32             `msgpack:"a"`
	Upstream    string             `msgpack:"u"`
	Archive     string             `msgpack:"ar"`
	Shard       int                `msgpack:"s"`
	Version     uint64             `msgpack:"v"`
	Budget      time.Duration      `msgpack:"b"`
	Fence       time.Time          `msgpack:"fe"`
	Priority    prio.Priority      `msgpack:"p"`
	Workspace   string             `msgpack:"w"`
	Template    string             `msgpack:"t"`
	Params      []byte             `msgpack:"pa"`
	Key         string             `msgpack:"k"`
	Fingerprint poison.Fingerprint `msgpack:"f"`
	Proven      bool               `msgpack:"pr"`
	Solo        bool               `msgpack:"so"`
}

// ShardReply is the result of a ShardRequest.
type ShardReply struct {
	// OK reports whether Reply holds a complete answer. Otherwise Cause is the
	// reason why there is none.
	OK    bool         `msgpack:"ok"`
	Cause search.Cause `msgpack:"c"`
	// Unsent reports whether the upstream certainly did not run the request: nothing
	// was sent, or the upstream rejected it with wire.HeaderRefusal.
	Unsent     bool          `msgpack:"u"`
	RetryAfter time.Duration `msgpack:"ra"`
	Reply      search.Reply  `msgpack:"r"`
	// Wait is the time that the request spent in the queue, and Service the time
	// that it ran.
	Wait    time.Duration `msgpack:"w"`
	Service time.Duration `msgpack:"s"`
	// EstimatedService is the front's estimate of the upstream's service time, and
	// EstimatedWait its estimate of the queueing time of the next request with the
	// same priority.
	EstimatedService time.Duration `msgpack:"p"`
	EstimatedWait    time.Duration `msgpack:"a"`
}

// Cancel identifies a shard request whose result is no longer needed.
type Cancel struct {
	Request string `msgpack:"r"`
	Attempt uint32 `msgpack:"a"`
}

// Notices carries events that are sent to all nodes at once: the requests that were in
// flight when an upstream crashed, drains of upstreams, and the successors of processes
// that have left.
type Notices struct {
	Reports    []poison.Report `msgpack:"r"`
	Drains     []Drain         `msgpack:"d"`
	Successors []Successor     `msgpack:"h"`
}

// Successor identifies the VM that holds the outcomes of the keys that a process
// issued before it left.
type Successor struct {
	VM      string `msgpack:"v"`
	Started int64  `msgpack:"s"`
	Holder  string `msgpack:"h"`
}

// Drain reports that the incarnation of an upstream that started at Started accepts no
// new requests.
type Drain struct {
	Upstream string `msgpack:"u"`
	Started  int64  `msgpack:"s"`
}

// Submit carries a non-idempotent request to the owner of its key. First is set for
// the first send of the key.
type Submit struct {
	Workspace string        `msgpack:"w"`
	Template  string        `msgpack:"t"`
	Params    []byte        `msgpack:"p"`
	Key       string        `msgpack:"k"`
	Trace     string        `msgpack:"tr"`
	First     bool          `msgpack:"f"`
	Budget    time.Duration `msgpack:"b"`
}

// Verdict is the decision of the called node on a Submit.
type Verdict uint8

// The verdicts.
const (
	// VerdictEnded means that Outcome is the result of this send of the key.
	VerdictEnded Verdict = iota
	// VerdictNotOwner means that the node did nothing, because it does not own the
	// key or because its configuration, which may lag, does not allow the request.
	VerdictNotOwner
	// VerdictInvalid means that the key is malformed and that nothing was done.
	VerdictInvalid
)

// SubmitReply is the reply to Submit.
type SubmitReply struct {
	Verdict Verdict       `msgpack:"v"`
	Outcome dedup.Outcome `msgpack:"o"`
	Reason  string        `msgpack:"w"`
}

// TakeOver hands a slot of the key space and its table over to the new owner.
type TakeOver struct {
	Slot    int          `msgpack:"s"`
	Since   time.Time    `msgpack:"i"`
	Version uint64       `msgpack:"v"`
	Items   []dedup.Item `msgpack:"t"`
}

// Inherit hands over the outcomes of the keys that a process issued before it left. No
// new request with one of these keys runs after that.
type Inherit struct {
	VM      string       `msgpack:"v"`
	Started int64        `msgpack:"s"`
	Items   []dedup.Item `msgpack:"t"`
}

// Pull requests the configuration and the catalogue that the caller lacks.
type Pull struct {
	Have member.Versions `msgpack:"h"`
}

// PullReply carries what the caller of Pull lacks. Catalogue is nil if the caller's is
// not older.
type PullReply struct {
	Feed      config.Feed  `msgpack:"f"`
	Catalogue *layout.Spec `msgpack:"c"`
}

// VersionsReply carries the versions that a node has in effect.
type VersionsReply struct {
	Have member.Versions `msgpack:"h"`
}

// Notify reports that the node at the address has put newer versions into effect.
type Notify struct {
	Addr string          `msgpack:"a"`
	Have member.Versions `msgpack:"h"`
}

// Views carries a full view of the members, and the notices that a node may have
// missed before it started.
type Views struct {
	Records []member.Record `msgpack:"r"`
	Notices Notices         `msgpack:"n"`
}

// None is the body of a request or reply that carries nothing.
type None struct {
	_ struct{}
}
