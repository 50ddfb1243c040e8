package relay

import (
	"context"
	"net"
	"time"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/links"
)

const (
	// cutRetryAfter is the Retry-After delay of a request that no known node can serve.
	// Nodes look for the end of a cut more often.
	cutRetryAfter = 500 * time.Millisecond
	// awaitEndDivisor is the part of the time left until the target that a request waits
	// for the end of a cut. A rejection within it leaves the caller time for another node.
	awaitEndDivisor = 16
)

// linked implements links.Upstreams for the upstreams of an engine.
type linked struct{ *Engine }

// Count implements links.Upstreams.
func (e linked) Count() int { return len(e.upstreams.Load().byID) }

// Silent implements links.Upstreams.
func (e linked) Silent(atLeast time.Duration) (n int, longest time.Duration) {
	now := time.Now()
	for _, u := range e.upstreams.Load().byID {
		if waited := u.stats.Waiting(now); waited >= atLeast {
			n++
			longest = max(longest, waited)
		}
	}
	return n, longest
}

// Sample implements links.Upstreams.
func (e linked) Sample(n int) []links.Upstream {
	now := time.Now()
	var list []links.Upstream
	for _, u := range e.upstreams.Load().byID { // in random order
		if len(list) == n {
			break
		}
		if u.advice.RestLeft(now) == 0 && e.mayProbe(u, now) {
			list = append(list, probed{u, e.Engine})
		}
	}
	return list
}

// Forget implements links.Upstreams.
func (e linked) Forget() {
	for _, u := range e.upstreams.Load().byID {
		u.stats.Forget()
		u.down.clear()
	}
}

// probed implements links.Upstream.
type probed struct {
	*upstream
	engine *Engine
}

// ID implements links.Upstream.
func (u probed) ID() string { return u.entry.ID() }

// Service implements links.Upstream.
func (u probed) Service() string { return u.entry.Service() }

// Down implements links.Upstream.
func (u probed) Down() bool { return u.down.isSet(time.Now()) }

// HeardAt implements links.Upstream.
func (u probed) HeardAt() time.Time { return u.crash.watch.SilentSince(time.Time{}) }

// Probe implements links.Upstream. Requests can use the connection.
func (u probed) Probe(ctx context.Context) error {
	c, err := u.pool.Open(ctx)
	if err != nil {
		return err
	}
	_, err = u.engine.exchangeProbe(ctx, u.upstream, c)
	return err
}

// dialerOf returns the dialer for the connections to an upstream.
func (e *Engine) dialerOf(upstream string) link.Dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return e.links.Dial(ctx, upstream, func(ctx context.Context) (net.Conn, error) { return e.dial(ctx, addr) })
	}
}

// linksChanged records the begin or the end of a cut in the metrics.
func (e *Engine) linksChanged(cut bool) {
	e.metrics.cut.Set(0)
	if cut {
		e.metrics.cut.Set(1)
	}
}
