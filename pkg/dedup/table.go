package dedup

import (
	"time"
)

//go:generate go tool stringer -type Status -linecomment

// Status is the state or the outcome of a request.
type Status uint8

// The statuses.
const (
	Running Status = iota // running
	Ran                   // ran
	Unknown               // unknown
	NotRun                // not_run
)

// Outcome is the result of a request. Answer is returned to every send of the key.
type Outcome struct {
	Status Status `msgpack:"s"`
	Answer []byte `msgpack:"a"`
}

// Decision is the result of Begin: Run, Wait, Replay or Refuse.
type Decision interface{ decision() }

// Run means that the request must run now and its outcome be reported with End.
type Run struct{}

// Wait means that the request is already running. Done is closed when it ends.
type Wait struct{ Done <-chan struct{} }

// Replay returns the recorded outcome.
type Replay struct{ Outcome Outcome }

// Refuse means that the request must not run. Status is NotRun when there is proof
// that no upstream has received it, otherwise Unknown.
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
	// beginsPerPurge is the number of Begin calls between two purges of old
	// entries.
	beginsPerPurge = 256
)

// Table records the keys of one slot, or those issued by one process. It is not
// safe for concurrent use.
type Table struct {
	window  time.Duration
	margin  time.Duration
	skew    time.Duration
	entries map[string]*entry
	begins  int
}

type entry struct {
	created time.Time
	outcome Outcome
	done    chan struct{}
}

// Option configures a Table at construction.
type Option func(*Table)

// WithWindow sets the maximum age of a key. The default is 5 minutes.
func WithWindow(d time.Duration) Option { return func(t *Table) { t.window = d } }

// WithMargin sets the largest assumed difference between any two clocks. The
// default is 500 ms.
func WithMargin(d time.Duration) Option { return func(t *Table) { t.margin = d } }

// WithSkew adds an offset to the node's clock, to simulate the clock skew between
// VMs in tests.
func WithSkew(d time.Duration) Option { return func(t *Table) { t.skew = d } }

// NewTable returns an empty Table.
func NewTable(opts ...Option) *Table {
	t := &Table{window: defaultWindow, margin: defaultMargin, entries: make(map[string]*entry)}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Len returns the number of recorded keys.
func (t *Table) Len() int { return len(t.entries) }

// Begin decides how to handle one send of a key. Since is the time from which the
// table is complete, mayRun reports whether this node may run new requests of the
// key, and first whether the caller marks the send as the key's first.
//
// A rejected first send is NotRun, because no other node has received the key; a
// caller that sends a key again discards the answers to earlier sends. Any other
// rejection is Unknown. A key created before the table was complete is rejected
// even on a first send, because the send may have been in transit for a long time.
func (t *Table) Begin(k Key, since time.Time, mayRun, first bool) Decision {
	t.purge()
	if e, ok := t.entries[k.text]; ok {
		return e.decide()
	}
	now := time.Now().Add(t.skew)
	complete := k.created.After(since)
	switch {
	case k.created.Before(now.Add(-t.window)):
		return refuse(first, "key is older than the window; make a new key for a new request")
	case k.created.After(now.Add(t.margin)):
		return refuse(first, "key is from the future; set the caller's clock")
	case !complete:
		return refuse(first, "key was made before its present owner took over; make a new key for a new request")
	case !mayRun:
		return refuse(first, "owner of the key has no lease at present; get a key with POST /v1/keys")
	}
	t.entries[k.text] = &entry{created: k.created, done: make(chan struct{})}
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

// End records the outcome of a request for which Begin returned Run. NotRun is
// final too: another send of the key may still be in transit, and must not run
// after a caller has received NotRun.
func (t *Table) End(k Key, o Outcome) {
	e, ok := t.entries[k.text]
	if !ok {
		return
	}
	e.outcome = o
	close(e.done)
}

// Outcome returns the recorded outcome of a key that is not running.
func (t *Table) Outcome(k Key) (Outcome, bool) {
	e, ok := t.entries[k.text]
	if !ok || e.outcome.Status == Running {
		return Outcome{}, false
	}
	return e.outcome, true
}

// Idle reports whether no request is running.
func (t *Table) Idle() bool {
	for _, e := range t.entries {
		if e.outcome.Status == Running {
			return false
		}
	}
	return true
}

// purge removes keys that are too old to be accepted by any node.
func (t *Table) purge() {
	t.begins++
	if t.begins%beginsPerPurge != 0 {
		return
	}
	oldest := time.Now().Add(-t.window - 2*t.margin)
	for text, e := range t.entries {
		if e.created.Before(oldest) && e.outcome.Status != Running {
			delete(t.entries, text)
		}
	}
}

// Item is one recorded key of a table that is handed over.
type Item struct {
	Key     string    `msgpack:"k"`
	Created time.Time `msgpack:"b"`
	Outcome Outcome   `msgpack:"o"`
}

// Export returns the recorded keys for a new owner. A request that is still
// running is exported as Unknown.
func (t *Table) Export() []Item {
	list := make([]Item, 0, len(t.entries))
	for text, e := range t.entries {
		o := e.outcome
		if o.Status == Running {
			o = Outcome{Status: Unknown}
		}
		list = append(list, Item{Key: text, Created: e.created, Outcome: o})
	}
	return list
}

// Import adds the keys that another owner exported. Keys already in the table keep
// their outcome.
func (t *Table) Import(items []Item) {
	for _, it := range items {
		if _, known := t.entries[it.Key]; known {
			continue
		}
		done := make(chan struct{})
		close(done)
		t.entries[it.Key] = &entry{created: it.Created, outcome: it.Outcome, done: done}
	}
}
