package roster

import (
	"fmt"
	"testing"

	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// records returns n ready members spread over the domains.
func records(n, domains int) []member.Record {
	list := make([]member.Record, n)
	for i := range list {
		list[i] = member.Record{
			VM: fmt.Sprintf("entry-%05d", i), Domain: fmt.Sprintf("domain-%02d", i%domains), Ready: true, Started: int64(i),
			Addr: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250), Gossip: fmt.Sprintf("10.1.%d.%d:7002", i/250, i%250), Caller: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
		}
	}
	return list
}

// fleetSpec returns a catalogue of n upstreams with two replicas per shard.
func fleetSpec(n int) layout.Spec {
	spec := layout.Spec{Revision: 1, Archives: []layout.ArchiveSpec{{Name: "a", Version: 1}}}
	for i := range n {
		spec.Upstreams = append(spec.Upstreams, layout.UpstreamSpec{ID: fmt.Sprintf("upstream-%05d", i), Addr: fmt.Sprintf("10.2.%d.%d:80", i/250, i%250), Domain: fmt.Sprintf("domain-%02d", i%12), Slots: 2, Conns: 25})
		if i%2 == 1 {
			spec.Archives[0].Shards = append(spec.Archives[0].Shards, []string{spec.Upstreams[i-1].ID, spec.Upstreams[i].ID})
		}
	}
	return spec
}

func allReachable(string) bool { return true }

// Fronts are chosen among ready nodes and do not change while the candidates stay
// the same.
func TestFrontIsStableForSameCandidates(t *testing.T) {
	c, err := layout.New(fleetSpec(60))
	if err != nil {
		t.Fatal(err)
	}
	list := records(36, 12)
	list[0].Ready = false
	v := New(list, allReachable)
	next := New(append(records(36, 12)[12:], list[:12]...), allReachable)
	next.Inherit(v)
	for _, u := range c.Upstreams() {
		front, ok := v.Front(u)
		if !ok || front.Domain != u.Domain() || !front.Ready {
			t.Fatalf("Front(%s) = %+v %v, want a ready node of %s", u.ID(), front, ok, u.Domain())
		}
		if again, _ := next.Front(u); again.VM != front.VM {
			t.Errorf("Front(%s) changed from %s to %s", u.ID(), front.VM, again.VM)
		}
	}
}

// A front that is cut off from the upstreams must be replaced by a node that is not, in the
// upstream's failure domain if there is one, and by the same one on all nodes.
func TestCutFrontIsSubstituted(t *testing.T) {
	c, err := layout.New(fleetSpec(60))
	if err != nil {
		t.Fatal(err)
	}
	v := New(records(36, 12), allReachable)
	for _, u := range c.Upstreams() {
		front, _ := v.Front(u)
		one, ok := v.Substitute(u, func(vm string) bool { return vm == front.VM })
		if !ok || one.VM == front.VM || one.Domain != u.Domain() {
			t.Errorf("Substitute(%s) for one node = %+v %v, want another node of %s", u.ID(), one, ok, u.Domain())
		}
		isCut := func(vm string) bool { r, _ := v.Member(vm); return r.Domain == u.Domain() }
		other, ok := v.Substitute(u, isCut)
		if again, _ := v.Substitute(u, isCut); !ok || other.Domain == u.Domain() || again.VM != other.VM {
			t.Errorf("Substitute(%s) for a domain = %+v %v, want always the same node of another one", u.ID(), other, ok)
		}
		if _, ok := v.Substitute(u, func(string) bool { return true }); ok {
			t.Errorf("Substitute(%s) = true although all nodes are cut off", u.ID())
		}
	}
}

func TestUnreachableDomainHasNoFront(t *testing.T) {
	c, err := layout.New(fleetSpec(60))
	if err != nil {
		t.Fatal(err)
	}
	reachable := func(domain string) bool { return domain != "domain-03" }
	v := New(records(36, 12), reachable)
	for _, u := range c.Upstreams() {
		if _, ok := v.Front(u); ok != reachable(u.Domain()) {
			t.Errorf("Front(%s) in %s = %v, want %v", u.ID(), u.Domain(), ok, !ok)
		}
	}
	if v.ReachabilityChanged(reachable) || !v.ReachabilityChanged(allReachable) {
		t.Errorf("ReachabilityChanged() = %v for the same domains and %v for others, want false and true", v.ReachabilityChanged(reachable), v.ReachabilityChanged(allReachable))
	}
	if got, want := len(v.Live()), 33; got != want {
		t.Errorf("live members = %d, want %d", got, want)
	}
}

func TestGoneListsOtherIncarnations(t *testing.T) {
	list := records(3, 1)
	next := records(3, 1)
	next[0].Started++
	next[1].Status = member.Dead
	got := New(list, allReachable).Gone(New(next, allReachable))
	if len(got) != 2 {
		t.Errorf("Gone() = %v, want the addresses of the first two", got)
	}
}

// BenchmarkScaleFront measures Front without and with a cached result.
func BenchmarkScaleFront(b *testing.B) {
	c, err := layout.New(fleetSpec(31000))
	if err != nil {
		b.Fatal(err)
	}
	ups := c.Upstreams()
	v := New(records(7500, 12), func(string) bool { return true })
	b.Run("first", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			u := ups[i%len(ups)]
			v.frontCaches[u.Domain()].chosen.Clear()
			v.Front(u)
		}
	})
	b.Run("later", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			v.Front(ups[i%100])
		}
	})
}
