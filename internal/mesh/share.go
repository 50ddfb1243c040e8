package mesh

import (
	"math/rand/v2"
	"time"

	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

const (
	// exchangeInterval is how often a node that has crash reports sends them to one
	// other node, in case that has lost or never received them.
	exchangeInterval = time.Second
	// remoteExchanges is the number of exchanges of which one goes to another
	// failure domain.
	remoteExchanges = 4
	// startExchanges is how long a node that has just started requests reports
	// even if it has none.
	startExchanges = 10 * time.Second
	// remoteForwarders is the number of nodes of each other failure domain that
	// receive a new report and forward it within their domain.
	remoteForwarders = 2
	// maxReportsBytes bounds the encoded reports of one datagram, which must be
	// smaller than maxDatagramBytes. reportBytes is the size of one without the
	// name of its crash.
	maxReportsBytes = 12 << 10
	reportBytes     = 48
)

// Evidence is the record of requests that crash upstreams. It is implemented by
// poison.Tracker.
type Evidence interface {
	// Merge adds reports and returns those that were not known.
	Merge(reports []poison.Report) []poison.Report
	// Reports returns all reports, the newest records first.
	Reports() []poison.Report
	// Contradict returns the reports with which this node contradicts others.
	Contradict(reports []poison.Report) []poison.Report
}

// WithEvidence sets the record of crashes that the nodes share. By default none is
// shared.
func WithEvidence(e Evidence) Option { return func(m *Mesh) { m.evidence = e } }

// crashReports carries reports of crashes between nodes.
type crashReports struct {
	Reports []poison.Report `msgpack:"r"`
	// From is the address of the sender. Forward asks the receiver to pass new
	// reports on within its failure domain, and Reply to send those it has.
	From    string `msgpack:"f"`
	Forward bool   `msgpack:"w,omitempty"`
	Reply   bool   `msgpack:"y,omitempty"`
}

// Share sends new crash reports to all nodes: directly within the failure domain, and
// to some nodes of each other domain, which forward them.
func (m *Mesh) Share(reports []poison.Report) {
	if len(reports) == 0 {
		return
	}
	m.sendReports(m.domainMembers(), crashReports{Reports: reports})
	m.sendReports(m.remoteMembers(remoteForwarders), crashReports{Reports: reports, Forward: true})
}

// sendReports sends the message to the members, in as many datagrams as needed.
func (m *Mesh) sendReports(to []member.Record, c crashReports) {
	reports := c.Reports
	c.From = m.self.Gossip
	for {
		n := countFitting(reports)
		c.Reports, reports = reports[:n], reports[n:]
		for _, r := range to {
			m.send(r.Gossip, datagram{Crashes: &c})
		}
		if len(reports) == 0 {
			return
		}
	}
}

// receiveReports merges reports of another node.
func (m *Mesh) receiveReports(c crashReports) {
	if m.evidence == nil {
		return
	}
	added := m.evidence.Merge(c.Reports)
	if c.Forward && len(added) > 0 {
		m.sendReports(m.domainMembers(), crashReports{Reports: added})
	}
	if contrary := m.evidence.Contradict(c.Reports); len(contrary) > 0 {
		m.sendReports([]member.Record{{Gossip: c.From}}, crashReports{Reports: contrary, Forward: true})
	}
	if c.Reply {
		m.sendReports([]member.Record{{Gossip: c.From}}, crashReports{Reports: m.newestReports()})
	}
}

// newestReports returns the reports that fit into one datagram.
func (m *Mesh) newestReports() []poison.Report {
	all := m.evidence.Reports()
	return all[:countFitting(all)]
}

// countFitting returns how many of the reports fit into one datagram.
func countFitting(reports []poison.Report) int {
	size := 0
	for i, r := range reports {
		if size += reportBytes + len(r.Crash); size > maxReportsBytes {
			return max(i, 1)
		}
	}
	return len(reports)
}

// exchangeIfDue exchanges the newest reports with one random node. It repairs the loss
// of datagrams, and informs nodes that have restarted or were cut off.
func (m *Mesh) exchangeIfDue(now time.Time) {
	if m.evidence == nil || now.Sub(m.lastExchange) < exchangeInterval {
		return
	}
	m.lastExchange = now
	reports := m.newestReports()
	if len(reports) == 0 && now.Sub(m.started) > startExchanges {
		return
	}
	members := m.domainMembers()
	if len(members) == 0 || rand.IntN(remoteExchanges) == 0 {
		members = m.remoteMembers(1)
	}
	if len(members) == 0 {
		return
	}
	one := members[rand.IntN(len(members))]
	m.sendReports([]member.Record{one}, crashReports{Reports: reports, Reply: true})
}

// remoteMembers returns up to n random live members of each other failure domain.
func (m *Mesh) remoteMembers(n int) []member.Record {
	m.mu.Lock()
	records := m.tracker.Records()
	m.mu.Unlock()
	rand.Shuffle(len(records), func(i, k int) { records[i], records[k] = records[k], records[i] })
	chosen := make(map[string]int)
	var list []member.Record
	for _, r := range records {
		if r.Domain == m.self.Domain || r.Status >= member.Dead || r.Gossip == "" || chosen[r.Domain] == n {
			continue
		}
		chosen[r.Domain]++
		list = append(list, r)
	}
	return list
}
