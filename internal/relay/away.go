package relay

import (
	"slices"

	"geraniumstep.org/geraniumstep/pkg/place"
)

// away names where legs are gathered by another node: a failure domain of this
// region, or another region.
type away struct{ domain, region string }

// awayLegs lists the services that have no upstream in this failure domain, by
// the place that takes most of them.
func (r *run) awayLegs() map[away][]string {
	counts := make(map[away]int)
	choices := make(map[string][]away)
	for _, s := range r.plan.Services {
		choices[s] = r.engine.awayFrom(r.directory, s)
		for _, where := range choices[s] {
			counts[where]++
		}
	}
	out := make(map[away][]string)
	for _, s := range r.plan.Services {
		if len(choices[s]) == 0 {
			continue
		}
		best := choices[s][0]
		for _, where := range choices[s][1:] {
			if counts[where] > counts[best] || counts[where] == counts[best] && where.before(best) {
				best = where
			}
		}
		out[best] = append(out[best], s)
	}
	return out
}

func (a away) before(b away) bool {
	return a.region < b.region || a.region == b.region && a.domain < b.domain
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
	return list
}
