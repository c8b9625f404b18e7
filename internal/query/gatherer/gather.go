package gatherer

import (
	"context"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/query/planner"
)

const (
	// maxRounds bounds the snapshots that one query is tried on.
	maxRounds = 3
	// discoveryWaitDivisor limits the wait for a discovery to half of a query's remaining time.
	discoveryWaitDivisor = 2
)

// gather answers a query from one snapshot. When shards no longer hold it and another snapshot covers
// more shards, the whole query is run again on that one.
func (g *Gatherer) gather(ctx context.Context, l *layout, q *answerer.Query) (*answerer.Answer, error) {
	p, err := g.firstPlan(ctx, l, q)
	if err != nil {
		return nil, err
	}
	var best *round
	var tried []uint64
	var rounds [maxRounds]*round
	defer func() {
		for _, r := range rounds {
			g.release(r)
		}
	}()
	for i := range maxRounds {
		tried = append(tried, p.Version)
		r := newRound(ctx, g, l, q, p)
		rounds[i] = r
		r.triedVersions = tried
		r.run()
		if best == nil || r.merger.Count()*len(best.shards) >= best.merger.Count()*len(r.shards) {
			best = r
		}
		if r.replan == nil {
			break
		}
		l.service.metrics.replans.Inc()
		p = r.replan
	}
	return best.answer(), nil
}

// firstPlan plans a query. It waits for a discovery when no version is known, or when the first
// discovery has not ended and the plan does not cover the newest shard map.
func (g *Gatherer) firstPlan(ctx context.Context, l *layout, q *answerer.Query) (*planner.Plan, error) {
	p := g.plan(l, nil)
	isFirst := l.service.discoveredAt.Load() == 0
	if p.Version == 0 || isFirst && !l.IsCurrent(p) {
		g.awaitVersions(ctx, l)
		g.plans.Put(p)
		p = g.plan(l, nil)
	}
	if ctx.Err() != nil {
		return nil, refuse(q, answerer.CodeDeadline, "the deadline passed before the query was sent")
	}
	if p.Version == 0 {
		return nil, refuse(q, answerer.CodeNoSnapshot, "no usable upstream has reported which snapshots it holds")
	}
	if !l.IsCurrent(p) {
		g.discoverInBackground(l.service)
	}
	if l.service.lastPinned.Swap(p.Version) != p.Version {
		g.log.Debug("snapshot pinned", "service", l.service.name, "version", p.Version, "covered", p.Covered)
	}
	return p, nil
}

// awaitVersions starts or joins the discovery of a service and waits for it, at most for a part of the
// remaining time.
func (g *Gatherer) awaitVersions(ctx context.Context, l *layout) {
	deadline, _ := ctx.Deadline()
	timer := time.NewTimer(time.Until(deadline) / discoveryWaitDivisor)
	defer timer.Stop()
	select {
	case <-g.Discover(l.service.name):
	case <-timer.C:
	case <-ctx.Done():
	}
}
