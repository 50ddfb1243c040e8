package main

import (
	"errors"
	"strings"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

// calmTruth is a world of four servers and two versions, long undisturbed.
func calmTruth(now time.Time) *truth {
	t := newTruth()
	for id, service := range map[string]string{"a": "s0", "b": "s1", "c": "old", "d": "new"} {
		t.servers[id] = &fakes.Server{ID: id, Service: service, RunLog: t.ledger}
	}
	t.layouts = []layout{
		{version: 1, service: "old", shards: []string{"s0", "s1"}, at: now.Add(-time.Hour)},
		{version: 2, service: "new", shards: []string{"s0", "s1"}, at: now.Add(-time.Minute)},
	}
	return t
}

// Each check fails on a broken promise that is planted, and on nothing else.
func TestChecksFindPlantedFaults(t *testing.T) {
	now := time.Now()
	server := func(id string) *fakes.Server { return calmTruth(now).servers[id] }
	both := server("b").Record() + server("a").Record()
	ok := func(r fakes.Reply) fakes.Reply { r.Request, r.Status = "soak-1", 200; return r }
	tests := []struct {
		name string
		host string
		r    fakes.Reply
		want string
	}{
		{"good single", hostOnce, ok(fakes.Reply{Proof: "d.soak-1", Body: server("d").Record()}), ""},
		{"good merged", hostAll, ok(fakes.Reply{Proofs: []string{"a.soak-1", "b.soak-1"}, Body: both}), ""},
		{"another request's answer", hostOnce, ok(fakes.Reply{Proof: "d.soak-2", Body: server("d").Record()}), "mixed"},
		{"half a body", hostOnce, ok(fakes.Reply{Proof: "d.soak-1", Body: "d"}), "mixed"},
		{"no proof", hostOnce, ok(fakes.Reply{Body: server("d").Record()}), "mixed"},
		{"old version", hostOnce, ok(fakes.Reply{Proof: "c.soak-1", Body: server("c").Record()}), "configuration"},
		{"part counted twice", hostAll, ok(fakes.Reply{Proofs: []string{"a.soak-1", "a.soak-1"}, Body: server("a").Record() + server("a").Record()}), "mixed"},
		{"records in wrong order", hostAll, ok(fakes.Reply{Proofs: []string{"a.soak-1", "b.soak-1"}, Body: server("a").Record() + server("b").Record()}), "mixed"},
		{"false count of missing parts", hostAll, ok(fakes.Reply{Proofs: []string{"a.soak-1"}, Body: server("a").Record()}), "configuration"},
		{"planned stop cuts off", hostOnce, fakes.Reply{Request: "soak-1", Err: errors.New("EOF")}, "cut off"},
	}
	for _, tt := range tests {
		truth := calmTruth(now)
		truth.plan("n", now.Add(-time.Second), now.Add(time.Second))
		truth.check(attempt{reply: tt.r, host: tt.host, node: "n", sentAt: now, doneAt: now.Add(10 * time.Millisecond)})
		judge(t, tt.name, truth, tt.want)
	}
}

func judge(t *testing.T, name string, truth *truth, want string) {
	t.Helper()
	found := strings.Join(truth.found(), "\n")
	if want == "" && found != "" || !strings.Contains(found, want) {
		t.Errorf("%s: found %q, want %q", name, found, want)
	}
}

func TestFinalChecksFindPlantedFaults(t *testing.T) {
	now := time.Now()
	run := func(truth *truth, id, server string, times int) {
		for range times {
			truth.ledger.Add(fakes.Run{Request: id, Server: server, Service: "new", At: now})
		}
	}
	refused := map[string]attempt{"soak-1": {reply: fakes.Reply{Status: 503}}}
	tests := []struct {
		name     string
		plant    func(truth *truth)
		promised map[string]attempt
		once     map[string]attempt
		want     string
	}{
		{"nothing", func(*truth) {}, refused, refused, ""},
		{"refused and run", func(truth *truth) { run(truth, "soak-1", "d", 1) }, refused, nil, "refused"},
		{"run twice", func(truth *truth) { run(truth, "soak-1", "d", 2) }, nil, refused, "twice"},
		{"unknown request", func(truth *truth) { run(truth, "x-1", "d", 1) }, nil, nil, "unasked"},
		{"work after the drain", func(truth *truth) {
			truth.drained["d"] = now.Add(-drainBound - time.Second)
			run(truth, "soak-1", "d", 1)
		}, nil, nil, "drain"},
	}
	for _, tt := range tests {
		truth := calmTruth(now)
		tt.plant(truth)
		truth.finish(tt.promised, tt.once)
		judge(t, tt.name, truth, tt.want)
	}
}
