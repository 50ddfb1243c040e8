package daemon

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/outage"
)

// ago returns the replies of the store between two times before now.
func ago(first, last time.Duration) outage.Span {
	return outage.Between(time.Now().Add(-first), time.Now().Add(-last))
}

// removeB applies a batch in which the upstream b is removed.
func removeB(s *state) {
	s.Apply(follow.Upstreams, follow.Batch{From: follow.At(0, 5), Revision: follow.At(0, 6), Changes: []follow.Change{{Name: "b", Deleted: true}}})
}

// A node that takes over from a reader without a connection to the store must not take the reader's
// silence for an outage, nor must one to which only the new reader's replies are reported.
func TestRemovalReadAfterTakeoverIsNotKept(t *testing.T) {
	for name, c := range map[string]struct {
		// silence is the age of the old reader's last reply when the store answers again.
		silence time.Duration
		// others are the replies known in another failure domain.
		others outage.Span
		want   string
	}{
		"next reader":                         {silence: 1900 * time.Millisecond, want: "a c"},
		"third reader":                        {silence: 2500 * time.Millisecond, others: ago(time.Minute, 1200*time.Millisecond), want: "a c"},
		"third reader, nothing of the others": {silence: 2500 * time.Millisecond, want: "a b c"},
	} {
		for _, role := range []string{"reads itself", "gets it from a reader"} {
			t.Run(name+"/"+role, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newTextState(t)
					s.Apply(follow.Upstreams, list(0, 5, "a ready 1", "b ready 1", "c ready 1"))
					s.AddStoreReplies(outage.At(time.Now()))
					time.Sleep(c.silence)
					s.checkStore()
					if !c.others.IsZero() {
						s.AddStoreReplies(ago(time.Minute, c.silence-1300*time.Millisecond))
					}
					if role == "reads itself" {
						s.Answered(follow.Upstreams)
					} else {
						s.AddStoreReplies(outage.At(time.Now()))
					}
					removeB(s)
					s.checkStore()
					if got := usable(s); got != c.want {
						t.Errorf("usable = %q, want %q", got, c.want)
					}
				})
			})
		}
	}
}

// What was kept must be dropped as soon as another node's replies show that there was no outage, and
// not at the next check.
func TestRepliesOfAnotherDomainEndTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTextState(t)
		s.Apply(follow.Upstreams, list(0, 5, "a ready 1", "b ready 1", "c ready 1"))
		s.Answered(follow.Upstreams)
		time.Sleep(2500 * time.Millisecond)
		removeB(s)
		if got, want := usable(s), "a b c"; got != want {
			t.Fatalf("usable without a reply for 2.5 s = %q, want %q", got, want)
		}
		if !s.StoreInDoubt() {
			t.Error("StoreInDoubt() = false, want true")
		}
		s.AddStoreReplies(ago(time.Minute, time.Second))
		if got, want := usable(s), "a c"; got != want {
			t.Errorf("usable with replies to others = %q, want %q", got, want)
		}
	})
}

// Entries that have expired in an outage must be kept until about two seconds after its end, and dropped
// then, also at a node whose own connection is lost before, during or at the end of the outage.
func TestExpiredEntryIsKeptUntilTheStoreHasSettled(t *testing.T) {
	errDown := errors.New("down")
	for _, length := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 8 * time.Second} {
		for name, fails := range map[string]time.Duration{"connection lost before": 0, "lost at once": 1, "lost during": length / 2, "lost at the end": length} {
			t.Run(length.String()+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newTextState(t)
					s.Apply(follow.Upstreams, list(0, 5, "a ready 1", "b ready 1", "c ready 1"))
					s.Answered(follow.Upstreams)
					for at := time.Duration(0); at < length; at += 100 * time.Millisecond {
						time.Sleep(100 * time.Millisecond)
						if at >= fails {
							s.Failed(follow.Upstreams, errDown)
						}
						s.checkStore()
					}
					end := time.Now()
					s.AddStoreReplies(outage.At(end)) // another node has the first reply
					time.Sleep(300 * time.Millisecond)
					removeB(s)
					for time.Since(end) < fleet.SettleTime-recheckInterval {
						if got, want := usable(s), "a b c"; got != want {
							t.Fatalf("usable %v after the outage = %q, want %q", time.Since(end), got, want)
						}
						s.AddStoreReplies(outage.At(time.Now()))
						time.Sleep(recheckInterval)
						s.checkStore()
					}
					time.Sleep(2 * recheckInterval)
					s.checkStore()
					if got, want := usable(s), "a c"; got != want {
						t.Errorf("usable %v after the outage = %q, want %q", time.Since(end), got, want)
					}
				})
			})
		}
	}
}

// A node that has just started, or has never called the store, has no reply and must not report
// its start as one.
func TestNodeWithoutRepliesReportsNone(t *testing.T) {
	s := newTextState(t)
	if got := s.StoreReplies(); !got.IsZero() {
		t.Errorf("StoreReplies() = %v, want none", got)
	}
	s.AddStoreReplies(outage.Span{})
	if s.StoreInDoubt() {
		t.Error("StoreInDoubt() = true, want false: it has no entries to keep")
	}
}
