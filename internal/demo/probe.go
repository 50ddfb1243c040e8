package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/internal/api"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/prio"
)

const (
	// inForce is how soon an accepted change must be in force everywhere.
	inForce       = 6 * time.Second
	probeEvery    = 500 * time.Millisecond
	changeEvery   = 1500 * time.Millisecond
	changePatient = 8 * time.Second
	probeMark     = "change-"
)

// prober changes the configuration while the load runs and watches, from the
// answers of searches, when each node has each change in force. The default
// query of a workspace carries the number of the change.
type prober struct {
	fleet   *fleet
	check   *checker
	callers *callers

	mu       sync.Mutex
	accepted []acceptance
	seen     map[string]int
	late     map[string]bool
}

// acceptance is a change that was accepted.
type acceptance struct {
	number int
	at     time.Time
}

func newProber(f *fleet, c *checker, l *callers) *prober {
	return &prober{fleet: f, check: c, callers: l, seen: make(map[string]int), late: make(map[string]bool)}
}

// run makes changes and probes until the context ends.
func (p *prober) run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { p.changes(ctx) })
	for _, e := range p.fleet.entries {
		all.Go(func() { p.watch(ctx, e) })
	}
	all.Wait()
}

func (p *prober) changes(ctx context.Context) {
	for number := 1; ctx.Err() == nil; number++ {
		e := p.callers.pick(uint64(number))
		spec := p.workspace(number)
		if err := p.apply(e, spec, "prober", nil); err == nil {
			p.mu.Lock()
			p.accepted = append(p.accepted, acceptance{number: number, at: time.Now()})
			p.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(changeEvery):
		}
	}
}

func (p *prober) workspace(number int) config.WorkspaceSpec {
	for _, w := range p.fleet.deployment.workspaces {
		if w.Name == probeWorkspace {
			w.Defaults = map[string]any{"q": probeMark + strconv.Itoa(number)}
			return w
		}
	}
	return config.WorkspaceSpec{}
}

// apply sends one change to a node as operators do.
func (p *prober) apply(e *entry, spec config.WorkspaceSpec, who string, base *uint64) error {
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), changePatient)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.addr()+"/v1/config/workspace/"+spec.Name, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(api.HeaderOperator, who)
	if base != nil {
		req.Header.Set(api.HeaderBase, strconv.FormatUint(*base, 10))
	}
	res, err := p.callers.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// watch probes one VM.
func (p *prober) watch(ctx context.Context, e *entry) {
	for n := uint64(0); ctx.Err() == nil; n++ {
		p.probe(e, n)
		select {
		case <-ctx.Done():
		case <-time.After(probeEvery):
		}
	}
}

// probe reads from an answer which change the VM has in force.
func (p *prober) probe(e *entry, n uint64) {
	asked := time.Now()
	if !p.fleet.reachable(e, asked.Add(-inForce)) {
		return
	}
	c := call{trace: fmt.Sprintf("p-%s-%d", e.vm, n), priority: prio.Urgent, template: "probe", workspace: probeWorkspace, due: asked}
	r := p.callers.post(e, "searches", c, nil)
	if r.answer == nil || len(r.answer.Hits) == 0 || !p.fleet.reachable(e, asked.Add(-inForce)) {
		return
	}
	_, mark, ok := strings.Cut(r.answer.Hits[0].Text, probeMark)
	number, err := strconv.Atoi(mark)
	if !ok || err != nil {
		number = 0
	}
	p.observe(e, number, asked)
}

// observe judges what one VM has in force.
func (p *prober) observe(e *entry, number int, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.check.mu.Lock()
	defer p.check.mu.Unlock()
	if number < p.seen[e.vm] {
		p.check.violate(&p.check.found.ConfigReverted, "%s went from change %d to %d", e.vm, p.seen[e.vm], number)
	}
	p.seen[e.vm] = max(number, p.seen[e.vm])
	for _, a := range p.accepted {
		id := fmt.Sprintf("%s/%d", e.vm, a.number)
		if number < a.number && asked.Sub(a.at) > inForce && !p.late[id] {
			p.late[id] = true
			p.check.violate(&p.check.found.ConfigLate, "%s has change %d in force %v after %d was accepted", e.vm, number, asked.Sub(a.at).Round(time.Millisecond), a.number)
		}
	}
}
