package relay

import (
	"context"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/quota"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// A request that a limit does not allow in time must be rejected at once, with a Retry-After
// after which it is served.
func TestRetryAfterOfALimitIsWhenATurnComes(t *testing.T) {
	up := newFakeUpstream(t, "up-a")
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, up.entry("svc"))
	e.upstreams.Load().byID["up-a"].quota.Heard(quota.At(0.5))
	start := time.Now()
	answer := e.Do(context.Background(), request("single", "r-1"))
	refused, ok := answer.(proto.Refused)
	if took := time.Since(start); !ok || took > 100*time.Millisecond {
		t.Fatalf("answer = %+v after %v, want a rejection at once", answer, took)
	}
	if up.runs.Load() != 0 {
		t.Error("the rejected request has run")
	}
	time.Sleep(refused.RetryAfter)
	if got := proto.Kind(e.Do(context.Background(), request("single", "r-2"))); got != "relayed" {
		t.Errorf("answer after %v = %s, want relayed", refused.RetryAfter, got)
	}
}

// Probes of an upstream that may have crashed count against its limit too.
func TestProbesCountAgainstTheLimit(t *testing.T) {
	up := newFakeUpstream(t, "up-a")
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, up.entry("svc"))
	u := e.upstreams.Load().byID["up-a"]
	u.quota.Heard(quota.At(2))
	time.Sleep(600 * time.Millisecond)
	e.probe(u)
	if answer := e.Do(context.Background(), request("single", "r-1")); proto.Kind(answer) != "refused" {
		t.Errorf("answer after a probe = %+v, want refused", answer)
	}
}
