// Package fleet holds the directory of upstreams that is read from a registry. It
// tolerates outages of the registry: entries that are removed during an outage are
// kept for a while, because they are listed again if their upstreams are alive.
//
// A Directory is a state machine that performs no I/O:
//
//	d := fleet.New()
//	changed := d.Step(fleet.Updated{Entry: e})
//	list := d.Entries()
package fleet

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Event is an input of Step: Updated, Removed, Listed, Unavailable, Available, Uninterrupted,
// Restored or Tick.
type Event interface{ event() }

// Updated delivers an entry that is new or changed. Listed is set if it comes from a list and
// not from the history of changes. The registry may have been restored from an older copy
// before, so that more may be known of the upstream.
type Updated struct {
	Entry  Entry
	Listed bool
}

// Removed reports that the registry has removed an entry.
type Removed struct{ ID string }

// Listed delivers all entries of the registry.
type Listed struct{ Entries []Entry }

// Unavailable reports that the registry cannot be reached.
type Unavailable struct{}

// Available reports that the registry can be reached again, since the time Since or, if that is
// zero, since now.
type Available struct{ Since time.Time }

// Uninterrupted reports that the registry can be reached, and that what was reported as
// Unavailable was no outage of it, or that there was none. Entries that are kept because of it
// are dropped at the next Tick.
type Uninterrupted struct{}

// Restored reports that the registry was restored from an older copy. What was written since
// then is written again, as after an outage.
type Restored struct{}

// Tick reports that the time returned by Wake has passed.
type Tick struct{}

func (Updated) event()       {}
func (Removed) event()       {}
func (Listed) event()        {}
func (Unavailable) event()   {}
func (Available) event()     {}
func (Uninterrupted) event() {}
func (Restored) event()      {}
func (Tick) event()          {}

const (
	// SettleTime is how long a missing entry is kept after an outage of the
	// registry. The registry guarantees that the upstreams that are alive are
	// listed again within about 2 s.
	SettleTime = 2200 * time.Millisecond
	// holdTime is how long an entry of a removed upstream is held back. A registry that was
	// restored removes an upstream without heartbeats after three intervals of at most
	// 1.2 s, and its writers remove again what they had removed within about 2 s.
	holdTime = 6 * time.Second
	// massRemovalWindow and massRemovalShare detect an outage of the registry
	// that this node did not observe: planned removals do not affect so large
	// a share of all entries within so short a time.
	massRemovalWindow = time.Second
	massRemovalShare  = 0.34
	// minMassRemoval is the minimum number of removals that counts as a mass
	// removal.
	minMassRemoval = 4
	// maxRemoved bounds the removed incarnations that are remembered.
	maxRemoved = 4096
)

// Directory holds the entries of the registry. It is not safe for concurrent use.
type Directory struct {
	entries     map[string]Entry
	missing     map[string]bool // entries that are kept though the registry has removed them
	unavailable bool
	// reportedEnd is the end of the last outage that was reported as Unavailable, and outageEnd
	// that of the last one that a restore or a mass removal has shown.
	reportedEnd, outageEnd time.Time
	removals               []removal
	// removed holds the last entry of each upstream that the registry has removed, so
	// that an older copy does not bring it back.
	removed map[string]Entry
	// held holds the entries of removed upstreams that the registry lists. If it is an
	// older copy that does, it removes them again.
	held map[string]heldEntry
}

// heldEntry is an entry that has no effect until a time.
type heldEntry struct {
	entry Entry
	until time.Time
}

type removal struct {
	entry Entry
	at    time.Time
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{
		entries: make(map[string]Entry), missing: make(map[string]bool),
		removed: make(map[string]Entry), held: make(map[string]heldEntry),
	}
}

// Step applies one event and reports whether the entries have changed.
func (d *Directory) Step(ev Event) bool {
	now := time.Now()
	switch ev := ev.(type) {
	case Updated:
		if d.IsOutdated(ev.Entry, ev.Listed) {
			d.handleOutdated(ev.Entry, now)
			return false
		}
		return d.handleUpdated(ev.Entry)
	case Removed:
		return d.handleRemoved(ev.ID, now)
	case Listed:
		return d.handleListed(ev.Entries, now)
	case Unavailable:
		d.unavailable = true
		return false
	case Available:
		d.handleAvailable(ev.Since, now)
		return false
	case Uninterrupted:
		d.unavailable, d.reportedEnd = false, time.Time{}
		return false
	case Restored:
		d.handleRestored(now)
		return false
	case Tick:
		return d.expire(now)
	}
	return false
}

// IsOutdated reports whether more is known of the upstream than the entry holds. Listed is as
// in Updated.
func (d *Directory) IsOutdated(e Entry, listed bool) bool {
	known, present := d.entries[e.id]
	gone, removed := d.removed[e.id]
	switch {
	case present && listed:
		return known.isLater(e)
	case present:
		// The history of changes is in order, except for what another node has listed.
		return e.started != 0 && known.isLater(e) && (known.started != e.started || known.draining)
	case removed && listed:
		return gone.started > e.started || gone.started == e.started && gone.report >= e.report
	}
	return false
}

