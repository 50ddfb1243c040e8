package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/admit"
	"geraniumstep.org/geraniumstep/pkg/fanout"
	"geraniumstep.org/geraniumstep/pkg/poison"
	"geraniumstep.org/geraniumstep/pkg/topk"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

const (
	// answerMargin is subtracted from the target to leave time for returning
	// the answer: a few milliseconds on the network, and a few milliseconds
	// of processing on a busy VM.
	answerMargin = 15 * time.Millisecond
	// timeoutMargin is subtracted from the timeout for the same reason.
	timeoutMargin = 20 * time.Millisecond
	// defaultRetryAfter is the Retry-After delay while the node has no
	// configuration, or no estimate of when the request could be served.
	defaultRetryAfter = 500 * time.Millisecond
)

// Do serves one request. The context must be canceled when the caller disconnects.
func (e *Engine) Do(ctx context.Context, req *proto.Request) proto.Answer {
	routes := e.routes.Load()
	if routes == nil {
		return proto.Refused{Reason: "no configuration yet", RetryAfter: defaultRetryAfter}
	}
	route, ok := routes.Match(req.Host, req.Path)
	if !ok {
		e.log.WithFields(logrus.Fields{"request": req.ID, "host": req.Host, "path": req.Path, "version": routes.Version()}).
			Info("relay: no route matches the request.")
		return proto.NoRoute{}
	}
	req, workspace, rejection := e.identify(routes, route, req)
	if rejection != nil {
		return rejection
	}
	if workspace != nil {
		route = route.For(workspace)
	}
	token, limited := e.takeAllotment(ctx, route, workspace, req)
	if limited != nil {
		return limited
	}
	r := e.newRun(req, route, routes.Version())
	r.workspace = workspace.Name()
	if token != nil {
		r.allotted.token, r.allotted.workspace = *token, workspace
	}
	answer := r.screenAndExecute(ctx)
	r.returnToken()
	r.recordTime(answer)
	r.log(answer)
	return answer
}

func (e *Engine) newRun(req *proto.Request, route *vhost.Route, version uint64) *run {
	wait := route.Timeout()
	if req.Remaining > 0 {
		wait = min(wait, req.Remaining)
	}
	r := &run{engine: e, req: req, route: route, version: version, fingerprint: fingerprintOf(req), content: contentOf(req), homes: route.Homes()}
	r.plan = fanout.Plan{
		MinAnswered:  1,
		MaxAttempts:  max(route.MaxAttempts(), 1),
		Idempotent:   route.Idempotent(),
		SoftDeadline: req.Arrived.Add(route.Target() - answerMargin),
		Deadline:     req.Arrived.Add(wait - timeoutMargin),
	}
	switch d := route.Destination().(type) {
	case vhost.Single:
		r.plan.Services = []string{d.Service()}
	case vhost.Split:
		r.plan.Services = []string{e.splitter.Next(route.Name(), d.Parts())}
	case vhost.Gather:
		r.plan.Services, r.plan.MinAnswered, r.topK = d.Shards(), d.MinShards(), d.TopK()
		r.plan.Idempotent, r.gather = true, true
	}
	r.directory = r.upstreams()
	e.clip(&r.plan)
	return r
}

// recordTime records how long the request has taken, unless it was rejected.
func (r *run) recordTime(a proto.Answer) {
	switch a.(type) {
	case proto.Relayed, proto.Merged, proto.Unknown:
		r.engine.finish.Record(r.route.Name(), time.Since(r.req.Arrived))
	}
}

// fingerprintOf identifies requests that are equal in method, host, path, query and
// body, and come from the same caller.
func fingerprintOf(req *proto.Request) poison.Fingerprint {
	return poison.FingerprintOf(req.Body, req.Method, req.Host, req.Target, req.Caller)
}

// contentOf identifies requests that are equal but for their caller.
func contentOf(req *proto.Request) poison.Fingerprint {
	return poison.FingerprintOf(req.Body, req.Method, req.Host, req.Target)
}

