package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/access"
	"geraniumstep.org/geraniumstep/pkg/admit"
	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/topk"
	"geraniumstep.org/geraniumstep/pkg/trace"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// Gatherer serves gather calls of other nodes. It is registered with net/rpc under
// GatherService.
type Gatherer struct{ engine *Engine }

// Gatherer returns the net/rpc receiver for gather calls of other nodes.
func (e *Engine) Gatherer() *Gatherer { return &Gatherer{engine: e} }

// Gather sends the request to the services of the call and merges their responses.
func (g *Gatherer) Gather(call *GatherCall, reply *GatherReply) error {
	call.Single = false
	return g.serve(call, reply)
}

// Forward sends the request to the only service of the call, and returns the response.
func (g *Gatherer) Forward(call *GatherCall, reply *GatherReply) error {
	if call.Single = true; len(call.Services) != 1 {
		return errNotSingle
	}
	return g.serve(call, reply)
}

var errNotSingle = merry.New("call to forward a request names no service or several; send it to one")

func (g *Gatherer) serve(call *GatherCall, reply *GatherReply) error {
	start := time.Now()
	g.engine.peerCalls.Add(1)
	defer g.engine.peerCalls.Add(-1)
	if g.engine.links.IsCut() {
		reply.NotRun, reply.Cut = true, true
		return nil
	}
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
	if !r.fitsStop() {
		// The calling node can reach the upstreams another way.
		reply.NotRun, reply.Reached = true, make([]int, len(call.Services))
		r.verdict = "stopping"
		r.log(proto.Refused{})
		return nil
	}
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
		r.rejected(reject)
		r.log(proto.Refused{})
		return nil
	}
	if _, ended := r.execute(ctx); !ended {
		r.log(proto.Abandoned{})
		return nil
	}
	r.reply(reply)
	if !reply.NotRun {
		g.engine.finish.Record(call.Route, time.Since(start))
	}
	return nil
}

// peerCallInterval is how often a node that stops checks whether calls are in progress.
const peerCallInterval = 20 * time.Millisecond

// AwaitPeerCalls waits until no call of another node is in progress, or the context is done.
// It reports whether none is.
func (e *Engine) AwaitPeerCalls(ctx context.Context) bool {
	for e.peerCalls.Load() > 0 {
		if !tasks.Sleep(ctx, peerCallInterval) {
			return false
		}
	}
	return true
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
	idempotent := !call.Single || call.Idempotent
	route := vhost.NewRoute(call.Route, call.Host, "", call.destination(),
		vhost.WithPriority(call.Priority), vhost.WithMaxAttempts(call.Attempts), vhost.WithIdempotent(idempotent),
		vhost.WithTimeout(call.Deadline), vhost.WithTarget(call.Soft), vhost.WithHomes(access.NewHomes(call.Homes...)))
	r := &run{
		engine: e, req: req, route: route, version: call.Version, fingerprint: call.Fingerprint, content: call.Content, workspace: call.Workspace, homes: route.Homes(),
		gather: !call.Single, topK: call.TopK, hops: max(call.Hops, 1), cautious: call.Cautious, led: call.Led, extra: call.Extra, traced: call.Trace,
		plan: fanout.Plan{
			Cautious: call.Cautious, Services: call.Services, MinAnswered: max(call.MinLegs, 1), MaxAttempts: max(call.Attempts, 1), Idempotent: idempotent,
			SoftDeadline: now.Add(call.Soft), Deadline: now.Add(call.Deadline),
		},
	}
	r.directory = r.upstreams()
	e.clip(&r.plan)
	return r
}

// destination returns where the call is sent.
func (c *GatherCall) destination() vhost.Destination {
	if c.Single {
		return vhost.NewSingle(c.Services[0])
	}
	return vhost.NewGather(c.Services, c.TopK, 0)
}

func newPeerResponse(res *link.Response) *PeerResponse {
	return &PeerResponse{Status: res.Status(), Header: res.Header(), Body: res.Body()}
}

func (r *run) reply(reply *GatherReply) {
	reply.Cut = r.engine.links.IsCut()
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
		reply.Proofs = append(reply.Proofs, p.Reply().Proof)
		reply.Legs = append(reply.Legs, i)
		if r.gather {
			m.Add(p.Body())
		} else {
			reply.Response = newPeerResponse(p)
		}
	}
	if reply.Body = m.Bytes(); !r.gather && len(reply.Legs) == 0 && r.failure != nil {
		reply.Response = newPeerResponse(r.failure)
	}
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
	if r.traced {
		reply.Slowest = trace.Slowest(r.traceLegs(time.Now()))
	}
	var answer proto.Answer = proto.Merged{Missing: len(r.plan.Services) - len(reply.Legs)}
	if reply.NotRun {
		answer = proto.Refused{}
	}
	r.log(answer)
}
