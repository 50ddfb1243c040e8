package split

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"geraniumstep.org/geraniumstep/pkg/vhost"
)

func TestSharesHoldAfterEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 20), 1, 5).Draw(t, "weights")
		var parts []vhost.Part
		total := 0
		for i, w := range weights {
			parts = append(parts, vhost.NewPart(string(rune('a'+i)), float64(w)))
			total += w
		}
		splitter, counts := New(), map[string]int{}
		for n := 1; n <= 300; n++ {
			counts[splitter.Next("route", parts)]++
			for _, p := range parts {
				want := float64(n) * p.Weight() / float64(total)
				if got := float64(counts[p.Service()]); math.Abs(got-want) > float64(len(parts)) {
					t.Fatalf("after %d requests, %s received %v, want about %v", n, p.Service(), got, want)
				}
			}
		}
	})
}

func TestZeroWeightGetsNothing(t *testing.T) {
	splitter := New()
	parts := []vhost.Part{vhost.NewPart("a", 0), vhost.NewPart("b", 1)}
	for range 10 {
		if got, want := splitter.Next("route", parts), "b"; got != want {
			t.Errorf("Next() = %q, want %q", got, want)
		}
	}
	if got, want := splitter.Next("none", parts[:1]), ""; got != want {
		t.Errorf("Next() of weight 0 alone = %q, want %q", got, want)
	}
}
