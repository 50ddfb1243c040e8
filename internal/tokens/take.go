package tokens

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"time"

	"geraniumstep.org/geraniumstep/pkg/access"
	"geraniumstep.org/geraniumstep/pkg/allot"
	"geraniumstep.org/geraniumstep/pkg/route"
)

const (
	// Service is the name under which the method Take is registered with net/rpc.
	Service    = "Allot"
	methodTake = Service + ".Take"
	// maxAsked bounds the nodes of one domain that are asked for a request: its server by
	// rank, and the one that this names.
	maxAsked = 2
	// oldBuildWait is how long a node that does not know the method is not asked.
	oldBuildWait = 30 * time.Second
	// unreachableWait is when a caller should return if no server answered.
	unreachableWait = 500 * time.Millisecond
)

var errNoCall = errors.New("no connection to other nodes is set up")

// Take asks a server for tokens of a workspace.
type Take struct {
	Workspace string `msgpack:"w"`
	Tokens    int    `msgpack:"n"`
	// Spare is set by the server of another domain, which wants only what this one can spare.
	Spare bool `msgpack:"p,omitempty"`
}

// Taken is the answer. Server names another node that serves the domain, if the one asked
// does not.
type Taken struct {
	Granted int           `msgpack:"g"`
	Wait    time.Duration `msgpack:"t,omitempty"`
	Server  string        `msgpack:"s,omitempty"`
	// Left is how long a token of another domain may still be held, or 0 if the token is of
	// this one.
	Left time.Duration `msgpack:"l,omitempty"`
}

// Methods is the net/rpc service that other nodes call.
type Methods struct{ tokens *Tokens }

// Methods returns the net/rpc service, which is registered as Service.
func (t *Tokens) Methods() *Methods { return &Methods{tokens: t} }

// Take grants tokens of this domain.
func (m *Methods) Take(args *Take, reply *Taken) error {
	*reply = m.tokens.grant(*args)
	return nil
}

// grant decides by the configuration of this node.
func (t *Tokens) grant(args Take) Taken {
	w, ok := t.workspaces().Workspace(args.Workspace)
	if !ok || !w.Allotment().Limited() {
		return Taken{Wait: unreachableWait}
	}
	if args.Spare {
		granted, wait := t.server.Spare(args.Workspace, w.Allotment(), args.Tokens)
		t.metrics.granted.Add(float64(granted))
		return Taken{Granted: granted, Wait: wait}
	}
	if t.server.Left(args.Workspace) < fetchBelow {
		t.fetch(w)
	}
	if token, ok := t.fetched.Request(args.Workspace); ok && token.Left() > minLeft {
		return Taken{Granted: 1, Left: token.Left()}
	}
	granted, wait := t.server.Take(args.Workspace, w.Allotment(), args.Tokens)
	if granted > 0 {
		t.metrics.granted.Add(float64(granted))
		return Taken{Granted: granted}
	}
	if _, running := t.fetching.Load(args.Workspace); running {
		wait = min(wait, fetchWait)
	}
	reply := Taken{Wait: wait}
	if !t.server.HasPledges() {
		reply.Server = t.ownServer()
	}
	return reply
}

// ownServer returns the token server of this domain.
func (t *Tokens) ownServer() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.pledger.Server(); s != "" && !(t.stopped && s == t.self.VM) {
		return s
	}
	for _, vm := range t.members.Load().candidates[t.self.Domain] {
		if !t.stopped || vm != t.self.VM {
			return vm
		}
	}
	return ""
}

// Take takes a token of the workspace for a request. Without one it returns the time until a
// token may be there. The context bounds the time for questions.
func (t *Tokens) Take(ctx context.Context, w *access.Workspace) (allot.Token, time.Duration, bool) {
	if token, ok := t.stock.Request(w.Name()); ok {
		t.metrics.taken.WithLabelValues("stock").Inc()
		return token, 0, true
	}
	wait := time.Duration(0)
	for _, domain := range t.domains(w) {
		if !t.reaches(ctx, domain) {
			continue
		}
		token, domainWait, ok := t.takeFrom(ctx, w.Name(), domain)
		if ok {
			t.metrics.taken.WithLabelValues(t.distance(domain)).Inc()
			return token, 0, true
		}
		if domainWait > 0 && (wait == 0 || domainWait < wait) {
			wait = domainWait
		}
		if ctx.Err() != nil {
			break
		}
	}
	// Tokens may have come in by the question of another request.
	if token, ok := t.stock.Use(w.Name()); ok {
		t.metrics.taken.WithLabelValues("stock").Inc()
		return token, 0, true
	}
	t.metrics.limited.Inc()
	if wait == 0 {
		wait = unreachableWait
	}
	return allot.Token{}, wait, false
}

// reaches reports whether the answer of a domain's server would arrive in time. A token that is
// granted too late is lost to the workspace.
func (t *Tokens) reaches(ctx context.Context, domain string) bool {
	end, ok := ctx.Deadline()
	return !ok || t.distance(domain) != "remote" || time.Until(end) > time.Duration(t.remoteTime.Load())
}

