package gatherer

import (
	"slices"
	"time"

	"cornelwood.example/internal/contract/answerer"
)

// answer returns the answer of a finished round. Its coverage counts the merged shards.
func (r *round) answer() *answerer.Answer {
	c := answerer.Coverage{
		Shards:    len(r.shards),
		Merged:    r.merger.Count(),
		Documents: r.merger.Documents(),
	}
	if !c.Complete() {
		c.Missing = r.missingShards()
	}
	return &answerer.Answer{
		Request:  r.query.Request,
		Service:  r.query.Service,
		Snapshot: r.plan.Version,
		Coverage: c,
		Results:  r.merger.Hits(),
	}
}

// missingShards returns the shards that were not merged, ordered by shard.
func (r *round) missingShards() []answerer.Missing {
	var ms []answerer.Missing
	for i := range r.shards {
		if r.merger.IsMerged(i) {
			continue
		}
		ms = append(ms, answerer.Missing{Shard: r.plan.Shards[i].ID, Reason: r.shards[i].missingReason()})
	}
	slices.SortFunc(ms, func(a, b answerer.Missing) int { return a.Shard - b.Shard })
	return ms
}

// recordAnswer updates the metrics of the service with an answer.
func (s *service) recordAnswer(a *answerer.Answer, took time.Duration) {
	m := &s.metrics
	m.seconds.Observe(took.Seconds())
	m.shards.Add(float64(a.Coverage.Shards))
	m.merged.Add(float64(a.Coverage.Merged))
	for _, missing := range a.Coverage.Missing {
		m.missing[missing.Reason].Inc()
	}
}
