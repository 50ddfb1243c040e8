package relay

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/access"
	"geraniumstep.org/geraniumstep/pkg/allot"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// allotmentShare is the share of a route's target in which tokens are asked for. A rejection
// within it lets the caller retry in time.
const allotmentShare = 0.25

// minAskTime is the least time in which tokens are asked for: a round trip to another region and
// its processing. A request that waits for its token that long is better served than rejected.
const minAskTime = 50 * time.Millisecond

// Allotments holds the tokens of workspaces. It is implemented by tokens.Tokens.
type Allotments interface {
	// Take takes a token. Without one it returns the time until one may be there.
	Take(ctx context.Context, w *access.Workspace) (allot.Token, time.Duration, bool)
	// Return gives back the token of a request that was not sent anywhere.
	Return(t allot.Token)
	// Rate returns the rate of the workspace's tokens, per second.
	Rate(w *access.Workspace) float64
}

// WithAllotments enforces the limits of workspaces. By default they are not enforced.
func WithAllotments(a Allotments) Option { return func(e *Engine) { e.allotments = a } }

// SetAllotments does what WithAllotments does, before the engine serves requests.
func (e *Engine) SetAllotments(a Allotments) { e.allotments = a }

// takeAllotment takes a token for a request of the workspace, or nil if it needs none. It
// returns the rejection if there is no token in time.
func (e *Engine) takeAllotment(ctx context.Context, route *vhost.Route, w *access.Workspace, req *proto.Request) (*allot.Token, proto.Answer) {
	if e.allotments == nil || w == nil || !w.Allotment().Limited() {
		return nil, nil
	}
	// A token that takes longer than its hold time is of no use.
	limit := min(max(time.Duration(allotmentShare*float64(route.Target())), minAskTime), allot.HoldTime)
	ctx, cancel := context.WithDeadline(ctx, req.Arrived.Add(limit))
	defer cancel()
	token, wait, ok := e.allotments.Take(ctx, w)
	if ok {
		return &token, nil
	}
	after := e.turns.Next(w.Name(), route.Priority(), wait, e.allotments.Rate(w))
	e.metrics.requests.WithLabelValues(route.Priority().String(), proto.Kind(proto.Limited{})).Inc()
	e.log.WithFields(logrus.Fields{"request": req.ID, "workspace": w.Name(), "wait_ms": wait.Milliseconds(), "retry_after_ms": after.Milliseconds()}).
		Debug("relay: request exceeds the allotment of its workspace.")
	return nil, proto.Limited{RetryAfter: after}
}

// renewTime bounds the questions for another token while a request holds a slot of an upstream.
const renewTime = 50 * time.Millisecond

// allotted is the token of a run until a request has been sent with it.
type allotted struct {
	mu        sync.Mutex
	token     allot.Token
	workspace *access.Workspace
	sent      bool
}

// renewToken reports whether the request has a token with which it may be sent. One that has
// waited so long for an upstream that its token has lapsed needs another one: otherwise those
// that wait together would exceed the bound when they are sent together.
func (r *run) renewToken() bool {
	h := &r.allotted
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.sent && !h.token.Sendable() {
		ctx, cancel := context.WithTimeout(r.engine.baseCtx, renewTime)
		defer cancel()
		token, _, ok := r.engine.allotments.Take(ctx, h.workspace)
		if !ok {
			return false
		}
		h.token = token
	}
	return true
}

// use records that the request is sent. If another node sends it, its wait for an upstream there
// is not bounded by the token.
func (h *allotted) use() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = true
}

// returnToken gives the token back if nothing was sent with it.
func (r *run) returnToken() {
	h := &r.allotted
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.sent && h.workspace != nil {
		h.sent = true
		r.engine.allotments.Return(h.token)
	}
}
