package allot

import (
	"slices"
	"time"
)

// skipTime is how long a node that does not answer pledges is left out: it is frozen, cut off
// or of a build without token servers.
const skipTime = 10 * PledgeTime

// Pledger decides to which server a node pledges its part. Not more than one server may use
// it at any time. It is not safe for concurrent use.
type Pledger struct {
	vm      string
	started int64
	seq     uint64
	// server is the one that may use the node's pledge, or "" if that is not known or none.
	server string
	// stamp is the server's last one, and stampedAt when it arrived.
	stamp     Stamp
	stampedAt time.Time
	// free is when no server can use a pledge of this node any more.
	free time.Time
	// releasing is the number of the first release sent to the server, or 0.
	releasing uint64
	// unanswered is when the first pledge without an answer was sent, or zero.
	unanswered time.Time
	sentAt     time.Time
	tickedAt   time.Time
	// next is the server that the node is about to pledge to.
	next    contact
	skipped map[string]time.Time
	stopped bool
	clock   Clock
}

// PledgerOption configures a Pledger at construction.
type PledgerOption func(*Pledger)

// WithPledgerClock sets the clocks. The default are those of the runtime.
func WithPledgerClock(c Clock) PledgerOption { return func(p *Pledger) { p.clock = c } }

// NewPledger returns the pledger of a process that has just started. An earlier process of
// the VM may have pledged to any server until now.
func NewPledger(vm string, started int64, opts ...PledgerOption) *Pledger {
	p := &Pledger{vm: vm, started: started, skipped: make(map[string]time.Time)}
	for _, opt := range opts {
		opt(p)
	}
	p.free = p.clock.now().Add(PledgeTime + Margin)
	return p
}

// contact is a server that is asked for a stamp since a time.
type contact struct {
	vm        string
	stamp     Stamp
	stampedAt time.Time
	since     time.Time
	sentAt    time.Time
}

// Message is a pledge for a server.
type Message struct {
	To     string
	Pledge Pledge
}

// Server returns the server that the node pledges to and asks first.
func (p *Pledger) Server() string { return p.server }

// Tick returns the pledges that are due. The candidates are the live nodes of the domain, and
// nodes is how many share the domain's part.
func (p *Pledger) Tick(candidates []string, nodes int) []Message {
	now := p.clock.now()
	if p.stopped {
		return nil
	}
	if now.Sub(p.tickedAt) >= PledgeInterval {
		// This process was frozen, and answers may not have been read.
		p.unanswered, p.next = time.Time{}, contact{}
	}
	p.tickedAt = now
	if !p.unanswered.IsZero() && now.Sub(p.unanswered) >= PledgeTime {
		p.unanswered = time.Time{}
		p.skip(p.server, now)
	}
	if p.next.vm != "" && now.Sub(maxTime(p.next.since, p.next.stampedAt)) >= PledgeTime {
		p.skip(p.next.vm, now)
	}
	var due []Message
	if target := p.choose(candidates, now); target == p.server {
		p.next = contact{}
	} else {
		if p.next.vm != target {
			p.next = contact{vm: target, since: now}
		}
		fresh := now.Sub(p.next.stampedAt) < PledgeInterval
		switch {
		case p.next.stamp.Term != 0 && now.Before(p.free):
			return append(p.release(now), p.probe(now)...)
		case !fresh:
			due = p.probe(now)
		default:
			p.server, p.stamp, p.stampedAt = target, p.next.stamp, p.next.stampedAt
			p.releasing, p.unanswered, p.sentAt, p.next = 0, time.Time{}, time.Time{}, contact{}
		}
	}
	if p.server != "" && (now.Sub(p.sentAt) >= PledgeInterval || p.releasing != 0) {
		due = append(due, p.pledge(now, nodes))
	}
	return due
}

// probe asks the next server for a stamp. The node leaves its server only for one that answers.
func (p *Pledger) probe(now time.Time) []Message {
	if !p.next.sentAt.IsZero() && now.Sub(p.next.sentAt) < PledgeInterval {
		return nil
	}
	p.next.sentAt = now
	return []Message{p.message(p.next.vm, Stamp{}, 0)}
}

// choose returns the server of the domain: the first by rank that answers, or this node.
func (p *Pledger) choose(candidates []string, now time.Time) string {
	for _, vm := range RankServers(candidates) {
		if vm == p.vm || !p.skipped[vm].After(now) {
			return vm
		}
	}
	return p.vm
}

func (p *Pledger) skip(server string, now time.Time) {
	if server != "" && server != p.vm {
		p.skipped[server] = now.Add(skipTime)
	}
}

// pledge returns a pledge to the server.
func (p *Pledger) pledge(now time.Time, nodes int) Message {
	p.releasing, p.sentAt = 0, now
	if p.unanswered.IsZero() {
		p.unanswered = now
	}
	// The server uses the pledge for PledgeTime after it sent the stamp.
	p.free = maxTime(p.free, p.stampedAt.Add(PledgeTime+Margin))
	return p.message(p.server, p.stamp, max(nodes, 1))
}

// release takes the pledge back from the server before it lapses.
func (p *Pledger) release(now time.Time) []Message {
	if p.server == "" || now.Sub(p.sentAt) < PledgeInterval && p.releasing != 0 {
		return nil
	}
	p.sentAt, p.unanswered = now, time.Time{}
	m := p.message(p.server, p.stamp, 0)
	if p.releasing == 0 {
		p.releasing = m.Pledge.Seq
	}
	return []Message{m}
}

func (p *Pledger) message(to string, stamp Stamp, nodes int) Message {
	p.seq++
	return Message{To: to, Pledge: Pledge{VM: p.vm, Started: p.started, Seq: p.seq, Nodes: nodes, Stamp: stamp}}
}

// Receive records the answer of a server. The next Tick may return a pledge at once.
func (p *Pledger) Receive(a Ack) {
	now := p.clock.now()
	if a.VM == p.next.vm && a.VM != p.server {
		if a.Released {
			p.skip(a.VM, now)
			return
		}
		p.next.stamp, p.next.stampedAt = a.Stamp, now
	}
	if a.VM != p.server {
		return
	}
	p.unanswered = time.Time{}
	switch {
	case a.Released:
		p.skip(a.VM, now)
		if a.Stamp.Term == p.stamp.Term {
			p.freed(now)
		}
	case p.releasing != 0 && a.Seq >= p.releasing:
		p.freed(now)
	case a.Stamp.Term != p.stamp.Term:
		p.stamp, p.stampedAt, p.sentAt = a.Stamp, now, time.Time{}
	case a.Stamp.At > p.stamp.At:
		p.stamp, p.stampedAt = a.Stamp, now
	}
}

// freed records that no server can use a pledge of this node any more.
func (p *Pledger) freed(now time.Time) {
	p.server, p.stamp, p.releasing, p.free = "", Stamp{}, 0, now
}

// Stop returns the message that releases the pledge, if any. The node pledges nothing any
// more.
func (p *Pledger) Stop() []Message {
	if p.stopped {
		return nil
	}
	p.stopped = true
	return p.release(p.clock.now())
}

// Skipped returns the nodes that are left out, in order.
func (p *Pledger) Skipped() []string {
	var list []string
	for vm, until := range p.skipped {
		if until.After(p.clock.now()) {
			list = append(list, vm)
		}
	}
	slices.Sort(list)
	return list
}
