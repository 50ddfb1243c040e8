package allot

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/pkg/access"
)

const (
	// maxWait bounds the time that a node is told to wait for a token, because others may
	// stop asking before that.
	maxWait = time.Second
	// minWait is the least time between two questions of a node after a refusal: the round
	// trip within a domain and its processing on a busy VM.
	minWait = 20 * time.Millisecond
)

// Server holds the tokens that a failure domain has of each workspace. It is safe for
// concurrent use.
type Server struct {
	rule   Rule
	domain string
	vm     string

	mu      sync.Mutex
	clock   watch
	started time.Time
	term    uint64
	stopped bool
	pledges map[string]pledged
	// part is the sum of the valid pledges, at most 1.
	part    float64
	buckets map[string]*bucket
	// nextEnd is when the first of the pledges lapses.
	nextEnd time.Time
}

// bucket holds the tokens of one workspace.
type bucket struct {
	allotment access.Allotment
	// capacity and rate are those of the domain if all its nodes pledge.
	capacity, rate float64
	// tokens is the number of tokens as of filledAt.
	tokens   float64
	filledAt time.Time
	// promised is the time for which the last node that was refused was told to ask again.
	promised time.Time
}

// ServerOption configures a Server at construction.
type ServerOption func(*Server)

// WithServerClock sets the clocks. The default are those of the runtime.
func WithServerClock(c Clock) ServerOption { return func(s *Server) { s.clock = newWatch(c) } }

// NewServer returns the server of the node vm without pledges.
func NewServer(rule Rule, domain, vm string, opts ...ServerOption) *Server {
	s := &Server{rule: rule, domain: domain, vm: vm, clock: newWatch(Clock{}), buckets: make(map[string]*bucket)}
	for _, opt := range opts {
		opt(s)
	}
	s.started = s.clock.now()
	s.drop(s.started)
	return s
}

// assumed is the name under which the pledges are kept that a server assumes. No VM has it.
const assumed = ""

// Assume makes the server count all nodes of its domain as pledged until the given time. It may
// be called while all of them have just started, as after a power loss: none has pledged to
// another server, and nothing has been granted from their part since they ended. Each workspace
// begins with a token, which is less than what its part gains while its nodes start.
func (s *Server) Assume(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	s.advance(now)
	if _, done := s.pledges[assumed]; done || s.stopped || !until.After(now) {
		return
	}
	s.pledges[assumed] = pledged{part: 1, ends: until}
	s.sum(now)
	for _, b := range s.buckets {
		b.tokens = max(b.tokens, min(1, b.capacity))
	}
}

// Doubt ends what Assume began.
func (s *Server) Doubt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	s.advance(now)
	if _, ok := s.pledges[assumed]; ok {
		delete(s.pledges, assumed)
		s.sum(now)
	}
}

// drop forgets all pledges and tokens. Stamps of earlier terms are not valid any more.
func (s *Server) drop(now time.Time) {
	s.term = rand.Uint64() | 1
	s.pledges = make(map[string]pledged)
	s.part = 0
	for _, b := range s.buckets {
		b.tokens, b.filledAt, b.promised = 0, now, time.Time{}
	}
}

// Receive records a pledge and returns the answer to its sender.
func (s *Server) Receive(p Pledge) Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	s.advance(now)
	ack := Ack{VM: s.vm, Seq: p.Seq, Stamp: Stamp{Term: s.term, At: now.Sub(s.started)}, Released: s.stopped}
	ends := s.started.Add(p.Stamp.At + PledgeTime)
	if s.stopped || p.Stamp.Term != s.term || !ends.After(now) || p.Stamp.At > now.Sub(s.started) {
		return ack
	}
	old, known := s.pledges[p.VM]
	if known && !old.isNewer(p) {
		return ack
	}
	next := pledged{started: p.Started, seq: p.Seq, ends: ends}
	if p.Nodes > 0 {
		next.part = 1 / float64(p.Nodes)
	}
	if known && old.ends.After(ends) {
		next.ends = old.ends // until then, earlier pledges may arrive late and must not count
	}
	s.pledges[p.VM] = next
	s.sum(now)
	return ack
}

// advance drops the pledges that have lapsed up to now, each at the time of its end.
func (s *Server) advance(now time.Time) {
	if s.clock.jumped(now) {
		s.drop(now)
		return
	}
	for len(s.pledges) > 0 && !s.nextEnd.After(now) {
		end := s.nextEnd
		for vm, p := range s.pledges {
			if !p.ends.After(end) {
				delete(s.pledges, vm)
			}
		}
		s.sum(end)
	}
}

// partTolerance is the rounding error of a sum of pledges.
const partTolerance = 1e-9

