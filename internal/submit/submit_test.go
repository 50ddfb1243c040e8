package submit

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/roster"
	"geraniumstep.org/geraniumstep/internal/setup"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/dedup"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// fakeNode is a Node that calls other executors directly and counts the runs of
// each key.
type fakeNode struct {
	view  *roster.View
	peers map[string]*Executor
	work  time.Duration

	mu    sync.Mutex
	runs  map[string]int
	tasks sync.WaitGroup
}

func (n *fakeNode) View() *roster.View                   { return n.view }
func (n *fakeNode) CallAll(context.Context, string, any) {}
func (n *fakeNode) Go(f func())                          { n.tasks.Go(f) }
func (n *fakeNode) Ready() bool                          { return true }
func (n *fakeNode) NewJob(_ *peer.Submit, key dedup.Key) (Job, *wire.Problem) {
	return &fakeJob{n, key}, nil
}

func (n *fakeNode) Call(_ context.Context, addr, method string, args, _ any) error {
	e, ok := n.peers[addr]
	if !ok || method != peer.MethodInherit {
		return errors.New("peer cannot be reached")
	}
	e.Inherit(args.(*peer.Inherit))
	return nil
}

// fakeJob counts its runs.
type fakeJob struct {
	node *fakeNode
	key  dedup.Key
}

func (j *fakeJob) Execute(time.Time) dedup.Outcome {
	j.node.mu.Lock()
	j.node.runs[j.key.String()]++
	j.node.mu.Unlock()
	time.Sleep(j.node.work)
	return dedup.Outcome{Status: dedup.Ran, Answer: []byte("seat 7")}
}

// newExecutor returns an executor and its node. The members' addresses equal their
// names.
func newExecutor(t *testing.T, name string, members map[string]*Executor) (*Executor, *fakeNode) {
	var records []member.Record
	for vm := range members {
		records = append(records, member.Record{VM: vm, Domain: "d", Addr: vm, Ready: true})
	}
	n := &fakeNode{
		view: roster.New(records, func(string) bool { return true }), peers: members,
		work: 50 * time.Millisecond, runs: make(map[string]int),
	}
	t.Cleanup(n.tasks.Wait)
	return New(t.Context(), Self{VM: name, Started: 1}, setup.Defaults().Leases, n, nil), n
}

func submit(t *testing.T, e *Executor, key dedup.Key) peer.SubmitReply {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return e.Submit(ctx, &peer.Submit{Key: key.String()})
}

// Overlapping and later sends of one key run it once, and all return its answer.
func TestIssuedKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, n := newExecutor(t, "a", nil)
		key, ok := e.Issue()
		if !ok {
			t.Fatal("Issue() = false, want true")
		}
		var sends sync.WaitGroup
		for i := range 6 {
			sends.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				if got := submit(t, e, key); got.Outcome.Status != dedup.Ran || string(got.Outcome.Answer) != "seat 7" {
					t.Errorf("send %d: Submit() = %+v, want the answer", i, got)
				}
			})
		}
		sends.Wait()
		if got := n.runs[key.String()]; got != 1 {
			t.Errorf("runs = %d, want 1", got)
		}
	})
}

// A leaving node hands the outcomes of its keys over to a successor, which replays
// them and runs no request.
func TestSuccessorReplaysAndRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		successor, successorNode := newExecutor(t, "b", nil)
		e, _ := newExecutor(t, "a", map[string]*Executor{"b": successor})
		ran, _ := e.Issue()
		unused, _ := e.Issue()
		submit(t, e, ran)
		if err := e.HandOverOutcomes(t.Context(), "b", "b"); err != nil {
			t.Fatal(err)
		}
		if _, ok := e.Issue(); ok {
			t.Error("Issue() of a node that has left = true, want false")
		}
		if vm, _, ok := successor.Owner(ran); vm != "b" || !ok {
			t.Errorf("Owner() at the successor = %s %v, want the successor", vm, ok)
		}
		if got := submit(t, successor, ran); string(got.Outcome.Answer) != "seat 7" {
			t.Errorf("Submit() at the successor = %+v, want the answer", got)
		}
		if got := submit(t, successor, unused); got.Outcome.Status == dedup.Ran {
			t.Errorf("Submit() of an unused key at the successor = %+v, want a refusal", got)
		}
		if got := len(successorNode.runs); got != 0 {
			t.Errorf("keys that ran at the successor = %d, want 0", got)
		}
	})
}

// A process does not run a key that another process issued.
func TestKeyOfAnotherProcessIsNotOwned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, n := newExecutor(t, "a", nil)
		other, _ := newExecutor(t, "b", nil)
		key, _ := other.Issue()
		if got := submit(t, e, key); got.Verdict != peer.VerdictNotOwner {
			t.Errorf("Submit() = %+v, want not owner", got)
		}
		if len(n.runs) != 0 {
			t.Errorf("runs = %v, want none", n.runs)
		}
	})
}
