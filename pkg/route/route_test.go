package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/route"
)

func newTable(t testing.TB, upstreams int) (*route.Table, *layout.Catalogue) {
	t.Helper()
	spec := layout.Spec{Revision: 1, Archives: []layout.ArchiveSpec{{Name: "a", Version: 1}}}
	for i := range upstreams {
		spec.Upstreams = append(spec.Upstreams, layout.UpstreamSpec{ID: fmt.Sprintf("u%d", i), Slots: 2, Conns: 4})
		if i%2 == 1 {
			spec.Archives[0].Shards = append(spec.Archives[0].Shards, []string{fmt.Sprintf("u%d", i-1), fmt.Sprintf("u%d", i)})
		}
	}
	c, err := layout.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	table := route.New(rand.New(rand.NewPCG(1, 1)))
	table.Update(c)
	return table, c
}

func replicas(c *layout.Catalogue) []*layout.Upstream {
	a, _ := c.Archive("a")
	return a.Shards()[0].Replicas()
}

// countPicks returns how many of 100 calls of Pick choose u0.
func countPicks(table *route.Table, c *layout.Catalogue, p prio.Priority) int {
	n := 0
	for range 100 {
		if u, ok := table.Pick(replicas(c), nil, p); ok && u.ID() == "u0" {
			n++
		}
	}
	return n
}

func TestPickAvoidsDegradedUpstream(t *testing.T) {
	for name, degrade := range map[string]func(*route.Stats){
		"slow":     func(s *route.Stats) { s.Served(200*time.Millisecond, 0, prio.Urgent) },
		"queueing": func(s *route.Stats) { s.Served(10*time.Millisecond, 200*time.Millisecond, prio.Urgent) },
		"failed":   (*route.Stats).Failed,
		"draining": (*route.Stats).MarkDraining,
		"loaded": func(s *route.Stats) {
			for range 20 {
				s.Begin()
			}
		},
		"silent": func(s *route.Stats) {
			s.Begin()
			time.Sleep(100 * time.Millisecond)
		},
		"abandoned": func(s *route.Stats) { s.Abandoned(300 * time.Millisecond) },
	} {
		synctest.Test(t, func(t *testing.T) {
			table, c := newTable(t, 2)
			degrade(table.Stats("u0"))
			if got := countPicks(table, c, prio.Urgent); got > 5 {
				t.Errorf("%s: u0 was picked %d of 100 times, want at most 5", name, got)
			}
		})
	}
}

func TestQueueDelayIsPerPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, c := newTable(t, 2)
		table.Stats("u0").Served(10*time.Millisecond, time.Second, prio.Bulk)
		if got := countPicks(table, c, prio.Urgent); got < 20 {
			t.Errorf("u0 was picked %d of 100 times, want about half", got)
		}
	})
}

func TestSlowUpstreamIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, c := newTable(t, 2)
		table.Stats("u0").Abandoned(300 * time.Millisecond)
		time.Sleep(3 * time.Minute)
		if got := countPicks(table, c, prio.Urgent); got < 20 {
			t.Errorf("u0 was picked %d of 100 times long after it was slow, want about half", got)
		}
	})
}

func TestPickExcludes(t *testing.T) {
	table, c := newTable(t, 2)
	if u, ok := table.Pick(replicas(c), []string{"u0"}, prio.Bulk); !ok || u.ID() != "u1" {
		t.Errorf("Pick() = %v, %v, want u1", u, ok)
	}
	if _, ok := table.Pick(replicas(c), []string{"u0", "u1"}, prio.Bulk); ok {
		t.Error("Pick() returned a replica although all are excluded")
	}
}

func TestOwnerMovesOnlyResourcesOfRemovedNode(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	share := map[string]int{}
	for i := range 1000 {
		resource := fmt.Sprint("u", i)
		before := route.Owner(resource, nodes)
		after := route.Owner(resource, nodes[:4])
		share[before]++
		if before != "e" && after != before {
			t.Errorf("%s moved from %s to %s although %s was not removed", resource, before, after, before)
		}
	}
	for _, n := range nodes {
		if share[n] < 130 || share[n] > 270 {
			t.Errorf("%s owns %d of 1000, want about 200", n, share[n])
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 630, 31000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			table, c := newTable(b, n)
			a, _ := c.Archive("a")
			shards := a.Shards()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Pick(shards[i%len(shards)].Replicas(), nil, prio.Urgent)
			}
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{3, 52, 625} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			var nodes []string
			for i := range n {
				nodes = append(nodes, fmt.Sprintf("entry-%d", i))
			}
			for b.Loop() {
				route.Owner("seats-17", nodes)
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	table, c := newTable(b, 31000)
	for b.Loop() {
		table.Update(c)
	}
}
