// Package mesh connects the nodes of the tier that relay requests: it knows who
// lives, passes on what the platform's store says, and carries calls between
// nodes. Membership is pkg/member over datagrams; calls are net/rpc with the
// codec of internal/peer.
//
//	m, err := mesh.New(self, listener, packets, mesh.WithSeeds(addresses))
//	err = m.Run(ctx)
package mesh

import (
	"time"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// service is the name under which a node registers its methods.
const service = "Mesh"

// The methods of a node.
const (
	methodViews = service + ".Views"
	methodPush  = service + ".Push"
	methodPull  = service + ".Pull"
)

// Revisions tells up to which revision of the store a node knows each topic.
type Revisions struct {
	Routes    uint64 `msgpack:"r"`
	Upstreams uint64 `msgpack:"u"`
}

// Of gives the revision of a topic.
func (r Revisions) Of(t follow.Topic) uint64 {
	if t == follow.Routes {
		return r.Routes
	}
	return r.Upstreams
}

// covers tells whether a node with r lacks nothing of other.
func (r Revisions) covers(other Revisions) bool {
	return r.Routes >= other.Routes && r.Upstreams >= other.Upstreams
}

// versions carries the revisions on membership datagrams.
func (r Revisions) versions() member.Versions {
	return member.Versions{Config: r.Routes, Catalogue: r.Upstreams}
}

func revisionsOf(v member.Versions) Revisions {
	return Revisions{Routes: v.Config, Upstreams: v.Catalogue}
}

// beat is what a node that reads the store tells its domain.
type beat struct {
	VM   string    `msgpack:"v"`
	Addr string    `msgpack:"a"`
	Have Revisions `msgpack:"h"`
	// StoreAge is how old the node's last answer from the store is.
	StoreAge time.Duration `msgpack:"s"`
	// StoreFailing is for how long the store has failed the node.
	StoreFailing time.Duration `msgpack:"f,omitempty"`
}

// datagram is one UDP message: either a message between members or a beat.
type datagram struct {
	Message *member.Message `msgpack:"m,omitempty"`
	Beat    *beat           `msgpack:"b,omitempty"`
}

// Views carries a whole view of the members.
type Views struct {
	Records []member.Record `msgpack:"r"`
}

// Push hands changes of a topic to another node.
type Push struct {
	Topic follow.Topic `msgpack:"t"`
	Batch follow.Batch `msgpack:"b"`
}

// Pull asks for what the called node knows of a topic beyond Have.
type Pull struct {
	Topic follow.Topic `msgpack:"t"`
	Have  uint64       `msgpack:"h"`
}

// PullReply carries the changes or the whole topic, or nothing.
type PullReply struct {
	Batch *follow.Batch `msgpack:"b"`
}

// Empty is the answer to a call that returns nothing.
type Empty struct {
	_ struct{}
}
