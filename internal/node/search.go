package node

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/route"
	"geraniumstep.org/geraniumstep/pkg/search"
)

const (
	// softMargin is what a partial answer leaves of the target for its way back.
	softMargin = 10
	// queuedShare is the part of the sub-requests, as one in so many, that
	// must have queued too long for the search to count as overloaded.
	queuedShare = 4
	// allShards as the least coverage makes a search wait for every shard
	// that can be reached.
	allShards = 1
	// rounds is how many snapshots a search may be tried on.
	rounds = 2
)

// Search answers an idempotent request.
func (n *Node) Search(ctx context.Context, req Request) (*wire.Answer, *wire.Problem) {
	r, p := n.resolve(req)
	if p != nil {
		return nil, p
	}
	if !r.template.Idempotent() {
		return nil, problem(http.StatusUnprocessableEntity, wire.KindInvalid, "template is not idempotent",
			fmt.Sprintf("template %q must run at most once; POST it to submissions with an Idempotency-Key", r.template.Name()))
	}
	if p := n.checkFanOut(r, n.Catalogue()); p != nil {
		return nil, p
	}
	if !n.admit.reserve(req.Bytes) {
		return nil, notRun("node holds as many requests as its memory allows; try again later", 0)
	}
	defer n.admit.free(req.Bytes)
	if n.tracker.Verdict(r.print) == poison.Quarantined {
		return nil, quarantined()
	}
	return n.admitted(ctx, r)
}

// admitted runs a search once it is let in.
func (n *Node) admitted(ctx context.Context, r *resolved) (*wire.Answer, *wire.Problem) {
	e, refusal, ok := n.admit.enter(ctx, r.workspace.Priority(), r.workspace.Name(), r.wanted())
	if !ok {
		n.metrics.refused.WithLabelValues(r.workspace.Priority().String()).Inc()
		return nil, refusedAtDoor(refusal)
	}
	var run *searchRun
	ran := false
	for range rounds {
		run = n.newRun(r)
		run.execute(ctx)
		ran = ran || run.result.Ran
		if run.result.Kind != search.KindStale {
			break
		}
		n.metrics.restarts.Inc()
		n.confs.RefreshCatalogue(ctx)
	}
	e.leave(run.overloaded)
	n.metrics.observe(r.workspace.Priority(), time.Since(r.arrived), run.result)
	run.result.Ran = ran
	return run.answer()
}

// wanted is when the answer is of most use: the target, where the workspace
// prefers latency, else the deadline.
func (r *resolved) wanted() time.Time {
	if r.workspace.Prefer() == config.PreferLatency {
		return r.soft()
	}
	return r.deadline
}

func (r *resolved) soft() time.Time {
	target := r.workspace.Target()
	soft := r.arrived.Add(target - target/softMargin)
	if soft.After(r.deadline) {
		return r.deadline
	}
	return soft
}

// searchRun is one search on one snapshot.
type searchRun struct {
	node      *Node
	resolved  *resolved
	request   string
	catalogue *layout.Catalogue
	machine   *search.Search
	events    chan search.Event
	cancels   map[uint32]context.CancelFunc
	result    search.Result
	// queued counts the sub-requests that queued too long or were refused.
	queued     int
	overloaded bool
}

func (n *Node) newRun(r *resolved) *searchRun {
	run := &searchRun{
		node:      n,
		resolved:  r,
		request:   n.requestID(),
		catalogue: n.Catalogue(),
		cancels:   make(map[uint32]context.CancelFunc),
	}
	plan := search.Plan{
		Request:      run.request,
		Catalogue:    run.catalogue,
		Archives:     r.template.Archives(),
		Merge:        r.template.Merge(),
		Limit:        r.template.Limit(),
		Deadline:     r.deadline,
		SoftDeadline: r.soft(),
		MinCoverage:  allShards,
		Fingerprint:  r.print,
	}
	if r.workspace.Prefer() == config.PreferLatency {
		plan.MinCoverage = r.workspace.Coverage()
	}
	run.machine = search.New(plan, run)
	run.events = make(chan search.Event, run.machine.Shards()+1)
	n.hedges.Earn(run.machine.Shards())
	n.rescues.Earn(run.machine.Shards())
	n.retries.Earn(run.machine.Shards())
	return run
}

func (n *Node) requestID() string {
	return n.set.VM + "-" + strconv.FormatInt(n.Started(), 36) + "-" + strconv.FormatUint(n.requests.Add(1), 36)
}

// execute feeds the machine until it finishes.
func (run *searchRun) execute(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var ev search.Event = search.Start{}
	for !run.apply(ctx, ev) {
		run.noteLoad(ev)
		timer.Reset(time.Until(run.machine.Wake()))
		select {
		case ev = <-run.events:
		case <-timer.C:
			ev = search.Tick{}
		case <-ctx.Done():
			run.result = search.Result{Kind: search.KindUnknown, Ran: true}
			return
		}
	}
	run.node.metrics.dropped.Add(float64(run.machine.Dropped()))
}

