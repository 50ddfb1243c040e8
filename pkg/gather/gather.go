// Package gather decides which nodes reach the shards of a search for the
// others. Few nodes with much traffic know their upstreams better, keep their
// connections warm and share budgets in larger pieces than many nodes with
// little; and the shards of another region cost one answer instead of many when
// a node there merges them.
//
//	set := gather.New(self, nodes)
//	set.Own()         // gatherers of the own failure domain, none if self is one
//	set.Region("mba") // gatherers of another region
package gather

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// allUpTo is the size of a failure domain in which every node gathers.
	allUpTo = 4
	// least is the fewest gatherers of a larger domain, so that one can fail.
	least = 2
	// capacityShare is the part of a domain's capacity that its gatherers
	// have at least. Gathering is most of a node's work.
	capacityShare = 1.0 / 3
)

// Node is one live node of the tier.
type Node struct {
	VM     string
	Addr   string
	Domain string
	Region string
	// Capacity is how much work the node can do, relative to others.
	Capacity float64
}

// Set is who gathers, as one node sees it. It is immutable.
type Set struct {
	self    Node
	gathers bool
	own     []Node
	domains map[string][]Node // of the other domains of this region
	regions map[string][]Node
	total   int
}

// New chooses the gatherers among the live nodes, which need not hold self.
func New(self Node, nodes []Node) *Set {
	byDomain := map[string][]Node{self.Domain: {self}}
	for _, n := range nodes {
		if n.VM != self.VM {
			byDomain[n.Domain] = append(byDomain[n.Domain], n)
		}
	}
	s := &Set{self: self, domains: make(map[string][]Node), regions: make(map[string][]Node)}
	for domain, members := range byDomain {
		chosen := choose(members)
		s.total += len(chosen)
		if domain == self.Domain {
			s.own = chosen
		}
		for _, n := range chosen {
			if n.Region != self.Region {
				s.regions[n.Region] = append(s.regions[n.Region], n)
			} else if domain != self.Domain {
				s.domains[domain] = append(s.domains[domain], n)
			}
		}
	}
	for _, n := range s.own {
		s.gathers = s.gathers || n.VM == self.VM
	}
	for _, list := range s.regions {
		sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	}
	return s
}

// choose takes the strongest members, which together have a share of the
// domain's capacity. All nodes that know the same members choose alike.
func choose(members []Node) []Node {
	sort.Slice(members, func(i, j int) bool { return before(members[i], members[j]) })
	if len(members) <= allUpTo {
		return members
	}
	total, sum := 0.0, 0.0
	for _, n := range members {
		total += n.Capacity
	}
	for i, n := range members {
		if i >= least && sum >= capacityShare*total {
			return members[:i]
		}
		sum += n.Capacity
	}
	return members
}

func before(a, b Node) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	ha, hb := xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)
	if ha != hb {
		return ha < hb
	}
	return a.VM < b.VM
}

// Gathers tells whether this node reaches shards itself.
func (s *Set) Gathers() bool { return s.gathers }

// Local lists the gatherers of the own failure domain.
func (s *Set) Local() []Node { return s.own }

// Domain lists the gatherers of another failure domain of this region.
func (s *Set) Domain(name string) []Node { return s.domains[name] }

// Region lists the gatherers of another region.
func (s *Set) Region(name string) []Node { return s.regions[name] }

// Total is how many nodes gather in all domains together.
func (s *Set) Total() int { return s.total }
