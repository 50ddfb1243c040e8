// Package fleet is the directory of upstreams as their registry tells it, with
// the doubts that a registry with outages deserves: entries that vanish while
// the registry is disturbed are kept for a while, because they come back if
// their upstreams live.
//
// A Directory is a state machine without input or output:
//
//	d := fleet.New()
//	changed := d.Step(fleet.Seen{Entry: e})
//	list := d.Entries()
package fleet

import (
	"sort"
	"time"
)

// Entry is one upstream as the registry describes it.
type Entry struct {
	id       string
	service  string
	addr     string
	domain   string
	slots    int
	started  int64
	draining bool
	coldTill time.Time
}

// Option changes an Entry at construction.
type Option func(*Entry)

// WithDomain sets the failure domain. The default is none.
func WithDomain(name string) Option { return func(e *Entry) { e.domain = name } }

// WithSlots sets how many requests the upstream runs at once. The default is 1.
func WithSlots(n int) Option { return func(e *Entry) { e.slots = n } }

// WithStarted sets when this incarnation started, in milliseconds since 1970.
func WithStarted(unixMilli int64) Option { return func(e *Entry) { e.started = unixMilli } }

// WithDraining tells that the upstream takes no new work. The default is false.
func WithDraining(yes bool) Option { return func(e *Entry) { e.draining = yes } }

// WithColdUntil tells until when the upstream is slow after its start.
func WithColdUntil(t time.Time) Option { return func(e *Entry) { e.coldTill = t } }

// NewEntry returns the entry of an upstream.
func NewEntry(id, service, addr string, opts ...Option) Entry {
	e := Entry{id: id, service: service, addr: addr, slots: 1}
	for _, opt := range opts {
		opt(&e)
	}
	return e
}

// ID identifies the upstream; with Started it identifies the incarnation.
func (e Entry) ID() string { return e.id }

// Service names the service that the upstream belongs to.
func (e Entry) Service() string { return e.service }

// Addr is the address, an IP address and a port.
func (e Entry) Addr() string { return e.addr }

// Domain is the failure domain.
func (e Entry) Domain() string { return e.domain }

// Slots is how many requests the upstream runs at once.
func (e Entry) Slots() int { return e.slots }

// Started is when this incarnation started, in milliseconds since 1970.
func (e Entry) Started() int64 { return e.started }

// Draining tells whether the upstream takes no new work.
func (e Entry) Draining() bool { return e.draining }

// ColdUntil is until when the upstream is slow after its start.
func (e Entry) ColdUntil() time.Time { return e.coldTill }

// Event is an input of Step: Seen, Gone, Listed, Disturbed, Calm or Tick.
type Event interface{ event() }

// Updated delivers an entry that is new or has changed.
type Updated struct{ Entry Entry }

// Removed tells that the registry has removed an entry.
type Removed struct{ ID string }

// Listed delivers the whole registry.
type Listed struct{ Entries []Entry }

// Unavailable tells that the registry cannot be reached.
type Unavailable struct{}

// Available tells that the registry can be reached again.
type Available struct{}

// Tick lets time pass. It is due at Wake.
type Tick struct{}

func (Updated) event()     {}
func (Removed) event()     {}
func (Listed) event()      {}
func (Unavailable) event() {}
func (Available) event()   {}
func (Tick) event()        {}

const (
	// settleTime is how long after an outage of the registry a missing
	// entry may still come back: the registry promises about 2 s.
	settleTime = 2200 * time.Millisecond
	// lapseWindow and lapseShare recognize an outage that this node did not
	// see: so large a share of all entries does not leave at once by plan.
	lapseWindow = time.Second
	lapseShare  = 0.34
	// lapseLeast is the least number of removals that counts as a lapse.
	lapseLeast = 4
)

// Directory holds the entries. It is not safe for concurrent use.
type Directory struct {
	entries   map[string]Entry
	missing   map[string]time.Time // when an entry that vanished in doubt is dropped
	disturbed bool
	calmAt    time.Time
	removals  []removal
}

