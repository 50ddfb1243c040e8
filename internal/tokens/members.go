package tokens

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/allot"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// members is an immutable view of the nodes.
type members struct {
	byVM map[string]member.Record
	// domain holds the nodes of this domain, and candidates the live nodes of each.
	domain     []allot.Member
	candidates map[string][]string
}

// newMembers returns the view of the records, with self in any case.
func newMembers(self member.Record, records []member.Record) *members {
	m := &members{byVM: map[string]member.Record{self.VM: self}, candidates: make(map[string][]string)}
	for _, r := range records {
		live := r.Status < member.Dead
		if r.VM == self.VM {
			continue
		}
		m.byVM[r.VM] = r
		if live {
			m.candidates[r.Domain] = append(m.candidates[r.Domain], r.VM)
		}
		if r.Domain == self.Domain {
			m.domain = append(m.domain, allot.Member{VM: r.VM, Live: r.Status == member.Alive, Left: r.Status == member.Left, Before: time.Duration(self.Started-r.Started) * time.Millisecond})
		}
	}
	m.candidates[self.Domain] = append(m.candidates[self.Domain], self.VM)
	for domain, list := range m.candidates {
		m.candidates[domain] = allot.RankServers(list)
	}
	return m
}

// joined reports whether a live node of another domain is known, or there are no other domains.
func (m *members) joined(self member.Record, domains int) bool {
	if domains <= 1 {
		return true
	}
	for domain, list := range m.candidates {
		if domain != self.Domain && len(list) > 0 {
			return true
		}
	}
	return false
}

// older reports whether a node of another domain that has not left has run for longer than self.
func (m *members) older(self member.Record) bool {
	for _, r := range m.byVM {
		before := time.Duration(self.Started-r.Started) * time.Millisecond
		if r.Domain != self.Domain && r.Status != member.Left && allot.StartedBefore(before) {
			return true
		}
	}
	return false
}
