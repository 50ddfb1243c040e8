package place

// Senders are the nodes that send requests to an upstream, from the view of one of them.
type Senders struct {
	// Total is the number of all of them, and Near how many are in the upstream's region,
	// this node included. Near is 0 if this node is in another region.
	Total, Near int
}

// Connections returns how many of the connections that an upstream accepts this node may use,
// at least one and at most the given number. Nodes in other regions send little more than
// hedges, so nodes in the upstream's region divide among themselves what is left of the
// connections when each of the others has an equal part.
func (s Senders) Connections(accepted float64, most int) int {
	equal := max(int(accepted/float64(max(s.Total, 1))), 1)
	if far := s.Total - s.Near; s.Near > 0 && far > 0 {
		near := (accepted - float64(far*equal)) / float64(s.Near)
		return min(max(int(near), equal), most)
	}
	return min(equal, most)
}
