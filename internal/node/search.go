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
	// softMarginDivisor sets the part of the latency target, one in so many,
	// that is reserved for the transport of a partial answer to the caller.
	softMarginDivisor = 10
	// queuedDivisor sets the part of the shard requests, one in so many, above
	// which queueing for too long marks the search as overloaded.
	queuedDivisor = 4
	// fullCoverage as the minimum coverage makes a search wait for every
	// reachable shard.
	fullCoverage = 1
	// maxSnapshots is the maximum number of snapshots that a search is tried on.
	maxSnapshots = 2
)

// Search runs an idempotent request and returns its answer.
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
	if !n.admission.reserveBytes(req.Bytes) {
		return nil, notRun("node holds as many requests as its memory allows; try again later", 0)
	}
	defer n.admission.freeBytes(req.Bytes)
	if p := n.rejectQuarantined(r.fingerprint); p != nil {
		return nil, p
	}
	if p := n.fitsStop(r, false); p != nil {
		return nil, p
	}
	ctx, cancel := n.untilEnd(ctx)
	defer cancel()
	answer, p := n.runAdmitted(ctx, r)
	if p == nil || p.Kind == wire.KindUnknown {
		n.recordTime(r)
	}
	return answer, p
}

// runAdmitted runs a search once admission control accepts it. If an upstream no
// longer serves the snapshot, it runs the search again on a newer one.
func (n *Node) runAdmitted(ctx context.Context, r *resolved) (*wire.Answer, *wire.Problem) {
	slot, refusal, ok := n.admission.acquire(ctx, r.workspace.Priority(), r.workspace.Name(), r.admissionDeadline())
	if !ok {
		n.metrics.refused.WithLabelValues(r.workspace.Priority().String()).Inc()
		return nil, admissionProblem(refusal)
	}
	var run *searchRun
	ran := false
	for range maxSnapshots {
		run = n.newRun(r)
		run.execute(ctx)
		ran = ran || run.result.Ran
		if run.result.Kind != search.KindStale {
			break
		}
		n.metrics.restarts.Inc()
		n.syncer.RefreshCatalogue(ctx)
	}
	slot.release(run.overloaded)
	n.metrics.observe(r.workspace.Priority(), time.Since(r.arrived), run.result)
	run.result.Ran = ran
	return run.answer()
}

// admissionDeadline returns the time by which the answer is most useful: the soft
// deadline if the workspace prefers latency, otherwise the deadline.
func (r *resolved) admissionDeadline() time.Time {
	if r.workspace.Prefer() == config.PreferLatency {
		return r.softDeadline()
	}
	return r.deadline
}

// softDeadline returns the time from which a partial answer may be returned, so
// that it reaches the caller within the latency target.
func (r *resolved) softDeadline() time.Time {
	target := r.workspace.Target()
	soft := r.arrived.Add(target - target/softMarginDivisor)
	if soft.After(r.deadline) {
		return r.deadline
	}
	return soft
}

// searchRun is the run of one search on one snapshot.
type searchRun struct {
	node      *Node
	resolved  *resolved
	request   string
	catalogue *layout.Catalogue
	machine   *search.Search
	events    chan search.Event
	cancels   map[uint32]context.CancelFunc
	result    search.Result
	// queued counts the shard requests that queued for too long or were rejected.
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
		SoftDeadline: r.softDeadline(),
		MinCoverage:  fullCoverage,
		Fingerprint:  r.fingerprint,
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
	return n.settings.VM + "-" + strconv.FormatInt(n.Started(), 36) + "-" + strconv.FormatUint(n.requests.Add(1), 36)
}

// execute passes events to the state machine until the search finishes.
func (run *searchRun) execute(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var ev search.Event = search.Start{}
	for !run.apply(ctx, ev) {
		run.recordLoad(ev)
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

// apply executes the actions that result from one event and reports whether the
// search has finished.
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

// send runs one attempt in a separate goroutine.
func (run *searchRun) send(ctx context.Context, s search.Send) {
	attempt, cancel := context.WithCancel(ctx)
	run.cancels[s.Attempt] = cancel
	shardReq := &peer.ShardRequest{
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
		Fingerprint: run.resolved.fingerprint,
		Proven:      run.node.tracker.Verdict(run.resolved.fingerprint) == poison.Proven,
		Solo:        s.Solo,
	}
	if s.Hedge {
		run.node.metrics.hedges.Inc()
	}
	run.node.spawn(func() {
		defer cancel()
		ev := run.attempt(attempt, shardReq, s.Upstream)
		select {
		case run.events <- ev:
		case <-ctx.Done():
		}
	})
}

// attempt sends one shard request and returns its result as an event. It updates
// the statistics of the upstream.
func (run *searchRun) attempt(ctx context.Context, shardReq *peer.ShardRequest, u *layout.Upstream) search.Event {
	start := time.Now()
	stats := run.node.table.Stats(u.ID())
	if stats != nil {
		stats.Begin()
		defer stats.End()
	}
	reply := run.node.dispatch(ctx, shardReq, u)
	took := time.Since(start)
	if reply.OK {
		run.node.latencyWindow(shardReq.Archive, shardReq.Priority).Record(took)
		if stats != nil {
			stats.Served(reply.EstimatedService, reply.EstimatedWait, shardReq.Priority)
		}
		return search.Replied{Attempt: shardReq.Attempt, Reply: reply.Reply, Wait: reply.Wait}
	}
	if stats != nil {
		run.recordFailure(ctx, reply, stats, took)
	}
	if reply.Unsent && reply.Cause == search.CauseBroken {
		reply.Cause = search.CauseUnreachable
	}
	return search.Failed{Attempt: shardReq.Attempt, Cause: reply.Cause, RetryAfter: reply.RetryAfter}
}

// recordFailure updates the statistics of the upstream after a failed attempt.
func (run *searchRun) recordFailure(ctx context.Context, reply peer.ShardReply, stats *route.Stats, took time.Duration) {
	cause := reply.Cause
	switch {
	case ctx.Err() != nil:
		stats.Abandoned(took)
	case cause == search.CauseDraining:
		stats.MarkDraining()
	case cause == search.CauseResting, cause == search.CauseShed && reply.RetryAfter > 0:
		stats.Rest(reply.RetryAfter)
	case cause == search.CauseBroken, cause == search.CauseCrashed, cause == search.CauseTimeout:
		stats.Failed()
	}
}

// recordLoad signals overload to admission control as soon as more than one in
// queuedDivisor shard requests has queued for too long or been rejected, which
// may be long before the search ends.
func (run *searchRun) recordLoad(ev search.Event) {
	w := run.resolved.workspace
	switch ev := ev.(type) {
	case search.Replied:
		if ev.Wait > w.Target()/waitDivisor[w.Priority()] {
			run.queued++
		}
	case search.Failed:
		if ev.Cause == search.CauseRefused || ev.Cause == search.CauseShed {
			run.queued++
		}
	}
	if !run.overloaded && run.queued*queuedDivisor > run.machine.Shards() {
		run.overloaded = true
		run.node.admission.recordOverload(run.resolved.workspace.Priority())
	}
}

// answer converts the result to the caller's answer or problem.
func (run *searchRun) answer() (*wire.Answer, *wire.Problem) {
	res := run.result
	switch res.Kind {
	case search.KindAnswered:
		return run.buildAnswer(), nil
	case search.KindQuarantined:
		return nil, run.node.quarantined(run.resolved.fingerprint)
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

func (run *searchRun) buildAnswer() *wire.Answer {
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
