// Package tokens connects the decisions of pkg/allot with the other nodes: it pledges this
// node's part of the allotments, serves the tokens of the failure domain while this node is
// its token server, and asks the servers for tokens.
//
//	t := tokens.New(self, rule, tokens.WithCall(m.Call), tokens.WithSend(m.SendPledge))
//	go t.Run(ctx)
//	token, wait, ok := t.Take(ctx, workspace)
package tokens

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/access"
	"geraniumstep.org/geraniumstep/pkg/allot"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// tickInterval is how often pledges are reviewed. It is short compared with
// allot.PledgeInterval.
const tickInterval = 100 * time.Millisecond

// Workspaces returns the directory of the workspaces in force, which may be nil.
type Workspaces func() *access.Directory

// CallFunc calls a method of another node.
type CallFunc func(ctx context.Context, addr, method string, args, reply any) error

// SendFunc sends a pledge or an answer, of which one is not nil, to another node.
type SendFunc func(addr string, p *allot.Pledge, a *allot.Ack)

// Tokens is the part of a node in the allotments. It is safe for concurrent use.
type Tokens struct {
	self       member.Record
	rule       allot.Rule
	regions    map[string]string
	least      int
	workspaces Workspaces
	call       CallFunc
	send       SendFunc
	log        *logrus.Entry
	metrics    *metrics
	server     *allot.Server
	stock      *allot.Stock
	// fetched holds tokens of other domains for the nodes of this one, and fetching the
	// workspaces for which some are being fetched.
	fetched  *allot.Stock
	fetching sync.Map
	work     context.Context
	stop     context.CancelFunc
	tasks    tasks.Group

	mu      sync.Mutex
	pledger *allot.Pledger
	census  *allot.Census
	stopped bool
	// directory is the one that limited was made of.
	directory *access.Directory
	limited   map[string]access.Allotment
	// pledgeTo is the server of the last pledge that was logged.
	pledgeTo string
	members  atomic.Pointer[members]
	// hints maps a domain to the node that another one has named as its server.
	hints sync.Map
	// avoided maps a node that did not answer to the time until which others are asked.
	avoided sync.Map
	// remoteTime is the average time of a question to another region, in nanoseconds.
	remoteTime atomic.Int64
}

// Option configures Tokens at construction.
type Option func(*Tokens)

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Entry) Option { return func(t *Tokens) { t.log = log } }

// WithRegions sets the region of each failure domain. By default all are in the same.
func WithRegions(regions map[string]string) Option { return func(t *Tokens) { t.regions = regions } }

// WithLeast sets how many nodes the domain counts at least until this node has joined. The
// default is 1.
func WithLeast(nodes int) Option { return func(t *Tokens) { t.least = nodes } }

// WithCall sets how other nodes are called. By default none can be.
func WithCall(call CallFunc) Option { return func(t *Tokens) { t.call = call } }

// WithSend sets how datagrams are sent. By default they are lost.
func WithSend(send SendFunc) Option { return func(t *Tokens) { t.send = send } }

// WithRegistry registers the metrics. By default they are not registered.
func WithRegistry(r prometheus.Registerer) Option {
	return func(t *Tokens) { r.MustRegister(t.metrics.all()...) }
}

// New returns the part of the node that has just started.
func New(self member.Record, rule allot.Rule, workspaces Workspaces, opts ...Option) *Tokens {
	t := &Tokens{
		self: self, rule: rule, least: 1, workspaces: workspaces, log: logrus.NewEntry(logrus.StandardLogger()),
		call:   func(context.Context, string, string, any, any) error { return errNoCall },
		send:   func(string, *allot.Pledge, *allot.Ack) {},
		server: allot.NewServer(rule, self.Domain, self.VM), stock: allot.NewStock(allot.Clock{}), fetched: allot.NewStock(allot.Clock{}),
		pledger: allot.NewPledger(self.VM, self.Started),
	}
	t.remoteTime.Store(int64(initialRemoteTime))
	t.work, t.stop = context.WithCancel(context.Background())
	t.metrics = newMetrics(t)
	for _, opt := range opts {
		opt(t)
	}
	t.census = allot.NewCensus(self.VM, t.least)
	t.members.Store(newMembers(self, nil))
	return t
}

