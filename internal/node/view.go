package node

import (
	"geraniumstep.org/geraniumstep/internal/roster"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// The routing modes that differ in code. In any mode but modeFront every node
// calls upstreams itself; in modeShared it uses its share of their slots.
const (
	modeFront  = "front"
	modeShared = "shared"
)

// withoutShunned marks as dead the members that are routed around.
func (n *Node) withoutShunned(records []member.Record) []member.Record {
	for i := range records {
		if n.shuns(records[i].Addr) {
			records[i].Status = member.Dead
		}
	}
	return records
}

// rebuildView makes the members' present state the one that requests see.
func (n *Node) rebuildView() {
	records, reachable := n.members.snapshot()
	next := roster.New(n.withoutShunned(records), reachable)
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
