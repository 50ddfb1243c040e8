package allot

import (
	"math"
	"sync"
	"time"
)

const (
	// demandTime is the time over which the demand of a workspace at this node is averaged.
	demandTime = 2 * time.Second
	// batchTime is for how much of the demand a node asks in advance: half of HoldTime, so
	// that most tokens are used before they lapse.
	batchTime = HoldTime / 2
	// maxBatch bounds the tokens of one question.
	maxBatch = 64
	// idleTime is how long a workspace without requests is remembered.
	idleTime = time.Minute
)

// Token allows one request of a workspace to be sent until it ends. The zero value is no token.
type Token struct {
	workspace string
	ends      time.Time
}

// Left returns how long the token may still be held by the runtime's clock.
func (t Token) Left() time.Duration { return time.Until(t.ends) }

// Sendable reports whether a request with the token may still be sent. The bound leaves room for
// QueueTime beyond the end of the token.
func (t Token) Sendable() bool {
	return t.workspace == "" || time.Now().Before(t.ends.Add(QueueTime))
}

// Stock holds the tokens of a node that are not used yet, and what it knows about when there
// are more. It is safe for concurrent use.
type Stock struct {
	mu    sync.Mutex
	clock watch
	// spaces holds the workspaces with requests.
	spaces  map[string]*space
	sweptAt time.Time
}

// space is what a node knows of one workspace.
type space struct {
	// ends holds the ends of the unused tokens.
	ends []time.Time
	// asked is the number of tokens that the questions in progress ask for beyond one.
	asked int
	// demand is the number of recent requests, which decays, as of seenAt.
	demand float64
	seenAt time.Time
	// notBefore is when each server may have a token again.
	notBefore map[string]time.Time
}

// NewStock returns an empty stock that reads the given clocks.
func NewStock(c Clock) *Stock {
	return &Stock{clock: newWatch(c), spaces: make(map[string]*space), sweptAt: c.now()}
}

// space returns what is known of the workspace. mu must be held.
func (s *Stock) space(workspace string, now time.Time) *space {
	if s.clock.jumped(now) {
		for _, w := range s.spaces {
			w.ends = nil
			clear(w.notBefore)
		}
	}
	if now.Sub(s.sweptAt) > idleTime {
		s.sweptAt = now
		for name, w := range s.spaces {
			if now.Sub(w.seenAt) > idleTime && w.asked == 0 {
				delete(s.spaces, name)
			}
		}
	}
	w, ok := s.spaces[workspace]
	if !ok {
		w = &space{notBefore: make(map[string]time.Time), seenAt: now}
		s.spaces[workspace] = w
	}
	w.lapse(now)
	return w
}

// lapse drops the tokens that have ended.
func (w *space) lapse(now time.Time) {
	kept := w.ends[:0]
	for _, end := range w.ends {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	w.ends = kept
}

// Request counts a request of the workspace, and returns a token for it if there is an unused
// one.
func (s *Stock) Request(workspace string) (Token, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	w := s.space(workspace, now)
	w.demand = w.decayed(now) + 1
	w.seenAt = now
	return w.take(workspace)
}

// Use returns an unused token, if there is one.
func (s *Stock) Use(workspace string) (Token, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.space(workspace, s.clock.now()).take(workspace)
}

// take returns the token that ends first.
func (w *space) take(workspace string) (Token, bool) {
	if len(w.ends) == 0 {
		return Token{}, false
	}
	first := 0
	for i, end := range w.ends {
		if end.Before(w.ends[first]) {
			first = i
		}
	}
	t := Token{workspace: workspace, ends: w.ends[first]}
	w.ends[first] = w.ends[len(w.ends)-1]
	w.ends = w.ends[:len(w.ends)-1]
	return t, true
}

func (w *space) decayed(now time.Time) float64 {
	return w.demand * math.Exp(-float64(now.Sub(w.seenAt))/float64(demandTime))
}

// Question is a question for tokens that is in progress.
type Question struct {
	workspace, server string
	tokens            int
	askedAt           time.Time
}

// Tokens returns how many tokens to ask for.
func (q Question) Tokens() int { return q.tokens }

// Ask begins a question to the server. If that has no token before a known time, it returns
// how long that takes. One of the methods Granted, Refused and Failed must end the question.
func (s *Stock) Ask(workspace, server string) (q Question, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	w := s.space(workspace, now)
	if t := w.notBefore[server]; t.After(now) {
		return Question{}, t.Sub(now)
	}
	perSecond := w.decayed(now) / demandTime.Seconds()
	extra := max(int(min(perSecond*batchTime.Seconds(), maxBatch))-1-w.asked-len(w.ends), 0)
	w.asked += extra
	return Question{workspace: workspace, server: server, tokens: 1 + extra, askedAt: now}, 0
}

// Granted ends a question with the tokens that the server granted. It returns one of them
// unless they have ended in the meantime.
func (s *Stock) Granted(q Question, tokens int) (Token, bool) {
	return s.GrantedFor(q, tokens, HoldTime)
}

// GrantedFor is Granted for tokens that the server has held itself, and that were left a time
// when it granted them.
func (s *Stock) GrantedFor(q Question, tokens int, left time.Duration) (Token, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.end(q)
	s.keep(w, q, tokens, min(left, HoldTime))
	return w.take(q.workspace)
}

// Fetched ends a question with tokens that are kept for other nodes.
func (s *Stock) Fetched(q Question, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep(s.end(q), q, tokens, HoldTime)
}

// keep adds tokens that last for a time from the question on, before which none was granted. mu
// must be held.
func (s *Stock) keep(w *space, q Question, tokens int, left time.Duration) {
	ends := q.askedAt.Add(left)
	for range min(tokens, q.tokens) {
		w.ends = append(w.ends, ends)
	}
	w.lapse(s.clock.now())
}

// Refused ends a question that the server refused, until the wait is over.
func (s *Stock) Refused(q Question, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(q).notBefore[q.server] = s.clock.now().Add(min(max(wait, minWait), maxWait))
}

// end returns the workspace of a question that has ended.
func (s *Stock) end(q Question) *space {
	w := s.space(q.workspace, s.clock.now())
	w.asked = max(w.asked-(q.tokens-1), 0)
	return w
}

// Failed ends a question that the server did not answer. It is not asked for this workspace
// for some time.
func (s *Stock) Failed(q Question) { s.Refused(q, failedWait) }

// failedWait is how long a server that did not answer is not asked: a membership probe finds
// out within that time whether it is alive.
const failedWait = 500 * time.Millisecond

// Return gives a token back whose request has not been sent anywhere.
func (s *Stock) Return(t Token) {
	if t.workspace == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	if w := s.space(t.workspace, now); t.ends.After(now) {
		w.ends = append(w.ends, t.ends)
	}
}

// Len returns the number of unused tokens.
func (s *Stock) Len() (tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for _, w := range s.spaces {
		w.lapse(now)
		tokens += len(w.ends)
	}
	return tokens
}
