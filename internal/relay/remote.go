package relay

import (
	"cmp"
	"slices"

	"geraniumstep.org/geraniumstep/pkg/gather"
	"geraniumstep.org/geraniumstep/pkg/place"
)

// remote identifies where another node gathers legs: in another failure domain of
// the local region, or in another region, in which case domain is empty.
type remote struct{ domain, region string }

// remoteSet is a set of services that can be gathered in the same remotes.
type remoteSet struct {
	remotes  []remote
	services []string
}

// remoteSets returns the services without an upstream in the local failure domain,
// grouped by remotes, the largest set first.
func (r *run) remoteSets() []remoteSet {
	var sets []remoteSet
	for _, service := range r.plan.Services {
		remotes := r.engine.remotesOf(r.directory, service)
		if len(remotes) == 0 {
			continue
		}
		i := slices.IndexFunc(sets, func(s remoteSet) bool { return slices.Equal(s.remotes, remotes) })
		if i < 0 {
			i = len(sets)
			sets = append(sets, remoteSet{remotes: remotes})
		}
		sets[i].services = append(sets[i].services, service)
	}
	slices.SortStableFunc(sets, func(a, b remoteSet) int { return len(b.services) - len(a.services) })
	return sets
}

// nodes returns the nodes that can gather the services of the set.
func (s remoteSet) nodes(set *gather.Set) []gather.Node {
	var nodes []gather.Node
	for _, site := range s.remotes {
		if site.domain != "" {
			nodes = append(nodes, set.Domain(site.domain)...)
		} else {
			nodes = append(nodes, set.Region(site.region)...)
		}
	}
	return nodes
}

func compareRemotes(a, b remote) int {
	return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.domain, b.domain))
}

// remotesOf returns where another node can gather the service. The list is empty if
// the local failure domain has an upstream of the service; it holds other domains
// of the local region if any of them has one, and other regions otherwise.
func (e *Engine) remotesOf(d *directory, service string) []remote {
	p, ok := d.byService[service]
	if !ok {
		return nil
	}
	nearest := place.OtherRegion
	for _, u := range p.upstreams {
		if !u.advice.Leaving() {
			nearest = min(nearest, u.stats.Distance())
		}
	}
	var list []remote
	for _, u := range p.upstreams {
		domain := u.entry.Domain()
		if u.stats.Distance() != nearest || nearest == place.SameDomain || u.advice.Leaving() {
			continue
		}
		site := remote{region: e.regions[domain]}
		if nearest == place.SameRegion {
			site.domain = domain
		}
		if !slices.Contains(list, site) {
			list = append(list, site)
		}
	}
	slices.SortFunc(list, compareRemotes)
	return list
}
