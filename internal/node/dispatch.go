package node

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/search"
)

const (
	cancelTimeout = 500 * time.Millisecond
	// excludeTime is how long a node is excluded from routing after it has refused
	// a connection, which shows that its process is gone.
	excludeTime = 3 * time.Second
	// cutTime is how long a node that is cut off from the upstreams is no front. Then a
	// request shows whether it still is. maxFronts bounds the fronts that one tries.
	cutTime   = time.Second
	maxFronts = 5
)

// dispatch sends a shard request through the front of its upstream, which is the
// node that holds the queue and connections of the upstream. In modes other than
// modeFront it sends directly.
func (n *Node) dispatch(ctx context.Context, shardReq *peer.ShardRequest, u *layout.Upstream) peer.ShardReply {
	if n.settings.Routing.Mode != modeFront {
		return n.front.Do(ctx, shardReq)
	}
	v := n.view.Load()
	owner, ok := v.Front(u)
	for range maxFronts {
		if ok && n.isCut(owner.VM) {
			owner, ok = v.Substitute(u, n.isCut)
		}
		if !ok {
			break
		}
		reply := n.dispatchTo(ctx, owner, shardReq)
		if reply.Cause != search.CauseCut || ctx.Err() != nil {
			return reply
		}
		n.cutNodes.Store(owner.VM, time.Now())
	}
	return peer.ShardReply{Cause: search.CauseBroken, Unsent: true}
}

// dispatchTo sends a shard request through a front.
func (n *Node) dispatchTo(ctx context.Context, owner member.Record, shardReq *peer.ShardRequest) peer.ShardReply {
	if owner.VM == n.settings.VM {
		return n.front.Do(ctx, shardReq)
	}
	return n.forward(ctx, owner.Addr, shardReq)
}

// isCut reports whether the node is known to be cut off from the upstreams.
func (n *Node) isCut(vm string) bool {
	if vm == n.settings.VM {
		return n.front.IsCut()
	}
	at, ok := n.cutNodes.Load(vm)
	if ok && time.Since(at.(time.Time)) > cutTime {
		n.cutNodes.Delete(vm)
		return false
	}
	return ok
}

// forward sends a shard request to another node. When ctx or the budget of the
// request ends first, it cancels the request at that node.
func (n *Node) forward(ctx context.Context, addr string, shardReq *peer.ShardRequest) peer.ShardReply {
	ctx, stop := context.WithTimeout(ctx, shardReq.Budget)
	defer stop()
	var reply peer.ShardReply
	err := n.peers.Call(ctx, addr, peer.MethodRun, shardReq, &reply)
	switch {
	case err == nil:
		return reply
	case ctx.Err() != nil:
		n.cancelRemote(addr, shardReq)
		return peer.ShardReply{Cause: search.CauseTimeout, Unsent: errors.Is(err, peer.ErrUnsent)}
	case errors.Is(err, peer.ErrUnsent):
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.exclude(addr)
		}
		return peer.ShardReply{Cause: search.CauseBroken, Unsent: true}
	}
	return peer.ShardReply{Cause: search.CauseBroken}
}

// exclude removes a node that has refused a connection from routing for
// excludeTime. This bridges the time until the membership protocol detects the
// failure.
func (n *Node) exclude(addr string) {
	if _, excluded := n.excluded.Swap(addr, time.Now()); !excluded {
		n.rebuildView()
	}
}

// isExcluded reports whether the address refused a connection within the last
// excludeTime.
func (n *Node) isExcluded(addr string) bool {
	at, ok := n.excluded.Load(addr)
	if ok && time.Since(at.(time.Time)) > excludeTime {
		n.excluded.Delete(addr)
		return false
	}
	return ok
}

func (n *Node) cancelRemote(addr string, shardReq *peer.ShardRequest) {
	n.spawn(func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		args := peer.Cancel{Request: shardReq.Request, Attempt: shardReq.Attempt}
		_ = n.peers.Call(ctx, addr, peer.MethodCancel, &args, &peer.None{})
	})
}

// remoteRuns holds the cancel functions of the running shard requests that were
// received from other nodes.
type remoteRuns struct {
	running sync.Map // peer.Cancel to context.CancelFunc
}

// register records a running shard request. The returned function cancels it and
// removes the record.
func (r *remoteRuns) register(ctx context.Context, id peer.Cancel) (context.Context, func()) {
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

func (r *remoteRuns) empty() bool {
	empty := true
	r.running.Range(func(_, _ any) bool {
		empty = false
		return false
	})
	return empty
}

// broadcast queues notices for all live members. It never blocks; if the queue is
// full, the other members receive the notices with the next exchange of views.
func (n *Node) broadcast(notices peer.Notices) {
	select {
	case n.notices <- notices:
	default:
		n.log.Warn("node: the notice queue is full; peers receive the notices with the next exchange of views.")
	}
}

func (n *Node) sendNotices(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case notices := <-n.notices:
			n.notifyAll(ctx, peer.MethodNotice, &notices)
		}
	}
}

// notifyAll calls a method of all other live members without waiting for the
// replies.
func (n *Node) notifyAll(ctx context.Context, method string, args any) {
	for _, r := range n.view.Load().Live() {
		if r.VM == n.settings.VM {
			continue
		}
		n.spawn(func() {
			ctx, stop := context.WithTimeout(ctx, viewsTimeout)
			defer stop()
			_ = n.peers.Call(ctx, r.Addr, method, args, &peer.None{})
		})
	}
}
