package mesh

import (
	"fmt"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/pkg/poison"
)

// newSharingMesh returns a node with a record of crashes.
func newSharingMesh(t *testing.T, vm, domain string, seeds ...string) (*Mesh, *poison.Tracker) {
	t.Helper()
	m, tracker := newMesh(t, vm, domain, newFakeState(), seeds...), poison.New()
	WithEvidence(tracker)(m)
	return m, tracker
}

// awaitMembers waits until each node lists all others as members.
func awaitMembers(t *testing.T, nodes ...*Mesh) {
	t.Helper()
	eventually(t, "the nodes know each other", func() bool {
		for _, m := range nodes {
			m.mu.Lock()
			known := len(m.tracker.Records())
			m.mu.Unlock()
			if known < len(nodes) {
				return false
			}
		}
		return true
	})
}

// What one node learns of a request that crashes upstreams must reach all nodes, also
// while calls between them get no reply.
func TestCrashReportsReachAllNodes(t *testing.T) {
	a, first := newSharingMesh(t, "a1", "a")
	nodes, trackers := []*Mesh{a}, []*poison.Tracker{first}
	for i, domain := range []string{"a", "b", "b", "b"} {
		m, tracker := newSharingMesh(t, fmt.Sprintf("%s%d", domain, i+2), domain, a.self.Addr)
		nodes, trackers = append(nodes, m), append(trackers, tracker)
	}
	for _, m := range nodes {
		m.start(t)
	}
	awaitMembers(t, nodes...)
	dropWrites.Store(true)
	t.Cleanup(func() { dropWrites.Store(false) })
	for i := range 2 {
		a.Share(first.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), []poison.Run{{Fingerprint: 7}}))
	}
	start := time.Now()
	for i, tracker := range trackers {
		eventually(t, "node "+nodes[i].self.VM+" rejects the request", func() bool { return tracker.Verdict(7) == poison.Quarantined })
	}
	if got, limit := time.Since(start), time.Second; got > limit {
		t.Errorf("all nodes know of the crashes after %v, want at most %v", got, limit)
	}
}

// A node that starts after the crashes must learn of them.
func TestRestartedNodeLearnsOfCrashes(t *testing.T) {
	a, first := newSharingMesh(t, "a", "d")
	a.start(t)
	for i := range 2 {
		a.Share(first.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), []poison.Run{{Fingerprint: 7}}))
	}
	b, second := newSharingMesh(t, "b", "e", a.self.Addr)
	b.start(t)
	start := time.Now()
	eventually(t, "the new node rejects the request", func() bool { return second.Verdict(7) == poison.Quarantined })
	if got, limit := time.Since(start), 4*time.Second; got > limit {
		t.Errorf("the new node knows of the crashes after %v, want at most %v", got, limit)
	}
}

// Many reports must be sent in datagrams that the receiver can read.
func TestReportsFitIntoDatagrams(t *testing.T) {
	a, first := newSharingMesh(t, "a", "d")
	b, second := newSharingMesh(t, "b", "d", a.self.Addr)
	a.start(t)
	b.start(t)
	awaitMembers(t, a, b)
	const fingerprints = 1000
	var inFlight []poison.Run
	for f := range poison.Fingerprint(fingerprints) {
		inFlight = append(inFlight, poison.Run{Fingerprint: f << 40, Sent: time.Now()})
	}
	a.Share(first.RecordCrash("upstream-with-a-long-name-of-63-characters-as-a-host-name-may-have/1767225600000", time.Now(), inFlight))
	eventually(t, "the other node suspects all requests", func() bool {
		suspects, _ := second.Counts()
		return suspects == fingerprints
	})
}
