package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/dedup"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/search"
)

const (
	// ownerRetryDelay is the delay before the first retry of finding the owner of
	// a key, and ownerTimeout the time after which retries stop.
	ownerRetryDelay = 20 * time.Millisecond
	ownerTimeout    = time.Second
)

// Submit runs a non-idempotent request at most once.
func (n *Node) Submit(ctx context.Context, req Request) (*wire.Answer, *wire.Problem) {
	r, p := n.resolve(req)
	if p != nil {
		return nil, p
	}
	if r.template.Idempotent() {
		return nil, problem(http.StatusUnprocessableEntity, wire.KindInvalid, "template is idempotent",
			fmt.Sprintf("template %q is a search; POST it to searches", r.template.Name()))
	}
	if _, ok := r.values[r.template.Partition()]; !ok {
		return nil, problem(http.StatusBadRequest, wire.KindInvalid, "parameter missing",
			fmt.Sprintf("template %q needs parameter %q; add it", r.template.Name(), r.template.Partition()))
	}
	if p := n.checkFanOut(r, n.Catalogue()); p != nil {
		return nil, p
	}
	key, err := dedup.ParseKey(req.Key)
	if err != nil {
		return nil, problem(http.StatusBadRequest, wire.KindInvalid, "idempotency key not accepted", err.Error())
	}
	if p := n.fitsStop(r, !req.FirstSend); p != nil {
		return nil, p
	}
	ctx, cancel := n.untilEnd(ctx)
	defer cancel()
	reply := n.submitToOwner(ctx, r, key, req)
	if reply.Outcome.Status != dedup.NotRun {
		n.recordTime(r)
	}
	n.metrics.submitted.WithLabelValues(r.workspace.Priority().String(), reply.Outcome.Status.String()).Inc()
	if reply.Outcome.Status == dedup.NotRun {
		if p := n.rejectQuarantined(r.fingerprint); p != nil {
			return nil, p
		}
	}
	return submitAnswer(reply)
}

func submitAnswer(reply peer.SubmitReply) (*wire.Answer, *wire.Problem) {
	if reply.Verdict == peer.VerdictInvalid {
		return nil, problem(http.StatusBadRequest, wire.KindInvalid, "request not accepted", reply.Reason)
	}
	switch reply.Outcome.Status {
	case dedup.Ran:
		var a wire.Answer
		if err := json.Unmarshal(reply.Outcome.Answer, &a); err != nil {
			return nil, unknown("recorded answer is not readable")
		}
		return &a, nil
	case dedup.NotRun:
		return nil, notRun(orElse(reply.Reason, "no upstream could take the request in time; send it again"), 0)
	}
	return nil, unknown(orElse(reply.Reason, "request may have run and is not run again; ask with the same key, or check before making a new one"))
}

