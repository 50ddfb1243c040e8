package node

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/roster"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/dedup"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/lease"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/route"
	"geraniumstep.org/geraniumstep/pkg/search"
)

func fleetRecords(n, domains int) []member.Record {
	list := make([]member.Record, n)
	for i := range list {
		list[i] = member.Record{
			VM: fmt.Sprintf("entry-%05d", i), Domain: fmt.Sprintf("domain-%02d", i%domains), Ready: true, Started: int64(i),
			Addr: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250), Gossip: fmt.Sprintf("10.1.%d.%d:7002", i/250, i%250), Caller: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
		}
	}
	return list
}

// fleetSpec has two replicas per shard.
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

// reportHeap reports the heap bytes that the result of build retains per item.
func reportHeap(b *testing.B, n int, unit string, build func() any) {
	b.Helper()
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		kept := build()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(kept)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/"+unit)
}

// BenchmarkScaleMemory measures the memory per member, upstream, configuration
// object, idempotency key and fingerprint.
func BenchmarkScaleMemory(b *testing.B) {
	b.Run("members=7500", func(b *testing.B) {
		reportHeap(b, 7500, "member", func() any {
			t := member.New(fleetRecords(1, 12)[0], rand.New(rand.NewPCG(1, 1)))
			t.Step(member.ViewReceived{Records: fleetRecords(7500, 12)})
			return []any{t, roster.New(t.Records(), func(string) bool { return true })}
		})
	})
	b.Run("upstreams=31000", func(b *testing.B) {
		reportHeap(b, 31000, "upstream", func() any {
			c, err := layout.New(fleetSpec(31000))
			if err != nil {
				b.Fatal(err)
			}
			t := route.New(rand.New(rand.NewPCG(1, 1)))
			t.Update(c)
			return []any{c, t}
		})
	})
	b.Run("objects=10000", func(b *testing.B) {
		reportHeap(b, 10000, "object", func() any {
			s := config.NewState()
			for i := range 10000 {
				name := fmt.Sprintf("t%d", i)
				s, _ = s.Apply(config.Change{Sequence: uint64(i + 1), Kind: config.KindTemplate, Name: name, After: json.RawMessage(`{"name":"` + name + `","archives":["a"],"idempotent":true}`)})
			}
			return s
		})
	})
	b.Run("keys=10000", func(b *testing.B) {
		reportHeap(b, 10000, "key", func() any {
			t := dedup.NewTable()
			for i := range 10000 {
				k := dedup.NewKey(time.Now(), uint64(i))
				t.Begin(k, time.Time{}, true, true)
				t.End(k, dedup.Outcome{Status: dedup.Ran, Answer: make([]byte, 400)})
			}
			return t
		})
	})
	b.Run("proven=65536", func(b *testing.B) {
		reportHeap(b, 65536, "fingerprint", func() any {
			t := poison.New()
			for i := range poison.Fingerprint(65536) {
				t.RecordSuccess(i)
			}
			return t
		})
	})
}

// BenchmarkScaleView measures the cost of rebuilding the view after a membership
// change.
func BenchmarkScaleView(b *testing.B) {
	for _, n := range []int{9, 625, 7500} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			list := fleetRecords(n, 12)
			for b.Loop() {
				roster.New(list, func(string) bool { return true })
			}
		})
	}
}

// BenchmarkScaleMember measures one membership step, including the encoding and
// decoding of its datagram.
func BenchmarkScaleMember(b *testing.B) {
	for _, n := range []int{9, 625, 7500} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			list := fleetRecords(n, 12)
			t := member.New(list[0], rand.New(rand.NewPCG(1, 1)))
			t.Step(member.ViewReceived{Records: list})
			msg := member.Message{Kind: member.Probe, From: list[12%n].VM, Records: []member.Record{list[12%n]}}
			size := 0
			for b.Loop() {
				data, err := msgpack.Marshal(msg)
				if err != nil {
					b.Fatal(err)
				}
				var got member.Message
				if err := msgpack.Unmarshal(data, &got); err != nil {
					b.Fatal(err)
				}
				size = len(data)
				t.Step(member.Received{Message: got})
				t.Step(member.Tick{})
			}
			b.ReportMetric(float64(size), "bytes/record")
		})
	}
}

// BenchmarkScaleInner measures the encoding and decoding of one shard request and
// its reply.
func BenchmarkScaleInner(b *testing.B) {
	shardReq := peer.ShardRequest{Request: "entry-1-abc-1", Upstream: "upstream-1", Archive: "a", Version: 4, Budget: time.Second, Priority: prio.Urgent, Workspace: "w", Template: "t", Params: []byte(`{"q":"crane"}`)}
	reply := peer.ShardReply{OK: true, Reply: search.Reply{Request: "entry-1-abc-1", Target: search.Target{Archive: "a"}, Hits: make([]search.Hit, 3)}}
	bytes := 0
	for b.Loop() {
		one, err := msgpack.Marshal(&shardReq)
		if err != nil {
			b.Fatal(err)
		}
		two, err := msgpack.Marshal(&reply)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(one) + len(two)
		if err := msgpack.Unmarshal(one, &peer.ShardRequest{}); err != nil {
			b.Fatal(err)
		}
		if err := msgpack.Unmarshal(two, &peer.ShardReply{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes), "bytes/sub-request")
}

// BenchmarkScaleCatalogue measures the stored size of a catalogue and the cost of
// loading it.
func BenchmarkScaleCatalogue(b *testing.B) {
	spec := fleetSpec(31000)
	data, err := json.Marshal(spec)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := layout.New(spec); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data))/31000, "stored-bytes/upstream")
}

// BenchmarkScaleLease measures one tick of the state machine for slot leases.
func BenchmarkScaleLease(b *testing.B) {
	for _, n := range []int{9, 625, 7500} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var live []string
			for _, r := range fleetRecords(n, 12) {
				live = append(live, fmt.Sprintf("%s/%d", r.VM, r.Started))
			}
			k := lease.New(live[0])
			for b.Loop() {
				k.Step(lease.Tick{Live: live})
			}
		})
	}
}
