package node

import (
	"time"

	"geraniumstep.org/geraniumstep/pkg/canary"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/quant"
)

const (
	// urgentReserve is the share of the hedge and rescue budgets that only urgent
	// searches may spend.
	urgentReserve = 0.5
	// slowFactor is the multiple of the archive's median latency above which an
	// upstream counts as slow.
	slowFactor = 3
)

// Pick returns the replica chosen by the routing policy. Together with
// HedgeDelay, TakeHedge, TakeRetry, Backoff, Verdict and Succeeded it implements
// search.Deps.
func (run *searchRun) Pick(replicas []*layout.Upstream, excluded []string) (*layout.Upstream, bool) {
	return run.node.table.Pick(replicas, excluded, run.resolved.workspace.Priority())
}

// HedgeDelay returns the hedge quantile of the archive's latency, which few shard
// requests exceed, or the much shorter median if the upstream is slow at present.
// With hedges disabled it returns an hour, so that none is sent.
func (run *searchRun) HedgeDelay(archive, upstream string) time.Duration {
	if !run.node.settings.Routing.Hedge {
		return time.Hour
	}
	w := run.node.latencyWindow(archive, run.resolved.workspace.Priority())
	if run.node.isSlow(w, upstream) {
		return w.Median()
	}
	return w.Cached()
}

// TakeHedge reports whether a hedge may be sent, and if so spends a token for it. The
// hedge of an attempt at a slow upstream is a rescue: it spends from the rescue
// budget, and is permitted during overload too. Other hedges spend from the hedge
// budget.
func (run *searchRun) TakeHedge(archive, upstream string) bool {
	p := run.resolved.workspace.Priority()
	budget := run.node.hedges
	if run.node.isSlow(run.node.latencyWindow(archive, p), upstream) {
		budget = run.node.rescues
	} else if run.node.admission.overloaded(p) {
		return false
	}
	if p < prio.Urgent {
		return budget.SpendAbove(urgentReserve)
	}
	return budget.Spend()
}

// isSlow reports whether the expected latency of an upstream is more than
// slowFactor times the median of its archive.
func (n *Node) isSlow(w *quant.Window, upstream string) bool {
	s := n.table.Stats(upstream)
	return s != nil && s.Expected() > slowFactor*w.Median()
}

// TakeRetry spends from the retry budget.
func (run *searchRun) TakeRetry() bool { return run.node.retries.Spend() }

// Backoff returns a delay that doubles with each retry, with jitter.
func (run *searchRun) Backoff(retry int) time.Duration {
	return run.node.random.Backoff(retry)
}

// Verdict returns the verdict of the node's crash tracker on a fingerprint. It returns
// Proven instead of Novel if the search need not wait for a canary.
func (run *searchRun) Verdict(f poison.Fingerprint) poison.Verdict {
	v := run.node.tracker.Verdict(f)
	mode := canary.Always
	if !run.node.settings.Routing.Canary {
		mode = canary.Never
	}
	if _, waits := canary.Decide(mode, canary.Search{Verdict: v}).(canary.Await); !waits {
		return poison.Proven
	}
	return v
}

// Succeeded records that a shard request with the fingerprint completed.
func (run *searchRun) Succeeded(f poison.Fingerprint) { run.node.recordSuccess(f) }

type latencyKey struct {
	archive  string
	priority prio.Priority
}

// latencyWindow returns the window of shard request latencies, and creates it if
// there is none.
func (n *Node) latencyWindow(archive string, p prio.Priority) *quant.Window {
	key := latencyKey{archive, p}
	if w, ok := n.latency.Load(key); ok {
		return w.(*quant.Window)
	}
	w, _ := n.latency.LoadOrStore(key, quant.New(quant.WithTarget(n.settings.Routing.HedgeQuantile)))
	return w.(*quant.Window)
}
