package fakes

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"geraniumstep.org/geraniumstep/pkg/search"
)

const (
	// documents is how many documents an archive holds at any version.
	documents = 240
	// shardHits is how many hits a shard answers with.
	shardHits = 3
)

// Hits computes what one shard answers to a query: a function of the archive,
// its index version, its layout and the query alone, so that a checker can
// compute the right answer without asking.
func Hits(archive string, version uint64, shard, shards int, query, trace string) []search.Hit {
	hits := make([]search.Hit, 0, documents/shards+1)
	for doc := shard; doc < documents; doc += shards {
		hits = append(hits, search.Hit{
			ID:    fmt.Sprintf("%s/v%d/s%d/d%d", archive, version, shard, doc),
			Score: score(archive, version, doc, query),
			Text:  trace + " " + query,
		})
	}
	sort.Slice(hits, func(i, j int) bool { return better(hits[i], hits[j]) })
	return hits[:min(shardHits, len(hits))]
}

func better(a, b search.Hit) bool {
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
