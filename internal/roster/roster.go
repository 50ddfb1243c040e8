// Package roster is the immutable picture of the members by which a node routes:
// who lives in which failure domain, which domains are cut off, and which node
// fronts an upstream.
//
//	v := roster.New(records, reachable)
//	record, ok := v.Front(upstream)
package roster

import (
	"slices"
	"sort"
	"sync"

	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/route"
)

// View is the picture of the members at one moment.
type View struct {
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

// New keeps the members that may front upstreams or own keys.
func New(records []member.Record, reachable func(domain string) bool) *View {
	v := &View{
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
		v.fronts[domain] = &frontCache{candidates: v.Candidates(domain)}
	}
	return v
}

// Inherit keeps what the view before had chosen in domains whose candidates
// are the same.
func (v *View) Inherit(old *View) {
	for domain, cache := range old.fronts {
		if now, ok := v.fronts[domain]; ok && slices.Equal(now.candidates, cache.candidates) {
			v.fronts[domain] = cache
		}
	}
}

// Front is the node that fronts the upstream. It reports false when the
// upstream's failure domain has no live node or is cut off.
func (v *View) Front(u *layout.Upstream) (member.Record, bool) {
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

// Candidates lists the nodes of a domain that front upstreams: those that are
// ready, or all when none is.
func (v *View) Candidates(domain string) []string {
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

// Size is the number of live members.
func (v *View) Size() int {
	n := 0
	for _, names := range v.domains {
		n += len(names)
	}
	return n
}

// Live lists the members that can be reached and are not dead.
func (v *View) Live() []member.Record {
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

// Member gives what is known of a member.
func (v *View) Member(vm string) (member.Record, bool) {
	r, ok := v.members[vm]
	return r, ok
}

// ReadyCount counts the live members that take callers.
func (v *View) ReadyCount() int { return len(v.ready) }

// ReachabilityChanged tells whether another set of domains is cut off by now.
func (v *View) ReachabilityChanged(reachable func(domain string) bool) bool {
	for domain, cut := range v.cut {
		if cut == reachable(domain) {
			return true
		}
	}
	return false
}

// Gone lists the addresses of members that lived in v and that next no longer
// has in the same incarnation.
func (v *View) Gone(next *View) []string {
	var addrs []string
	for name, r := range v.members {
		now, known := next.members[name]
		gone := !known || now.Status >= member.Dead || now.Started != r.Started
		if gone && r.Status < member.Dead {
			addrs = append(addrs, r.Addr)
		}
	}
	return addrs
}
