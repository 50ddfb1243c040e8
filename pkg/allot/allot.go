// Package allot keeps the requests of a workspace, summed over all nodes, within its
// allotment. A workspace's tokens come from the token servers of a few failure domains. A
// server holds only what the nodes of its domain pledge to it, and each node pledges its part
// to one server at a time. See docs/design/015-allotments.md.
//
//	rule := allot.NewRule(5*time.Second, domains, allot.WithExcess(0.1), allot.WithSlack(20))
//	s := allot.NewServer(rule, "domain-a")
//	s.Receive(pledge)
//	granted, wait := s.Take("folders", allotment, 1)
package allot

import (
	"math"
	"slices"
	"strings"
	"time"

	"geraniumstep.org/geraniumstep/pkg/access"
	"geraniumstep.org/geraniumstep/pkg/route"
)

const (
	// PledgeTime is how long a server may use a pledge (L), from when it sent the stamp that
	// the pledge returns. A node that has started pledges nothing for longer than that, and if
	// all nodes have started together, requests are refused meanwhile.
	PledgeTime = 1500 * time.Millisecond
	// PledgeInterval is how often a pledge is renewed. The stamp of a renewal is one interval
	// old, so that four of them in PledgeTime cover one that is lost.
	PledgeInterval = PledgeTime / 4
	// Margin is how much longer than PledgeTime a node waits before it pledges elsewhere. It
	// covers twice maxDrift and the difference of two clocks' rates.
	Margin = 500 * time.Millisecond
	// HoldTime is how long a node may hold a token, from the moment it asked (E). It exceeds
	// a quarter of the longest target, 1.5 s, which is the longest that a node asks.
	HoldTime = 500 * time.Millisecond
	// QueueTime is how long a request that has a token is assumed to wait at most for a slot
	// of an upstream: the target of standard requests, 400 ms, and the time of a send.
	QueueTime = 500 * time.Millisecond
	// minCapacity is the capacity that a domain gets at least, so that a token is left when
	// half of its nodes do not pledge.
	minCapacity = 2
	// spareShare is the share of what the bound leaves beyond the rate and the burst that adds
	// to the rate, in place of the parts of nodes that do not pledge and of tokens that lapse
	// in another domain than the one that needs them. The rest adds to the capacity.
	spareShare = 0.75
	// fillTime is within which time an empty bucket fills if the bound has room for it: two
	// of the windows in use. The slack would otherwise give small workspaces buckets that
	// take minutes to fill after a start.
	fillTime = 10 * time.Second
)

// Rule is the bound on a workspace's requests in any window, and the failure domains whose
// servers hold the tokens. It is immutable.
type Rule struct {
	window  time.Duration
	excess  float64
	slack   float64
	domains []string
}

// Option configures a Rule at construction.
type Option func(*Rule)

// WithExcess sets by which share the sum may exceed the allotment. The default is 0.
func WithExcess(share float64) Option { return func(r *Rule) { r.excess = share } }

// WithSlack sets by how many requests the sum may exceed the allotment. The default is 0.
func WithSlack(requests float64) Option { return func(r *Rule) { r.slack = requests } }

// NewRule returns the rule for windows of the given length over the failure domains.
func NewRule(window time.Duration, domains []string, opts ...Option) Rule {
	r := Rule{window: window, domains: slices.Sorted(slices.Values(domains))}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// Len returns the number of failure domains.
func (r Rule) Len() int { return len(r.domains) }

// Bound returns the greatest number of requests in any window.
func (r Rule) Bound(a access.Allotment) float64 {
	return (a.Rate*r.window.Seconds()+a.Burst)*(1+r.excess) + r.slack
}

// Split divides the bound into the capacity of all buckets together, in tokens, and their
// rate, in tokens per second. Tokens that are granted within a window, the hold time and the
// queue time may all be used within the window, so that
// capacity + rate × (window + HoldTime + QueueTime) is the bound.
func (r Rule) Split(a access.Allotment) (capacity, rate float64) {
	bound, span := r.Bound(a), (r.window + HoldTime + QueueTime).Seconds()
	// A bound of less than three tokens leaves one for the bucket and the rest for the rate.
	least := max(a.Burst, min(minCapacity, (1+bound)/2))
	spare := max(bound-a.Rate*span-a.Burst, 0)
	rate = max(a.Rate+spareShare*spare/span, bound/(span+fillTime.Seconds()))
	rate = min(rate, max(bound-least, 0)/span)
	return bound - rate*span, rate
}

// Part returns the capacity and the rate of each domain that holds tokens of the workspace,
// and the number of these domains.
func (r Rule) Part(a access.Allotment) (capacity, rate float64, domains int) {
	capacity, rate = r.Split(a)
	domains = max(1, min(len(r.domains), int(math.Floor(capacity/minCapacity))))
	return capacity / float64(domains), rate / float64(domains), domains
}

// Domains returns the domains that hold tokens of the workspace.
func (r Rule) Domains(workspace string, a access.Allotment) []string {
	_, _, n := r.Part(a)
	ranked := rank(workspace, r.domains)
	return ranked[:min(n, len(ranked))]
}

// holds reports whether the domain holds tokens of the workspace.
func (r Rule) holds(domain, workspace string, a access.Allotment) bool {
	return slices.Contains(r.Domains(workspace, a), domain)
}

// serverResource is the name by which the nodes of a domain are ranked as token servers.
const serverResource = "token-server"

// RankServers returns the nodes in the order in which they serve their domain's tokens.
func RankServers(nodes []string) []string { return rank(serverResource, nodes) }

// rank orders names by rendezvous hashing.
func rank(resource string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		wa, wb := route.Weight(resource, a), route.Weight(resource, b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return strings.Compare(a, b)
	})
	return ranked
}
