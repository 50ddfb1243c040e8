package node

import (
	"geraniumstep.org/geraniumstep/internal/roster"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// The routing modes that the node distinguishes. In every mode other than
// modeFront, each node calls upstreams directly; in modeShared it uses only its
// share of their slots.
const (
	modeFront  = "front"
	modeShared = "shared"
)

// markExcludedDead marks the members that refused a connection within the last
// excludeTime as dead.
func (n *Node) markExcludedDead(records []member.Record) []member.Record {
	for i := range records {
		if n.isExcluded(records[i].Addr) {
			records[i].Status = member.Dead
		}
	}
	return records
}

// rebuildView builds a view from the current records and makes it the one that
// requests use. It closes the connections to members that have gone.
func (n *Node) rebuildView() {
	records, reachable := n.members.snapshot()
	next := roster.New(n.markExcludedDead(records), reachable)
	if old := n.view.Load(); old != nil {
		next.Inherit(old)
	}
	old := n.view.Swap(next)
	if old == nil {
		return
	}
	for _, addr := range old.Gone(next) {
		n.peers.Disconnect(addr)
	}
}
