package follow

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// object is a change to a value.
func object(name, value string) Change { return Change{Name: name, Raw: []byte(value)} }

func TestGapIsNoticed(t *testing.T) {
	v := NewView()
	if _, ok := v.Apply(Batch{From: 3, Revision: 4, Changes: []Change{object("a", "1")}}); ok {
		t.Error("Apply() of changes before the whole = true, want false")
	}
	v.Apply(Batch{Whole: true, Revision: 5, Changes: []Change{object("a", "1")}})
	if _, ok := v.Apply(Batch{From: 7, Revision: 8, Changes: []Change{object("a", "2")}}); ok {
		t.Error("Apply() after a gap = true, want false")
	}
	if changes, ok := v.Apply(Batch{From: 4, Revision: 9, Changes: []Change{object("a", "3")}}); !ok || len(changes) != 1 {
		t.Errorf("Apply() that overlaps = %v, %v, want one change", changes, ok)
	}
}

// A view that gets every batch in any order, repeated and mixed with whole ones,
// never steps back, and agrees with the store whenever it has its revision.
func TestViewAgreesWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []map[string]string{{}}
		var batches []Batch
		for rev := 1; rev <= rapid.IntRange(1, 12).Draw(t, "revisions"); rev++ {
			next := map[string]string{}
			for k, val := range history[rev-1] {
				next[k] = val
			}
			name := fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "object"))
			c := object(name, fmt.Sprint(rev))
			if _, there := next[name]; there && rapid.Bool().Draw(t, "gone") {
				c = Change{Name: name, Gone: true}
				delete(next, name)
			} else {
				next[name] = fmt.Sprint(rev)
			}
			history = append(history, next)
			batches = append(batches, Batch{From: uint64(rev - 1), Revision: uint64(rev), Changes: []Change{c}})
			whole := Batch{Whole: true, Revision: uint64(rev)}
			for k, val := range next {
				whole.Changes = append(whole.Changes, object(k, val))
			}
			batches = append(batches, whole)
		}
		v := NewView()
		last := uint64(0)
		for range 40 {
			v.Apply(batches[rapid.IntRange(0, len(batches)-1).Draw(t, "batch")])
			revision, known := v.Position()
			if revision < last {
				t.Fatalf("revision went from %d back to %d", last, revision)
			}
			last = revision
			if !known {
				continue
			}
			want := history[revision]
			got := v.Whole().Changes
			if len(got) != len(want) {
				t.Fatalf("at revision %d: objects = %v, want %v", revision, got, want)
			}
			for _, c := range got {
				if !bytes.Equal(c.Raw, []byte(want[c.Name])) {
					t.Fatalf("at revision %d: %s = %s, want %s", revision, c.Name, c.Raw, want[c.Name])
				}
			}
		}
	})
}