// takeFrom asks the server of a domain.
func (t *Tokens) takeFrom(ctx context.Context, workspace, domain string) (allot.Token, time.Duration, bool) {
	server, wait := t.serverOf(domain), time.Duration(0)
	for range maxAsked {
		if server == "" || ctx.Err() != nil {
			break
		}
		q, known := t.stock.Ask(workspace, server)
		if known > 0 {
			return allot.Token{}, known, false
		}
		asked := time.Now()
		taken, err := t.ask(ctx, server, Take{Workspace: workspace, Tokens: q.Tokens()})
		if err == nil && t.distance(domain) == "remote" {
			t.recordRemote(time.Since(asked))
		}
		if err != nil {
			t.stock.Failed(q)
			t.hints.Delete(domain)
			t.avoid(server, err)
			t.metrics.asked.WithLabelValues(t.distance(domain), "failed").Inc()
			t.log.WithFields(map[string]any{"server": server, "domain": domain, "error": err.Error()}).Debug("tokens: server did not answer.")
			wait = unreachableWait
			if server = t.serverOf(domain); domain == t.self.Domain {
				break
			}
			continue
		}
		if taken.Granted > 0 {
			t.metrics.asked.WithLabelValues(t.distance(domain), "granted").Inc()
			left := taken.Left
			if left <= 0 {
				left = allot.HoldTime
			}
			token, ok := t.stock.GrantedFor(q, taken.Granted, left)
			return token, unreachableWait, ok
		}
		t.metrics.asked.WithLabelValues(t.distance(domain), "refused").Inc()
		t.stock.Refused(q, taken.Wait)
		wait = taken.Wait
		if taken.Server == "" || taken.Server == server {
			break
		}
		if _, ok := t.members.Load().byVM[taken.Server]; !ok {
			break
		}
		server = taken.Server
		t.hints.Store(domain, server)
	}
	return allot.Token{}, wait, false
}

const (
	// initialRemoteTime is the time that a question to another region is assumed to take until
	// the first answer.
	initialRemoteTime = 45 * time.Millisecond
	// remoteSmoothing is the weight of a new measurement in the moving average of that time.
	remoteSmoothing = 0.2
)

func (t *Tokens) recordRemote(took time.Duration) {
	old := t.remoteTime.Load()
	t.remoteTime.Store(old + int64(remoteSmoothing*float64(int64(took)-old)))
}

// ask calls the server, or asks the one in this node. A near server that hangs leaves time for
// the next.
func (t *Tokens) ask(ctx context.Context, server string, args Take) (Taken, error) {
	if server == t.self.VM {
		return t.grant(args), nil
	}
	r, ok := t.members.Load().byVM[server]
	if !ok {
		return Taken{}, errNoCall
	}
	if end, ok := ctx.Deadline(); ok && t.distance(r.Domain) != "remote" {
		limited, cancel := context.WithTimeout(ctx, max(time.Until(end)/2, 0))
		defer cancel()
		ctx = limited
	}
	var reply Taken
	err := t.call(ctx, r.Addr, methodTake, &args, &reply)
	return reply, err
}

// serverOf returns the node that is asked for the tokens of a domain, or "".
func (t *Tokens) serverOf(domain string) string {
	if domain == t.self.Domain {
		return t.ownServer()
	}
	list := t.members.Load().candidates[domain]
	if hint, ok := t.hints.Load(domain); ok && slices.Contains(list, hint.(string)) {
		return hint.(string)
	}
	for _, vm := range list {
		if until, ok := t.avoided.Load(vm); !ok || time.Now().After(until.(time.Time)) {
			return vm
		}
	}
	return ""
}

// avoid makes this node ask another node of the domain for some time. An older build does not
// know the method.
func (t *Tokens) avoid(server string, err error) {
	wait := unreachableWait
	var answered rpc.ServerError
	if errors.As(err, &answered) {
		wait = oldBuildWait
	}
	t.avoided.Store(server, time.Now().Add(wait))
}

// domains returns the domains that hold tokens of the workspace, in the order in which this
// node asks them: its own, those of its region and the others. Nodes order those at the same
// distance differently.
func (t *Tokens) domains(w *access.Workspace) []string {
	list := t.rule.Domains(w.Name(), w.Allotment())
	slices.SortStableFunc(list, func(a, b string) int {
		if d := t.rank(a) - t.rank(b); d != 0 {
			return d
		}
		if route.Weight(t.self.VM, a) > route.Weight(t.self.VM, b) {
			return -1
		}
		return 1
	})
	return list
}

func (t *Tokens) rank(domain string) int {
	switch t.distance(domain) {
	case "domain":
		return 0
	case "region":
		return 1
	}
	return 2
}

// distance returns where a domain is, as a label of metrics.
func (t *Tokens) distance(domain string) string {
	switch {
	case domain == t.self.Domain:
		return "domain"
	case t.regions[domain] == t.regions[t.self.Domain]:
		return "region"
	}
	return "remote"
}

// Return gives back the token of a request that was not sent anywhere.
func (t *Tokens) Return(token allot.Token) { t.stock.Return(token) }

// Rate returns the rate of all tokens of the workspace, in tokens per second.
func (t *Tokens) Rate(w *access.Workspace) float64 {
	_, rate := t.rule.Split(w.Allotment())
	return rate
}
