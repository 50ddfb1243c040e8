package access

import "slices"

// Homes is a set of regions in which requests may be served. The zero value holds all regions.
type Homes struct {
	restricted bool
	regions    []string
}

// NewHomes returns the given regions, or all regions if there are none.
func NewHomes(regions ...string) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return Homes{restricted: true, regions: slices.Compact(sorted)}
}

// Restricted reports whether any region is excluded.
func (h Homes) Restricted() bool { return h.restricted }

// Allows reports whether requests may be served in the region.
func (h Homes) Allows(region string) bool {
	if !h.restricted {
		return true
	}
	_, found := slices.BinarySearch(h.regions, region)
	return found
}

// And returns the regions that are in both sets, possibly none.
func (h Homes) And(other Homes) Homes {
	switch {
	case !h.restricted:
		return other
	case !other.restricted:
		return h
	}
	both := Homes{restricted: true}
	for _, r := range h.regions {
		if other.Allows(r) {
			both.regions = append(both.regions, r)
		}
	}
	return both
}

// Regions returns the sorted regions of a restricted set. The slice must not be modified.
func (h Homes) Regions() []string { return h.regions }
