package dedup

import (
	"time"
)

//go:generate go tool stringer -type Status -linecomment

// Status tells what became of a request.
type Status uint8

// The statuses.
const (
	Running Status = iota // running
	Ran                   // ran
	Unknown               // unknown
	NotRun                // not_run
)

// Outcome is the end of a request. Answer is what its caller gets, every time
// that it asks.
type Outcome struct {
	Status Status `msgpack:"s"`
	Answer []byte `msgpack:"a"`
}

// Decision is the answer of Begin: Run, Wait, Replay or Refuse.
type Decision interface{ decision() }

// Run tells to run the request now and report its outcome with End.
type Run struct{}

// Wait tells that the request is running; the channel is closed at its end.
type Wait struct{ Done <-chan struct{} }

// Replay gives the known outcome.
type Replay struct{ Outcome Outcome }

// Refuse tells not to run the request. Status is NotRun when it is proved
// that no upstream has seen it, else Unknown.
type Refuse struct {
	Status Status
	Reason string
}

func (Run) decision()    {}
func (Wait) decision()   {}
func (Replay) decision() {}
func (Refuse) decision() {}

const (
	defaultWindow = 5 * time.Minute
	defaultMargin = 500 * time.Millisecond
	// purgeEvery is how many Begins pass between two sweeps of old entries.
	purgeEvery = 256
)

// Table remembers the keys of one slot, or those that one process issued. It
// is not safe for concurrent use.
type Table struct {
	window  time.Duration
	margin  time.Duration
	skew    time.Duration
	entries map[string]*entry
	begins  int
}

type entry struct {
	born    time.Time
	outcome Outcome
	done    chan struct{}
}

// Option changes a Table at construction.
type Option func(*Table)

// WithWindow sets how old a key may be. The default is 5 minutes.
func WithWindow(d time.Duration) Option { return func(t *Table) { t.window = d } }

// WithMargin sets by how much any two clocks may differ. The default is 500 ms.
func WithMargin(d time.Duration) Option { return func(t *Table) { t.margin = d } }

// WithSkew makes the node's clock differ from the runtime's, as clocks of VMs
// do. It is for tests.
func WithSkew(d time.Duration) Option { return func(t *Table) { t.skew = d } }

// NewTable returns an empty Table.
func NewTable(opts ...Option) *Table {
	t := &Table{window: defaultWindow, margin: defaultMargin, entries: make(map[string]*entry)}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Len is the number of keys remembered.
func (t *Table) Len() int { return len(t.entries) }

// Begin decides about one send of a key. Since is the time from which the
// table is complete, mayRun tells whether this node may run new requests of
// the key, and first whether the caller marks the send as the key's first.
//
// A first send that is refused was run nowhere, since nobody else has seen the
// key; the caller that sends a key again gives up the answers of earlier sends.
// Any other refusal is Unknown. A key that was made before the table was
// complete is refused even to a first send, which may have been under way for
// long.
func (t *Table) Begin(k Key, since time.Time, mayRun, first bool) Decision {
	t.sweep()
	if e, ok := t.entries[k.text]; ok {
		return e.decide()
	}
	now := time.Now().Add(t.skew)
	complete := k.born.After(since)
	switch {
	case k.born.Before(now.Add(-t.window)):
		return refuse(first, "key is older than the window; make a new key for a new request")
	case k.born.After(now.Add(t.margin)):
		return refuse(first, "key is from the future; set the caller's clock")
	case !complete:
		return refuse(first, "key was made before its present owner took over; make a new key for a new request")
	case !mayRun:
		return refuse(first, "owner of the key has no lease at present; get a key with POST /v1/keys")
	}
	t.entries[k.text] = &entry{born: k.born, done: make(chan struct{})}
	return Run{}
}

func refuse(proved bool, why string) Decision {
	if proved {
		return Refuse{Status: NotRun, Reason: why}
	}
	return Refuse{Status: Unknown, Reason: why}
}

func (e *entry) decide() Decision {
	if e.outcome.Status == Running {
		return Wait{Done: e.done}
	}
	return Replay{Outcome: e.outcome}
}

// End records the outcome of a request that Begin told to run. NotRun is final
// too: another send of the key may still be on its way, and must not run after
// a caller was told that the request did not.
func (t *Table) End(k Key, o Outcome) {
	e, ok := t.entries[k.text]
	if !ok {
		return
	}
	e.outcome = o
	close(e.done)
}

// Outcome gives the recorded outcome of a key that is not running.
func (t *Table) Outcome(k Key) (Outcome, bool) {
	e, ok := t.entries[k.text]
	if !ok || e.outcome.Status == Running {
		return Outcome{}, false
	}
	return e.outcome, true
}

// Idle tells whether no request is running.
func (t *Table) Idle() bool {
	for _, e := range t.entries {
		if e.outcome.Status == Running {
			return false
		}
	}
	return true
}

// sweep drops keys that are too old to be accepted anywhere.
func (t *Table) sweep() {
	t.begins++
	if t.begins%purgeEvery != 0 {
		return
	}
	oldest := time.Now().Add(-t.window - 2*t.margin)
	for text, e := range t.entries {
		if e.born.Before(oldest) && e.outcome.Status != Running {
			delete(t.entries, text)
		}
	}
}

// Item is one remembered key in a table that is handed over.
type Item struct {
	Key     string    `msgpack:"k"`
	Created time.Time `msgpack:"b"`
	Outcome Outcome   `msgpack:"o"`
}

// Export lists what a new owner needs. A request that is still running is
// handed over as Unknown.
func (t *Table) Export() []Item {
	list := make([]Item, 0, len(t.entries))
	for text, e := range t.entries {
		o := e.outcome
		if o.Status == Running {
			o = Outcome{Status: Unknown}
		}
		list = append(list, Item{Key: text, Created: e.born, Outcome: o})
	}
	return list
}

// Import takes over what another owner exported.
func (t *Table) Import(items []Item) {
	for _, it := range items {
		if _, known := t.entries[it.Key]; known {
			continue
		}
		done := make(chan struct{})
		close(done)
		t.entries[it.Key] = &entry{born: it.Created, outcome: it.Outcome, done: done}
	}
}