// sum adds up the pledges that hold from a time on. If the sum has changed, it fills the buckets
// up to then, and cuts them down to what they have of their capacity.
func (s *Server) sum(from time.Time) {
	part := 0.0
	s.nextEnd = time.Time{}
	for _, p := range s.pledges {
		part += p.part
		if s.nextEnd.IsZero() || p.ends.Before(s.nextEnd) {
			s.nextEnd = p.ends
		}
	}
	part = min(part, 1)
	if math.Abs(part-s.part) < partTolerance {
		return
	}
	s.fill(from)
	s.part = part
	for _, b := range s.buckets {
		b.cut(s.part)
	}
}

// fill fills all buckets up to a time.
func (s *Server) fill(to time.Time) {
	for _, b := range s.buckets {
		b.fill(to, s.part)
	}
}

// fill fills the bucket at the rate of the pledges, whose sum has been the part since filledAt.
func (b *bucket) fill(to time.Time, part float64) {
	passed := to.Sub(b.filledAt).Seconds()
	if passed <= 0 {
		return
	}
	b.filledAt = to
	if full := b.capacity * part; b.tokens < full {
		b.tokens = min(b.tokens+passed*b.rate*part, full)
	}
}

func (b *bucket) cut(part float64) { b.tokens = min(b.tokens, b.capacity*part) }

// SetAllotments sets the workspaces that have limits. Buckets of new ones begin to fill.
func (s *Server) SetAllotments(limited map[string]access.Allotment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	s.advance(now)
	for name := range s.buckets {
		if _, ok := limited[name]; !ok {
			delete(s.buckets, name)
		}
	}
	for name, a := range limited {
		s.bucket(name, a, now)
	}
}

// bucket returns the bucket of a workspace, filled and adapted to the allotment, or nil if this domain
// holds none of its tokens.
func (s *Server) bucket(workspace string, a access.Allotment, now time.Time) *bucket {
	b, ok := s.buckets[workspace]
	if ok {
		b.fill(now, s.part)
		if b.allotment == a {
			return b
		}
	}
	if !s.rule.holds(s.domain, workspace, a) {
		delete(s.buckets, workspace)
		return nil
	}
	if !ok {
		b = &bucket{filledAt: now}
		s.buckets[workspace] = b
	}
	b.allotment = a
	b.capacity, b.rate, _ = s.rule.Part(a)
	b.cut(s.part)
	return b
}

// Take grants up to n tokens of the workspace, whose allotment is a in the configuration of
// this node. If it grants none, it returns when to ask again.
func (s *Server) Take(workspace string, a access.Allotment, n int) (granted int, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	s.advance(now)
	b := s.bucket(workspace, a, now)
	if s.stopped || b == nil || n <= 0 {
		return 0, maxWait
	}
	if granted = min(n, int(b.tokens)); granted > 0 {
		b.tokens -= float64(granted)
		return granted, 0
	}
	return 0, b.wait(now, s.part)
}

// Spare grants up to n tokens to the server of another domain, and leaves one for the nodes of
// this one.
func (s *Server) Spare(workspace string, a access.Allotment, n int) (granted int, wait time.Duration) {
	left := s.Left(workspace)
	if left < 2 {
		return 0, maxWait
	}
	return s.Take(workspace, a, min(n, int(left)-1))
}

// Left returns the tokens of a workspace.
func (s *Server) Left(workspace string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	s.advance(now)
	b, ok := s.buckets[workspace]
	if !ok {
		return 0
	}
	b.fill(now, s.part)
	return b.tokens
}

// wait returns when a node that is refused should ask again. Successive nodes get successive
// times.
func (b *bucket) wait(now time.Time, part float64) time.Duration {
	rate := b.rate * part
	if rate <= 0 || b.capacity*part < 1 {
		return maxWait
	}
	next := now.Add(time.Duration(min(math.Ceil((1-b.tokens)/rate*1e9), 1e15)))
	if b.promised.After(now) {
		next = maxTime(next, b.promised.Add(time.Duration(min(1e9/rate, 1e15))))
	}
	next = minTime(next, now.Add(maxWait))
	b.promised = next
	return max(next.Sub(now), minWait)
}

// Stop releases all pledges. The server grants nothing any more. It returns the nodes that
// had pledged, and the message for them.
func (s *Server) Stop() (nodes []string, ack Ack) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, p := range s.pledges {
		if p.part > 0 && vm != assumed {
			nodes = append(nodes, vm)
		}
	}
	s.stopped = true
	ack = Ack{VM: s.vm, Stamp: Stamp{Term: s.term, At: s.clock.now().Sub(s.started)}, Released: true}
	for _, b := range s.buckets {
		b.tokens = 0
	}
	s.pledges, s.part = make(map[string]pledged), 0
	return nodes, ack
}

// HasPledges reports whether any node pledges to the server.
func (s *Server) HasPledges() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(s.clock.now())
	return s.part > 0
}

// State returns the number of valid pledges, their sum, and the tokens of all workspaces.
func (s *Server) State() (pledges int, part, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	s.advance(now)
	s.fill(now)
	for _, p := range s.pledges {
		if p.part > 0 {
			pledges++
		}
	}
	for _, b := range s.buckets {
		tokens += b.tokens
	}
	return pledges, s.part, tokens
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
