package relay

import (
	"context"
	"time"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

// suspectRetryAfter is the Retry-After delay of a request that is equal to one that is
// being sent to a single upstream because it may crash it. A result is known by then.
const suspectRetryAfter = 500 * time.Millisecond

// screenAndExecute executes the request unless it is known to crash upstreams.
func (r *run) screenAndExecute(ctx context.Context) proto.Answer {
	rejected, release := r.screen()
	if rejected != nil {
		return *rejected
	}
	defer release()
	return r.admitAndExecute(ctx)
}

// screen decides by the crashes that equal requests caused whether the request may be
// sent. It returns the rejection if not, and otherwise a function to be called when the
// request has ended.
func (r *run) screen() (rejected *proto.Refused, release func()) {
	t := r.engine.tracker
	verdict := t.Verdict(r.fingerprint)
	if verdict != poison.Quarantined && t.Held(r.fingerprint) {
		r.verdict = "held"
		return &proto.Refused{Reason: "an equal request may have crashed an upstream, and the result is awaited", RetryAfter: suspectRetryAfter}, nil
	}
	switch verdict {
	case poison.Quarantined:
		t.RecordRejection(r.fingerprint)
		r.verdict = poison.Quarantined.String()
		refused := r.quarantined()
		return &refused, nil
	case poison.Suspect:
		if t.Succeeded(r.fingerprint, time.Time{}) {
			break // popular requests are in flight in most crashes
		}
		if !t.Claim(r.fingerprint) {
			r.verdict = poison.Suspect.String()
			return &proto.Refused{Reason: "an equal request may have crashed an upstream and is being tried alone", RetryAfter: suspectRetryAfter}, nil
		}
		r.cautious, r.plan.Cautious = true, true
		return nil, func() { t.Release(r.fingerprint) }
	case poison.Novel, poison.Proven:
	}
	return nil, func() {}
}

// planLeader chooses the leg of a new search that is sent before the others, so that a
// search that crashes upstreams does not reach one of each shard at once. It is one with
// an upstream in the local failure domain, where a crash shows soonest.
func (r *run) planLeader() {
	if !r.gather || r.led || r.engine.tracker.Verdict(r.fingerprint) != poison.Novel {
		return
	}
	n := len(r.plan.Services)
	first := int(r.engine.tickets.Add(1) % uint64(max(n, 1)))
	for k := range n {
		i := (first + k) % n
		service := r.plan.Services[i]
		if r.pendingGroups[service] == nil && r.directory.isLocal(service) {
			r.plan.Leader, r.plan.Lead = i, r.engine.lead
			return
		}
	}
}

// quarantined returns the rejection of a request that is known to crash upstreams.
func (r *run) quarantined() proto.Refused {
	r.engine.metrics.quarantined.Inc()
	return proto.Refused{
		Reason:     "equal requests have crashed upstreams; do not send it again before the time in Retry-After",
		RetryAfter: r.engine.tracker.Remaining(r.fingerprint),
	}
}

// recordSuccess records that an upstream has run the request to its end.
func (r *run) recordSuccess() {
	if r.succeeded {
		return
	}
	r.succeeded = true
	if reports := r.engine.tracker.RecordSuccess(r.fingerprint); len(reports) > 0 {
		r.engine.share(reports)
	}
}
