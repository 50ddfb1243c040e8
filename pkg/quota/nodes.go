package quota

import "geraniumstep.org/geraniumstep/pkg/route"

// nearShare is the share of a limit that the nodes in the upstream's failure domain have.
// They send most of its requests.
const nearShare = 0.8

// Node is one node of the tier.
type Node struct{ VM, Domain string }

// Nodes is an immutable list of the nodes that divide the limits, from the view of one of them.
type Nodes struct {
	self Node
	list []Node
}

// NewNodes returns the list of the nodes, which need not include self.
func NewNodes(self Node, list []Node) *Nodes {
	n := &Nodes{self: self, list: []Node{self}}
	for _, other := range list {
		if other.VM != self.VM {
			n.list = append(n.list, other)
		}
	}
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
	p := place{isNear: n.self.Domain == domain}
	own := route.Weight(name, n.self.VM)
	for _, node := range n.list {
		isNear := node.Domain == domain
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
