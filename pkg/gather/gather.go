// Package gather chooses the gatherers among the nodes of the tier. A gatherer sends
// the shard requests of a search on behalf of other nodes and merges the replies.
//
// A few nodes with much traffic have better latency estimates of their upstreams
// than many nodes with little, keep their connections warm, and divide the shared
// budgets into larger parts. A gatherer in another region also sends back one
// merged reply instead of one per shard.
//
//	set := gather.New(self, nodes)
//	set.Local()       // gatherers of the local failure domain
//	set.Region("mba") // gatherers of another region
package gather

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAllGather is the largest size of a failure domain in which every node
	// is a gatherer.
	maxAllGather = 4
	// minGatherers is the minimum number of gatherers in a larger domain, so
	// that one of them can fail.
	minGatherers = 2
	// minCapacityShare is the minimum part of a domain's capacity that its
	// gatherers have. It is large because gathering is most of a node's work.
	minCapacityShare = 1.0 / 3
	// minStrongShare is that part if the next node has less than strongRatio of the
	// strongest one's capacity. A weak node takes several times as long for a search, on
	// its processor and its link, and no node sees enough searches to find out which
	// ones are weak.
	minStrongShare = 1.0 / 6
	strongRatio    = 0.5
)

// Node is one live node of the tier.
type Node struct {
	VM     string
	Addr   string
	Domain string
	Region string
	// Capacity is the amount of work that the node can do, relative to others.
	Capacity float64
}

// Set is the set of gatherers from the view of one node. It is immutable.
type Set struct {
	self    Node
	gathers bool
	local   []Node
	domains map[string][]Node // of the other domains of this region
	regions map[string][]Node
	total   int
	// gatherers holds those of all domains, and others all other live nodes.
	gatherers, others []Node
}

// New chooses the gatherers among the live nodes, which need not include self.
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
		s.gatherers = append(s.gatherers, chosen...)
		s.others = append(s.others, members[len(chosen):]...)
		if domain == self.Domain {
			s.local = chosen
		}
		for _, n := range chosen {
			if n.Region != self.Region {
				s.regions[n.Region] = append(s.regions[n.Region], n)
			} else if domain != self.Domain {
				s.domains[domain] = append(s.domains[domain], n)
			}
		}
	}
	for _, n := range s.local {
		s.gathers = s.gathers || n.VM == self.VM
	}
	for _, list := range s.regions {
		sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	}
	return s
}

// choose returns the members with the highest capacity that together have
// minCapacityShare of the domain's capacity, or minStrongShare if the others are weak. All nodes with the same member list
// choose the same gatherers.
func choose(members []Node) []Node {
	sort.Slice(members, func(i, j int) bool { return strongerThan(members[i], members[j]) })
	if len(members) <= maxAllGather {
		return members
	}
	total, sum := 0.0, 0.0
	for _, n := range members {
		total += n.Capacity
	}
	for i, n := range members {
		share := minCapacityShare
		if n.Capacity < strongRatio*members[0].Capacity {
			share = minStrongShare
		}
		if i >= minGatherers && sum >= share*total {
			return members[:i]
		}
		sum += n.Capacity
	}
	return members
}

func strongerThan(a, b Node) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	ha, hb := xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)
	if ha != hb {
		return ha < hb
	}
	return a.VM < b.VM
}

// Self returns this node.
func (s *Set) Self() Node { return s.self }

// Gatherers returns the gatherers of all failure domains, in no order.
func (s *Set) Gatherers() []Node { return s.gatherers }

// Others returns the nodes that are not gatherers, in no order.
func (s *Set) Others() []Node { return s.others }

// Gathers reports whether this node is a gatherer.
func (s *Set) Gathers() bool { return s.gathers }

// Local returns the gatherers of the local failure domain, which include this node
// if it is a gatherer.
func (s *Set) Local() []Node { return s.local }

// Domain returns the gatherers of another failure domain of this region.
func (s *Set) Domain(name string) []Node { return s.domains[name] }

// Region returns the gatherers of another region.
func (s *Set) Region(name string) []Node { return s.regions[name] }

// Total returns the number of gatherers in all domains.
func (s *Set) Total() int { return s.total }
