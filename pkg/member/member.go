package member

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	defaultPeriod    = 250 * time.Millisecond
	defaultTimeout   = 150 * time.Millisecond
	defaultSuspicion = time.Second
	defaultHelpers   = 2
	defaultPerSend   = 8
	// repeats is how often a piece of news is sent for each doubling of the
	// number of members.
	repeats = 3
	// reachTimeout is how long a domain may be silent before it is taken
	// for unreachable.
	reachTimeout = time.Second
	// syncEvery is the least time between two full comparisons.
	syncEvery = 2 * time.Second
	// forgetEvery is the least time between two looks for records to drop.
	forgetEvery = time.Minute
	// keepGone is how long the record of a departed member is kept.
	keepGone = 15 * time.Minute
)

// Event is an input of Step: Tick, Received, Merged, Healthy, SetReady or Leave.
type Event interface{ event() }

// Tick lets time-driven work happen. It is due every quarter of a period.
type Tick struct{}

// Received delivers a datagram.
type Received struct{ Message Message }

// ViewReceived delivers a whole view that a peer sent.
type ViewReceived struct{ Records []Record }

// Leave announces that this member departs.
type Leave struct{}

// SetReady changes whether this member takes requests of callers.
type SetReady struct{ Ready bool }

// PlatformReachable tells that this member has reached the platform, so that silence of
// the others is not its own fault.
type PlatformReachable struct{}

func (PlatformReachable) event() {}
func (Tick) event()              {}
func (Received) event()          {}
func (ViewReceived) event()      {}
func (Leave) event()             {}
func (SetReady) event()          {}

// Action is an output of Step: Send, Sync, Changed or Heard.
type Action interface{ action() }

// Send tells to send one datagram.
type Send struct {
	Addr    string
	Message Message
}

// Sync tells to exchange whole views with the member at the address.
type Sync struct{ Addr string }

// Changed tells that the view of a member has changed.
type Changed struct{ Record Record }

// PeerVersions tells what a member has in force.
type PeerVersions struct {
	VM       string
	Addr     string
	Versions Versions
}

func (Send) action()         {}
func (Sync) action()         {}
func (Changed) action()      {}
func (PeerVersions) action() {}

// Tracker is one node's view. It is not safe for concurrent use.
type Tracker struct {
	self      Record
	random    *rand.Rand
	period    time.Duration
	timeout   time.Duration
	suspicion time.Duration
	perSend   int
	// remoteEvery is how many periods lie between two probes of other domains.
	remoteEvery int

	members map[string]*entry
	// byDomain lists the names of each domain's members, and names the
	// domains, so that no probe looks through the whole fleet.
	byDomain map[string][]string
	names    []string
	suspects map[string]bool
	dead     map[string]bool
	news     []*entry
	ring     []string
	domains  map[string]time.Time
	remote   int
	periods  int
	probe    probe
	relayed  map[uint64]relay
	seq      uint64
	next     time.Time
	synced   time.Time
	heardAt  time.Time
	forgot   time.Time
	digest   uint64
	versions Versions
	out      []Action
}

// entry is the view of one member.
type entry struct {
	record    Record
	changedAt time.Time
	sends     int
}

// probe is the direct probe under way.
type probe struct {
	target   string
	seq      uint64
	sentAt   time.Time
	indirect bool
}

// relay is an indirect probe on behalf of another member.
type relay struct {
	addr string
	seq  uint64
	at   time.Time
}

// Option changes a Tracker at construction.
type Option func(*Tracker)

// WithPeriod sets how often a member is probed. The default is 250 ms.
func WithPeriod(d time.Duration) Option { return func(t *Tracker) { t.period = d } }

// WithTimeout sets how long a direct probe may take. The default is 150 ms.
func WithTimeout(d time.Duration) Option { return func(t *Tracker) { t.timeout = d } }

// WithSuspicion sets how long a suspect may contradict. The default is 1 s.
func WithSuspicion(d time.Duration) Option { return func(t *Tracker) { t.suspicion = d } }

// WithRemoteInterval sets in how many periods one member of another domain is
// probed. The default is every period; bytes between domains may have a price.
func WithRemoteInterval(periods int) Option { return func(t *Tracker) { t.remoteEvery = periods } }

