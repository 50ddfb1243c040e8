package node

import (
	"context"
	"time"

	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/finish"
)

// stopMargin is the time before the end of a stop by which all requests must have been answered,
// so that the answers reach their callers.
const stopMargin = 100 * time.Millisecond

// Finish returns what decides which requests are still answered when the node stops.
func (n *Node) Finish() *finish.Stop { return n.finish }

// beginStop makes the node answer all requests by the time at which it stops.
func (n *Node) beginStop(end time.Time) {
	end = end.Add(-stopMargin)
	n.finish.Begin(end)
	time.AfterFunc(time.Until(end), n.endAnswers)
}

// untilEnd returns a context that is also canceled when the node must have answered.
func (n *Node) untilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	forget := context.AfterFunc(n.answering, cancel)
	return ctx, func() {
		forget()
		cancel()
	}
}

// fitsStop returns the problem for a request that is not known to be answered before the node
// stops.
func (n *Node) fitsStop(r *resolved, sentBefore bool) *wire.Problem {
	if n.finish.Fits(r.template.Name(), r.deadline) {
		return nil
	}
	return RejectInStop(sentBefore)
}

// RejectInStop returns the problem for a request that cannot be answered before the node stops, of
// which nothing was sent. sentBefore is whether its caller may have sent it to another node before.
func RejectInStop(sentBefore bool) *wire.Problem {
	if sentBefore {
		return unknown("node is shutting down; ask another node with the same key")
	}
	return notRun("node is shutting down; send the request to another one", 0)
}

// recordTime records how long a request has taken.
func (n *Node) recordTime(r *resolved) { n.finish.Record(r.template.Name(), time.Since(r.arrived)) }
