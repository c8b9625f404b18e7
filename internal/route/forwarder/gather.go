package forwarder

import (
	"context"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/route/delegator"
	"cornelwood.example/internal/route/locator"
)

const (
	// maxGathers bounds the queries that this daemon gathers at once for others: beyond it, they would wait for its
	// processor longer than for another daemon.
	maxGathers = 48
	// replyMargin is reserved, before the asking daemon's cutoff, for the way of the answer back to it.
	replyMargin = 4 * time.Millisecond
)

// SetLeaving makes the Forwarder refuse the queries of other daemons from now on.
func (f *Forwarder) SetLeaving() {
	f.leaving.Store(true)
}

// Gathers returns the number of queries that this daemon gathers for others now.
func (f *Forwarder) Gathers() int {
	return int(f.gathers.Load())
}

// gatherJob is a query that this daemon gathers for another.
type gatherJob struct {
	*query
	in *exchanger.Gather
	// indexes holds the index in the route of each call.
	indexes []int
}

var _ delegator.Job = (*gatherJob)(nil)

// Admit returns the job of another daemon's query, or the reason for which it is refused. The job must be run.
//
// Load pattern: the queries of a whole zone at few daemons, some of which start, leave or have more than they can do;
// the asking daemon learns at once that it must ask another one.
func (f *Forwarder) Admit(in *exchanger.Gather) (delegator.Job, exchanger.GatherCode) {
	arrived := time.Now()
	v := f.views.View()
	if ready, _ := v.Ready(); !ready {
		return nil, exchanger.NotReady
	}
	if f.leaving.Load() {
		return nil, exchanger.Leaving
	}
	rt := routeToGather(v, in)
	if rt == nil {
		return nil, exchanger.WrongVersion
	}
	if f.gathers.Add(1) > maxGathers {
		f.gathers.Add(-1)
		return nil, exchanger.Busy
	}
	j := f.newGatherJob(in, rt, v, arrived)
	if j.available() < j.minAnswers {
		f.gathers.Add(-1)
		return nil, exchanger.Uncovered
	}
	return j, ""
}

// routeToGather returns the route of another daemon's query: that of the version that it names, or its definition of it;
// nil when neither is there.
func routeToGather(v *locator.View, in *exchanger.Gather) *declarer.Route {
	if in.Definition != nil {
		return in.Definition
	}
	if v.Version() != in.Version {
		return nil
	}
	rt := v.Matcher.Route(in.Route)
	if rt == nil || in.CheckShards(len(rt.Shards)) != nil {
		return nil
	}
	return rt
}

func (f *Forwarder) newGatherJob(in *exchanger.Gather, rt *declarer.Route, v *locator.View, arrived time.Time) *gatherJob {
	req := &Request{
		ID: in.Request, Method: in.Method, Host: in.Host, Target: in.Target, Header: in.Header, HasBody: in.HasBody,
		ClientTimeout: in.Remaining, Arrived: arrived,
	}
	indexes := in.Shards
	if len(indexes) == 0 {
		indexes = allIndexes(len(rt.Shards))
	}
	shards := make([]string, len(indexes))
	for i, n := range indexes {
		shards[i] = rt.Shards[n]
	}
	f.stats.setFleet(len(v.Members()), v.GathererCount())
	j := &gatherJob{
		query:   f.newQuery(req, in.Body, rt, v, f.budgets(gatherer), shards, min(in.Needed, len(shards)), arrived.Add(in.Goal-replyMargin), arrived.Add(in.Remaining)),
		in:      in,
		indexes: indexes,
	}
	j.isJob = true
	j.attempts = min(in.Attempts, rt.Attempts)
	j.permitted.Store(1)
	return j
}

func allIndexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Allow permits n attempts for each shard.
func (j *gatherJob) Allow(n int) {
	j.allow(min(n, j.attempts))
}

// Run gathers the query.
func (j *gatherJob) Run(ctx context.Context) *exchanger.Gathered {
	defer j.fwd.gathers.Add(-1)
	if ctx.Err() != nil {
		return &exchanger.Gathered{}
	}
	end := j.gather(ctx)
	out := &exchanger.Gathered{
		Records: j.records.Bytes(), MayHaveRun: j.mayHaveRun || j.anyInFlight(), Sends: len(j.cancels),
	}
	for i, call := range j.parts {
		out.Parts = append(out.Parts, exchanger.Part{Shard: j.indexes[call], Stamp: j.stamps[i]})
	}
	if end == uncovered {
		for _, i := range j.untriedCalls() {
			out.Left = append(out.Left, exchanger.Left{Shard: j.indexes[i], Attempts: int(j.permitted.Load()) - j.calls[i].attempts})
		}
	}
	j.fwd.recordGather(j, end)
	return out
}
