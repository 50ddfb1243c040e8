package node

import (
	"slices"
	"sort"
	"sync"

	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/route"
)

// The routing modes that differ in code. In any mode but modeFront every node
// calls upstreams itself; in modeShared it uses its share of their slots.
const (
	modeFront  = "front"
	modeShared = "shared"
)

// view is the immutable picture of the members that requests are routed by.
type view struct {
	self    string
	members map[string]member.Record
	domains map[string][]string
	cut     map[string]bool
	ready   []string
	// fronts remembers, for each domain, which VM fronts an upstream.
	fronts map[string]*frontCache
}

// frontCache remembers the choice of fronts among one list of candidates.
type frontCache struct {
	candidates []string
	chosen     sync.Map // upstream identifier to VM
}

// newView keeps the members that may front upstreams or own keys.
func newView(self string, records []member.Record, reachable func(domain string) bool) *view {
	v := &view{
		self:    self,
		members: make(map[string]member.Record),
		domains: make(map[string][]string),
		cut:     make(map[string]bool),
		fronts:  make(map[string]*frontCache),
	}
	for _, r := range records {
		v.members[r.VM] = r
		if r.Status >= member.Dead {
			continue
		}
		v.cut[r.Domain] = !reachable(r.Domain)
		v.domains[r.Domain] = append(v.domains[r.Domain], r.VM)
		if r.Ready {
			v.ready = append(v.ready, r.VM)
		}
	}
	for _, names := range v.domains {
		sort.Strings(names)
	}
	sort.Strings(v.ready)
	for domain := range v.domains {
		v.fronts[domain] = &frontCache{candidates: v.candidates(domain)}
	}
	return v
}

// inherit keeps what the view before had chosen in domains whose candidates
// are the same.
func (v *view) inherit(old *view) {
	for domain, cache := range old.fronts {
		if now, ok := v.fronts[domain]; ok && slices.Equal(now.candidates, cache.candidates) {
			v.fronts[domain] = cache
		}
	}
}

// front is the node that fronts the upstream. It reports false when the
// upstream's failure domain has no live node or is cut off.
func (v *view) front(u *layout.Upstream) (member.Record, bool) {
	cache, ok := v.fronts[u.Domain()]
	if !ok || v.cut[u.Domain()] {
		return member.Record{}, false
	}
	if name, ok := cache.chosen.Load(u.ID()); ok {
		return v.members[name.(string)], true
	}
	name := route.Owner(u.ID(), cache.candidates)
	if name == "" {
		return member.Record{}, false
	}
	cache.chosen.Store(u.ID(), name)
	return v.members[name], true
}

// candidates lists the nodes of a domain that front upstreams: those that are
// ready, or all when none is.
func (v *view) candidates(domain string) []string {
	var ready []string
	for _, name := range v.domains[domain] {
		if v.members[name].Ready {
			ready = append(ready, name)
		}
	}
	if len(ready) == 0 {
		return v.domains[domain]
	}
	return ready
}

// size is the number of live members.
func (v *view) size() int {
	n := 0
	for _, names := range v.domains {
		n += len(names)
	}
	return n
}

// live lists the members that can be reached and are not dead.
func (v *view) live() []member.Record {
	var list []member.Record
	for domain, names := range v.domains {
		if v.cut[domain] {
			continue
		}
		for _, name := range names {
			list = append(list, v.members[name])
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	return list
}

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
	next := newView(n.set.VM, n.withoutShunned(records), reachable)
	if old := n.view.Load(); old != nil {
		next.inherit(old)
	}
	old := n.view.Swap(next)
	if old == nil {
		return
	}
	for name, r := range old.members {
		now, known := next.members[name]
		gone := !known || now.Status >= member.Dead || now.Started != r.Started
		if gone && r.Status < member.Dead {
			n.peers.Forget(r.Addr)
		}
	}
}
