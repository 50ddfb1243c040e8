package daemon

import (
	"context"
	"maps"
	"slices"

	"geraniumstep.org/geraniumstep/internal/mesh"
	"geraniumstep.org/geraniumstep/internal/tokens"
	"geraniumstep.org/geraniumstep/pkg/access"
	"geraniumstep.org/geraniumstep/pkg/allot"
)

// openTokens enforces the limits of workspaces if the settings ask for it. It returns the
// options of the mesh that this needs.
func (d *Daemon) openTokens() []mesh.Option {
	s := d.settings.Allotment
	if s == nil {
		return nil
	}
	domains := slices.Collect(maps.Keys(d.settings.Regions))
	if !slices.Contains(domains, d.self.Domain) {
		domains = append(domains, d.self.Domain)
	}
	rule := allot.NewRule(s.Window, domains, allot.WithExcess(s.Excess), allot.WithSlack(s.Slack))
	d.tokens = tokens.New(d.self, rule, d.workspaces,
		tokens.WithLog(d.log), tokens.WithRegions(d.settings.Regions), tokens.WithLeast(d.settings.Budget.Nodes), tokens.WithRegistry(d.registry),
		tokens.WithCall(func(ctx context.Context, addr, method string, args, reply any) error {
			return d.mesh.Call(ctx, addr, method, args, reply)
		}),
		tokens.WithSend(func(addr string, p *allot.Pledge, a *allot.Ack) { d.mesh.SendPledge(addr, p, a) }))
	d.engine.SetAllotments(d.tokens)
	return []mesh.Option{mesh.WithService(tokens.Service, d.tokens.Methods()), mesh.WithPledges(d.tokens.ReceivePledge, d.tokens.ReceiveAck)}
}

// workspaces returns the workspaces of the configuration in force.
func (d *Daemon) workspaces() *access.Directory {
	if s := d.engine.Routes(); s != nil {
		return s.Workspaces()
	}
	return nil
}
