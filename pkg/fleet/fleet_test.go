package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// fill puts n upstreams into the directory.
func fill(d *Directory, n int) []Entry {
	var list []Entry
	for i := range n {
		list = append(list, NewEntry(fmt.Sprintf("up-%d", i), "svc", "10.0.0.1:80", WithStarted(1)))
	}
	d.Step(Listed{Entries: list})
	return list
}

func TestRemovalOfAFewHoldsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		fill(d, 10)
		if !d.Step(Removed{ID: "up-3"}) {
			t.Error("Step(Gone) = false, want a change")
		}
		if got, want := len(d.Entries()), 9; got != want {
			t.Errorf("entries = %d, want %d", got, want)
		}
	})
}

// Replays leases that run out while the store is silent for everyone.
func TestMassRemovalIsDoubted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		list := fill(d, 10)
		for _, e := range list {
			d.Step(Removed{ID: e.ID()})
		}
		if got, want := len(d.Entries()), 10; got != want {
			t.Fatalf("entries right after the lapse = %d, want %d", got, want)
		}
		for _, e := range list[:6] {
			d.Step(Updated{Entry: e})
		}
		at, ok := d.Wake()
		if !ok {
			t.Fatal("Wake() = none, want the end of the doubt")
		}
		time.Sleep(time.Until(at))
		d.Step(Tick{})
		if got, want := len(d.Entries()), 6; got != want {
			t.Errorf("entries after the doubt = %d, want the %d that came back", got, want)
		}
	})
}

func TestOutageKeepsEntriesUntilItHasSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		list := fill(d, 4)
		d.Step(Unavailable{})
		time.Sleep(9 * time.Second)
		d.Step(Available{})
		d.Step(Listed{Entries: list[:3]})
		if got, want := len(d.Entries()), 4; got != want {
			t.Errorf("entries at the store's return = %d, want %d", got, want)
		}
		time.Sleep(settleTime)
		d.Step(Tick{})
		if got, want := len(d.Entries()), 3; got != want {
			t.Errorf("entries %v after it = %d, want %d", settleTime, got, want)
		}
	})
}

func TestRebornUpstreamReplacesItself(t *testing.T) {
	d := New()
	fill(d, 1)
	reborn := NewEntry("up-0", "svc", "10.0.0.2:80", WithStarted(2))
	if !d.Step(Updated{Entry: reborn}) {
		t.Error("Step(Seen) of a new incarnation = false, want a change")
	}
	if d.Step(Updated{Entry: NewEntry("up-0", "svc", "10.0.0.1:80", WithStarted(1))}) {
		t.Error("Step(Seen) of the old incarnation = true, want no change")
	}
	if got := d.Entries()[0]; got != reborn {
		t.Errorf("entry = %+v, want %+v", got, reborn)
	}
}
