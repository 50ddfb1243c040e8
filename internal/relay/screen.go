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
	verdict := r.classify()
	if verdict != poison.Quarantined && (t.Held(r.fingerprint) || t.Held(r.content) && !r.isProven()) {
		r.verdict = "held"
		return &proto.Refused{Reason: "an equal request may have crashed an upstream, and the result is awaited", RetryAfter: suspectRetryAfter}, nil
	}
	switch verdict {
	case poison.Quarantined:
		for _, f := range r.identities() {
			if t.Verdict(f) == poison.Quarantined {
				t.RecordRejection(f)
			}
		}
		r.verdict = poison.Quarantined.String()
		refused := r.quarantined()
		return &refused, nil
	case poison.Suspect:
		if r.isProven() {
			break // popular requests are in flight in most crashes
		}
		claim := r.fingerprint
		if t.Verdict(r.content) == poison.Suspect {
			claim = r.content
		}
		if !t.Claim(claim) {
			r.verdict = poison.Suspect.String()
			return &proto.Refused{Reason: "an equal request may have crashed an upstream and is being tried alone", RetryAfter: suspectRetryAfter}, nil
		}
		r.cautious, r.plan.Cautious = true, true
		return nil, func() { t.Release(claim) }
	case poison.Novel, poison.Proven:
	}
	return nil, func() {}
}

// identities returns the fingerprints of the request and of its content.
func (r *run) identities() []poison.Fingerprint {
	return []poison.Fingerprint{r.fingerprint, r.content}
}

// isProven reports whether an equal request of the same caller has completed before.
func (r *run) isProven() bool { return r.engine.tracker.Succeeded(r.fingerprint, time.Time{}) }

// classify returns the verdict on the request. What crashed upstreams for other callers
// counts too, unless an equal request of this caller has completed.
func (r *run) classify() poison.Verdict {
	t := r.engine.tracker
	own := t.Verdict(r.fingerprint)
	if own == poison.Quarantined || own == poison.Proven {
		return own
	}
	if v := t.Verdict(r.content); v == poison.Quarantined || v == poison.Suspect {
		return v
	}
	return own
}

// reports returns the evidence against the request.
func (r *run) reports() []poison.Report {
	var list []poison.Report
	for _, f := range r.identities() {
		list = append(list, r.engine.tracker.ReportsOf(f)...)
	}
	return list
}

// quarantined returns the rejection of a request that is known to crash upstreams.
func (r *run) quarantined() proto.Refused {
	r.engine.metrics.quarantined.Inc()
	refused := proto.Refused{Reason: "equal requests have crashed upstreams; do not send it again before the time in Retry-After"}
	for _, f := range r.identities() {
		if t := r.engine.tracker; t.Verdict(f) == poison.Quarantined {
			refused.RetryAfter = max(refused.RetryAfter, t.Remaining(f))
		}
	}
	return refused
}

// recordSuccess records that an upstream has run the request to its end.
func (r *run) recordSuccess() {
	if r.succeeded {
		return
	}
	r.succeeded = true
	for _, f := range r.identities() {
		if reports := r.engine.tracker.RecordSuccess(f); len(reports) > 0 {
			r.engine.share(reports)
		}
	}
}