// Run renews the pledges until the context is done.
func (t *Tokens) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.stop()
			t.tasks.Wait()
			return nil
		case <-ticker.C:
			t.tick()
		}
	}
}

// SetMembers records the nodes that the membership lists.
func (t *Tokens) SetMembers(records []member.Record) {
	m := newMembers(t.self, records)
	t.members.Store(m)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.census.Update(m.domain, m.joined(t.self, t.rule.Len()))
	t.census.SetOlder(m.older(t.self))
}

// tick sends the pledge that is due while a workspace has a limit.
func (t *Tokens) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if len(t.limited) == 0 || t.stopped {
		return
	}
	t.assume()
	if !t.census.MayPledge() {
		return
	}
	t.deliver(t.pledger.Tick(t.members.Load().candidates[t.self.Domain], t.census.Count()))
	t.logServer()
}

// assume lets this node grant tokens before the others have pledged if the domain has lost power
// and this node is its token server. mu must be held.
func (t *Tokens) assume() {
	until, fresh := t.census.Fresh()
	if fresh && t.members.Load().candidates[t.self.Domain][0] == t.self.VM {
		t.server.Assume(until)
		return
	}
	t.server.Doubt()
}

// refresh passes changed allotments to the server. mu must be held.
func (t *Tokens) refresh() {
	d := t.workspaces()
	if d == t.directory {
		return
	}
	t.directory, t.limited = d, d.Limited()
	t.server.SetAllotments(t.limited)
}

// deliver sends pledges, or hands them over if this node is the server. mu must be held.
func (t *Tokens) deliver(due []allot.Message) {
	for _, m := range due {
		if m.To == t.self.VM {
			t.pledger.Receive(t.server.Receive(m.Pledge))
		} else if r, ok := t.members.Load().byVM[m.To]; ok {
			t.send(r.Gossip, &m.Pledge, nil)
		}
	}
}

// logServer must be called with mu held.
func (t *Tokens) logServer() {
	if s := t.pledger.Server(); s != t.pledgeTo {
		t.log.WithFields(logrus.Fields{"server": s, "before": t.pledgeTo, "nodes": t.census.Count(), "skipped": t.pledger.Skipped()}).
			Info("tokens: token server changed.")
		t.pledgeTo = s
	}
}

// ReceivePledge handles the pledge of another node. The answer goes to the address that the
// membership lists for it.
func (t *Tokens) ReceivePledge(p allot.Pledge) {
	r, ok := t.members.Load().byVM[p.VM]
	if !ok || r.Domain != t.self.Domain {
		return
	}
	t.mu.Lock()
	t.refresh()
	t.mu.Unlock()
	a := t.server.Receive(p)
	t.send(r.Gossip, nil, &a)
}

// ReceiveAck handles the answer of a server.
func (t *Tokens) ReceiveAck(a allot.Ack) {
	t.mu.Lock()
	t.pledger.Receive(a)
	t.mu.Unlock()
	t.tick()
}

// Stop releases the pledges of this node and to this node, so that the nodes of the domain
// pledge elsewhere at once. This node still takes tokens for its own requests.
func (t *Tokens) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.stopped = true
	t.deliver(t.pledger.Stop())
	nodes, ack := t.server.Stop()
	for _, vm := range nodes {
		if r, ok := t.members.Load().byVM[vm]; ok && vm != t.self.VM {
			t.send(r.Gossip, nil, &ack)
		}
	}
	if len(nodes) > 0 {
		t.log.WithField("nodes", len(nodes)).Info("tokens: pledges released.")
	}
}