// apply carries out what follows from one event and tells whether the search
// has finished.
func (run *searchRun) apply(ctx context.Context, ev search.Event) bool {
	for _, a := range run.machine.Step(ev) {
		switch a := a.(type) {
		case search.Send:
			run.send(ctx, a)
		case search.Cancel:
			if cancel, ok := run.cancels[a.Attempt]; ok {
				cancel()
			}
		case search.Finish:
			run.result = a.Result
			return true
		}
	}
	return false
}

// send carries out one attempt in a goroutine of its own.
func (run *searchRun) send(ctx context.Context, s search.Send) {
	attempt, cancel := context.WithCancel(ctx)
	run.cancels[s.Attempt] = cancel
	sub := &peer.ShardRequest{
		Request:     run.request,
		Trace:       run.resolved.trace,
		Attempt:     s.Attempt,
		Upstream:    s.Upstream.ID(),
		Archive:     s.Target.Archive,
		Shard:       s.Target.Shard,
		Version:     s.Target.Version,
		Budget:      time.Until(run.resolved.deadline),
		Priority:    run.resolved.workspace.Priority(),
		Workspace:   run.resolved.workspace.Name(),
		Template:    run.resolved.template.Name(),
		Params:      run.resolved.params,
		Fingerprint: run.resolved.print,
		Proven:      run.node.tracker.Verdict(run.resolved.print) == poison.Proven,
		Solo:        s.Solo,
	}
	if s.Hedge {
		run.node.metrics.hedges.Inc()
	}
	run.node.goServe(func() {
		defer cancel()
		ev := run.attempt(attempt, sub, s.Upstream)
		select {
		case run.events <- ev:
		case <-ctx.Done():
		}
	})
}

// attempt sends one sub-request and turns its end into an event, recording
// what it shows of the upstream.
func (run *searchRun) attempt(ctx context.Context, sub *peer.ShardRequest, u *layout.Upstream) search.Event {
	begun := time.Now()
	stats := run.node.table.Stats(u.ID())
	if stats != nil {
		stats.Begin()
		defer stats.End()
	}
	reply := run.node.dispatch(ctx, sub, u)
	took := time.Since(begun)
	if reply.OK {
		run.node.window(sub.Archive, sub.Priority).Record(took)
		if stats != nil {
			stats.Served(reply.EstimatedService, reply.EstimatedWait, sub.Priority)
		}
		return search.Replied{Attempt: sub.Attempt, Reply: reply.Reply, Wait: reply.Wait}
	}
	if stats != nil {
		run.blame(ctx, reply.Cause, stats, took)
	}
	if reply.Unsent && reply.Cause == search.CauseBroken {
		reply.Cause = search.CauseUnreachable
	}
	return search.Failed{Attempt: sub.Attempt, Cause: reply.Cause, RetryAfter: reply.RetryAfter}
}

// blame records what a failed attempt shows of the upstream.
func (run *searchRun) blame(ctx context.Context, cause search.Cause, stats *route.Stats, took time.Duration) {
	switch {
	case ctx.Err() != nil:
		stats.Abandoned(took)
	case cause == search.CauseDraining:
		stats.MarkDraining()
	case cause == search.CauseBroken, cause == search.CauseCrashed, cause == search.CauseTimeout:
		stats.Failed()
	}
}

// noteLoad tells the admission as soon as a part of the sub-requests has queued
// too long, which may be long before the search ends.
func (run *searchRun) noteLoad(ev search.Event) {
	w := run.resolved.workspace
	switch ev := ev.(type) {
	case search.Replied:
		if ev.Wait > w.Target()/waitShare[w.Priority()] {
			run.queued++
		}
	case search.Failed:
		if ev.Cause == search.CauseRefused || ev.Cause == search.CauseShed {
			run.queued++
		}
	}
	if !run.overloaded && run.queued*queuedShare > run.machine.Shards() {
		run.overloaded = true
		run.node.admit.overload(run.resolved.workspace.Priority())
	}
}

// answer turns the result into what the caller gets.
func (run *searchRun) answer() (*wire.Answer, *wire.Problem) {
	res := run.result
	switch res.Kind {
	case search.KindAnswered:
		return run.complete(), nil
	case search.KindQuarantined:
		return nil, quarantined()
	case search.KindNotRun:
		if !res.Ran {
			return nil, notRun("no upstream could take the request in time; try again later", res.RetryAfter)
		}
	case search.KindStale:
		if !res.Ran {
			return nil, notRun("archives were replaced faster than the search could start; try again", 0)
		}
	case search.KindUnknown:
	}
	return nil, unknown("no shard answered in time; search again")
}

func (run *searchRun) complete() *wire.Answer {
	a := &wire.Answer{
		Request:  run.request,
		Snapshot: run.catalogue.Revision(),
		Hits:     run.result.Hits,
		Ratio:    search.Ratio(run.result.Coverage),
		Coverage: run.result.Coverage,
	}
	if run.resolved.template.Merge() == search.MergeSum {
		a.Sum = &run.result.Sum
	}
	return a
}
