package allot

import "time"

// Stamp is a reading of a server's clock, which the server sends and a pledge returns. It
// shows the server how old a pledge is at most, however long that was on its way.
type Stamp struct {
	// Term identifies the server's process since it last dropped all pledges. The zero
	// value is no term.
	Term uint64 `msgpack:"t"`
	// At is the time since the server started.
	At time.Duration `msgpack:"a"`
}

// Pledge gives a node's part of its domain's tokens to a server.
type Pledge struct {
	// VM and Started identify the node's process.
	VM      string `msgpack:"v"`
	Started int64  `msgpack:"s"`
	// Seq increases with each pledge of the process.
	Seq uint64 `msgpack:"q"`
	// Nodes is the number of nodes among which the domain's part is divided. 0 releases
	// the pledge.
	Nodes int `msgpack:"n"`
	// Stamp is the last one that the node has received from the server.
	Stamp Stamp `msgpack:"p"`
}

// Ack answers a pledge.
type Ack struct {
	// VM is the server, and Seq the number of the pledge.
	VM    string `msgpack:"v"`
	Seq   uint64 `msgpack:"q"`
	Stamp Stamp  `msgpack:"p"`
	// Released states that the server stops and uses no pledge of its term any more.
	Released bool `msgpack:"r,omitempty"`
}

// pledged is the last pledge of a node.
type pledged struct {
	started int64
	seq     uint64
	part    float64
	ends    time.Time
}

// isNewer reports whether the pledge was sent after the one that is known.
func (p pledged) isNewer(next Pledge) bool {
	if next.Started != p.started {
		return next.Started > p.started
	}
	return next.Seq > p.seq
}
