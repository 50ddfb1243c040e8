// Package roster holds the immutable view of the members by which a node routes:
// the live members of each failure domain, the unreachable domains, and the front
// of each upstream, which is the node that holds its queue and connections.
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

// View is a snapshot of the members.
type View struct {
	members     map[string]member.Record
	domains     map[string][]string
	unreachable map[string]bool
	ready       []string
	// frontCaches caches the fronts of upstreams by failure domain.
	frontCaches map[string]*frontCache
}

// frontCache caches the fronts that were chosen among one list of candidates.
type frontCache struct {
	candidates []string
	chosen     sync.Map // upstream identifier to VM
}

// New returns a view of the records. Members that are dead or have left are
// returned by Member only.
func New(records []member.Record, reachable func(domain string) bool) *View {
	v := &View{
		members:     make(map[string]member.Record),
		domains:     make(map[string][]string),
		unreachable: make(map[string]bool),
		frontCaches: make(map[string]*frontCache),
	}
	for _, r := range records {
		v.members[r.VM] = r
		if r.Status >= member.Dead {
			continue
		}
		v.unreachable[r.Domain] = !reachable(r.Domain)
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
		v.frontCaches[domain] = &frontCache{candidates: v.Candidates(domain)}
	}
	return v
}

// Inherit takes over the cached fronts of an older view for domains whose
// candidates are unchanged.
func (v *View) Inherit(old *View) {
	for domain, cache := range old.frontCaches {
		if now, ok := v.frontCaches[domain]; ok && slices.Equal(now.candidates, cache.candidates) {
			v.frontCaches[domain] = cache
		}
	}
}

// Front returns the front of the upstream. It reports false when the upstream's
// failure domain has no live node or is unreachable.
func (v *View) Front(u *layout.Upstream) (member.Record, bool) {
	cache, ok := v.frontCaches[u.Domain()]
	if !ok || v.unreachable[u.Domain()] {
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

// Substitute returns the node that takes the place of a front that is cut off from the
// upstreams: the best other candidate of the upstream's failure domain, or a ready node of
// another domain. It reports false if all are cut off.
func (v *View) Substitute(u *layout.Upstream, isCut func(vm string) bool) (member.Record, bool) {
	for _, candidates := range [][]string{v.Candidates(u.Domain()), v.ready} {
		var left []string
		for _, name := range candidates {
			if !v.unreachable[v.members[name].Domain] && !isCut(name) {
				left = append(left, name)
			}
		}
		if name := route.Owner(u.ID(), left); name != "" {
			return v.members[name], true
		}
	}
	return member.Record{}, false
}

// Candidates returns the nodes of a domain that may be the front of an upstream: the
// ready ones, or all live ones when none is ready.
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

// Size returns the number of live members.
func (v *View) Size() int {
	n := 0
	for _, names := range v.domains {
		n += len(names)
	}
	return n
}

// Live returns the live members of all reachable domains, sorted by VM.
func (v *View) Live() []member.Record {
	var list []member.Record
	for domain, names := range v.domains {
		if v.unreachable[domain] {
			continue
		}
		for _, name := range names {
			list = append(list, v.members[name])
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	return list
}

// Member returns the record of a member.
func (v *View) Member(vm string) (member.Record, bool) {
	r, ok := v.members[vm]
	return r, ok
}

// ReadyCount returns the number of live members that accept callers.
func (v *View) ReadyCount() int { return len(v.ready) }

// ReachabilityChanged reports whether the reachability of any domain differs from
// that in the view.
func (v *View) ReachabilityChanged(reachable func(domain string) bool) bool {
	for domain, unreachable := range v.unreachable {
		if unreachable == reachable(domain) {
			return true
		}
	}
	return false
}

// Gone returns the addresses of members that are live in v and that next does not
// list as live in the same incarnation.
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
