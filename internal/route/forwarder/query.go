package forwarder

import (
	"context"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/query/merger"
	"cornelwood.example/internal/route/locator"
)

// query is a fanout to shards of a route that merges their answers. The same code gathers for clients and for other
// daemons.
type query struct {
	*fanout
	records *merger.Records
	// parts holds the index of each merged call and stamps the signatures of their answers, in the same order.
	parts  []int
	stamps []string
	// job is set when the parts are passed on one by one, instead of one answer at the end.
	job *gatherJob
	// stop is closed when no more parts are needed; nil when that cannot be known.
	stop chan struct{}
	// skipped is true for the calls that are left out because of the load, nil when there is none.
	skipped []bool
	// cutoffAt is the time from which the answer goes out without the missing shards once it covers enough of them.
	cutoffAt time.Time
}

// queryEnd is how a query ended.
type queryEnd int

const (
	// covered: enough shards answered.
	covered queryEnd = iota
	// uncovered: too few shards can still answer.
	uncovered
	// expired: too few shards answered before the deadline.
	expired
	// ended: the daemon stops.
	ended
	// disconnected: nobody waits for the answer any more.
	disconnected
)

// answerQuery answers a request whose route names shards: daemons near the searchers gather it, or this daemon does.
func (f *Forwarder) answerQuery(ctx context.Context, req *Request, body []byte, rt *declarer.Route, v *locator.View, deadline time.Time) Answer {
	f.probeProcessor()
	if !v.IsGathered(rt) {
		return f.gatherAll(ctx, req, body, rt, v, deadline)
	}
	return f.newDelegation(req, body, rt, v, deadline).run(ctx)
}

// gatherAll sends a query to every shard of its route.
func (f *Forwarder) gatherAll(ctx context.Context, req *Request, body []byte, rt *declarer.Route, v *locator.View, deadline time.Time) Answer {
	loads := shardLoads{needed: rt.RequiredShards()}
	if f.available(v, rt.Shards) < loads.needed {
		return refuseNotRun(f.cfg.RetryAfter, reasonUnavailable)
	}
	v, refused, ok := f.enterOwn(ctx, req, rt, v, rt.Shards[0], len(rt.Shards), func() float64 { return loads.measure(f, v, rt.Shards) }, deadline)
	if !ok {
		return refused
	}
	q := f.newQuery(req, body, rt, v, f.budgets(sender), rt.Shards, loads.needed, f.clientCutoff(req, rt, deadline), deadline)
	q.skipped = loads.skipped()
	a := q.answer(q.gather(ctx), len(rt.Shards))
	a.SubRequests = len(q.cancels)
	return a
}

// reasonUnavailable is the reason of an answer to a query that was not sent to any searcher.
const reasonUnavailable = "too few shards have an available searcher"

// clientCutoff returns the cutoff of a client's query: the deadline when its route has no latency goal.
func (f *Forwarder) clientCutoff(req *Request, rt *declarer.Route, deadline time.Time) time.Time {
	if goal := rt.LatencyGoal.Duration; goal > 0 {
		return req.Arrived.Add(cutoff(goal, req.Transit, f.queueing(time.Now())))
	}
	return deadline
}

// probeDelay is the delay of the timers whose lateness is measured.
const probeDelay = time.Millisecond

// probeProcessor measures how late a timer fires while the processor has this request's work.
func (f *Forwarder) probeProcessor() {
	if !f.probing.CompareAndSwap(false, true) {
		return
	}
	due := time.Now().Add(probeDelay)
	time.AfterFunc(probeDelay, func() {
		now := time.Now()
		f.lateness.Record(now.Sub(due), now)
		f.medianLateness.Record(now.Sub(due), now)
		f.metrics.lateness.Observe(now.Sub(due).Seconds())
		f.probing.Store(false)
	})
}

// queueing returns the time for which this daemon's work waits for the processor, by the lateness of its timers.
func (f *Forwarder) queueing(now time.Time) time.Duration {
	if d, ok := f.lateness.Estimate(now); ok {
		return d
	}
	return unknownQueueing
}

// newQuery returns a query to shards of a route that has not sent anything yet. It needs the answers of minAnswers of
// them.
func (f *Forwarder) newQuery(req *Request, body []byte, rt *declarer.Route, v *locator.View, budgets budgetFunc, shards []string, minAnswers int, cutoffAt, deadline time.Time) *query {
	return &query{
		fanout:   f.newFanout(req, body, rt, v, budgets, shards, minAnswers, deadline),
		records:  merger.NewRecords(rt.TopK),
		cutoffAt: cutoffAt,
	}
}