// drop removes an entry and remembers its incarnation.
func (d *Directory) drop(id string) {
	if len(d.removed) >= maxRemoved {
		clear(d.removed)
	}
	d.removed[id] = d.entries[id]
	delete(d.entries, id)
	delete(d.missing, id)
}

func (d *Directory) handleUpdated(e Entry) bool {
	old, known := d.entries[e.id]
	delete(d.missing, e.id)
	delete(d.removed, e.id)
	delete(d.held, e.id)
	d.entries[e.id] = e
	return !known || old != e
}

// handleOutdated notes that the registry lists an upstream of which more is known. One that has
// been removed is held back.
func (d *Directory) handleOutdated(e Entry, now time.Time) {
	known, present := d.entries[e.id]
	if !present {
		if _, held := d.held[e.id]; !held {
			d.held[e.id] = heldEntry{entry: e, until: now.Add(holdTime)}
		}
		return
	}
	if known.started == e.started {
		delete(d.missing, e.id)
	}
}

func (d *Directory) handleRemoved(id string, now time.Time) bool {
	delete(d.held, id)
	e, known := d.entries[id]
	if !known {
		return false
	}
	if d.unavailable || now.Before(d.settled()) {
		d.missing[id] = true
		return false
	}
	d.drop(id)
	d.recordRemoval(e, now)
	return true
}

// settled returns the time at which the registry lists again each upstream that is alive.
func (d *Directory) settled() time.Time {
	end := d.outageEnd
	if d.reportedEnd.After(end) {
		end = d.reportedEnd
	}
	return end.Add(SettleTime)
}

// recordRemoval counts a removal. When it completes a mass removal, the removed
// entries that were not draining are restored and retained like entries removed
// during an outage.
func (d *Directory) recordRemoval(e Entry, now time.Time) {
	recent := d.removals[:0]
	for _, r := range d.removals {
		if now.Sub(r.at) < massRemovalWindow {
			recent = append(recent, r)
		}
	}
	d.removals = append(recent, removal{entry: e, at: now})
	total := len(d.entries) + len(d.removals)
	if len(d.removals) < minMassRemoval || float64(len(d.removals)) < massRemovalShare*float64(total) {
		return
	}
	d.outageEnd = now
	for _, r := range d.removals {
		if _, present := d.entries[r.entry.id]; !present && !r.entry.draining {
			d.entries[r.entry.id] = r.entry
			delete(d.removed, r.entry.id)
			d.missing[r.entry.id] = true
		}
	}
	d.removals = nil
}

func (d *Directory) handleListed(entries []Entry, now time.Time) bool {
	present := make(map[string]bool, len(entries))
	changed := false
	for _, e := range entries {
		present[e.id] = true
		changed = d.Step(Updated{Entry: e, Listed: true}) || changed
	}
	for _, id := range append(d.ids(), slices.Collect(maps.Keys(d.held))...) {
		if !present[id] {
			changed = d.handleRemoved(id, now) || changed
		}
	}
	return changed
}

func (d *Directory) ids() []string {
	ids := make([]string, 0, len(d.entries))
	for id := range d.entries {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// handleAvailable starts the time in which missing entries may be listed again.
func (d *Directory) handleAvailable(since, now time.Time) {
	if since.IsZero() {
		since = d.reportedEnd
		if d.unavailable {
			since = now
		}
	}
	if since.After(d.reportedEnd) {
		d.hold(now)
	}
	d.unavailable, d.reportedEnd = false, since
}

// handleRestored starts the time in which what the older copy lacks may be written again.
func (d *Directory) handleRestored(now time.Time) {
	d.unavailable, d.outageEnd = false, now
	d.hold(now)
}

// hold holds back anew the entries that are held back.
func (d *Directory) hold(now time.Time) {
	for id, h := range d.held {
		d.held[id] = heldEntry{entry: h.entry, until: now.Add(holdTime)}
	}
}

// expire drops the retained entries whose time has passed, and adds those that were held back
// and are still listed.
func (d *Directory) expire(now time.Time) bool {
	if d.unavailable {
		return false
	}
	changed := false
	if !now.Before(d.settled()) {
		for id := range d.missing {
			d.drop(id)
			changed = true
		}
	}
	for _, h := range d.held {
		if !now.Before(h.until) {
			changed = d.handleUpdated(h.entry) || changed
		}
	}
	return changed
}

// Retained returns the ids of the removed upstreams that are kept, sorted, and when they are
// dropped unless the registry is unavailable then.
func (d *Directory) Retained() (ids []string, until time.Time) {
	return slices.Sorted(maps.Keys(d.missing)), d.settled()
}

// Wake returns when the next Tick is due; ok is false when none is.
func (d *Directory) Wake() (at time.Time, ok bool) {
	if d.unavailable {
		return time.Time{}, false
	}
	if len(d.missing) > 0 {
		at, ok = d.settled(), true
	}
	for _, h := range d.held {
		if !ok || h.until.Before(at) {
			at, ok = h.until, true
		}
	}
	return at, ok
}

// Entries returns the upstreams sorted by id, including draining ones.
func (d *Directory) Entries() []Entry {
	list := make([]Entry, 0, len(d.entries))
	for _, id := range d.ids() {
		list = append(list, d.entries[id])
	}
	return list
}
