package member

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	defaultPeriod            = 250 * time.Millisecond
	defaultTimeout           = 150 * time.Millisecond
	defaultSuspicion         = time.Second
	indirectProbes           = 2
	defaultUpdatesPerMessage = 8
	// sendsPerDoubling is the number of times an update is sent for each doubling
	// of the number of members.
	sendsPerDoubling = 3
	// reachableTimeout is the time without a message from a domain after which
	// the domain is assumed to be unreachable.
	reachableTimeout = time.Second
	// minSyncInterval is the minimum time between two full exchanges.
	minSyncInterval = 2 * time.Second
	// purgeInterval is the minimum time between two purges of old records.
	purgeInterval = time.Minute
	// departedRetention is how long the record of a dead or departed member is
	// kept.
	departedRetention = 15 * time.Minute
)

// Event is an input of Step: Tick, Received, ViewReceived, PlatformReachable,
// SetReady or Leave.
type Event interface{ event() }

// Tick triggers time-driven work. It is due every quarter of a period.
type Tick struct{}

// Received reports a datagram from a member.
type Received struct{ Message Message }

// ViewReceived reports the complete view of a peer.
type ViewReceived struct{ Records []Record }

// Leave starts the departure of this member.
type Leave struct{}

// SetReady sets whether this member accepts requests from callers.
type SetReady struct{ Ready bool }

// PlatformReachable reports that this member has reached the platform, so that a
// lack of messages from other members is not attributed to its own network.
type PlatformReachable struct{}

func (PlatformReachable) event() {}
func (Tick) event()              {}
func (Received) event()          {}
func (ViewReceived) event()      {}
func (Leave) event()             {}
func (SetReady) event()          {}

// Action is an output of Step: Send, Sync, Changed or PeerVersions.
type Action interface{ action() }

// Send requests the sending of one datagram.
type Send struct {
	Addr    string
	Message Message
}

// Sync requests an exchange of complete views with the member at the address.
type Sync struct{ Addr string }

// Changed reports a change in the record of a member.
type Changed struct{ Record Record }

// PeerVersions reports the versions that a member has in effect.
type PeerVersions struct {
	VM       string
	Addr     string
	Versions Versions
}

func (Send) action()         {}
func (Sync) action()         {}
func (Changed) action()      {}
func (PeerVersions) action() {}

// Tracker maintains one node's view of the members. It is not safe for concurrent
// use.
type Tracker struct {
	self              Record
	random            *rand.Rand
	period            time.Duration
	timeout           time.Duration
	suspicion         time.Duration
	updatesPerMessage int
	// remoteInterval is the number of periods between two probes of other
	// domains.
	remoteInterval int

	members map[string]*entry
	// byDomain lists the members of each domain and domainNames the domains,
	// so that choosing a target does not iterate over all members.
	byDomain       map[string][]string
	domainNames    []string
	suspects       map[string]bool
	dead           map[string]bool
	updates        []*entry
	probeOrder     []string
	domainReceived map[string]time.Time
	remoteIndex    int
	periods        int
	probe          probe
	relays         map[uint64]relay
	seq            uint64
	nextProbe      time.Time
	lastSync       time.Time
	lastReceived   time.Time
	lastPurge      time.Time
	digest         uint64
	versions       Versions
	out            []Action
}

// entry is the state of one member. sendsLeft is the number of times that its
// record is still to be sent.
type entry struct {
	record    Record
	changedAt time.Time
	sendsLeft int
}

// probe is the outstanding direct probe.
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

// WithPeriod sets the interval between probes. The default is 250 ms.
func WithPeriod(d time.Duration) Option { return func(t *Tracker) { t.period = d } }

// WithTimeout sets the timeout of a direct probe. The default is 150 ms.
func WithTimeout(d time.Duration) Option { return func(t *Tracker) { t.timeout = d } }

// WithSuspicion sets how long a suspect has to refute the suspicion before it is
// declared dead. The default is 1 s.
func WithSuspicion(d time.Duration) Option { return func(t *Tracker) { t.suspicion = d } }

// WithRemoteInterval sets the number of periods between two probes of members of
// other domains. The default is 1. A larger value reduces the traffic between
// domains, which may be charged for.
func WithRemoteInterval(periods int) Option { return func(t *Tracker) { t.remoteInterval = periods } }

