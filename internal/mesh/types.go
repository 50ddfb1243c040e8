// Package mesh connects the relay nodes of the tier: it tracks the live members,
// replicates the contents of the platform's store, and carries calls between nodes.
// Membership uses pkg/member over UDP; calls use net/rpc with the codec of
// internal/peer.
//
//	m := mesh.New(self, listener, packets, state, dial, mesh.WithSeeds(addresses))
//	err := m.Run(ctx)
package mesh

import (
	"time"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/pkg/allot"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/outage"
)

// service is the name under which the methods are registered with net/rpc.
const service = "Mesh"

// Names of the methods that nodes call.
const (
	methodViews   = service + ".Views"
	methodPush    = service + ".Push"
	methodPull    = service + ".Pull"
	methodReplies = service + ".Replies"
	// Older builds crash on a Push or Pull of a topic that they do not know.
	methodPushEvacuations = service + ".PushEvacuations"
	methodPullEvacuations = service + ".PullEvacuations"
)

// Revisions holds, for each topic, the store revision of a node's copy.
type Revisions struct {
	Routes    uint64 `msgpack:"r"`
	Upstreams uint64 `msgpack:"u"`
	// Evacuations is 0 if the node has none or does not follow them, as in older builds.
	Evacuations uint64 `msgpack:"e,omitempty"`
}

// Of returns the revision of a topic.
func (r Revisions) Of(t follow.Topic) uint64 {
	switch t {
	case follow.Routes:
		return r.Routes
	case follow.Upstreams:
		return r.Upstreams
	case follow.Evacuations:
		return r.Evacuations
	}
	return 0
}

// covers reports whether r is at least as new as other in every topic.
func (r Revisions) covers(other Revisions) bool {
	return r.Routes >= other.Routes && r.Upstreams >= other.Upstreams && r.Evacuations >= other.Evacuations
}

// versions converts the revisions for membership messages.
func (r Revisions) versions() member.Versions {
	return member.Versions{Config: r.Routes, Catalogue: r.Upstreams, Evacuations: r.Evacuations}
}

// revisionsOf is the inverse of versions.
func revisionsOf(v member.Versions) Revisions {
	return Revisions{Routes: v.Config, Upstreams: v.Catalogue, Evacuations: v.Evacuations}
}

// heartbeat is sent by a node that reads the store to the members of its failure
// domain.
type heartbeat struct {
	VM   string    `msgpack:"v"`
	Addr string    `msgpack:"a"`
	Have Revisions `msgpack:"h"`
	// StoreAge is the time since the store last answered the sender about the topic that it
	// was answered about longest ago, and ReplyAge about any topic. Older builds do not send
	// ReplyAge.
	StoreAge time.Duration `msgpack:"s"`
	ReplyAge time.Duration `msgpack:"p,omitempty"`
	// StoreFailing is how long the sender's calls to the store have been failing.
	StoreFailing time.Duration `msgpack:"f,omitempty"`
	// Replies holds the replies of the store that are known to the sender, those to other
	// nodes included. Older builds do not send it.
	Replies *replyAges `msgpack:"k,omitempty"`
	// Evacuations is set if the sender follows the evacuations. Older builds do not.
	Evacuations bool `msgpack:"e,omitempty"`
}

// replies returns the replies of the store that the heartbeat, which arrived now, reports.
func (h heartbeat) replies(now time.Time) outage.Span {
	if h.Replies == nil {
		return outage.At(now.Add(-h.StoreAge))
	}
	return h.Replies.span(now, now)
}

// replyAges is an outage.Span as the ages of its first and last reply when it was sent. Known is
// false if no reply is known to the sender.
type replyAges struct {
	Known bool          `msgpack:"k"`
	First time.Duration `msgpack:"f"`
	Last  time.Duration `msgpack:"l"`
}

func newReplyAges(s outage.Span, now time.Time) *replyAges {
	if s.IsZero() {
		return &replyAges{}
	}
	return &replyAges{Known: true, First: now.Sub(s.First()), Last: now.Sub(s.Last())}
}

// span returns the span of replies that were sent between two times. It leaves out what may
// only seem to be in the span because the message was late.
func (r replyAges) span(earliest, latest time.Time) outage.Span {
	first, last := latest.Add(-max(r.First, 0)), earliest.Add(-max(r.Last, 0))
	if !r.Known || last.Before(first) {
		return outage.Span{}
	}
	return outage.Between(first, last)
}

// datagram is one UDP message: a membership message, a heartbeat, crash reports, news of a
// limit, the news that an upstream leaves, that one is cold, or of paces, or a pledge of allotments
// or its answer.
type datagram struct {
	Message   *member.Message `msgpack:"m,omitempty"`
	Heartbeat *heartbeat      `msgpack:"b,omitempty"`
	Crashes   *crashReports   `msgpack:"c,omitempty"`
	Limit     *limitNews      `msgpack:"l,omitempty"`
	Leaving   *leavingNews    `msgpack:"v,omitempty"`
	Cold      *coldNews       `msgpack:"o,omitempty"`
	Paces     *paceNews       `msgpack:"p,omitempty"`
	Pledge    *allot.Pledge   `msgpack:"g,omitempty"`
	Ack       *allot.Ack      `msgpack:"a,omitempty"`
}

// Views carries a full membership view.
type Views struct {
	Records []member.Record `msgpack:"r"`
}

// Push sends changes of a topic to another node.
type Push struct {
	Topic follow.Topic `msgpack:"t"`
	Batch follow.Batch `msgpack:"b"`
}

// Pull requests the changes of a topic after the revision Have.
type Pull struct {
	Topic follow.Topic `msgpack:"t"`
	Have  uint64       `msgpack:"h"`
}

// PullReply carries the changes or the full topic. Batch is nil if the called node
// has nothing newer.
type PullReply struct {
	Batch *follow.Batch `msgpack:"b"`
}

// RepliesReply carries the replies of the store that are known to the called node, and its
// revisions.
type RepliesReply struct {
	Replies replyAges `msgpack:"k"`
	Have    Revisions `msgpack:"h"`
}

// Empty is the reply of a call that returns nothing.
type Empty struct {
	_ struct{}
}
