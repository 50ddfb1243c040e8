package mesh

import (
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/pkg/outage"
)

// repliesState is a fakeState with replies of the store. It is in doubt while the newest is older
// than a second.
type repliesState struct {
	*fakeState
	// own is the last reply to this node itself.
	own    time.Time
	mu     sync.Mutex
	record outage.Record
}

func (s *repliesState) StoreAge() time.Duration { return time.Since(s.own) }

func (s *repliesState) StoreReplyAge() time.Duration { return time.Since(s.own) }

func (s *repliesState) StoreReplies() outage.Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.Span()
}

func (s *repliesState) AddStoreReplies(span outage.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Add(span)
}

func (s *repliesState) StoreInDoubt() bool {
	return time.Since(s.StoreReplies().Last()) > time.Second
}

func newRepliesState(last time.Time) *repliesState {
	s := &repliesState{fakeState: newFakeState(), own: last}
	s.AddStoreReplies(outage.At(last))
	return s
}

// A failure domain of which no node reaches the store must learn from another one that the store is
// there, and what has changed.
func TestDomainWithoutTheStoreAsksAnother(t *testing.T) {
	cutOff, other := newRepliesState(time.Now().Add(-3*time.Second)), newRepliesState(time.Now())
	other.AddStoreReplies(outage.Between(time.Now().Add(-time.Minute), time.Now()))
	other.Merge(follow.Upstreams, follow.Batch{Full: true, Revision: 9, Changes: []follow.Change{{Name: "i-1", Raw: []byte("x")}}})
	a := newMesh(t, "a", "d", cutOff)
	a.start(t)
	b := newMesh(t, "b", "e", other, a.self.Addr)
	b.start(t)
	eventually(t, "the nodes know each other", func() bool { return len(a.remoteMembers(1)) > 0 })
	asked := time.Now()
	eventually(t, "the change is known without the store", func() bool { return cutOff.Revisions().Upstreams == 9 })
	if got, limit := time.Since(asked), time.Second; got > limit {
		t.Errorf("the change is known after %v, want at most %v", got, limit)
	}
	if got, want := cutOff.StoreReplies().Last(), other.StoreReplies().Last(); want.Sub(got).Abs() > 100*time.Millisecond {
		t.Errorf("newest known reply = %v, want that of the other domain, %v", got, want)
	}
}

// Nodes of older builds send no replies in their heartbeats, and ignore those that they receive.
func TestHeartbeatsOfOlderBuilds(t *testing.T) {
	now := time.Now()
	type olderHeartbeat struct {
		VM       string        `msgpack:"v"`
		StoreAge time.Duration `msgpack:"s"`
	}
	data, err := msgpack.Marshal(olderHeartbeat{VM: "x", StoreAge: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	var b heartbeat
	if err := msgpack.Unmarshal(data, &b); err != nil {
		t.Fatal(err)
	}
	if got, want := b.replies(now), outage.At(now.Add(-time.Second)); got != want {
		t.Errorf("replies of an older build = %v, want %v", got, want)
	}
	data, err = msgpack.Marshal(heartbeat{VM: "x", StoreAge: time.Second, Replies: newReplyAges(outage.At(now), now)})
	if err != nil {
		t.Fatal(err)
	}
	var older olderHeartbeat
	if err := msgpack.Unmarshal(data, &older); err != nil || older.StoreAge != time.Second {
		t.Errorf("an older build decodes %+v, %v, want the age", older, err)
	}
}

// An answer that was long on its way must not make replies of the store seem newer, or a span of them
// begin earlier, than they are: either could hide an outage.
func TestLateAnswerHidesNoOutage(t *testing.T) {
	asked := time.Now()
	received := asked.Add(700 * time.Millisecond)
	for name, c := range map[string]struct {
		replies replyAges
		want    outage.Span
	}{
		"span":           {replyAges{Known: true, First: 5 * time.Second, Last: time.Second}, outage.Between(received.Add(-5*time.Second), asked.Add(-time.Second))},
		"shorter span":   {replyAges{Known: true, First: 1500 * time.Millisecond, Last: time.Second}, outage.Span{}},
		"no known reply": {replyAges{}, outage.Span{}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.replies.span(asked, received); got != c.want {
				t.Errorf("span() = %v, want %v", got, c.want)
			}
		})
	}
}

// A node without a known reply must not report one, however short the time since its start is.
func TestRepliesKeepTheirAges(t *testing.T) {
	now := time.Now()
	for name, s := range map[string]outage.Span{"none": {}, "one": outage.At(now.Add(-time.Second)), "span": outage.Between(now.Add(-time.Hour), now)} {
		t.Run(name, func(t *testing.T) {
			data, err := msgpack.Marshal(heartbeat{Replies: newReplyAges(s, now)})
			if err != nil {
				t.Fatal(err)
			}
			var b heartbeat
			if err := msgpack.Unmarshal(data, &b); err != nil {
				t.Fatal(err)
			}
			if got := b.replies(now); got != s {
				t.Errorf("replies = %v, want %v", got, s)
			}
		})
	}
}
