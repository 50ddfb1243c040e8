package route

import "github.com/cespare/xxhash/v2"

// Owner chooses which of the nodes governs a resource, by rendezvous hashing:
// every node with the same list chooses the same owner, and the departure of a
// node moves only what it owned. It returns "" for an empty list.
func Owner(resource string, nodes []string) string {
	var (
		best  string
		score uint64
	)
	for _, n := range nodes {
		s := weight(resource, n)
		if best == "" || s > score || s == score && n < best {
			best, score = n, s
		}
	}
	return best
}

func weight(resource, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(resource)
	return d.Sum64()
}