func orElse(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

// submitToOwner submits the request to the owner of its key. It retries while
// ownership is being transferred.
func (n *Node) submitToOwner(ctx context.Context, r *resolved, key dedup.Key, req Request) peer.SubmitReply {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	args := &peer.Submit{
		Workspace: r.workspace.Name(),
		Template:  r.template.Name(),
		Params:    r.params,
		Key:       key.String(),
		Trace:     r.trace,
		First:     req.FirstSend,
	}
	giveUpAt := time.Now().Add(ownerTimeout)
	for delay := ownerRetryDelay; ; delay *= 2 {
		args.Budget = time.Until(r.deadline)
		reply, sent := n.callOwner(ctx, key, args)
		if sent {
			return reply
		}
		if time.Now().Add(delay).After(giveUpAt) || !tasks.Sleep(ctx, n.random.Jitter(delay)) {
			return notOwned(req.FirstSend)
		}
	}
}

// callOwner submits the request to the key's owner. It returns false if there is no
// owner in this node's view, the call was not sent, or the reply is VerdictNotOwner.
// In these cases the call has not run the request.
func (n *Node) callOwner(ctx context.Context, key dedup.Key, args *peer.Submit) (peer.SubmitReply, bool) {
	vm, addr, ok := n.submissions.Owner(key)
	if !ok {
		return peer.SubmitReply{}, false
	}
	if vm == n.settings.VM {
		reply := n.submissions.Submit(ctx, args)
		return reply, reply.Verdict != peer.VerdictNotOwner
	}
	var reply peer.SubmitReply
	err := n.peers.Call(ctx, addr, peer.MethodSubmit, args, &reply)
	switch {
	case err == nil:
		return reply, reply.Verdict != peer.VerdictNotOwner
	case errors.Is(err, peer.ErrUnsent):
		return reply, false
	}
	return peer.SubmitReply{Outcome: dedup.Outcome{Status: dedup.Unknown}, Reason: "owner of the key did not answer"}, true
}

// notOwned returns the reply for a key without a reachable owner. The request of a
// first send has certainly not run; that of a later send may have.
func notOwned(first bool) peer.SubmitReply {
	status := dedup.Unknown
	if first {
		status = dedup.NotRun
	}
	return peer.SubmitReply{
		Outcome: dedup.Outcome{Status: status},
		Reason:  "owner of the key cannot be reached; for a new request get a key with POST /v1/keys",
	}
}

// job is a non-idempotent request at the owner of its key.
type job struct {
	node     *Node
	resolved *resolved
	key      dedup.Key
	budget   time.Duration
}

// newJob validates the request against the configuration of the key's owner, which
// may lag behind that of the node that received the request.
func (n *Node) newJob(args *peer.Submit, key dedup.Key) (*job, *wire.Problem) {
	var values map[string]any
	if err := json.Unmarshal(args.Params, &values); err != nil {
		return nil, problem(http.StatusBadRequest, wire.KindInvalid, "parameters not readable", err.Error())
	}
	r, p := n.resolve(Request{Workspace: args.Workspace, Template: args.Template, Parameters: values, Timeout: args.Budget, Trace: args.Trace})
	if p != nil {
		return nil, p
	}
	return &job{node: n, resolved: r, key: key, budget: args.Budget}, nil
}

// Execute sends the request to an upstream, but not after the fence. It retries only
// after attempts that provably did not run, so that the request runs at most once.
func (j *job) Execute(fence time.Time) dedup.Outcome {
	deadline := j.resolved.deadline
	if !fence.IsZero() && fence.Before(deadline) {
		deadline = fence
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request := j.node.requestID()
	for try := 0; ; try++ {
		catalogue := j.node.Catalogue()
		target, upstream, ok := j.target(catalogue)
		if !ok {
			return dedup.Outcome{Status: dedup.NotRun}
		}
		shardReq := j.newShardRequest(request, uint32(try), target, upstream, deadline)
		reply := j.node.dispatch(ctx, shardReq, upstream)
		switch {
		case reply.OK && replyMatches(shardReq, reply.Reply):
			return j.outcomeRan(request, catalogue, reply.Reply)
		case !reply.Unsent || reply.OK:
			return dedup.Outcome{Status: dedup.Unknown}
		case reply.Cause == search.CauseQuarantined:
			return dedup.Outcome{Status: dedup.NotRun}
		case reply.Cause == search.CauseVersionGone:
			j.node.syncer.RefreshCatalogue(ctx)
		}
		if !tasks.Sleep(ctx, j.node.random.Backoff(try)) {
			return dedup.Outcome{Status: dedup.NotRun}
		}
	}
}

// target selects the shard by the hash of the partition parameter's value, and a
// replica of it.
func (j *job) target(c *layout.Catalogue) (search.Target, *layout.Upstream, bool) {
	a, ok := c.Archive(j.resolved.template.Archives()[0])
	if !ok || len(a.Shards()) == 0 {
		return search.Target{}, nil, false
	}
	value := fmt.Sprint(j.resolved.values[j.resolved.template.Partition()])
	shard := int(xxhash.Sum64String(value) % uint64(len(a.Shards())))
	u, ok := j.node.table.Pick(a.Shards()[shard].Replicas(), nil, j.resolved.workspace.Priority())
	return search.Target{Archive: a.Name(), Shard: shard, Version: a.Version()}, u, ok
}

func (j *job) newShardRequest(request string, attempt uint32, t search.Target, u *layout.Upstream, deadline time.Time) *peer.ShardRequest {
	return &peer.ShardRequest{
		Request:     request,
		Trace:       j.resolved.trace,
		Attempt:     attempt,
		Upstream:    u.ID(),
		Archive:     t.Archive,
		Shard:       t.Shard,
		Version:     t.Version,
		Budget:      time.Until(deadline),
		Fence:       deadline,
		Priority:    j.resolved.workspace.Priority(),
		Workspace:   j.resolved.workspace.Name(),
		Template:    j.resolved.template.Name(),
		Params:      j.resolved.params,
		Key:         j.key.String(),
		Fingerprint: j.resolved.fingerprint,
	}
}

func replyMatches(shardReq *peer.ShardRequest, r search.Reply) bool {
	want := search.Target{Archive: shardReq.Archive, Shard: shardReq.Shard, Version: shardReq.Version}
	return r.Request == shardReq.Request && r.Attempt == shardReq.Attempt && r.Target == want
}

func (j *job) outcomeRan(request string, c *layout.Catalogue, r search.Reply) dedup.Outcome {
	j.node.recordSuccess(j.resolved.fingerprint)
	coverage := []search.Coverage{{Archive: r.Target.Archive, Version: r.Target.Version, Shards: 1}}
	data, err := json.Marshal(wire.Answer{Request: request, Snapshot: c.Revision(), Hits: r.Hits, Ratio: 1, Coverage: coverage})
	if err != nil {
		return dedup.Outcome{Status: dedup.Unknown}
	}
	return dedup.Outcome{Status: dedup.Ran, Answer: data}
}

// IssueKeys returns new idempotency keys whose requests only this process runs. It
// returns false if the node no longer issues keys.
func (n *Node) IssueKeys(count int) ([]string, bool) {
	keys := make([]string, 0, count)
	for range count {
		k, ok := n.submissions.Issue()
		if !ok {
			return nil, false
		}
		keys = append(keys, k.String())
	}
	return keys, true
}
