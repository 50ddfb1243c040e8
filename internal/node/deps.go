package node

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/quant"
)

const (
	// urgentReserve is the share of the hedge budget that less urgent work
	// leaves alone.
	urgentReserve = 0.5
	// slowFactor is how many medians of its archive a slow upstream takes.
	slowFactor = 3
)

// Pick, HedgeDelay, TakeHedge, TakeRetry, Backoff, Judge and Succeeded
// implement search.Deps.
func (run *searchRun) Pick(replicas []*layout.Upstream, excluded []string) (*layout.Upstream, bool) {
	return run.node.table.Pick(replicas, excluded, run.resolved.workspace.Priority())
}

// HedgeDelay is the latency that few sub-requests on the archive exceed, and
// much less at an upstream that is known to be slow at present.
func (run *searchRun) HedgeDelay(archive, upstream string) time.Duration {
	if !run.node.set.Routing.Hedge {
		return time.Hour
	}
	w := run.node.window(archive, run.resolved.workspace.Priority())
	if run.node.slow(w, upstream) {
		return w.Median()
	}
	return w.Cached()
}

// TakeHedge spends from the budget for hedges, or from that for rescues from an
// upstream that is known to be slow.
func (run *searchRun) TakeHedge(archive, upstream string) bool {
	p := run.resolved.workspace.Priority()
	budget := run.node.hedges
	if run.node.slow(run.node.window(archive, p), upstream) {
		budget = run.node.rescues
	} else if run.node.admit.overloaded(p) {
		return false
	}
	if p < prio.Urgent {
		return budget.SpendAbove(urgentReserve)
	}
	return budget.Spend()
}

// slow tells whether an upstream takes far longer than its archive's median.
func (n *Node) slow(w *quant.Window, upstream string) bool {
	s := n.table.Stats(upstream)
	return s != nil && s.Expected() > slowFactor*w.Median()
}

// TakeRetry spends from the retry budget.
func (run *searchRun) TakeRetry() bool { return run.node.retries.Spend() }

// Backoff doubles from one retry to the next, with jitter.
func (run *searchRun) Backoff(retry int) time.Duration {
	return run.node.random.Backoff(retry)
}

// Verdict asks the node's crash records.
func (run *searchRun) Verdict(f poison.Fingerprint) poison.Verdict {
	v := run.node.tracker.Verdict(f)
	if v == poison.Novel && !run.node.set.Routing.Canary {
		return poison.Proven
	}
	return v
}

// Succeeded tells the node's crash records.
func (run *searchRun) Succeeded(f poison.Fingerprint) { run.node.tracker.RecordSuccess(f) }

// service is a kind of work whose latency is followed.
type service struct {
	archive  string
	priority prio.Priority
}

// window follows the latency of sub-requests on an archive.
func (n *Node) window(archive string, p prio.Priority) *quant.Window {
	key := service{archive, p}
	if w, ok := n.latency.Load(key); ok {
		return w.(*quant.Window)
	}
	w, _ := n.latency.LoadOrStore(key, quant.New(quant.WithTarget(n.set.Routing.HedgeQuantile)))
	return w.(*quant.Window)
}
