package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"geraniumstep.org/geraniumstep/internal/links"
	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/life"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// errCut ends calls to upstreams when this node is found cut off from all of them.
var errCut = errors.New("this node reaches no upstream; another node can be the front")

// IsCut reports whether this node can serve no upstream, so that another node must be the
// front of each.
func (f *Front) IsCut() bool { return f.links.IsCut() && !f.links.HasLive() }

// linked implements links.Upstreams for the upstreams of a front.
type linked struct{ *Front }

// Count implements links.Upstreams.
func (f linked) Count() int {
	n := 0
	f.dispatchers.Range(func(_, _ any) bool { n++; return true })
	return n
}

// Silent implements links.Upstreams.
func (f linked) Silent(atLeast time.Duration) (n int, longest time.Duration) {
	now := time.Now()
	f.dispatchers.Range(func(_, v any) bool {
		if waited := v.(*dispatcher).stats.Waiting(now); waited >= atLeast {
			n++
			longest = max(longest, waited)
		}
		return true
	})
	return n, longest
}

// Sample implements links.Upstreams.
func (f linked) Sample(n int) []links.Upstream {
	var list []links.Upstream
	f.dispatchers.Range(func(_, v any) bool {
		list = append(list, probed{v.(*dispatcher)})
		return len(list) < n
	})
	return list
}

// Forget implements links.Upstreams.
func (f linked) Forget() {
	f.dispatchers.Range(func(_, v any) bool {
		v.(*dispatcher).stats.Forget()
		return true
	})
}

// probed implements links.Upstream.
type probed struct{ *dispatcher }

// ID implements links.Upstream.
func (d probed) ID() string { return d.upstream.ID() }

// Service implements links.Upstream. Each upstream is one of its own.
func (d probed) Service() string { return d.upstream.ID() }

// Down implements links.Upstream.
func (d probed) Down() bool { return d.life.State() == life.UpstreamDown }

// HeardAt implements links.Upstream.
func (d probed) HeardAt() time.Time { return time.Unix(0, d.heardAt.Load()) }

// Probe implements links.Upstream.
func (d probed) Probe(ctx context.Context) error {
	t := d.transport.Clone()
	defer t.CloseIdleConnections()
	t.DisableKeepAlives = true
	_, err := d.getHealth(ctx, &http.Client{Transport: t})
	return err
}

func (d *dispatcher) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return d.front.links.Dial(ctx, d.upstream.ID(), func(ctx context.Context) (net.Conn, error) { return d.front.dial(ctx, network, addr) })
}

// heard records a response of the upstream on a connection that was established at the time.
func (d *dispatcher) heard(openedAt time.Time) {
	d.heardAt.Store(time.Now().UnixNano())
	d.front.links.Answered(openedAt)
}

// outgoing is a call to an upstream in progress.
type outgoing struct {
	cancel context.CancelCauseFunc
	// connected reports whether the call has a connection, and repeatable whether it may
	// run again.
	connected  atomic.Bool
	repeatable bool
	// openedAt is when its connection was established, if that was for this call, in
	// nanoseconds since 1970.
	openedAt atomic.Int64
}

// gotConn records the connection of the call.
func (o *outgoing) gotConn(info httptrace.GotConnInfo) {
	if !info.Reused {
		o.openedAt.Store(time.Now().UnixNano())
	}
	o.connected.Store(true)
}

// track records a call in progress, which ends if this node is found cut off. The returned
// function removes the record.
func (d *dispatcher) track(ctx context.Context, shardReq *peer.ShardRequest) (context.Context, *outgoing, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	o := &outgoing{cancel: cancel, repeatable: shardReq.Key == ""}
	d.calls.Store(o, struct{}{})
	d.front.links.Watch()
	return ctx, o, func() {
		d.calls.Delete(o)
		cancel(nil)
	}
}

// linksChanged ends the calls that wait for upstreams when a cut begins: those that have no
// connection, and those that may be repeated unless connections still carry answers.
func (f *Front) linksChanged(cut bool) {
	if !cut {
		return
	}
	live := time.Since(f.links.AnsweredAt()) < links.SilenceInterval
	f.dispatchers.Range(func(_, v any) bool {
		d := v.(*dispatcher)
		d.calls.Range(func(o, _ any) bool {
			if o := o.(*outgoing); !o.connected.Load() || o.repeatable && !live {
				o.cancel(errCut)
			}
			return true
		})
		if !live {
			d.transport.CloseIdleConnections()
		}
		return true
	})
}

// cutReply is the reply to a call that ended because this node was found cut off.
func cutReply(unsent bool) peer.ShardReply {
	if unsent {
		return peer.ShardReply{Cause: search.CauseCut, Unsent: true}
	}
	return peer.ShardReply{Cause: search.CauseTimeout}
}

// showsEnd reports whether the error of a request shows that the upstream's process no
// longer listens, and not that this node is cut off. since is when the request was sent.
func (d *dispatcher) showsEnd(ctx context.Context, err error, since time.Time) bool {
	switch {
	case !refusedOrReset(err) || d.front.links.WasCutSince(since):
		return false
	case !errors.Is(err, syscall.ECONNREFUSED):
		return true
	}
	if !d.front.links.Confirm(ctx, d.upstream.ID()) {
		return false
	}
	// The refusal counts only if it outlasts what the others have shown.
	return errors.Is(probed{d}.Probe(ctx), syscall.ECONNREFUSED)
}
