package forwarder

import (
	"context"
	"sync"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/query/merger"
	"cornelwood.example/internal/route/delegator"
	"cornelwood.example/internal/route/locator"
)

const (
	// maxGathers bounds the queries that this daemon gathers at once for others: beyond it, they would wait for its
	// processor longer than for another daemon.
	maxGathers = 48
	// handoverTime is reserved, before the cutoff of a query, for handing on the parts that this daemon gathers for it.
	handoverTime = time.Millisecond
)

// Gathers returns the number of queries that this daemon gathers for others now.
func (f *Forwarder) Gathers() int {
	return int(f.gathers.Load())
}

// gatherJob gathers shards of a query, for another daemon or for a delegation of this one, and passes their answers on:
// those that are there at the cutoff together, each later one by itself.
type gatherJob struct {
	*query
	// indexes holds the index in the route of each call.
	indexes  []int
	stopOnce sync.Once
	send     func(*exchanger.Gathered) error
	// isCounted is true when the job counts as one of Forwarder.Gathers.
	isCounted bool
	// missingBefore is the number of missing shards, and partsBefore that of parts, in earlier messages.
	missingBefore, partsBefore int
}

var _ delegator.Job = (*gatherJob)(nil)

// Admit returns the job of another daemon's query, or the reason for which it is refused. The job must be run.
//
// Load pattern: the queries of a whole zone at few daemons, some of which start, leave or have more than they can do;
// the asking daemon learns at once that it must ask another one, or that the searchers have no room.
func (f *Forwarder) Admit(ctx context.Context, in *exchanger.Gather) (delegator.Job, exchanger.Refusal) {
	now := time.Now()
	v := f.views.View()
	if ready, _ := v.Ready(); !ready {
		return nil, exchanger.Refusal{Code: exchanger.NotReady}
	}
	if f.leaving.Load() {
		return nil, exchanger.Refusal{Code: exchanger.Leaving}
	}
	rt := routeToGather(v, in)
	if rt == nil {
		return nil, exchanger.Refusal{Code: exchanger.WrongVersion}
	}
	f.probeProcessor()
	if f.gathers.Add(1) > maxGathers || f.isSwamped(now) {
		f.gathers.Add(-1)
		return nil, exchanger.Refusal{Code: exchanger.Busy}
	}
	f.stats.setFleet(len(v.Members()), v.GathererCount())
	req := &Request{
		ID: in.Request, Method: in.Method, Host: in.Host, Target: in.Target, Header: in.Header, HasBody: in.HasBody,
		ClientTimeout: in.Remaining, Arrived: now,
	}
	// The asking daemon has authorized the request.
	var account *declarer.Account
	if in.Account != "" {
		account = &declarer.Account{Name: in.Account, Priority: in.Priority}
	}
	req.setAccount(account, rt)
	indexes := in.Shards
	if len(indexes) == 0 {
		indexes = allIndexes(len(rt.Shards))
	}
	loads := shardLoads{needed: min(max(1, in.Needed), len(indexes))}
	if !in.Admitted {
		if refused, ok := f.enterGather(ctx, req, rt, v, shardsOf(rt, indexes), &loads, in.Goal); !ok {
			f.gathers.Add(-1)
			return nil, refused
		}
	}
	limited := *rt
	limited.Attempts = min(in.Attempts, rt.Attempts)
	j := f.newGatherJob(req, in.Body, &limited, v, f.budgets(gatherer), indexes, in.Needed, now.Add(in.Goal-f.gatherReserve(in.Goal, now)), now.Add(in.Remaining))
	j.isCounted = true
	j.skipped = loads.skipped()
	j.permitted.Store(1)
	return j, exchanger.Refusal{}
}

// gatherReserve returns the time reserved of another daemon's goal, which leaves out the way between the daemons.
func (f *Forwarder) gatherReserve(goal time.Duration, now time.Time) time.Duration {
	return min(handoverTime+queueingReserve(goal, f.queueing(now)), time.Duration(float64(goal)*maxReserveShare))
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

// newGatherJob returns a job for the shards of a route with these indexes.
func (f *Forwarder) newGatherJob(req *Request, body []byte, rt *declarer.Route, v *locator.View, budgets budgetFunc, indexes []int, needed int, cutoffAt, deadline time.Time) *gatherJob {
	shards := shardsOf(rt, indexes)
	j := &gatherJob{query: f.newQuery(req, body, rt, v, budgets, shards, min(needed, len(shards)), cutoffAt, deadline), indexes: indexes}
	j.job = j
	j.stop = make(chan struct{})
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

// Stop ends the job with the parts so far.
func (j *gatherJob) Stop() {
	j.stopOnce.Do(func() { close(j.stop) })
}

// Run gathers the shards and passes the messages to send.
func (j *gatherJob) Run(ctx context.Context, send func(*exchanger.Gathered) error) error {
	if j.isCounted {
		defer j.fwd.gathers.Add(-1)
	}
	j.send = send
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if end := j.gather(ctx); end == disconnected {
		return context.Canceled
	}
	if j.isCounted {
		j.fwd.recordGather(j)
	}
	g := j.message(true)
	g.Final, g.Sends = true, len(j.cancels)
	return j.send(g)
}

// flush passes on what the other side can use now: shards that will be missing at once, parts from the cutoff on.
func (j *gatherJob) flush(now time.Time) error {
	pending := len(j.calls) - len(j.parts) - j.missing
	if pending == 0 {
		// The last message follows.
		return nil
	}
	withParts := !now.Before(j.cutoffAt) && len(j.parts) > j.partsBefore
	if !withParts && j.missing == j.missingBefore {
		return nil
	}
	return j.send(j.message(withParts))
}

// message returns the message with what has not been in an earlier one.
func (j *gatherJob) message(withParts bool) *exchanger.Gathered {
	g := &exchanger.Gathered{MayHaveRun: j.mayHaveRun || j.anyInFlight()}
	if withParts && len(j.parts) > j.partsBefore {
		for i, call := range j.parts[j.partsBefore:] {
			g.Parts = append(g.Parts, exchanger.Part{Shard: j.indexes[call], Stamp: j.stamps[j.partsBefore+i]})
		}
		g.Records = j.records.Bytes()
		j.records, j.partsBefore = merger.NewRecords(j.route.TopK), len(j.parts)
	}
	for i := range j.calls {
		if c := &j.calls[i]; c.failed && !c.isReported {
			c.isReported = true
			g.Missing = append(g.Missing, exchanger.Missing{Shard: j.indexes[i], Attempts: max(0, int(j.permitted.Load())-c.attempts)})
		}
	}
	j.missingBefore = j.missing
	return g
}
