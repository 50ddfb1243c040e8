package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// fill adds n upstreams to the directory and returns their entries.
func fill(d *Directory, n int) []Entry {
	var list []Entry
	for i := range n {
		list = append(list, NewEntry(fmt.Sprintf("up-%d", i), "svc", "10.0.0.1:80", WithStarted(1)))
	}
	d.Step(Listed{Entries: list})
	return list
}

func TestSingleRemovalAppliesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		fill(d, 10)
		if !d.Step(Removed{ID: "up-3"}) {
			t.Error("Step(Removed) = false, want a change")
		}
		if got, want := len(d.Entries()), 9; got != want {
			t.Errorf("entries = %d, want %d", got, want)
		}
	})
}

// TestMassRemovalIsDelayed covers a store outage during which the leases of all
// upstreams expire: the entries must be kept until the store has had time to list
// the live upstreams again.
func TestMassRemovalIsDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		list := fill(d, 10)
		for _, e := range list {
			d.Step(Removed{ID: e.ID()})
		}
		if got, want := len(d.Entries()), 10; got != want {
			t.Fatalf("entries right after the mass removal = %d, want %d", got, want)
		}
		for _, e := range list[:6] {
			d.Step(Updated{Entry: e})
		}
		at, ok := d.Wake()
		if !ok {
			t.Fatal("Wake() = none, want the end of the settle time")
		}
		time.Sleep(time.Until(at))
		d.Step(Tick{})
		if got, want := len(d.Entries()), 6; got != want {
			t.Errorf("entries after the settle time = %d, want the %d listed again", got, want)
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
			t.Errorf("entries right after the outage = %d, want %d", got, want)
		}
		time.Sleep(SettleTime)
		d.Step(Tick{})
		if got, want := len(d.Entries()), 3; got != want {
			t.Errorf("entries %v after the outage = %d, want %d", SettleTime, got, want)
		}
	})
}

// A removal that was kept because the registry seemed to be away must be in force as soon as it is known
// that it was not.
func TestRemovalIsInForceOnceTheOutageIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		fill(d, 10)
		d.Step(Unavailable{})
		d.Step(Removed{ID: "up-3"})
		if got, want := len(d.Entries()), 10; got != want {
			t.Fatalf("entries in the outage = %d, want %d", got, want)
		}
		d.Step(Uninterrupted{})
		if !d.Step(Tick{}) {
			t.Error("Step(Tick) after the outage is refuted = false, want a change")
		}
		d.Step(Removed{ID: "up-4"})
		if got, want := len(d.Entries()), 8; got != want {
			t.Errorf("entries after the outage is refuted = %d, want %d", got, want)
		}
	})
}

// The known replies of a registry do not show what a restore or a mass removal has shown.
func TestRefutedOutageDropsNothingOfARestoreOrMassRemoval(t *testing.T) {
	for name, lose := range map[string]func(d *Directory, list []Entry){
		"restore": func(d *Directory, list []Entry) {
			d.Step(Restored{})
			d.Step(Listed{Entries: list[5:]})
		},
		"mass removal": func(d *Directory, list []Entry) {
			for _, e := range list[:5] {
				d.Step(Removed{ID: e.ID()})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := New()
				lose(d, fill(d, 10))
				d.Step(Uninterrupted{})
				time.Sleep(SettleTime - 1)
				d.Step(Tick{})
				if got, want := len(d.Entries()), 10; got != want {
					t.Errorf("entries before the settle time = %d, want %d", got, want)
				}
				time.Sleep(time.Nanosecond)
				d.Step(Tick{})
				if got, want := len(d.Entries()), 5; got != want {
					t.Errorf("entries after the settle time = %d, want %d", got, want)
				}
			})
		})
	}
}

// The time in which a missing entry may be listed again begins with the end of the outage, and not
// when a node has noticed that or has read the removal.
func TestEntryIsKeptNoLongerThanTheSettleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		fill(d, 10)
		d.Step(Unavailable{})
		d.Step(Removed{ID: "up-3"})
		time.Sleep(time.Second)
		end := time.Now()
		time.Sleep(time.Second)
		d.Step(Available{Since: end})
		d.Step(Removed{ID: "up-4"})
		time.Sleep(time.Until(end.Add(SettleTime)) - 1)
		d.Step(Tick{})
		if got, want := len(d.Entries()), 10; got != want {
			t.Errorf("entries before the settle time = %d, want %d", got, want)
		}
		time.Sleep(time.Nanosecond)
		d.Step(Tick{})
		if got, want := len(d.Entries()), 8; got != want {
			t.Errorf("entries after the settle time = %d, want %d", got, want)
		}
	})
}

func TestNewIncarnationReplacesTheOld(t *testing.T) {
	d := New()
	fill(d, 1)
	restarted := NewEntry("up-0", "svc", "10.0.0.2:80", WithStarted(2))
	if !d.Step(Updated{Entry: restarted}) {
		t.Error("Step(Updated) of a new incarnation = false, want a change")
	}
	if d.Step(Updated{Entry: NewEntry("up-0", "svc", "10.0.0.1:80", WithStarted(1))}) {
		t.Error("Step(Updated) of the old incarnation = true, want no change")
	}
	if got := d.Entries()[0]; got != restarted {
		t.Errorf("entry = %+v, want %+v", got, restarted)
	}
}

