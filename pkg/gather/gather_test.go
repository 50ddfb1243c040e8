package gather

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// domainOf returns the nodes of a failure domain, of which big have a capacity of
// 0.8 and small one of 0.2.
func domainOf(domain, region string, big, small int) []Node {
	var list []Node
	for i := range big + small {
		n := Node{VM: fmt.Sprintf("%s-%d", domain, i), Domain: domain, Region: region, Capacity: 0.2}
		if i < big {
			n.Capacity = 0.8
		}
		list = append(list, n)
	}
	return list
}

func names(nodes []Node) map[string]bool {
	set := make(map[string]bool)
	for _, n := range nodes {
		set[n.VM] = true
	}
	return set
}

func TestStrongNodesGather(t *testing.T) {
	nodes := domainOf("a", "r", 2, 13)
	s := New(nodes[7], nodes)
	if got := names(s.Local()); len(got) != 2 || !got["a-0"] || !got["a-1"] || s.Gathers() {
		t.Errorf("gatherers = %v, self %v; want the two strong nodes", got, s.Gathers())
	}
}

// In a domain of 3 strong and 49 weak nodes, each node sends so few searches that it never
// learns which gatherers are slow.
func TestWeakNodesDoNotGatherBesideEnoughStrongOnes(t *testing.T) {
	nodes := domainOf("a", "r", 3, 49)
	if got := names(New(nodes[9], nodes).Local()); len(got) != 3 || !got["a-0"] || !got["a-1"] || !got["a-2"] {
		t.Errorf("gatherers = %v, want the three strong nodes", got)
	}
	total, sum := 0.0, 0.0
	for _, n := range nodes[2:] {
		total += n.Capacity
	}
	for _, n := range New(nodes[9], nodes[2:]).Local() {
		sum += n.Capacity
	}
	if sum < minStrongShare*total {
		t.Errorf("capacity of the gatherers with one strong node left = %v, want at least %v", sum, minStrongShare*total)
	}
}

func TestManyWeakNodesGather(t *testing.T) {
	nodes := domainOf("a", "r", 0, 13)
	s := New(nodes[0], nodes)
	if got, minTotal := s.Total(), 5; got < minTotal {
		t.Errorf("gatherers = %d, want at least %d", got, minTotal)
	}
}

func TestSmallDomainsAllGather(t *testing.T) {
	nodes := append(domainOf("a", "r", 0, 3), domainOf("b", "q", 0, 3)...)
	for _, n := range nodes {
		if s := New(n, nodes); !s.Gathers() {
			t.Errorf("%s does not gather in a domain of three", n.VM)
		}
	}
	if got := New(nodes[0], nodes).Region("q"); len(got) != 3 {
		t.Errorf("gatherers of the other region = %v, want all three", got)
	}
}

// TestNodesAgreeOnGatherers checks for any set of live nodes that nodes with the same
// member list choose the same gatherers, and that there is always at least one.
func TestNodesAgreeOnGatherers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := append(domainOf("a", "r", 2, 13), domainOf("b", "r", 1, 6)...)
		var alive []Node
		for _, n := range all {
			if rapid.Bool().Draw(t, "alive") {
				alive = append(alive, n)
			}
		}
		want := map[string]map[string]bool{}
		for _, n := range alive {
			s := New(n, append([]Node(nil), alive...))
			got := names(s.Local())
			if len(got) == 0 {
				t.Fatalf("%s has no gatherer", n.VM)
			}
			if want[n.Domain] == nil {
				want[n.Domain] = got
			}
			if fmt.Sprint(got) != fmt.Sprint(want[n.Domain]) {
				t.Fatalf("gatherers on %s = %v, on another node %v", n.VM, got, want[n.Domain])
			}
			if s.Gathers() != got[n.VM] {
				t.Fatalf("Gathers() on %s = %v, gatherers %v", n.VM, s.Gathers(), got)
			}
		}
	})
}
