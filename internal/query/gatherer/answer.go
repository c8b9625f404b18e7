package gatherer

import (
	"slices"
	"time"

	"cornelwood.example/internal/contract/answerer"
)

// answer returns the answer of a round that is over. Its coverage counts what was
// merged.
func (r *round) answer() *answerer.Answer {
	c := answerer.Coverage{
		Shards:    len(r.shards),
		Merged:    r.merger.Count(),
		Documents: r.merger.Documents(),
	}
	if !c.Complete() {
		c.Missing = r.missing()
	}
	return &answerer.Answer{
		Request:  r.query.Request,
		Service:  r.query.Service,
		Snapshot: r.plan.Version,
		Coverage: c,
		Results:  r.merger.Hits(),
	}
}

// missing names the shards that were not merged, ordered by shard.
func (r *round) missing() []answerer.Missing {
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

// count counts an answer that is given.
func (s *service) count(a *answerer.Answer, took time.Duration) {
	m := &s.metrics
	m.seconds.Observe(took.Seconds())
	m.shards.Add(float64(a.Coverage.Shards))
	m.merged.Add(float64(a.Coverage.Merged))
	for _, missing := range a.Coverage.Missing {
		m.missing[missing.Reason].Inc()
	}
}