// An older copy of the registry must not undo a drain or a removal, and what it lacks must
// be kept until it is written again.
func TestOlderCopyOfTheRegistryUndoesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := func(id string, opts ...Option) Entry {
			return NewEntry(id, "svc", "10.0.0.1:80", append([]Option{WithStarted(1)}, opts...)...)
		}
		d := New()
		for _, id := range []string{"drained", "removed", "restarted"} {
			d.Step(Updated{Entry: entry(id)})
		}
		d.Step(Updated{Entry: entry("drained", WithDraining(true))})
		d.Step(Removed{ID: "removed"})
		d.Step(Updated{Entry: entry("restarted", WithStarted(2))})
		d.Step(Updated{Entry: entry("new")})
		d.Step(Restored{})
		for _, id := range []string{"drained", "removed", "restarted"} {
			if d.Step(Updated{Entry: entry(id), Listed: true}) {
				t.Errorf("old entry of %s changed the directory", id)
			}
		}
		d.Step(Removed{ID: "new"})
		want := map[string]Entry{"drained": entry("drained", WithDraining(true)), "restarted": entry("restarted", WithStarted(2)), "new": entry("new")}
		if got := d.Entries(); len(got) != len(want) {
			t.Fatalf("entries = %v, want %v", got, want)
		}
		for _, e := range d.Entries() {
			if e != want[e.ID()] {
				t.Errorf("entry of %s = %v, want %v", e.ID(), e, want[e.ID()])
			}
		}
		if !d.Step(Updated{Entry: entry("removed")}) {
			t.Error("an entry that its upstream has written again is ignored")
		}
		time.Sleep(SettleTime)
		d.Step(Tick{})
		for _, e := range d.Entries() {
			if e.ID() == "new" {
				t.Error("an entry that is not written again is kept")
			}
		}
	})
}

// A drain that was written after the restore must not be taken for a part of the older copy.
func TestDrainWrittenAfterRestoreIsNotIgnored(t *testing.T) {
	entry := func(opts ...Option) Entry {
		return NewEntry("up", "svc", "10.0.0.1:80", append([]Option{WithStarted(1)}, opts...)...)
	}
	tests := map[string]struct{ known, listed, want Entry }{
		"drain without a report number": {entry(), entry(WithDraining(true)), entry(WithDraining(true))},
		"drain in a later report":       {entry(WithReport(3)), entry(WithReport(5), WithDraining(true)), entry(WithReport(5), WithDraining(true))},
		"later report":                  {entry(WithReport(3)), entry(WithReport(5), WithSlots(4)), entry(WithReport(5), WithSlots(4))},
		"earlier report":                {entry(WithReport(3), WithSlots(4)), entry(WithReport(2)), entry(WithReport(3), WithSlots(4))},
		"ready before the drain":        {entry(WithReport(3), WithDraining(true)), entry(WithReport(2)), entry(WithReport(3), WithDraining(true))},
		"ready without a report number": {entry(WithDraining(true)), entry(), entry(WithDraining(true))},
		"drain that was withdrawn":      {entry(WithReport(3), WithDraining(true)), entry(WithReport(4)), entry(WithReport(4))},
		"earlier incarnation":           {entry(WithStarted(2)), entry(WithDraining(true)), entry(WithStarted(2))},
		"later incarnation":             {entry(WithDraining(true)), entry(WithStarted(2)), entry(WithStarted(2))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := New()
			d.Step(Updated{Entry: test.known})
			for range 2 { // the store may come back from a copy twice
				d.Step(Restored{})
				d.Step(Updated{Entry: test.listed, Listed: true})
			}
			if got := d.Entries()[0]; got != test.want {
				t.Errorf("entry = %+v, want %+v", got, test.want)
			}
		})
	}
}

// An upstream that a restored registry lists must not be dropped as one that is missing.
func TestUpstreamListedAfterRestoreIsNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := NewEntry("up", "svc", "10.0.0.1:80", WithStarted(1), WithReport(2))
		for name, known := range map[string]Entry{
			"same report":  listed,
			"later report": NewEntry("up", "svc", "10.0.0.1:80", WithStarted(1), WithReport(3), WithDraining(true)),
		} {
			d := New()
			d.Step(Updated{Entry: known})
			d.Step(Restored{})
			d.Step(Removed{ID: "up"}) // the copy lacks it
			d.Step(Restored{})        // the next copy holds it
			d.Step(Updated{Entry: listed, Listed: true})
			time.Sleep(2 * SettleTime)
			d.Step(Tick{})
			if got := d.Entries(); len(got) != 1 || got[0] != known {
				t.Errorf("%s: entries = %+v, want only %+v", name, got, known)
			}
		}
	})
}
