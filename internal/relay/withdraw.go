package relay

import (
	"context"
	"sync"
)

//go:generate go tool stringer -type withdrawal -linecomment -output enums_string.go

// withdrawal is why the attempts that wait for an upstream are withdrawn from it.
type withdrawal uint8

// The reasons.
const (
	withdrawDraining  withdrawal = iota // draining
	withdrawEvacuated                   // evacuated
	withdrawLeaving                     // leaving
	withdrawResting                     // resting
	withdrawReplaced                    // replaced
	withdrawGone                        // gone
)

// Error makes a withdrawal the cause of a context.
func (w withdrawal) Error() string { return "upstream takes no new requests: " + w.String() }

// intake ends the waits for one upstream when that takes no new requests: those for a slot, for a
// turn and for a connection. It is safe for concurrent use.
type intake struct {
	base   context.Context
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelCauseFunc
	// ended is set if the intake never opens again.
	ended bool
}

// newIntake returns an intake that is open until the base context is done.
func newIntake(base context.Context) *intake {
	i := &intake{base: base}
	i.ctx, i.cancel = context.WithCancelCause(base)
	return i
}

// context returns the context of the waits that begin now. It is done while the intake is closed.
func (i *intake) context() context.Context {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ctx
}

// close ends all waits, and those that begin until open is called.
func (i *intake) close(why withdrawal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancel(why)
}

// end closes the intake for good.
func (i *intake) end(why withdrawal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	i.cancel(why)
}

// open lets waits begin again if the intake is closed and has not ended.
func (i *intake) open() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ctx.Err() != nil && !i.ended {
		i.ctx, i.cancel = context.WithCancelCause(i.base)
	}
}

// withdraw ends the waits that have begun.
func (i *intake) withdraw(why withdrawal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ctx.Err() == nil {
		i.cancel(why)
		i.ctx, i.cancel = context.WithCancelCause(i.base)
	}
}

// withdrawn returns how an attempt ends that its upstream, whose intake had the context when the
// attempt began, takes no more. It reports false if the upstream still takes it. Nothing has been
// sent.
func (r *run) withdrawn(taken context.Context, a *attempt) (attemptDone, bool) {
	why, ok := context.Cause(taken).(withdrawal)
	if !ok || a.isCanceled() {
		return attemptDone{}, false
	}
	r.engine.metrics.withdrawn.WithLabelValues(why.String()).Inc()
	return attemptDone{attempt: a, notRun: true, unsent: true, withdrawn: true, cause: why.String()}, true
}
