package canary

import (
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/pkg/poison"
)

func TestDecide(t *testing.T) {
	const lead, left, expected = 2 * time.Millisecond, 200 * time.Millisecond, 20 * time.Millisecond
	tests := []struct {
		name    string
		mode    Mode
		verdict poison.Verdict
		alerted bool
		want    Decision
	}{
		{"no upstream has ended", OnAlert, poison.Novel, false, Lead{For: lead}},
		{"upstreams end", OnAlert, poison.Novel, true, Await{Second: left - 3*expected}},
		{"a proven search does not wait", OnAlert, poison.Proven, true, Together{}},
		{"a proven search does not wait", Always, poison.Proven, true, Together{}},
		{"a suspect has no second canary", OnAlert, poison.Suspect, false, Await{}},
		{"always", Always, poison.Novel, false, Await{Second: left - 3*expected}},
		{"never", Never, poison.Novel, true, Together{}},
	}
	for _, tt := range tests {
		got := Decide(tt.mode, Search{Verdict: tt.verdict, Alerted: tt.alerted, Left: left, Expected: expected, Lead: lead})
		if got != tt.want {
			t.Errorf("%s: Decide(%v) = %#v, want %#v", tt.name, tt.mode, got, tt.want)
		}
	}
}

// A second canary that is sent before the first is overdue would double what a search ends.
func TestSecondCanaryWaitsUntilTheFirstIsOverdue(t *testing.T) {
	s := Search{Alerted: true, Left: 30 * time.Millisecond, Expected: 20 * time.Millisecond}
	if got, want := Decide(OnAlert, s), (Await{Second: 60 * time.Millisecond}); got != want {
		t.Errorf("Decide() = %#v, want %#v", got, want)
	}
}

// The last upstream of a shard is no target for a search that may have ended another one.
func TestSuspectsLeaveTheLastUpstreamOfAShard(t *testing.T) {
	tests := []struct {
		shard   Shard
		lost    int
		suspect bool
		want    bool
	}{
		{Shard{Listed: 2, Live: 2}, 0, true, true},
		{Shard{Listed: 2, Live: 1}, 0, true, false},
		{Shard{Listed: 1, Live: 1}, 0, true, true},
		{Shard{Listed: 1, Live: 1}, 1, true, false},
		{Shard{Listed: 2, Live: 1}, 0, false, true},
	}
	for _, tt := range tests {
		if got := MayRisk(tt.shard, tt.lost, tt.suspect); got != tt.want {
			t.Errorf("MayRisk(%+v, %d, %v) = %v, want %v", tt.shard, tt.lost, tt.suspect, got, tt.want)
		}
	}
}

func TestParseMode(t *testing.T) {
	for _, m := range []Mode{Never, OnAlert, Always} {
		if got, ok := ParseMode(m.String()); !ok || got != m {
			t.Errorf("ParseMode(%q) = %v, %v, want %v", m, got, ok, m)
		}
	}
	if _, ok := ParseMode("sometimes"); ok {
		t.Error(`ParseMode("sometimes") succeeded, want an error`)
	}
}
