package node

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/search"
)

const (
	cancelTimeout = 500 * time.Millisecond
	// shunTime is how long a node whose process is gone is routed around.
	shunTime = 3 * time.Second
)

// dispatch sends a sub-request by way of the node that fronts its upstream.
func (n *Node) dispatch(ctx context.Context, sub *peer.ShardRequest, u *layout.Upstream) peer.ShardReply {
	if n.set.Routing.Mode != modeFront {
		return n.front.Do(ctx, sub)
	}
	owner, ok := n.view.Load().Front(u)
	switch {
	case !ok:
		return peer.ShardReply{Cause: search.CauseBroken, Unsent: true}
	case owner.VM == n.set.VM:
		return n.front.Do(ctx, sub)
	}
	return n.forward(ctx, owner.Addr, sub)
}

// forward sends a sub-request to another node. When the caller loses interest
// the other node is told.
func (n *Node) forward(ctx context.Context, addr string, sub *peer.ShardRequest) peer.ShardReply {
	ctx, stop := context.WithTimeout(ctx, sub.Budget)
	defer stop()
	var reply peer.ShardReply
	err := n.peers.Call(ctx, addr, peer.MethodRun, sub, &reply)
	switch {
	case err == nil:
		return reply
	case ctx.Err() != nil:
		n.cancelRemote(addr, sub)
		return peer.ShardReply{Cause: search.CauseTimeout, Unsent: errors.Is(err, peer.ErrUnsent)}
	case errors.Is(err, peer.ErrUnsent):
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.shun(addr)
		}
		return peer.ShardReply{Cause: search.CauseBroken, Unsent: true}
	}
	return peer.ShardReply{Cause: search.CauseBroken}
}

// shun routes around a node whose process is gone, until the members agree.
func (n *Node) shun(addr string) {
	if _, known := n.shunned.Swap(addr, time.Now()); !known {
		n.rebuildView()
	}
}

// shuns tells whether a node's address was found closed not long ago.
func (n *Node) shuns(addr string) bool {
	at, ok := n.shunned.Load(addr)
	if ok && time.Since(at.(time.Time)) > shunTime {
		n.shunned.Delete(addr)
		return false
	}
	return ok
}

func (n *Node) cancelRemote(addr string, sub *peer.ShardRequest) {
	n.goServe(func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		args := peer.Cancel{Request: sub.Request, Attempt: sub.Attempt}
		_ = n.peers.Call(ctx, addr, peer.MethodCancel, &args, &peer.None{})
	})
}

// remoteRuns keeps the cancel functions of the sub-requests that other nodes
// sent here.
type remoteRuns struct {
	running sync.Map // peer.Cancel to context.CancelFunc
}

// begin registers a sub-request; the function returned ends it.
func (r *remoteRuns) begin(ctx context.Context, id peer.Cancel) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	r.running.Store(id, cancel)
	return ctx, func() {
		r.running.Delete(id)
		cancel()
	}
}

func (r *remoteRuns) cancel(id peer.Cancel) {
	if cancel, ok := r.running.Load(id); ok {
		cancel.(context.CancelFunc)()
	}
}

// empty tells whether no sub-request of another node is here.
func (r *remoteRuns) empty() bool {
	empty := true
	r.running.Range(func(_, _ any) bool {
		empty = false
		return false
	})
	return empty
}

// broadcast queues what every node should know at once. It never blocks; when
// the queue is full the notice reaches the others with the next exchange of views.
func (n *Node) broadcast(notices peer.Notices) {
	select {
	case n.notices <- notices:
	default:
		n.log.Warn("node: too many notices at once; peers will learn them from the next exchange of views.")
	}
}

// sendNotices tells all live members until the context ends.
func (n *Node) sendNotices(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case notices := <-n.notices:
			n.tellAll(ctx, peer.MethodNotice, &notices)
		}
	}
}

// tellAll calls a method of all live members and does not wait for them.
func (n *Node) tellAll(ctx context.Context, method string, args any) {
	for _, r := range n.view.Load().Live() {
		if r.VM == n.set.VM {
			continue
		}
		n.goServe(func() {
			ctx, stop := context.WithTimeout(ctx, viewsTimeout)
			defer stop()
			_ = n.peers.Call(ctx, r.Addr, method, args, &peer.None{})
		})
	}
}
