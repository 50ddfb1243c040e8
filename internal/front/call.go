package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/advice"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/search"
)

const (
	// maxReplyBytes is the maximum size of the body of an upstream's reply, and
	// maxHeadBytes that of its head.
	maxReplyBytes = 4 << 20
	maxHeadBytes  = 64 << 10
)

var errReplyTooLarge = fmt.Errorf("reply is larger than %d bytes; lower the template's limit", maxReplyBytes)

// call sends the shard request to the upstream and reads the complete reply. The
// upstream must not start the request after the fence or, without a fence, after the
// deadline of ctx.
//
// The request has no Idempotency-Key header, because net/http retries requests
// that have one when a kept-alive connection breaks.
func (d *dispatcher) call(ctx context.Context, shardReq *peer.ShardRequest) (peer.ShardReply, gate.Outcome) {
	deadline, _ := ctx.Deadline()
	if !shardReq.Fence.IsZero() {
		deadline = shardReq.Fence
	}
	body, err := json.Marshal(wire.Run{
		Request:  shardReq.Request,
		Attempt:  shardReq.Attempt,
		Trace:    shardReq.Trace,
		Archive:  shardReq.Archive,
		Shard:    shardReq.Shard,
		Version:  shardReq.Version,
		Deadline: deadline,
		Priority: shardReq.Priority,
		Template: shardReq.Template,
		Params:   shardReq.Params,
		Key:      shardReq.Key,
	})
	if err != nil {
		return peer.ShardReply{Cause: search.CauseInvalid, Unsent: true}, gate.OutcomeCanceled
	}
	ctx, o, end := d.track(ctx, shardReq)
	defer end()
	sent := time.Now()
	trace := &httptrace.ClientTrace{GotConn: o.gotConn, Got1xxResponse: checkInterim}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, d.url(wire.PathRun), bytes.NewReader(body))
	if err != nil {
		return peer.ShardReply{Cause: search.CauseInvalid, Unsent: true}, gate.OutcomeCanceled
	}
	res, err := send(d.client, req)
	if err != nil {
		if errors.Is(err, errStatus) {
			d.front.log.Warnf("front: response of upstream %s for template %s of archive %s is no answer: %v.", d.upstream.ID(), shardReq.Template, shardReq.Archive, err)
		}
		return d.connectionError(ctx, err, !o.connected.Load(), sent), gate.OutcomeCanceled
	}
	d.heard(time.Unix(0, o.openedAt.Load()))
	d.stats.Answered(time.Since(sent))
	return d.read(ctx, res, shardReq, sent)
}

// errStatus is the error of a response whose status is neither final nor interim.
var errStatus = errors.New("status of the response is neither final nor interim")

// maxStatus is the greatest status code of a response.
const maxStatus = 599

// send sends the request. A response whose status is not final is an error, and its
// connection is closed, because it is unknown what follows on it.
func send(client *http.Client, req *http.Request) (*http.Response, error) {
	res, err := client.Do(req)
	if err != nil || res.StatusCode >= http.StatusOK && res.StatusCode <= maxStatus {
		return res, err
	}
	// Close closes the connection unless the body is empty: the connection is then idle.
	_ = res.Body.Close()
	client.CloseIdleConnections()
	return nil, fmt.Errorf("%w: %s", errStatus, res.Status)
}

// checkInterim returns an error, which ends the exchange, for an interim response with
// content: net/http would read that as the next response.
func checkInterim(code int, header textproto.MIMEHeader) error {
	if length := header.Get("Content-Length"); length != "" && length != "0" {
		return fmt.Errorf("%w: %d with content", errStatus, code)
	}
	return nil
}

func (d *dispatcher) url(path string) string {
	return d.front.scheme + "://" + d.upstream.Addr() + path
}

func (d *dispatcher) read(ctx context.Context, res *http.Response, shardReq *peer.ShardRequest, sent time.Time) (peer.ShardReply, gate.Outcome) {
	defer res.Body.Close()
	data, err := readAll(res.Body)
	if err != nil {
		return d.connectionError(ctx, err, false, sent), gate.OutcomeCanceled
	}
	if res.StatusCode != http.StatusOK {
		return d.rejected(res, shardReq)
	}
	var reply wire.RunReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return peer.ShardReply{Cause: search.CauseInvalid}, gate.OutcomeCanceled
	}
	d.observeIncarnation(reply.Started)
	return peer.ShardReply{OK: true, Reply: replyOf(reply)}, gate.OutcomeServed
}

func replyOf(r wire.RunReply) search.Reply {
	return search.Reply{
		Request: r.Request,
		Attempt: r.Attempt,
		Target:  search.Target{Archive: r.Archive, Shard: r.Shard, Version: r.Version},
		Hits:    r.Hits,
		Sum:     r.Sum,
	}
}

func readAll(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxReplyBytes+1))
	if err == nil && len(data) > maxReplyBytes {
		return nil, errReplyTooLarge
	}
	return data, err
}

// rejected converts a response with a status other than 200 to a reply. Only a known
// HeaderRefusal proves that the upstream did not run the request.
func (d *dispatcher) rejected(res *http.Response, shardReq *peer.ShardRequest) (peer.ShardReply, gate.Outcome) {
	rest := proto.ReadRest(res.Header)
	switch res.Header.Get(wire.HeaderRefusal) {
	case wire.RefusalDraining:
		d.drainFromHealth.Store(false)
		d.markDraining()
		return peer.ShardReply{Cause: search.CauseDraining, Unsent: true}, gate.OutcomeCanceled
	case wire.RefusalShed:
		d.advice.Hear(advice.Advice{Rest: rest}, time.Now(), rand.Float64())
		return peer.ShardReply{Cause: search.CauseShed, Unsent: true, RetryAfter: min(rest, advice.MaxRest)}, gate.OutcomeShed
	case wire.RefusalVersion:
		return peer.ShardReply{Cause: search.CauseVersionGone, Unsent: true}, gate.OutcomeCanceled
	case wire.RefusalDeadline:
		return peer.ShardReply{Cause: search.CauseRefused, Unsent: true}, gate.OutcomeCanceled
	}
	d.front.log.Warnf("front: upstream %s returned status %d for template %s of archive %s; expected 200 or a %s header.", d.upstream.ID(), res.StatusCode, shardReq.Template, shardReq.Archive, wire.HeaderRefusal)
	return peer.ShardReply{Cause: search.CauseInvalid}, gate.OutcomeCanceled
}

// connectionError classifies a failed call as a timeout, a crash of the upstream
// or a broken connection. If the upstream has crashed but nothing was sent to it,
// the cause is CauseDraining, which proves that the request did not run. sent is when the
// call began.
func (d *dispatcher) connectionError(ctx context.Context, err error, unsent bool, sent time.Time) peer.ShardReply {
	if errors.Is(context.Cause(ctx), errCut) || unsent && d.front.links.IsCut() {
		return cutReply(unsent)
	}
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return peer.ShardReply{Cause: search.CauseTimeout, Unsent: unsent}
	}
	suspects := d.crashSuspects()
	if d.crashed(suspects, sent) {
		cause := search.CauseCrashed
		if unsent {
			cause = search.CauseDraining
		}
		return peer.ShardReply{Cause: cause, Unsent: unsent}
	}
	return peer.ShardReply{Cause: search.CauseBroken, Unsent: unsent}
}
