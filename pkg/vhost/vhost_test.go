package vhost

import (
	"fmt"
	"testing"
	"time"
)

func TestMatch(t *testing.T) {
	single := NewSingle("svc")
	s := New(3, []*Route{
		NewRoute("root", "Seats.example", "/", single),
		NewRoute("a", "seats.example", "/a/", single),
		NewRoute("ab", "seats.example", "/a/b/", single),
		NewRoute("other", "other.example", "/x/", single),
	})
	tests := []struct{ host, path, want string }{
		{"seats.example", "/a/b/c", "ab"},
		{"seats.example", "/a/bc", "a"},
		{"seats.example", "/a", "root"},
		{"SEATS.example:8080", "/a/", "a"},
		{"other.example", "/x/1", "other"},
		{"other.example", "/y", ""},
		{"nowhere.example", "/a/", ""},
	}
	for _, tt := range tests {
		got := ""
		if r, ok := s.Match(tt.host, tt.path); ok {
			got = r.Name()
		}
		if got != tt.want {
			t.Errorf("Match(%q, %q) = %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestMinShards(t *testing.T) {
	tests := []struct {
		shards int
		share  float64
		want   int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {30, 0.9, 27}, {20, 1, 20}, {3, 0, 1}, {90, 0.95, 86}, {1, 1, 1}}
	for _, tt := range tests {
		g := NewGather(make([]string, tt.shards), 5, tt.share)
		if got := g.MinShards(); got != tt.want {
			t.Errorf("MinShards() of %v of %d = %d, want %d", tt.share, tt.shards, got, tt.want)
		}
	}
}

func TestTargetIsAtMostTheTimeout(t *testing.T) {
	r := NewRoute("r", "h", "/", NewSingle("svc"), WithTimeout(time.Second), WithTarget(2*time.Second))
	if got, want := r.Target(), time.Second; got != want {
		t.Errorf("Target() = %v, want %v", got, want)
	}
}

func ExampleSnapshot_Match() {
	s := New(7, []*Route{NewRoute("search", "seats.example", "/search/", NewGather([]string{"s0", "s1"}, 10, 0.5))})
	r, ok := s.Match("seats.example", "/search/2f")
	fmt.Println(r.Name(), ok)
	// Output: search true
}
