package front_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// An upstream that rejected a shard request and asked for rest got the next ones at once.
func TestUpstreamThatAsksForRestGetsNoShardRequests(t *testing.T) {
	var runs atomic.Int64
	s := upstream(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set(wire.HeaderRefusal, wire.RefusalShed)
		w.Header().Set("Retry-After", "0.6")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f, _ := newFront(t, s.Listener.Addr().String())
	send := func() peer.ShardReply { return f.Do(context.Background(), newShardRequest(1)) }
	if got := send(); got.Cause != search.CauseShed || !got.Unsent {
		t.Fatalf("first reply = %+v, want a rejection", got)
	}
	for range 20 {
		if got := send(); got.Cause != search.CauseResting || !got.Unsent || got.RetryAfter <= 0 {
			t.Fatalf("reply in the rest = %+v, want a rejection with the time left", got)
		}
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("requests at the upstream = %d, want 1", got)
	}
	time.Sleep(800 * time.Millisecond)
	if send(); runs.Load() != 2 {
		t.Errorf("requests at the upstream after the rest = %d, want 2", runs.Load())
	}
}
