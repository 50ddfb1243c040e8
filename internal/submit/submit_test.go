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

// process is a node that calls other keepers directly and counts what runs.
type process struct {
	view  *roster.View
	peers map[string]*Executor
	work  time.Duration

	mu    sync.Mutex
	runs  map[string]int
	tasks sync.WaitGroup
}

func (p *process) View() *roster.View                   { return p.view }
func (p *process) CallAll(context.Context, string, any) {}
func (p *process) Go(f func())                          { p.tasks.Go(f) }
func (p *process) Ready() bool                          { return true }
func (p *process) NewJob(_ *peer.Submit, key dedup.Key) (Job, *wire.Problem) {
	return &job{p, key}, nil
}

func (p *process) Call(_ context.Context, addr, method string, args, _ any) error {
	k, ok := p.peers[addr]
	if !ok || method != peer.MethodInherit {
		return errors.New("peer cannot be reached")
	}
	k.Inherit(args.(*peer.Inherit))
	return nil
}

// job counts its runs.
type job struct {
	process *process
	key     dedup.Key
}

func (j *job) Execute(time.Time) dedup.Outcome {
	j.process.mu.Lock()
	j.process.runs[j.key.String()]++
	j.process.mu.Unlock()
	time.Sleep(j.process.work)
	return dedup.Outcome{Status: dedup.Ran, Answer: []byte("seat 7")}
}

// newKeeper makes a keeper that knows the members by their names.
func newKeeper(t *testing.T, name string, members map[string]*Executor) (*Executor, *process) {
	var records []member.Record
	for vm := range members {
		records = append(records, member.Record{VM: vm, Domain: "d", Addr: vm, Ready: true})
	}
	p := &process{
		view: roster.New(records, func(string) bool { return true }), peers: members,
		work: 50 * time.Millisecond, runs: make(map[string]int),
	}
	t.Cleanup(p.tasks.Wait)
	return New(t.Context(), Self{VM: name, Started: 1}, setup.Defaults().Leases, p, nil), p
}

func submit(t *testing.T, k *Executor, key dedup.Key) peer.SubmitReply {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return k.Submit(ctx, &peer.Submit{Key: key.String()})
}

// Sends of one key that overlap and follow each other run it once and all get
// its answer.
func TestIssuedKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, p := newKeeper(t, "a", nil)
		key, ok := k.Issue()
		if !ok {
			t.Fatal("Issue() = false, want true")
		}
		var sends sync.WaitGroup
		for i := range 6 {
			sends.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				if got := submit(t, k, key); got.Outcome.Status != dedup.Ran || string(got.Outcome.Answer) != "seat 7" {
					t.Errorf("send %d: Submit() = %+v, want the answer", i, got)
				}
			})
		}
		sends.Wait()
		if got := p.runs[key.String()]; got != 1 {
			t.Errorf("runs = %d, want 1", got)
		}
	})
}

// A node that leaves gives the outcomes of its keys to another one, which
// replays them and runs none anew.
func TestHeirReplaysAndRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heir, heirProcess := newKeeper(t, "b", nil)
		k, _ := newKeeper(t, "a", map[string]*Executor{"b": heir})
		ran, _ := k.Issue()
		unused, _ := k.Issue()
		submit(t, k, ran)
		if err := k.HandOverOutcomes(t.Context(), "b", "b"); err != nil {
			t.Fatal(err)
		}
		if _, ok := k.Issue(); ok {
			t.Error("Issue() of a node that has left = true, want false")
		}
		if vm, _, ok := heir.Owner(ran); vm != "b" || !ok {
			t.Errorf("Owner() at the heir = %s %v, want the heir", vm, ok)
		}
		if got := submit(t, heir, ran); string(got.Outcome.Answer) != "seat 7" {
			t.Errorf("Submit() at the heir = %+v, want the answer", got)
		}
		if got := submit(t, heir, unused); got.Outcome.Status == dedup.Ran {
			t.Errorf("Submit() of an unused key at the heir = %+v, want a refusal", got)
		}
		if got := len(heirProcess.runs); got != 0 {
			t.Errorf("keys that ran at the heir = %d, want 0", got)
		}
	})
}

// A key of another process is not this one's to run.
func TestKeyOfAnotherProcessIsNotOwned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, p := newKeeper(t, "a", nil)
		other, _ := newKeeper(t, "b", nil)
		key, _ := other.Issue()
		if got := submit(t, k, key); got.Verdict != peer.VerdictNotOwner {
			t.Errorf("Submit() = %+v, want not owner", got)
		}
		if len(p.runs) != 0 {
			t.Errorf("runs = %v, want none", p.runs)
		}
	})
}
