package relay

import (
	"geraniumstep.org/geraniumstep/pkg/place"
)

// homeView is the part of a directory that lies in the homes of a run.
type homeView struct{ of, view *directory }

// upstreams returns the upstreams that the run may use. Those outside of its homes do not
// exist for it. It must be called by the goroutine of the run.
func (r *run) upstreams() *directory {
	all := r.engine.upstreams.Load()
	if !r.homes.Restricted() {
		return all
	}
	if r.view.of != all {
		r.view = homeView{of: all, view: r.engine.restrict(all, r)}
	}
	return r.view.view
}

// restrict returns the directory of the services of the run with the upstreams in its homes.
func (e *Engine) restrict(all *directory, r *run) *directory {
	d := &directory{byID: all.byID, byService: make(map[string]*serviceUpstreams, len(r.plan.Services))}
	for _, name := range r.plan.Services {
		if s, ok := all.byService[name]; ok {
			d.byService[name] = s.filter(func(u *upstream) bool { return r.homes.Allows(e.regions[u.entry.Domain()]) })
		}
	}
	return d
}

// filter returns the upstreams for which keep reports true. A service without any stays listed,
// because it is known that it has none.
func (s *serviceUpstreams) filter(keep func(*upstream) bool) *serviceUpstreams {
	kept := &serviceUpstreams{stats: make([]*place.Stats, 0, len(s.stats))}
	for i, u := range s.upstreams {
		if keep(u) {
			kept.upstreams = append(kept.upstreams, u)
			kept.stats = append(kept.stats, s.stats[i])
		}
	}
	return kept
}

// isHome reports whether another node may get the body of the request. The node that the caller
// connected to may lie outside of the homes, so its own region does not count by itself.
func (r *run) isHome(p *peerNode) bool { return r.homes.Allows(p.node.Region) }
