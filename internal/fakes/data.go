package fakes

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"geraniumstep.org/geraniumstep/pkg/search"
)

const (
	// documentsPerArchive is the number of documents of an archive at any
	// version.
	documentsPerArchive = 240
	// maxHitsPerShard limits the hits in the reply of one shard.
	maxHitsPerShard = 3
)

// Hits returns the hits of one shard for a query, best first. IDs and scores depend
// only on the archive, its index version, the shard, the number of shards and the
// query, so a checker can compute the expected reply without sending a request.
// The text of a hit contains the trace and the query.
func Hits(archive string, version uint64, shard, shards int, query, trace string) []search.Hit {
	hits := make([]search.Hit, 0, documentsPerArchive/shards+1)
	for doc := shard; doc < documentsPerArchive; doc += shards {
		hits = append(hits, search.Hit{
			ID:    fmt.Sprintf("%s/v%d/s%d/d%d", archive, version, shard, doc),
			Score: score(archive, version, doc, query),
			Text:  trace + " " + query,
		})
	}
	sort.Slice(hits, func(i, j int) bool { return ranksBefore(hits[i], hits[j]) })
	return hits[:min(maxHitsPerShard, len(hits))]
}

func ranksBefore(a, b search.Hit) bool {
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	return a.ID < b.ID
}

func score(archive string, version uint64, doc int, query string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(archive)
	_, _ = d.WriteString(strconv.FormatUint(version, 10))
	_, _ = d.WriteString(query)
	_, _ = d.Write([]byte{byte(doc), byte(doc >> 8)})
	const buckets = 1 << 20
	return float64(d.Sum64()%buckets) / buckets
}