// New returns a Tracker that knows only itself.
func New(self Record, random *rand.Rand, opts ...Option) *Tracker {
	t := &Tracker{
		self:      self,
		random:    random,
		period:    defaultPeriod,
		timeout:   defaultTimeout,
		suspicion: defaultSuspicion,
		perSend:   defaultPerSend,

		remoteEvery: 1,
		members:     make(map[string]*entry),
		byDomain:    make(map[string][]string),
		suspects:    make(map[string]bool),
		dead:        make(map[string]bool),
		domains:     make(map[string]time.Time),
		relayed:     make(map[uint64]relay),
	}
	for _, opt := range opts {
		opt(t)
	}
	t.set(self)
	return t
}

// SetVersions sets what this member's probes report as in force.
func (t *Tracker) SetVersions(v Versions) { t.versions = v }

// Self is this member's own record.
func (t *Tracker) Self() Record { return t.self }

// Records lists the whole view in order of names.
func (t *Tracker) Records() []Record {
	list := make([]Record, 0, len(t.members))
	for _, e := range t.members {
		list = append(list, e.record)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	return list
}

// Reachable tells whether the domain has been heard from lately. One that has
// just become known is given the same time to be heard from.
func (t *Tracker) Reachable(domain string) bool {
	return domain == t.self.Domain || time.Since(t.domains[domain]) < reachTimeout
}

// Step applies one event and returns what has to be done. The slice is valid
// until the next call.
func (t *Tracker) Step(ev Event) []Action {
	t.out = t.out[:0]
	switch ev := ev.(type) {
	case Tick:
		t.tick(time.Now())
	case Received:
		t.received(ev.Message)
	case ViewReceived:
		t.mergeAll(ev.Records)
	case Leave:
		t.self.Status, t.self.Ready = Left, false
		t.set(t.self)
		t.farewell()
	case PlatformReachable:
		t.heardAt = time.Now()
	case SetReady:
		t.self.Ready = ev.Ready
		t.assert()
	}
	return t.out
}

// assert makes a new epoch of this member's own record known.
func (t *Tracker) assert() {
	t.self.Epoch++
	t.set(t.self)
}

// merge applies one record from another member.
func (t *Tracker) merge(r Record) {
	if r.VM == t.self.VM {
		t.contradict(r)
		return
	}
	old, known := t.members[r.VM]
	if known && !r.overrides(old.record) {
		return
	}
	if !known && r.Status >= Dead {
		return
	}
	t.set(r)
}

func (t *Tracker) mergeAll(records []Record) {
	for _, r := range records {
		t.merge(r)
	}
}

// contradict answers news that this member is not alive.
func (t *Tracker) contradict(r Record) {
	if r.Started != t.self.Started || t.self.Status == Left {
		return
	}
	if r.Epoch > t.self.Epoch || r.Epoch == t.self.Epoch && r.Status != Alive {
		t.self.Epoch = r.Epoch
		t.assert()
	}
}

// set stores a record and queues it as news.
func (t *Tracker) set(r Record) {
	e, known := t.members[r.VM]
	if !known {
		e = &entry{}
		t.members[r.VM] = e
		t.enlist(r)
	} else {
		t.digest ^= e.record.sum()
	}
	if _, met := t.domains[r.Domain]; !met {
		t.domains[r.Domain] = time.Now()
	}
	e.record = r
	e.changedAt = time.Now()
	t.mark(r)
	t.digest ^= r.sum()
	if e.sends == 0 {
		t.news = append(t.news, e)
	}
	e.sends = t.copies()
	t.out = append(t.out, Changed{Record: r})
}

// enlist adds a new member to its domain.
func (t *Tracker) enlist(r Record) {
	if r.Domain == t.self.Domain {
		t.ring = nil
	}
	if _, known := t.byDomain[r.Domain]; !known {
		t.names = append(t.names, r.Domain)
		sort.Strings(t.names)
	}
	t.byDomain[r.Domain] = append(t.byDomain[r.Domain], r.VM)
}

// mark keeps the lists of suspects and dead.
func (t *Tracker) mark(r Record) {
	delete(t.suspects, r.VM)
	delete(t.dead, r.VM)
	switch r.Status {
	case Suspect:
		t.suspects[r.VM] = true
	case Dead:
		t.dead[r.VM] = true
	case Alive, Left:
	}
}

// copies is how often a piece of news is sent.
func (t *Tracker) copies() int {
	n := repeats
	for m := len(t.members); m > 1; m /= 2 {
		n += repeats
	}
	return n
}
