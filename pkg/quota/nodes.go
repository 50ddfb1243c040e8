package quota

import (
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/pkg/route"
)

// nearShare is the share of a limit that the nodes in the upstream's failure domain have.
// They send most of its requests.
const nearShare = 0.8

// Node is one node of the tier.
type Node struct {
	VM, Domain string
	// Region is the region of the failure domain, and Gathers whether the node sends the
	// requests to shards for others. Both matter for cold upstreams only.
	Region  string
	Gathers bool
}

// Nodes is an immutable list of the nodes that divide the limits, from the view of one of them.
type Nodes struct {
	self Node
	list []Node
	// since is when the list came into force, and older the list before it, while that counts.
	since time.Time
	older atomic.Pointer[Nodes]
	// sole is set if the tier has no other node.
	sole bool
}

// NewNodes returns the list of the nodes, which need not include self. What it holds of self
// goes before the parameter.
func NewNodes(self Node, list []Node) *Nodes {
	n := &Nodes{self: self, since: time.Now()}
	for _, other := range list {
		if other.VM != self.VM {
			n.list = append(n.list, other)
		} else {
			n.self = other
		}
	}
	n.list = append(n.list, n.self)
	return n
}

// place is a node's place among those that may send to an upstream.
type place struct {
	// near and far are the numbers of nodes inside and outside of the upstream's
	// failure domain.
	near, far int
	// isNear reports which group the node is in, and rank its place there, from 0.
	isNear bool
	rank   int
}

// placeOf returns this node's place for an upstream. Without a list there is no other node.
func (n *Nodes) placeOf(name, domain string) place {
	if n == nil {
		return place{near: 1, isNear: true}
	}
	return n.placeAmong(n.list, name, func(node Node) bool { return node.Domain == domain })
}

// placeAmong returns this node's place among some of the nodes, given which ones are near.
func (n *Nodes) placeAmong(list []Node, name string, near func(Node) bool) place {
	p := place{isNear: near(n.self)}
	own := route.Weight(name, n.self.VM)
	for _, node := range list {
		isNear := near(node)
		if isNear {
			p.near++
		} else {
			p.far++
		}
		if s := route.Weight(name, node.VM); isNear == p.isNear && (s > own || s == own && node.VM < n.self.VM) {
			p.rank++
		}
	}
	return p
}

// minNear and minFar are the numbers of senders of a group beside one for each request per
// second that it may send. One request of each sender at the same moment must be within what
// an upstream accepts in a second or two.
const minNear, minFar = 3, 1

// part returns the node's part of a limit, or 0 if it may not send to the upstream.
func (p place) part(limit float64) float64 {
	rate, size, least := limit, p.far, minFar
	switch {
	case p.isNear && p.far > 0:
		rate, size, least = nearShare*limit, p.near, minNear
	case p.isNear:
		size, least = p.near, minNear
	case p.near > 0:
		rate = (1 - nearShare) * limit
	}
	senders := min(size, int(min(rate, float64(size)))+least)
	if p.rank >= senders {
		return 0
	}
	return rate / float64(senders)
}
