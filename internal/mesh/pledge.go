package mesh

import "geraniumstep.org/geraniumstep/pkg/allot"

// WithPledges sets the functions that receive pledges of other nodes, and answers to those of
// this node. By default both are ignored.
func WithPledges(pledge func(allot.Pledge), ack func(allot.Ack)) Option {
	return func(m *Mesh) { m.receivePledge, m.receiveAck = pledge, ack }
}

// SendPledge sends a pledge or an answer, of which one is not nil, to the address.
func (m *Mesh) SendPledge(addr string, p *allot.Pledge, a *allot.Ack) {
	m.send(addr, datagram{Pledge: p, Ack: a})
}
