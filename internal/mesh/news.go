package mesh

import (
	"geraniumstep.org/geraniumstep/pkg/advice"
	"geraniumstep.org/geraniumstep/pkg/quota"
)

// limitNews carries news of one upstream's limit between nodes.
type limitNews struct {
	News quota.News `msgpack:"n"`
	// Forward asks the receiver to pass the news on within its failure domain.
	Forward bool `msgpack:"w,omitempty"`
}

// leavingNews carries the news that an upstream leaves.
type leavingNews struct {
	News    advice.News `msgpack:"n"`
	Forward bool        `msgpack:"w,omitempty"`
}

// coldNews carries the news that an upstream is cold.
type coldNews struct {
	News    quota.ColdNews `msgpack:"n"`
	Forward bool           `msgpack:"w,omitempty"`
}

// paceNews carries the paces of upstreams that a node has found, encoded by pkg/pace.
type paceNews struct {
	Data    []byte `msgpack:"d"`
	Forward bool   `msgpack:"w,omitempty"`
}

// WithLimits sets the function that receives news of limits. It reports whether they were
// new. By default they are ignored.
func WithLimits(learn func(quota.News) bool) Option { return func(m *Mesh) { m.learnLimit = learn } }

// WithLeaving sets the function that receives the news that an upstream leaves. It reports
// whether it was new. By default it is ignored.
func WithLeaving(learn func(advice.News) bool) Option {
	return func(m *Mesh) { m.learnLeaving = learn }
}

// WithCold sets the function that receives the news that an upstream is cold. It reports whether
// it was new. By default it is ignored.
func WithCold(learn func(quota.ColdNews) bool) Option {
	return func(m *Mesh) { m.learnCold = learn }
}

// WithPaces sets the function that receives the paces that other nodes have found. It reports
// whether they concern known upstreams. By default they are ignored.
func WithPaces(learn func(data []byte) bool) Option {
	return func(m *Mesh) { m.learnPaces = learn }
}

// ShareLimit sends news of a limit to all nodes.
func (m *Mesh) ShareLimit(n quota.News) {
	m.shareNews(func(forward bool) datagram { return datagram{Limit: &limitNews{News: n, Forward: forward}} })
}

// ShareLeaving sends the news that an upstream leaves to all nodes.
func (m *Mesh) ShareLeaving(n advice.News) {
	m.shareNews(func(forward bool) datagram { return datagram{Leaving: &leavingNews{News: n, Forward: forward}} })
}

// ShareCold sends the news that an upstream is cold to all nodes.
func (m *Mesh) ShareCold(n quota.ColdNews) {
	m.shareNews(func(forward bool) datagram { return datagram{Cold: &coldNews{News: n, Forward: forward}} })
}

// SharePaces sends the paces that this node has found to all nodes.
func (m *Mesh) SharePaces(data []byte) {
	m.shareNews(func(forward bool) datagram { return datagram{Paces: &paceNews{Data: data, Forward: forward}} })
}

// shareNews sends a message to all nodes: directly within the failure domain, and to some
// nodes of each other domain, which forward it. Lost news are repeated by the upstream's next
// answer to a node that has not received them.
func (m *Mesh) shareNews(message func(forward bool) datagram) {
	m.sendNews(message)
	for _, r := range m.remoteMembers(remoteForwarders) {
		m.send(r.Gossip, message(true))
	}
}

// sendNews sends a message to the other nodes of the failure domain.
func (m *Mesh) sendNews(message func(forward bool) datagram) {
	for _, r := range m.domainMembers() {
		m.send(r.Gossip, message(false))
	}
}

func (m *Mesh) receiveLimit(l limitNews) {
	if m.learnLimit(l.News) && l.Forward {
		m.sendNews(func(bool) datagram { return datagram{Limit: &limitNews{News: l.News}} })
	}
}

func (m *Mesh) receiveLeaving(l leavingNews) {
	if m.learnLeaving(l.News) && l.Forward {
		m.sendNews(func(bool) datagram { return datagram{Leaving: &leavingNews{News: l.News}} })
	}
}

func (m *Mesh) receiveCold(c coldNews) {
	if m.learnCold(c.News) && c.Forward {
		m.sendNews(func(bool) datagram { return datagram{Cold: &coldNews{News: c.News}} })
	}
}

func (m *Mesh) receivePaces(p paceNews) {
	if m.learnPaces(p.Data) && p.Forward {
		m.sendNews(func(bool) datagram { return datagram{Paces: &paceNews{Data: p.Data}} })
	}
}
