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
	// discoverPart is the largest part of a query's time that is spent waiting for
	// versions.
	discoverPart = 2
)

// gather answers a query from one snapshot. When shards have lost it and another
// snapshot covers more, the whole query is run again on that one.
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
		r.tried = tried
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

// firstPlan plans a query, after a discovery when no version is known or the first
// one is under way.
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
		return nil, refuse(q, answerer.CodeNoSnapshot, "no upstream in use has told which snapshots it holds")
	}
	if !l.IsCurrent(p) {
		g.discoverMore(l.service)
	}
	if l.service.pinned.Swap(p.Version) != p.Version {
		g.log.Debug("snapshot pinned", "service", l.service.name, "version", p.Version, "covered", p.Covered)
	}
	return p, nil
}

// awaitVersions runs or joins the discovery of a service, and waits for a part of
// the time left at most.
func (g *Gatherer) awaitVersions(ctx context.Context, l *layout) {
	deadline, _ := ctx.Deadline()
	timer := time.NewTimer(time.Until(deadline) / discoverPart)
	defer timer.Stop()
	select {
	case <-g.Discover(l.service.name):
	case <-timer.C:
	case <-ctx.Done():
	}
}
