package forwarder

import (
	"context"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/query/merger"
	"cornelwood.example/internal/route/locator"
)

// query is a fanout to the shards of a route that merges their answers.
type query struct {
	*fanout
	records *merger.Records
	stamps  []string
}

// query answers a request whose route names shards.
func (f *Forwarder) query(ctx context.Context, req *Request, body []byte, rt *declarer.Route, v *locator.View, deadline time.Time) Answer {
	q := &query{
		fanout:  f.newFanout(req, body, rt, v, rt.Shards, rt.RequiredShards(), deadline),
		records: merger.NewRecords(rt.TopK),
	}
	if a, ok := q.admit(); !ok {
		return a
	}
	for i := range q.calls {
		if !q.send(i) {
			q.giveUp(i)
		}
	}
	a := q.run(ctx)
	a.SubRequests = len(q.cancels)
	cancelDelay := f.cfg.CancelDelay
	if ctx.Err() != nil {
		cancelDelay = 0
	}
	q.cancelAfter(cancelDelay)
	return a
}

// admit refuses a query before any searcher receives it when too few shards have an available searcher.
func (q *query) admit() (Answer, bool) {
	available := 0
	for i := range q.calls {
		if q.fwd.picker.Usable(q.calls[i].searchers) > 0 {
			available++
		}
	}
	if available >= q.minAnswers {
		return Answer{}, true
	}
	return refuseNotRun(q.fwd.cfg.RetryAfter, "too few shards have an available searcher"), false
}

// run collects shard answers until all have arrived, or enough of them by cutoffAt or later, or too few can still
// arrive.
func (q *query) run(ctx context.Context) Answer {
	cutoffAt := q.deadline
	if goal := q.route.LatencyGoal.Duration; goal > 0 {
		cutoffAt = q.req.Arrived.Add(cutoff(goal))
	}
	timer := time.NewTimer(q.hedgeAndWait(cutoffAt))
	defer timer.Stop()
	for {
		if a, ok := q.finalAnswer(time.Now(), cutoffAt); ok {
			return a
		}
		select {
		case res := <-q.results:
			q.handleResult(&res)
		case <-timer.C:
			timer.Reset(q.hedgeAndWait(cutoffAt))
		case <-ctx.Done():
			return refuse(statusClientClosed, "client disconnected")
		}
	}
}

// hedgeAndWait hedges the calls that are due and returns the time until the next hedge, cutoffAt or the deadline,
// whichever is first.
func (q *query) hedgeAndWait(cutoffAt time.Time) time.Duration {
	now := time.Now()
	wait := q.deadline.Sub(now)
	if left := cutoffAt.Sub(now); left > 0 {
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
	q.stamps = append(q.stamps, res.reply.Meta.Stamp)
}

// finalAnswer returns the final answer, and false while there is none.
func (q *query) finalAnswer(now, cutoffAt time.Time) (Answer, bool) {
	answered := len(q.stamps)
	pending := len(q.calls) - answered - q.missing
	switch {
	case answered >= q.minAnswers && (pending == 0 || !now.Before(cutoffAt)):
		return q.mergedAnswer(), true
	case answered+pending < q.minAnswers:
		return q.failedAnswer(), true
	case !now.Before(q.deadline):
		return refuse(http.StatusGatewayTimeout, "too few shards answered in time"), true
	default:
		return Answer{}, false
	}
}

func (q *query) mergedAnswer() Answer {
	return Answer{
		Status:  http.StatusOK,
		Body:    q.records.Bytes(),
		Stamps:  q.stamps,
		Missing: len(q.calls) - len(q.stamps),
	}
}

func (q *query) failedAnswer() Answer {
	if !q.mayHaveRun && !q.anyInFlight() {
		return refuseNotRun(q.fwd.cfg.RetryAfter, "too few shards accepted the query")
	}
	return refuse(http.StatusBadGateway, "too few shards answered")
}

func (q *query) anyInFlight() bool {
	for i := range q.calls {
		if q.calls[i].inFlight > 0 {
			return true
		}
	}
	return false
}
