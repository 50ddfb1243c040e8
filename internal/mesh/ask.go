package mesh

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/reader"
)

const (
	// askInterval is how often a node that reads the store asks other failure domains for
	// replies of the store while it is in doubt.
	askInterval = 500 * time.Millisecond
	// askedInDomain is the number of nodes of each other domain that are asked, so that one
	// which is down does not delay the reply. maxAsked bounds them all.
	askedInDomain = 2
	maxAsked      = 6
)

// askIfDue asks nodes of other failure domains which replies of the store they know of while
// this node reads the store and is in doubt whether that is away. Only a reply to some
// node shows that the store is there, and that this domain has lost its connections to it.
func (m *Mesh) askIfDue(now time.Time) {
	if !m.ReadsStore() || now.Sub(m.lastAsk) < askInterval || !m.state.StoreInDoubt() {
		return
	}
	m.lastAsk = now
	nodes := m.remoteMembers(askedInDomain)
	for _, r := range nodes[:min(len(nodes), maxAsked)] {
		m.spawn(func(ctx context.Context) { m.ask(ctx, r) })
	}
}

// ask adds the replies known to the node, and pulls what it has newer if no node of this domain
// reaches the store.
func (m *Mesh) ask(ctx context.Context, r member.Record) {
	asked := time.Now()
	var reply RepliesReply
	if err := m.peers.Call(ctx, r.Addr, methodReplies, &Empty{}, &reply); err != nil {
		m.log.WithFields(logrus.Fields{"peer": r.VM, "error": err.Error()}).Debug("mesh: could not ask for replies of the store.")
		return
	}
	m.state.AddStoreReplies(reply.Replies.span(asked, time.Now()))
	if m.BestStoreAge() >= reader.MaxReplyAge {
		m.pullNewer(r.Addr, reply.Have)
	}
}
