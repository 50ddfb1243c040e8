package mesh

import "geraniumstep.org/geraniumstep/pkg/quota"

// limitNews carries news of one upstream's limit between nodes.
type limitNews struct {
	News quota.News `msgpack:"n"`
	// Forward asks the receiver to pass the news on within its failure domain.
	Forward bool `msgpack:"w,omitempty"`
}

// WithLimits sets the function that receives news of limits. It reports whether they were
// new. By default they are ignored.
func WithLimits(learn func(quota.News) bool) Option { return func(m *Mesh) { m.learnLimit = learn } }

// ShareLimit sends news of a limit to all nodes: directly within the failure domain, and to
// some nodes of each other domain, which forward it. Lost news are repeated by the next.
func (m *Mesh) ShareLimit(n quota.News) {
	m.sendLimit(n)
	for _, r := range m.remoteMembers(remoteForwarders) {
		m.send(r.Gossip, datagram{Limit: &limitNews{News: n, Forward: true}})
	}
}

// sendLimit sends news of a limit to the other nodes of the failure domain.
func (m *Mesh) sendLimit(n quota.News) {
	for _, r := range m.domainMembers() {
		m.send(r.Gossip, datagram{Limit: &limitNews{News: n}})
	}
}

func (m *Mesh) receiveLimit(l limitNews) {
	if m.learnLimit(l.News) && l.Forward {
		m.sendLimit(l.News)
	}
}