// removal is an entry that was dropped just now.
type removal struct {
	entry Entry
	at    time.Time
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{entries: make(map[string]Entry), missing: make(map[string]time.Time)}
}

// Step applies one event and tells whether the entries have changed.
func (d *Directory) Step(ev Event) bool {
	now := time.Now()
	switch ev := ev.(type) {
	case Updated:
		return d.seen(ev.Entry)
	case Removed:
		return d.gone(ev.ID, now)
	case Listed:
		return d.listed(ev.Entries, now)
	case Unavailable:
		d.disturbed = true
		return false
	case Available:
		d.calm(now)
		return false
	case Tick:
		return d.expire(now)
	}
	return false
}

func (d *Directory) seen(e Entry) bool {
	old, known := d.entries[e.id]
	if known && old.started > e.started && e.started != 0 {
		return false
	}
	delete(d.missing, e.id)
	d.entries[e.id] = e
	return !known || old != e
}

func (d *Directory) gone(id string, now time.Time) bool {
	e, known := d.entries[id]
	if !known {
		return false
	}
	if d.disturbed || now.Sub(d.calmAt) < settleTime {
		d.doubt(id, now)
		return false
	}
	delete(d.entries, id)
	delete(d.missing, id)
	d.noteRemoval(e, now)
	return true
}

// doubt keeps a vanished entry until the registry has had time to settle.
func (d *Directory) doubt(id string, now time.Time) {
	if _, doubted := d.missing[id]; !doubted {
		d.missing[id] = now.Add(settleTime)
	}
}

// noteRemoval counts a removal. When too many come at once it puts the entries
// back, in doubt.
func (d *Directory) noteRemoval(e Entry, now time.Time) {
	recent := d.removals[:0]
	for _, r := range d.removals {
		if now.Sub(r.at) < lapseWindow {
			recent = append(recent, r)
		}
	}
	d.removals = append(recent, removal{entry: e, at: now})
	total := len(d.entries) + len(d.removals)
	if len(d.removals) < lapseLeast || float64(len(d.removals)) < lapseShare*float64(total) {
		return
	}
	for _, r := range d.removals {
		if _, back := d.entries[r.entry.id]; !back && !r.entry.draining {
			d.entries[r.entry.id] = r.entry
			d.doubt(r.entry.id, now)
		}
	}
	d.removals = nil
	d.calmAt = now
}

func (d *Directory) listed(entries []Entry, now time.Time) bool {
	present := make(map[string]bool, len(entries))
	changed := false
	for _, e := range entries {
		present[e.id] = true
		changed = d.seen(e) || changed
	}
	for _, id := range d.ids() {
		if !present[id] {
			changed = d.gone(id, now) || changed
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

// calm starts the time in which missing entries may come back.
func (d *Directory) calm(now time.Time) {
	if !d.disturbed {
		return
	}
	d.disturbed = false
	d.calmAt = now
	for id := range d.missing {
		d.missing[id] = now.Add(settleTime)
	}
}

// expire drops the entries that did not come back.
func (d *Directory) expire(now time.Time) bool {
	if d.disturbed {
		return false
	}
	changed := false
	for id, at := range d.missing {
		if now.Before(at) {
			continue
		}
		delete(d.missing, id)
		delete(d.entries, id)
		changed = true
	}
	return changed
}

// Wake is when the next Tick is due; ok is false when none is.
func (d *Directory) Wake() (at time.Time, ok bool) {
	if d.disturbed {
		return time.Time{}, false
	}
	for _, t := range d.missing {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	return at, ok
}

// Entries lists the upstreams in order of their ids, draining ones included.
func (d *Directory) Entries() []Entry {
	list := make([]Entry, 0, len(d.entries))
	for _, id := range d.ids() {
		list = append(list, d.entries[id])
	}
	return list
}
