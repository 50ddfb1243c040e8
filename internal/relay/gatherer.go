package relay

import (
	"context"
	"net/http"
	"time"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/admit"
	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/topk"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// Gatherer serves gather calls of other nodes. It is registered with net/rpc under
// GatherService.
type Gatherer struct{ engine *Engine }

// Gatherer returns the net/rpc receiver for gather calls of other nodes.
func (e *Engine) Gatherer() *Gatherer { return &Gatherer{engine: e} }

// Gather sends the request to the services of the call and merges their responses.
func (g *Gatherer) Gather(call *GatherCall, reply *GatherReply) error {
	start := time.Now()
	if call.Deadline <= 0 {
		reply.NotRun = true
		return nil
	}
	defer func() { reply.Took = time.Since(start) }()
	ctx, cancel := context.WithCancel(g.engine.baseCtx)
	defer cancel()
	g.engine.gatherCancels.Store(call.ID, cancel)
	defer g.engine.gatherCancels.Delete(call.ID)
	r := g.engine.gatherRun(call)
	r.req.Memory = g.engine.memory.Open()
	defer r.req.Memory.Close()
	rejected, release := r.screen()
	if rejected != nil {
		reply.NotRun, reply.RetryAfter, reply.Crashes = true, rejected.RetryAfter, r.reports()
		r.log(*rejected)
		return nil
	}
	defer release()
	if reject, ok := r.admission(time.Now()).(admit.Reject); ok {
		reply.NotRun, reply.RetryAfter = true, reject.RetryAfter
		r.verdict = "rejected"
		r.log(proto.Refused{})
		return nil
	}
	if _, ended := r.execute(ctx); !ended {
		r.log(proto.Abandoned{})
		return nil
	}
	r.reply(reply)
	return nil
}

// Cancel ends a gather whose result is no longer needed.
func (g *Gatherer) Cancel(call *CancelCall, _ *None) error {
	if cancel, ok := g.engine.gatherCancels.LoadAndDelete(call.ID); ok {
		cancel.(context.CancelFunc)()
	}
	return nil
}

// gatherRun returns the run for the part of a search that another node delegates.
func (e *Engine) gatherRun(call *GatherCall) *run {
	now := time.Now()
	req := &proto.Request{
		ID: call.Request, Method: call.Method, Host: call.Host, Target: call.Target,
		Header: http.Header(call.Header), Body: call.Body, Arrived: now, Remaining: call.Deadline,
	}
	route := vhost.NewRoute(call.Route, call.Host, "", vhost.NewGather(call.Services, call.TopK, 0),
		vhost.WithPriority(call.Priority), vhost.WithMaxAttempts(call.Attempts), vhost.WithIdempotent(true),
		vhost.WithTimeout(call.Deadline), vhost.WithTarget(call.Soft))
	return &run{
		engine: e, req: req, route: route, version: call.Version, fingerprint: call.Fingerprint, content: call.Content, directory: e.upstreams.Load(),
		gather: true, topK: call.TopK, hops: call.Hops, cautious: call.Cautious, led: call.Led,
		plan: fanout.Plan{
			Cautious: call.Cautious, Services: call.Services, MinAnswered: max(call.MinLegs, 1), MaxAttempts: max(call.Attempts, 1), Idempotent: true,
			SoftDeadline: now.Add(call.Soft), Deadline: now.Add(call.Deadline),
		},
	}
}

func (r *run) reply(reply *GatherReply) {
	m := topk.New(r.topK)
	for _, g := range r.groups {
		if !g.answered {
			continue
		}
		m.Add(g.body)
		reply.Proofs = append(reply.Proofs, g.proofs...)
		reply.Legs = append(reply.Legs, g.proofLegs...)
	}
	for i, p := range r.parts {
		if p == nil || r.inGroup(i) {
			continue
		}
		m.Add(p.Body())
		reply.Proofs = append(reply.Proofs, p.Reply().Proof)
		reply.Legs = append(reply.Legs, i)
	}
	reply.Body = m.Bytes()
	for i := range r.plan.Services {
		reply.Reached = append(reply.Reached, r.machine.Reached(i))
	}
	if reply.InDoubt = r.machine.InDoubt(); reply.InDoubt {
		reply.Crashes = r.reports()
	}
	reply.NotRun = r.permits.close() && len(reply.Legs) == 0
	if reply.NotRun && r.machine.Unproven() {
		reply.RetryAfter = r.retryAfter()
	}
	var answer proto.Answer = proto.Merged{Missing: len(r.plan.Services) - len(reply.Legs)}
	if reply.NotRun {
		answer = proto.Refused{}
	}
	r.log(answer)
}
