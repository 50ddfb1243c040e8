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
	// maxChangeDelay is the time within which an accepted change must be in
	// force on every node.
	maxChangeDelay = 6 * time.Second
	probeInterval  = 500 * time.Millisecond
	changeInterval = 1500 * time.Millisecond
	changeTimeout  = 8 * time.Second
	changePrefix   = "change-"
)

// prober changes the configuration while the load runs and checks which change
// each node has in force. Each change puts its number into the default query of a
// workspace, and a search without a query returns it in the text of its hits.
type prober struct {
	fleet   *fleet
	check   *checker
	callers *callers

	mu           sync.Mutex
	accepted     []acceptedChange
	observed     map[string]int
	reportedLate map[string]bool
}

type acceptedChange struct {
	number int
	at     time.Time
}

func newProber(f *fleet, c *checker, l *callers) *prober {
	return &prober{fleet: f, check: c, callers: l, observed: make(map[string]int), reportedLate: make(map[string]bool)}
}

// run makes changes and probes every node until the context ends.
func (p *prober) run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { p.makeChanges(ctx) })
	for _, e := range p.fleet.entries {
		all.Go(func() { p.probeNode(ctx, e) })
	}
	all.Wait()
}

func (p *prober) makeChanges(ctx context.Context) {
	for number := 1; ctx.Err() == nil; number++ {
		e := p.callers.pick(uint64(number))
		spec := p.workspace(number)
		if err := p.putWorkspace(e, spec, "prober", nil); err == nil {
			p.mu.Lock()
			p.accepted = append(p.accepted, acceptedChange{number: number, at: time.Now()})
			p.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(changeInterval):
		}
	}
}

func (p *prober) workspace(number int) config.WorkspaceSpec {
	for _, w := range p.fleet.deployment.workspaces {
		if w.Name == probeWorkspace {
			w.Defaults = map[string]any{"q": changePrefix + strconv.Itoa(number)}
			return w
		}
	}
	return config.WorkspaceSpec{}
}

// putWorkspace sends one change of a workspace to a node through the operators'
// API. A non-nil base is the revision on which the change is based.
func (p *prober) putWorkspace(e *entry, spec config.WorkspaceSpec, who string, base *uint64) error {
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
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

// probeNode probes one VM at intervals until the context ends.
func (p *prober) probeNode(ctx context.Context, e *entry) {
	for n := uint64(0); ctx.Err() == nil; n++ {
		p.probe(e, n)
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// probe sends a search to the VM and reads from the answer which change it has in
// force. It skips VMs that were not reachable throughout the last maxChangeDelay,
// since such a VM may have missed a change.
func (p *prober) probe(e *entry, n uint64) {
	sentAt := time.Now()
	if !p.fleet.reachable(e, sentAt.Add(-maxChangeDelay)) {
		return
	}
	c := call{trace: fmt.Sprintf("p-%s-%d", e.vm, n), priority: prio.Urgent, template: "probe", workspace: probeWorkspace, due: sentAt}
	r := p.callers.post(e, "searches", c, nil)
	if r.answer == nil || len(r.answer.Hits) == 0 || !p.fleet.reachable(e, sentAt.Add(-maxChangeDelay)) {
		return
	}
	_, mark, ok := strings.Cut(r.answer.Hits[0].Text, changePrefix)
	number, err := strconv.Atoi(mark)
	if !ok || err != nil {
		number = 0
	}
	p.observe(e, number, sentAt)
}

// observe records which change one VM has in force, and adds a violation if it is
// older than one observed before or than one accepted over maxChangeDelay ago.
func (p *prober) observe(e *entry, number int, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.check.mu.Lock()
	defer p.check.mu.Unlock()
	if number < p.observed[e.vm] {
		p.check.addViolation(&p.check.violations.ConfigReverted, "%s went from change %d to %d", e.vm, p.observed[e.vm], number)
	}
	p.observed[e.vm] = max(number, p.observed[e.vm])
	for _, a := range p.accepted {
		id := fmt.Sprintf("%s/%d", e.vm, a.number)
		if number < a.number && sentAt.Sub(a.at) > maxChangeDelay && !p.reportedLate[id] {
			p.reportedLate[id] = true
			p.check.addViolation(&p.check.violations.ConfigLate, "%s has change %d in force %v after %d was accepted", e.vm, number, sentAt.Sub(a.at).Round(time.Millisecond), a.number)
		}
	}
}
