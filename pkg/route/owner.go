package route

import "github.com/cespare/xxhash/v2"

// Owner returns the node that owns a resource, chosen by rendezvous hashing. All
// nodes with the same list choose the same owner, and removing a node moves only
// the resources that it owned. Owner returns "" for an empty list.
func Owner(resource string, nodes []string) string {
	var (
		best  string
		score uint64
	)
	for _, n := range nodes {
		s := Weight(resource, n)
		if best == "" || s > score || s == score && n < best {
			best, score = n, s
		}
	}
	return best
}

// Weight ranks the nodes for a resource by rendezvous hashing: the highest is first.
func Weight(resource, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(resource)
	return d.Sum64()
}
