package follow

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// object returns a change that sets an object to a value.
func object(name, value string) Change { return Change{Name: name, Raw: []byte(value)} }

func TestBatchAfterGapIsRejected(t *testing.T) {
	v := NewView()
	if _, ok := v.Apply(Batch{From: 3, Revision: 4, Changes: []Change{object("a", "1")}}); ok {
		t.Error("Apply() of changes before a full batch = true, want false")
	}
	v.Apply(Batch{Full: true, Revision: 5, Changes: []Change{object("a", "1")}})
	if _, ok := v.Apply(Batch{From: 7, Revision: 8, Changes: []Change{object("a", "2")}}); ok {
		t.Error("Apply() after a gap = true, want false")
	}
	if changes, ok := v.Apply(Batch{From: 4, Revision: 9, Changes: []Change{object("a", "3")}}); !ok || len(changes) != 1 {
		t.Errorf("Apply() of an overlapping batch = %v, %v, want one change", changes, ok)
	}
}

// A view receives batches out of order, duplicated and mixed with full batches. Its
// revision must never decrease, and its objects must equal those of the store at
// that revision.
func TestViewMatchesStore(t *testing.T) {
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
			if _, exists := next[name]; exists && rapid.Bool().Draw(t, "gone") {
				c = Change{Name: name, Deleted: true}
				delete(next, name)
			} else {
				next[name] = fmt.Sprint(rev)
			}
			history = append(history, next)
			batches = append(batches, Batch{From: uint64(rev - 1), Revision: uint64(rev), Changes: []Change{c}})
			full := Batch{Full: true, Revision: uint64(rev)}
			for k, val := range next {
				full.Changes = append(full.Changes, object(k, val))
			}
			batches = append(batches, full)
		}
		v := NewView()
		last := uint64(0)
		for range 40 {
			v.Apply(batches[rapid.IntRange(0, len(batches)-1).Draw(t, "batch")])
			revision, loaded := v.Position()
			if revision < last {
				t.Fatalf("revision decreased from %d to %d", last, revision)
			}
			last = revision
			if !loaded {
				continue
			}
			want := history[revision]
			got := v.FullBatch().Changes
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

// A view that pulls with Since from any revision must end up with the same objects,
// whether it receives single changes or a full batch.
func TestSinceBringsAnotherViewUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := NewView()
		full.Apply(Batch{Full: true, Revision: 10})
		behind := NewView()
		behind.Apply(Batch{Full: true, Revision: 10})
		revision := uint64(10)
		for range rapid.IntRange(1, 60).Draw(t, "batches") {
			b := Batch{From: revision, Revision: revision + uint64(rapid.IntRange(1, 3).Draw(t, "step"))}
			for range rapid.IntRange(0, 60).Draw(t, "changes") {
				name := fmt.Sprint("o", rapid.IntRange(0, 9).Draw(t, "object"))
				if rapid.Bool().Draw(t, "gone") {
					b.Changes = append(b.Changes, Change{Name: name, Deleted: true})
				} else {
					b.Changes = append(b.Changes, object(name, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "value"))))
				}
			}
			revision = b.Revision
			full.Apply(b)
			if rapid.IntRange(0, 9).Draw(t, "pull") == 0 {
				have, _ := behind.Position()
				if _, ok := behind.Apply(full.Since(have)); !ok {
					t.Fatalf("Apply(Since(%d)) = false, want true", have)
				}
				if got, want := fmt.Sprint(behind.FullBatch().Changes), fmt.Sprint(full.FullBatch().Changes); got != want {
					t.Fatalf("after a pull from %d: %s, want %s", have, got, want)
				}
			}
		}
	})
}

func TestSinceReturnsOnlyNewChanges(t *testing.T) {
	v := NewView()
	b := Batch{Full: true, Revision: 1}
	for i := range 500 {
		b.Changes = append(b.Changes, object(fmt.Sprint(i), "x"))
	}
	v.Apply(b)
	v.Apply(Batch{From: 1, Revision: 2, Changes: []Change{object("7", "y")}})
	if got := v.Since(1); got.Full || len(got.Changes) != 1 {
		t.Errorf("Since(1) = %d changes, full %v; want one change", len(got.Changes), got.Full)
	}
	if got := v.Since(0); !got.Full || len(got.Changes) != 500 {
		t.Errorf("Since(0) = %d changes, full %v; want all 500", len(got.Changes), got.Full)
	}
}