// available returns the number of shards with a searcher that is available by this daemon's own state.
func (f *Forwarder) available(v *locator.View, shards []string) int {
	n := 0
	for _, s := range shards {
		if f.picker.Usable(v.Searchers(s)) > 0 {
			n++
		}
	}
	return n
}

// gather sends the query to the shards and collects their answers until all have arrived, or enough of them by cutoffAt
// or later, or too few can still arrive.
func (q *query) gather(ctx context.Context) queryEnd {
	for i := range q.calls {
		if q.skipped != nil && q.skipped[i] || !q.start(i) {
			q.giveUp(i)
		}
	}
	end := q.collect(ctx)
	cancelDelay := q.fwd.cfg.CancelDelay
	if end == disconnected {
		cancelDelay = 0
	}
	q.cancelAfter(cancelDelay)
	return end
}

func (q *query) collect(ctx context.Context) queryEnd {
	timer := time.NewTimer(q.hedgeAndWait())
	defer timer.Stop()
	for {
		if end, ok := q.end(time.Now()); ok {
			return end
		}
		select {
		case res := <-q.results:
			q.handleResult(&res)
		case <-q.permit:
			q.retryPermitted()
			timer.Reset(q.hedgeAndWait())
		case <-timer.C:
			timer.Reset(q.hedgeAndWait())
		case <-q.stop:
			return expired
		case <-q.fwd.ended:
			if len(q.parts) >= q.minAnswers {
				return covered
			}
			return ended
		case <-ctx.Done():
			return disconnected
		}
		if q.job != nil && q.job.flush(time.Now()) != nil {
			return disconnected
		}
	}
}

// hedgeAndWait hedges the calls that are due and returns the time until the next hedge, cutoffAt or the deadline,
// whichever is first.
func (q *query) hedgeAndWait() time.Duration {
	now := time.Now()
	wait := q.deadline.Sub(now)
	if left := q.cutoffAt.Sub(now); left > 0 {
		wait = min(wait, left)
	}
	if hedge := q.hedge(now); hedge > 0 {
		wait = min(wait, hedge)
	}
	return max(wait, minTimerDelay)
}

// handleResult merges a shard's answer, or retries the call after a failure.
func (q *query) handleResult(res *result) {
	c := &q.calls[res.call]
	if res.class != success {
		if !q.handleFailure(res) {
			q.giveUp(res.call)
		}
		return
	}
	q.mayHaveRun = true
	c.inFlight--
	if c.done {
		return
	}
	c.done = true
	q.records.Add(res.reply.Body)
	q.parts = append(q.parts, res.call)
	q.stamps = append(q.stamps, res.reply.Meta.Stamp)
}

// end returns how the query ended, and false while it has not.
func (q *query) end(now time.Time) (queryEnd, bool) {
	answered := len(q.parts)
	pending := len(q.calls) - answered - q.missing
	switch {
	case q.job != nil && (pending == 0 || !now.Before(q.deadline)):
		return covered, true
	case q.job != nil:
		return 0, false
	case answered >= q.minAnswers && (pending == 0 || !now.Before(q.cutoffAt)):
		return covered, true
	case answered+pending < q.minAnswers:
		return uncovered, true
	case !now.Before(q.deadline):
		return expired, true
	default:
		return 0, false
	}
}

// answer returns the final answer to a client; shards is the number of the route's shards.
func (q *query) answer(end queryEnd, shards int) Answer {
	switch end {
	case covered:
		return mergedAnswer(q.records, q.stamps, shards)
	case uncovered:
		return uncoveredAnswer(q.fwd.cfg.RetryAfter, q.mayHaveRun || q.anyInFlight())
	case expired:
		return refuse(http.StatusGatewayTimeout, "too few shards answered in time")
	case ended:
		return q.fwd.endedAnswer(q.mayHaveRun || q.anyInFlight())
	default:
		return refuse(statusClientClosed, "client disconnected")
	}
}

func mergedAnswer(records *merger.Records, stamps []string, shards int) Answer {
	return Answer{Status: http.StatusOK, Body: records.Bytes(), Stamps: stamps, Missing: shards - len(stamps)}
}

// uncoveredAnswer returns the answer to a query of which too few shards can answer.
func uncoveredAnswer(retryAfter time.Duration, mayHaveRun bool) Answer {
	if !mayHaveRun {
		return refuseNotRun(retryAfter, "too few shards accepted the query")
	}
	return refuse(http.StatusBadGateway, "too few shards answered")
}
