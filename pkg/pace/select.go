package pace

// EqualRatio is the part of the best pace from which an upstream counts as equally good, so that
// ordinary variation does not change the placement.
const EqualRatio = 0.9

// Candidate is an upstream that may be sent a request.
type Candidate struct {
	// Pace is the upstream's pace.
	Pace float64
	// InRegion reports whether the upstream is in this node's region, and Nearest whether
	// no other candidate is nearer.
	InRegion, Nearest bool
	// Unseen reports whether this node knows too little of the upstream to place it by its cost,
	// and Fallen whether it is known to be slow or failing.
	Unseen, Fallen bool
	// Busy reports whether the upstream has as many requests of this node as its pace allows.
	Busy bool
	// Usable reports whether the upstream may be sent the request at all.
	Usable bool
}

// Selection is which of the candidates to use for one request.
type Selection struct {
	// Trial is the upstream that gets the request whatever it costs, or -1.
	Trial int
	// Held reports for each candidate that it does not get the request.
	Held []bool
}

// Select chooses which upstreams take part in a placement. An upstream below the pace of the best
// one of its region of which this node has seen little gets its share of the requests by chance: a
// trial, because its cost may be that of a time before it recovered. It is held back from all other
// requests. One that is slow or fails gets a few trials, to show when it no longer is. One that is as
// good as any other in the region is placed by its cost, so that it is not held back without an
// alternative. An extra request, such as a retry, is no trial.
func Select(candidates []Candidate, extra bool, random func() float64) Selection {
	s := Selection{Trial: -1, Held: make([]bool, len(candidates))}
	var best [2]float64
	nearest := 0
	for _, c := range candidates {
		if !c.Usable {
			continue
		}
		best[side(c)] = max(best[side(c)], c.Pace)
		if c.Nearest {
			nearest++
		}
	}
	drawn := random()
	for i, c := range candidates {
		if !c.Usable || c.Pace >= EqualRatio*best[side(c)] && !c.Unseen {
			continue
		}
		// One that is neither gets a request only if its cost is the lowest, but for a few.
		share := c.Pace / best[side(c)]
		s.Held[i] = c.Nearest && (c.Unseen || c.Fallen) || random() >= share
		if !c.Nearest {
			continue
		}
		if c.Fallen || !c.Unseen {
			share = min(share, Floor)
		}
		share /= float64(nearest)
		if drawn >= 0 && drawn < share && !extra && !c.Busy {
			s.Trial = i
		}
		drawn -= share
	}
	if s.Trial < 0 && !s.leavesAny(candidates) {
		for i, c := range candidates {
			s.Held[i] = c.Pace < EqualRatio*best[side(c)]
		}
	}
	return s
}

// leavesAny reports whether a candidate in the region, or any if there is none, is not held back.
func (s Selection) leavesAny(candidates []Candidate) bool {
	inRegion, left, leftInRegion := false, false, false
	for i, c := range candidates {
		if !c.Usable {
			continue
		}
		inRegion = inRegion || c.InRegion
		left = left || !s.Held[i]
		leftInRegion = leftInRegion || c.InRegion && !s.Held[i]
	}
	return leftInRegion || left && !inRegion
}

// side returns 0 for an upstream in the region of this node and 1 for another one.
func side(c Candidate) int {
	if c.InRegion {
		return 0
	}
	return 1
}
