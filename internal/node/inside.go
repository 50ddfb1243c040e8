package node

import (
	"context"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/roster"
	"geraniumstep.org/geraniumstep/internal/submit"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/dedup"
)

// inside is the node as the packages that it is made of see it. It implements
// syncer.Node and submit.Node.
type inside struct{ *Node }

func (n inside) View() *roster.View { return n.view.Load() }

func (n inside) Call(ctx context.Context, addr, method string, args, reply any) error {
	return n.peers.Call(ctx, addr, method, args, reply)
}

func (n inside) CallAll(ctx context.Context, method string, args any) { n.tellAll(ctx, method, args) }

func (n inside) Go(f func()) { n.goServe(f) }

func (n inside) NewJob(args *peer.Submit, key dedup.Key) (submit.Job, *wire.Problem) {
	j, p := n.newJob(args, key)
	if p != nil {
		return nil, p
	}
	return j, nil
}
