package forwarder

import (
	"context"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/query/hedger"
	"cornelwood.example/internal/query/merger"
	"cornelwood.example/internal/route/delegator"
	"cornelwood.example/internal/route/locator"
)

// Delegator asks other daemons to gather a query.
type Delegator interface {
	Delegate(ctx context.Context, candidates []declarer.Member, q *delegator.Query) delegator.Result
}

// delegation is a client's query that another daemon gathers. This daemon sends it to the searchers itself only when no
// other one can, and for shards that the other could not reach.
type delegation struct {
	fwd      *Forwarder
	req      *Request
	body     []byte
	route    *declarer.Route
	view     *locator.View
	cutoffAt time.Time
	deadline time.Time
	// budget is the retry budget of all shards together: asking a second daemon takes from all of them at once.
	budget *hedger.Budget
	sends  int
}

func (f *Forwarder) newDelegation(req *Request, body []byte, rt *declarer.Route, v *locator.View, deadline time.Time) *delegation {
	return &delegation{
		fwd: f, req: req, body: body, route: rt, view: v, deadline: deadline, cutoffAt: clientCutoff(req, rt, deadline),
		budget: f.stats.budget(rt.Shards[0], asker, time.Now()),
	}
}

// run returns the final answer.
func (d *delegation) run(ctx context.Context, candidates []declarer.Member) Answer {
	a, daemon := d.answer(ctx, candidates)
	a.SubRequests, a.Gatherer = d.sends, daemon
	return a
}

// answer returns the final answer and the ID of the daemon that gathered it, empty for this one.
func (d *delegation) answer(ctx context.Context, candidates []declarer.Member) (Answer, string) {
	latency := d.fwd.stats.gathers(d.route)
	started := time.Now()
	res := d.fwd.delegator.Delegate(ctx, candidates, &delegator.Query{
		Gather:     d.message(),
		Definition: d.route,
		CutoffAt:   d.cutoffAt,
		Deadline:   d.deadline,
		Average:    time.Duration(latency.average.Load()),
		MayRepeat:  d.budget.Take,
	})
	if res.Err != nil {
		d.fwd.recordUndelegated(d.req, &res, time.Since(started))
	}
	switch {
	case ctx.Err() != nil:
		return refuse(statusClientClosed, "client disconnected"), res.Daemon
	case res.Answer != nil:
		latency.record(time.Since(started))
		return d.merge(ctx, res.Answer), res.Daemon
	case !time.Now().Before(d.deadline):
		return refuse(http.StatusGatewayTimeout, "no daemon gathered the query in time"), res.Daemon
	case res.Attempts == 0:
		return refuse(http.StatusBadGateway, "the daemon that gathered the query was lost"), res.Daemon
	default:
		return d.sendDirectly(ctx, &res), ""
	}
}

// shardBudget returns the budget of every shard.
func (d *delegation) shardBudget(string) *hedger.Budget {
	return d.budget
}

// message returns the message of the query, without its times.
func (d *delegation) message() exchanger.Gather {
	return exchanger.Gather{
		Version: d.view.Version(), Route: d.route.Name, Needed: d.route.RequiredShards(),
		Request: d.req.ID, Method: d.req.Method, Host: d.req.Host, Target: d.req.Target, Header: d.req.Header,
		Body: d.body, HasBody: d.req.HasBody,
	}
}

// sendDirectly sends the query to the searchers, with the attempts that are left.
func (d *delegation) sendDirectly(ctx context.Context, res *delegator.Result) Answer {
	rt := *d.route
	rt.Attempts = res.Attempts
	q := d.fwd.newQuery(d.req, d.body, &rt, d.view, d.shardBudget, rt.Shards, rt.RequiredShards(), d.cutoffAt, d.deadline)
	q.mayHaveRun = res.MayHaveRun
	if q.available() < q.minAnswers {
		return uncoveredAnswer(d.fwd.cfg.RetryAfter, res.MayHaveRun)
	}
	if res.MayHaveRun {
		// Each shard may get the query a second time.
		if !d.budget.Take() {
			return refuse(http.StatusBadGateway, "the retry budget is used up")
		}
	}
	end := q.gather(ctx)
	d.sends += len(q.cancels)
	return q.answer(end, len(rt.Shards))
}

// merge returns the answer from what another daemon has gathered, and asks the searchers of shards that it could not
// reach itself when the answer depends on them.
func (d *delegation) merge(ctx context.Context, g *exchanger.Gathered) Answer {
	d.sends += g.Sends
	shards := len(d.route.Shards)
	if !areBelow(g, shards) {
		return refuse(http.StatusBadGateway, "the daemon that gathered the query answered for shards that the route does not have")
	}
	records := merger.NewRecords(d.route.TopK)
	records.Add(g.Records)
	stamps := make([]string, 0, shards)
	for _, p := range g.Parts {
		stamps = append(stamps, p.Stamp)
	}
	need := d.route.RequiredShards() - len(stamps)
	if need <= 0 {
		return mergedAnswer(records, stamps, shards)
	}
	if len(g.Left) < need || !time.Now().Before(d.deadline) {
		if !time.Now().Before(d.deadline) {
			return refuse(http.StatusGatewayTimeout, "too few shards answered in time")
		}
		return uncoveredAnswer(d.fwd.cfg.RetryAfter, g.MayHaveRun)
	}
	return d.complete(ctx, g, records, stamps, need)
}

// areBelow reports whether the indexes of all shards of an answer are below n.
func areBelow(g *exchanger.Gathered, n int) bool {
	for _, p := range g.Parts {
		if p.Shard >= n {
			return false
		}
	}
	for _, l := range g.Left {
		if l.Shard >= n {
			return false
		}
	}
	return true
}

// complete asks the searchers of the shards that are left, of which need must answer.
//
// Load pattern: the zone of the daemon that gathers cannot reach another zone, or searchers that this daemon reaches.
func (d *delegation) complete(ctx context.Context, g *exchanger.Gathered, records *merger.Records, stamps []string, need int) Answer {
	rt := *d.route
	names := make([]string, len(g.Left))
	for i, l := range g.Left {
		names[i] = d.route.Shards[l.Shard]
		rt.Attempts = min(rt.Attempts, l.Attempts)
	}
	q := d.fwd.newQuery(d.req, d.body, &rt, d.view, d.shardBudget, names, need, d.cutoffAt, d.deadline)
	q.mayHaveRun = g.MayHaveRun
	for i := range q.calls {
		// The other daemon has sent a request to the shard, or tried to.
		q.calls[i].refusals = 1
	}
	end := q.gather(ctx)
	d.sends += len(q.cancels)
	if end != covered {
		return q.answer(end, len(d.route.Shards))
	}
	records.Add(q.records.Bytes())
	return mergedAnswer(records, append(stamps, q.stamps...), len(d.route.Shards))
}
