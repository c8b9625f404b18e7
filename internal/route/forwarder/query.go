package forwarder

import (
	"context"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/query/merger"
	"cornelwood.example/internal/route/locator"
)

// query is a race over shards: one part of each, merged.
type query struct {
	*race
	records *merger.Records
	stamps  []string
}

// query answers a request whose route names shards.
func (f *Forwarder) query(ctx context.Context, req *Request, body []byte, rt *declarer.Route, v *locator.View, deadline time.Time) Answer {
	q := &query{
		race:    f.newRace(req, body, rt, v, rt.Shards, rt.RequiredShards(), deadline),
		records: merger.NewRecords(rt.TopK),
	}
	if a, ok := q.admit(); !ok {
		return a
	}
	for i := range q.legs {
		if !q.send(i) {
			q.giveUp(i)
		}
	}
	a := q.run(ctx)
	a.SubRequests = len(q.cancels)
	linger := f.cfg.CancelDelay
	if ctx.Err() != nil {
		linger = 0
	}
	q.stop(linger)
	return a
}

// admit refuses a query of which too few shards can be reached, before any
// searcher has got it.
func (q *query) admit() (Answer, bool) {
	reachable := 0
	for i := range q.legs {
		if q.f.picker.Usable(q.legs[i].searchers) > 0 {
			reachable++
		}
	}
	if reachable >= q.least {
		return Answer{}, true
	}
	return refuseUntil(q.f.cfg.RetryAfter, "too few shards have a searcher that can be reached"), false
}

// run collects parts until the answer is complete, or covers enough when the
// goal nears, or cannot cover enough any more.
func (q *query) run(ctx context.Context) Answer {
	cutoffAt := q.deadline
	if goal := q.route.LatencyGoal.Duration; goal > 0 {
		cutoffAt = q.req.Arrived.Add(cutoff(goal))
	}
	timer := time.NewTimer(q.next(cutoffAt))
	defer timer.Stop()
	for {
		if a, ok := q.finished(time.Now(), cutoffAt); ok {
			return a
		}
		select {
		case res := <-q.results:
			q.take(&res)
		case <-timer.C:
			timer.Reset(q.next(cutoffAt))
		case <-ctx.Done():
			return refuse(statusClientClosed, "the client has left")
		}
	}
}

// next hedges what is due and returns the time until something else is.
func (q *query) next(cutoffAt time.Time) time.Duration {
	now := time.Now()
	wait := q.deadline.Sub(now)
	if left := cutoffAt.Sub(now); left > 0 {
		wait = min(wait, left)
	}
	if hedge := q.hedge(now); hedge > 0 {
		wait = min(wait, hedge)
	}
	return max(wait, minTimer)
}

// take merges a part, or tries another searcher.
func (q *query) take(res *result) {
	l := &q.legs[res.leg]
	if res.verdict != success {
		if !q.settle(res) {
			q.giveUp(res.leg)
		}
		return
	}
	q.ran = true
	l.running--
	if l.done {
		return
	}
	l.done = true
	q.records.Add(res.reply.Body)
	q.stamps = append(q.stamps, res.reply.Meta.Stamp)
}

// finished returns the final answer once there is one.
func (q *query) finished(now, cutoffAt time.Time) (Answer, bool) {
	got := len(q.stamps)
	open := len(q.legs) - got - q.missing
	switch {
	case got >= q.least && (open == 0 || !now.Before(cutoffAt)):
		return q.merged(), true
	case got+open < q.least:
		return q.failed(), true
	case !now.Before(q.deadline):
		return refuse(http.StatusGatewayTimeout, "too few shards answered in time"), true
	default:
		return Answer{}, false
	}
}

func (q *query) merged() Answer {
	return Answer{
		Status:  http.StatusOK,
		Body:    q.records.Bytes(),
		Stamps:  q.stamps,
		Missing: len(q.legs) - len(q.stamps),
	}
}

func (q *query) failed() Answer {
	if !q.ran && !q.anyRunning() {
		return refuseUntil(q.f.cfg.RetryAfter, "too few shards took the query")
	}
	return refuse(http.StatusBadGateway, "too few shards answered")
}

func (q *query) anyRunning() bool {
	for i := range q.legs {
		if q.legs[i].running > 0 {
			return true
		}
	}
	return false
}
