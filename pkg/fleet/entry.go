package fleet

import "time"

// Entry describes one upstream as the registry lists it.
type Entry struct {
	id        string
	service   string
	addr      string
	domain    string
	slots     int
	started   int64
	report    uint64
	draining  bool
	coldUntil time.Time
}

// Option configures an Entry at construction.
type Option func(*Entry)

// WithDomain sets the failure domain. The default is none.
func WithDomain(name string) Option { return func(e *Entry) { e.domain = name } }

// WithSlots sets the number of requests that the upstream runs at once. The default
// is 1.
func WithSlots(n int) Option { return func(e *Entry) { e.slots = n } }

// WithStarted sets when this incarnation of the upstream started, in milliseconds
// since 1970.
func WithStarted(unixMilli int64) Option { return func(e *Entry) { e.started = unixMilli } }

// WithReport sets the number of the report that the entry is from. Each incarnation of an
// upstream counts its reports. The default is 0, for upstreams that do not.
func WithReport(n uint64) Option { return func(e *Entry) { e.report = n } }

// WithDraining sets whether the upstream is draining and accepts no new work. The
// default is false.
func WithDraining(yes bool) Option { return func(e *Entry) { e.draining = yes } }

// WithColdUntil sets until when the upstream is slow after its start.
func WithColdUntil(t time.Time) Option { return func(e *Entry) { e.coldUntil = t } }

// NewEntry returns the entry of an upstream.
func NewEntry(id, service, addr string, opts ...Option) Entry {
	e := Entry{id: id, service: service, addr: addr, slots: 1}
	for _, opt := range opts {
		opt(&e)
	}
	return e
}

// isLater reports whether the upstream has reported the entry after another one of the same
// upstream. An incarnation stops draining only with a later report; reports without a
// number are ordered by that alone.
func (e Entry) isLater(other Entry) bool {
	switch {
	case e.started != other.started:
		return e.started > other.started
	case e.draining != other.draining:
		return e.draining && e.report >= other.report
	}
	return e.report > other.report
}

// ID identifies the upstream. Together with Started it identifies the incarnation.
func (e Entry) ID() string { return e.id }

// Service returns the name of the service that the upstream belongs to.
func (e Entry) Service() string { return e.service }

// Addr returns the IP address and port.
func (e Entry) Addr() string { return e.addr }

// Domain returns the failure domain.
func (e Entry) Domain() string { return e.domain }

// Slots returns the number of requests that the upstream runs at once.
func (e Entry) Slots() int { return e.slots }

// Started returns when this incarnation started, in milliseconds since 1970.
func (e Entry) Started() int64 { return e.started }

// Report returns the number of the report that the entry is from.
func (e Entry) Report() uint64 { return e.report }

// Draining reports whether the upstream is draining and accepts no new work.
func (e Entry) Draining() bool { return e.draining }

// ColdUntil returns until when the upstream is slow after its start.
func (e Entry) ColdUntil() time.Time { return e.coldUntil }