// admitAndExecute executes the request, or rejects it if it cannot be served in time.
func (r *run) admitAndExecute(ctx context.Context) proto.Answer {
	now := time.Now()
	if !now.Before(r.plan.Deadline) {
		return proto.Refused{Reason: "deadline has passed"}
	}
	if !r.fitsStop() {
		r.verdict = "stopping"
		return proto.Refused{Reason: "node is shutting down; send the request to another one"}
	}
	if r.mustDetour() && !r.canServe() {
		r.engine.links.AwaitEnd(ctx, r.plan.SoftDeadline.Sub(now)/awaitEndDivisor)
	}
	if reject, ok := r.admission(now).(admit.Reject); ok {
		return proto.Refused{Reason: r.rejected(reject), RetryAfter: reject.RetryAfter}
	}
	outcome, ended := r.execute(ctx)
	if !ended {
		return proto.Abandoned{}
	}
	return r.answer(outcome)
}

// admission decides whether enough legs are expected to be served within the target.
func (r *run) admission(now time.Time) admit.Decision {
	if r.engine.links.IsCut() && !r.engine.links.HasLive() {
		// A peer decides by its own view of the queues.
		if r.canDetour() {
			return admit.Admit{}
		}
		return admit.Reject{RetryAfter: cutRetryAfter}
	}
	expected := make([]time.Duration, 0, len(r.plan.Services))
	for _, s := range r.plan.Services {
		if d, ok := r.expected(s, now); ok {
			expected = append(expected, d)
		}
	}
	decision := admit.Decide(expected, r.plan.MinAnswered, r.plan.SoftDeadline.Sub(now))
	if _, ok := decision.(admit.Reject); ok && len(expected) >= r.plan.MinAnswered && r.engine.isFair() {
		decision = r.decideShare(now)
	}
	if reject, ok := decision.(admit.Reject); ok {
		reject.RetryAfter = max(reject.RetryAfter, r.nextTurn())
		if len(expected) < r.plan.MinAnswered && r.gather {
			reject.RetryAfter = max(reject.RetryAfter, r.upstreams().backIn(r.plan.Services, time.Duration(r.engine.restart.Load())))
		}
		return reject
	}
	return decision
}

// answer converts the outcome of the fan-out to the answer for the caller.
func (r *run) answer(o fanout.Outcome) proto.Answer {
	switch o {
	case fanout.OutcomeComplete, fanout.OutcomePartial:
		if r.gather {
			return r.merge()
		}
		return r.relayed(r.parts[0])
	case fanout.OutcomeFailed, fanout.OutcomeExpired:
	}
	if r.permits.close() {
		if r.Blocked() {
			return r.quarantined()
		}
		if r.peerRetryAfter > 0 {
			return proto.Refused{Reason: "queues are longer than the target", RetryAfter: r.peerRetryAfter}
		}
		return proto.Refused{Reason: "no upstream could take the request", RetryAfter: r.retryAfter()}
	}
	if r.failure != nil && !r.gather {
		return r.relayed(r.failure)
	}
	return proto.Unknown{Reason: "no upstream answered", Expired: o == fanout.OutcomeExpired}
}

// retryAfter estimates the delay after which the request could be served.
func (r *run) retryAfter() time.Duration {
	if reject, ok := r.admission(time.Now()).(admit.Reject); ok {
		return reject.RetryAfter
	}
	return defaultRetryAfter
}

func (r *run) merge() proto.Answer {
	m := topk.New(r.topK)
	var proofs []string
	for _, g := range r.groups {
		m.Add(g.body)
		proofs = append(proofs, g.proofs...)
	}
	for i, p := range r.parts {
		if p == nil || r.inGroup(i) {
			continue
		}
		m.Add(p.Body())
		proofs = append(proofs, p.Reply().Proof)
	}
	return proto.Merged{Body: m.Bytes(), Proofs: proofs, Missing: len(r.parts) - len(proofs)}
}

// relayed returns an upstream's response as the answer, without the headers that
// apply to the connection or are internal to the tier.
func (r *run) relayed(res *link.Response) proto.Answer {
	header := make(http.Header, len(res.Header()))
	for name, values := range res.Header() {
		if !hopByHop[name] {
			header[name] = values
		}
	}
	for _, name := range r.engine.dialect.Private() {
		header.Del(name)
	}
	return proto.Relayed{Status: res.Status(), Header: header, Body: res.Body()}
}

// hopByHop lists the headers that apply to a single connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}
