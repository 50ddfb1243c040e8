package relay

import (
	"cmp"
	"slices"

	"geraniumstep.org/geraniumstep/pkg/gather"
	"geraniumstep.org/geraniumstep/pkg/place"
)

// away names where legs are gathered by another node: a failure domain of this
// region, or another region.
type away struct{ domain, region string }

// awaySet is the services that can be gathered at the same places.
type awaySet struct {
	places   []away
	services []string
}

// awaySets lists the services that have no upstream in this failure domain, the
// largest set first.
func (r *run) awaySets() []awaySet {
	var sets []awaySet
	for _, service := range r.plan.Services {
		places := r.engine.awayFrom(r.directory, service)
		if len(places) == 0 {
			continue
		}
		i := slices.IndexFunc(sets, func(s awaySet) bool { return slices.Equal(s.places, places) })
		if i < 0 {
			i = len(sets)
			sets = append(sets, awaySet{places: places})
		}
		sets[i].services = append(sets[i].services, service)
	}
	slices.SortStableFunc(sets, func(a, b awaySet) int { return len(b.services) - len(a.services) })
	return sets
}

// nodes lists the nodes that can gather the set.
func (s awaySet) nodes(set *gather.Set) []gather.Node {
	var nodes []gather.Node
	for _, where := range s.places {
		if where.domain != "" {
			nodes = append(nodes, set.Domain(where.domain)...)
		} else {
			nodes = append(nodes, set.Region(where.region)...)
		}
	}
	return nodes
}

func compareAway(a, b away) int {
	return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.domain, b.domain))
}

// awayFrom lists where a service can be gathered by another node: nowhere if this
// domain has an upstream, in the other domains of this region if one of them
// has, else in other regions.
func (e *Engine) awayFrom(d *directory, service string) []away {
	p, ok := d.byService[service]
	if !ok {
		return nil
	}
	nearest := place.OtherRegion
	for _, u := range p.upstreams {
		nearest = min(nearest, u.stats.Distance())
	}
	var list []away
	for _, u := range p.upstreams {
		domain := u.entry.Domain()
		if u.stats.Distance() != nearest || nearest == place.SameDomain {
			continue
		}
		where := away{region: e.regions[domain]}
		if nearest == place.SameRegion {
			where.domain = domain
		}
		if !slices.Contains(list, where) {
			list = append(list, where)
		}
	}
	slices.SortFunc(list, compareAway)
	return list
}
