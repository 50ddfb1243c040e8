// Package peer is the protocol between the nodes: net/rpc calls with msgpack
// bodies. It holds the messages, the client that keeps one connection to each
// peer, and the codec; what the calls do is up to the node.
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

// ShardRequest is one sub-request on its way from the node that serves the caller to
// the node that fronts the upstream.
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

// ShardReply is what became of a sub-request.
type ShardReply struct {
	// OK tells that Reply holds an answer read to its end; else Cause tells why not.
	OK    bool         `msgpack:"ok"`
	Cause search.Cause `msgpack:"c"`
	// Unsent tells that nothing was sent to the upstream.
	Unsent     bool          `msgpack:"u"`
	RetryAfter time.Duration `msgpack:"ra"`
	Reply      search.Reply  `msgpack:"r"`
	// Wait is how long the sub-request queued and Service how long it ran.
	Wait    time.Duration `msgpack:"w"`
	Service time.Duration `msgpack:"s"`
	// EstimatedService is the upstream's usual service time and Ahead how long the next
	// sub-request of the same priority would queue, as its front sees them.
	EstimatedService time.Duration `msgpack:"p"`
	EstimatedWait    time.Duration `msgpack:"a"`
}

// Cancel names a sub-request whose result is no longer wanted.
type Cancel struct {
	Request string `msgpack:"r"`
	Attempt uint32 `msgpack:"a"`
}

// Notices carries what every node should know at once about upstreams.
type Notices struct {
	Reports    []poison.Report `msgpack:"r"`
	Drains     []Drain         `msgpack:"d"`
	Successors []Successor     `msgpack:"h"`
}

// Successor names the VM that holds what became of the keys that a process issued
// before it left.
type Successor struct {
	VM      string `msgpack:"v"`
	Started int64  `msgpack:"s"`
	Holder  string `msgpack:"h"`
}

// Drain tells that an upstream, as it came up at Started, takes no new work.
type Drain struct {
	Upstream string `msgpack:"u"`
	Started  int64  `msgpack:"s"`
}

// Submit carries a non-idempotent request to the owner of its key.
type Submit struct {
	Workspace string        `msgpack:"w"`
	Template  string        `msgpack:"t"`
	Params    []byte        `msgpack:"p"`
	Key       string        `msgpack:"k"`
	Trace     string        `msgpack:"tr"`
	First     bool          `msgpack:"f"`
	Budget    time.Duration `msgpack:"b"`
}

// Verdict tells what the called node did with a Submit.
type Verdict uint8

// The verdicts.
const (
	// VerdictEnded tells that Outcome is final.
	VerdictEnded Verdict = iota
	// VerdictNotOwner tells that the node did nothing, as it does not own the key.
	VerdictNotOwner
	// VerdictInvalid tells that the request is not allowed; nothing was done.
	VerdictInvalid
)

// SubmitReply is the answer to Submit.
type SubmitReply struct {
	Verdict Verdict       `msgpack:"v"`
	Outcome dedup.Outcome `msgpack:"o"`
	Reason  string        `msgpack:"w"`
}

// TakeOver hands a slot of the key space to its new owner, with its table.
type TakeOver struct {
	Slot    int          `msgpack:"s"`
	Since   time.Time    `msgpack:"i"`
	Version uint64       `msgpack:"v"`
	Items   []dedup.Item `msgpack:"t"`
}

// Inherit hands over what became of the keys that a leaving node issued. The
// sender runs none of them any more.
type Inherit struct {
	VM      string       `msgpack:"v"`
	Started int64        `msgpack:"s"`
	Items   []dedup.Item `msgpack:"t"`
}

// Pull asks for what the caller lacks.
type Pull struct {
	Have member.Versions `msgpack:"h"`
}

// PullReply carries what the caller of Pull lacks. Catalogue is nil when it
// has the newest.
type PullReply struct {
	Feed      config.Feed  `msgpack:"f"`
	Catalogue *layout.Spec `msgpack:"c"`
}

// VersionsReply tells what a node has in force.
type VersionsReply struct {
	Have member.Versions `msgpack:"h"`
}

// Notify tells that the node at the address has something newer in force.
type Notify struct {
	Addr string          `msgpack:"a"`
	Have member.Versions `msgpack:"h"`
}

// Views carries a whole view of the members, with what a node that has just
// started should know of upstreams.
type Views struct {
	Records []member.Record `msgpack:"r"`
	Notices Notices         `msgpack:"n"`
}

// None is the body of a call or answer that carries nothing.
type None struct {
	_ struct{}
}
