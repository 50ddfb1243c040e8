package search

import (
	"sort"
	"time"
)

// conclude ends a search in which every shard is answered or lost.
func (s *Search) conclude() {
	switch {
	case s.answered > 0:
		s.finish(KindAnswered)
	case s.ran:
		s.finish(KindUnknown)
	default:
		s.finish(KindNotRun)
	}
}

// finish ends the search and cancels the attempts still in flight.
func (s *Search) finish(kind Kind) {
	if s.done {
		return
	}
	s.done = true
	for i := range s.shards {
		for _, a := range s.shards[i].inFlight {
			s.ran = true
			s.actions = append(s.actions, Cancel{Attempt: a.number})
		}
		s.shards[i].inFlight = nil
	}
	result := Result{Kind: kind, RetryAfter: s.retryAfter, Ran: s.ran, Refused: s.refused}
	if s.answered > 0 {
		result.Wait = s.totalWait / time.Duration(s.answered)
	}
	if kind == KindAnswered {
		result.Coverage = s.coverage()
		result.Hits, result.Sum = s.merge()
	}
	s.actions = append(s.actions, Finish{Result: result})
}

// coverage returns the coverage of each archive. Shards without a verified reply
// are listed as missing.
func (s *Search) coverage() []Coverage {
	var list []Coverage
	for i := range s.shards {
		t := s.shards[i].target
		if len(list) == 0 || list[len(list)-1].Archive != t.Archive {
			list = append(list, Coverage{Archive: t.Archive, Version: t.Version})
		}
		c := &list[len(list)-1]
		c.Shards++
		if s.shards[i].state != shardAnswered {
			c.Missing = append(c.Missing, t.Shard)
		}
	}
	return list
}

// merge combines the verified replies by the merge rule of the plan. Hits of a
// top-k answer are ordered by score, then by identifier, so that the order does
// not depend on the order of the replies.
func (s *Search) merge() ([]Hit, float64) {
	var (
		hits []Hit
		sum  float64
	)
	for i := range s.shards {
		if s.shards[i].state != shardAnswered {
			continue
		}
		sum += s.shards[i].sum
		if s.plan.Merge != MergeSum {
			hits = append(hits, s.shards[i].hits...)
		}
	}
	if s.plan.Merge != MergeTopK {
		return hits, sum
	}
	sort.Slice(hits, func(i, j int) bool {
		if hits[i].Score != hits[j].Score {
			return hits[i].Score > hits[j].Score
		}
		return hits[i].ID < hits[j].ID
	})
	if len(hits) > s.plan.Limit {
		hits = hits[:s.plan.Limit]
	}
	return hits, sum
}
