package relay

import (
	"context"
	"fmt"
	"testing"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// BenchmarkGather measures one search over 20 shards of two upstreams each. The
// result includes the fake upstreams, which run in the same process.
func BenchmarkGather(b *testing.B) {
	const shards = 20
	var names []string
	var entries []fleet.Entry
	for i := range shards {
		service := fmt.Sprintf("shard-%d", i)
		names = append(names, service)
		for k := range 2 {
			s := newFakeUpstream(b, fmt.Sprintf("up-%d-%d", i, k))
			entries = append(entries, s.entry(service))
		}
	}
	e := newEngine(b, []*vhost.Route{gatherRoute(names, 0.9)}, entries...)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		got := e.Do(context.Background(), request("search", fmt.Sprintf("r-%d", i)))
		if _, ok := got.(proto.Merged); !ok {
			b.Fatalf("Do() = %T %v, want Merged", got, got)
		}
	}
}
