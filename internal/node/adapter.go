package node

import (
	"context"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/roster"
	"geraniumstep.org/geraniumstep/internal/submit"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/dedup"
)

// adapter implements syncer.Node and submit.Node, the interfaces through which these
// packages use the node.
type adapter struct{ *Node }

func (n adapter) View() *roster.View { return n.view.Load() }

func (n adapter) Call(ctx context.Context, addr, method string, args, reply any) error {
	return n.peers.Call(ctx, addr, method, args, reply)
}

func (n adapter) CallAll(ctx context.Context, method string, args any) {
	n.notifyAll(ctx, method, args)
}

func (n adapter) Go(f func()) { n.spawn(f) }

func (n adapter) NewJob(args *peer.Submit, key dedup.Key) (submit.Job, *wire.Problem) {
	j, p := n.newJob(args, key)
	if p != nil {
		return nil, p
	}
	return j, nil
}
