package quota

import (
	"fmt"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

// BenchmarkPlace measures what a change of the membership costs for each limited upstream.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{9, 84, 7500} {
		b.Run(fmt.Sprintf("%d nodes", n), func(b *testing.B) {
			nodes := NewNodes(Node{VM: "vm-1", Domain: "d1"}, nodeNames(n, 12))
			for b.Loop() {
				_ = nodes.placeOf("i-1/17", "d1")
			}
		})
	}
}

// BenchmarkReserve measures a turn at an upstream, without and with a limit.
func BenchmarkReserve(b *testing.B) {
	for name, l := range map[string]Limit{"no limit": None, "limit": At(1e9)} {
		b.Run(name, func(b *testing.B) {
			u := New("i-1/17", "d1")
			u.Heard(l)
			nodes := NewNodes(Node{VM: "vm-1", Domain: "d1"}, nil)
			for b.Loop() {
				_, _ = u.Reserve(nodes, prio.Urgent, time.Second)
			}
		})
	}
}
