package topk

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// reference merges by sorting all records.
func reference(k int, bodies [][]byte) []byte {
	var records []string
	for _, b := range bodies {
		for i := 0; i+RecordBytes <= len(b); i += RecordBytes {
			records = append(records, string(b[i:i+RecordBytes]))
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	var out []byte
	for _, r := range records[:min(k, len(records))] {
		out = append(out, r...)
	}
	return out
}

func merge(k int, bodies [][]byte) []byte {
	m := New(k)
	for _, b := range bodies {
		m.Add(b)
	}
	return m.Bytes()
}

func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(0, 9).Draw(t, "k")
		body := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 70)
		bodies := rapid.SliceOfN(body, 0, 6).Draw(t, "bodies")
		if got, want := merge(k, bodies), reference(k, bodies); !bytes.Equal(got, want) {
			t.Fatalf("merge = %v, want %v", got, want)
		}
	})
}

// TestMergeIsAssociative checks that merging two merged parts gives the merge of all
// bodies.
func TestMergeIsAssociative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(0, 5).Draw(t, "k")
		body := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 70)
		bodies := rapid.SliceOfN(body, 0, 6).Draw(t, "bodies")
		cut := rapid.IntRange(0, len(bodies)).Draw(t, "cut")
		got := merge(k, [][]byte{merge(k, bodies[:cut]), merge(k, bodies[cut:])})
		if want := merge(k, bodies); !bytes.Equal(got, want) {
			t.Fatalf("merge of merges = %v, want %v", got, want)
		}
	})
}