// New returns a Tracker whose view contains only the node itself.
func New(self Record, random *rand.Rand, opts ...Option) *Tracker {
	t := &Tracker{
		self:              self,
		random:            random,
		period:            defaultPeriod,
		timeout:           defaultTimeout,
		suspicion:         defaultSuspicion,
		updatesPerMessage: defaultUpdatesPerMessage,

		remoteInterval: 1,
		members:        make(map[string]*entry),
		byDomain:       make(map[string][]string),
		suspects:       make(map[string]bool),
		dead:           make(map[string]bool),
		domainReceived: make(map[string]time.Time),
		relays:         make(map[uint64]relay),
	}
	for _, opt := range opts {
		opt(t)
	}
	t.set(self)
	return t
}

// SetVersions sets the versions that this member's messages report as in effect.
func (t *Tracker) SetVersions(v Versions) { t.versions = v }

// Self returns this member's own record.
func (t *Tracker) Self() Record { return t.self }

// Records returns the complete view, sorted by VM name.
func (t *Tracker) Records() []Record {
	list := make([]Record, 0, len(t.members))
	for _, e := range t.members {
		list = append(list, e.record)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	return list
}

// Reachable reports whether a message from the domain was received within
// reachableTimeout. A domain that has just become known counts as reachable for
// the same time.
func (t *Tracker) Reachable(domain string) bool {
	return domain == t.self.Domain || time.Since(t.domainReceived[domain]) < reachableTimeout
}

// Step applies one event and returns the actions to carry out. The slice is valid
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
		t.announceLeave()
	case PlatformReachable:
		t.lastReceived = time.Now()
	case SetReady:
		t.self.Ready = ev.Ready
		t.advanceEpoch()
	}
	return t.out
}

// advanceEpoch increments the epoch of this member's own record and distributes
// the record.
func (t *Tracker) advanceEpoch() {
	t.self.Epoch++
	t.set(t.self)
}

// merge applies one record from another member.
func (t *Tracker) merge(r Record) {
	if r.VM == t.self.VM {
		t.refute(r)
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

// refute overrides a record that marks this member as not alive, by a record with
// a higher epoch.
func (t *Tracker) refute(r Record) {
	if r.Started != t.self.Started || t.self.Status == Left {
		return
	}
	if r.Epoch > t.self.Epoch || r.Epoch == t.self.Epoch && r.Status != Alive {
		t.self.Epoch = r.Epoch
		t.advanceEpoch()
	}
}

// set stores a record and queues it as an update.
func (t *Tracker) set(r Record) {
	e, known := t.members[r.VM]
	if !known {
		e = &entry{}
		t.members[r.VM] = e
		t.addToDomain(r)
	} else {
		t.digest ^= e.record.hash()
	}
	if _, seen := t.domainReceived[r.Domain]; !seen {
		t.domainReceived[r.Domain] = time.Now()
	}
	e.record = r
	e.changedAt = time.Now()
	t.updateStatusSets(r)
	t.digest ^= r.hash()
	if e.sendsLeft == 0 {
		t.updates = append(t.updates, e)
	}
	e.sendsLeft = t.sendsPerUpdate()
	t.out = append(t.out, Changed{Record: r})
}

// addToDomain adds a new member to its domain. A member of the local domain starts a
// new round of probes.
func (t *Tracker) addToDomain(r Record) {
	if r.Domain == t.self.Domain {
		t.probeOrder = nil
	}
	if _, known := t.byDomain[r.Domain]; !known {
		t.domainNames = append(t.domainNames, r.Domain)
		sort.Strings(t.domainNames)
	}
	t.byDomain[r.Domain] = append(t.byDomain[r.Domain], r.VM)
}

func (t *Tracker) updateStatusSets(r Record) {
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

// sendsPerUpdate returns the number of times that an update is sent, which grows
// with the logarithm of the number of members.
func (t *Tracker) sendsPerUpdate() int {
	n := sendsPerDoubling
	for m := len(t.members); m > 1; m /= 2 {
		n += sendsPerDoubling
	}
	return n
}
