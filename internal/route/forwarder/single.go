package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/route/locator"
)

// single answers a request that one searcher runs.
func (f *Forwarder) single(ctx context.Context, req *Request, body []byte, rt *declarer.Route, v *locator.View, deadline time.Time) Answer {
	service := targetService(rt, rand.Float64())
	measure := func() float64 {
		load, _ := f.picker.Load(searchersOfMost(v, service))
		return load
	}
	v, refused, ok := f.enterOwn(ctx, req, rt, v, service, 1, measure, deadline)
	if !ok {
		return refused
	}
	fo := f.newFanout(req, body, rt, v, f.budgets(sender), []string{service}, 1, deadline)
	if !fo.send(0) {
		a := refuseNotRun(f.cfg.RetryAfter, "no searcher is available")
		a.heldFor = f.picker.HeldFor(fo.calls[0].searchers)
		return a
	}
	a := fo.runSingle(ctx)
	a.SubRequests = len(fo.cancels)
	cancelDelay := f.cfg.CancelDelay
	if ctx.Err() != nil {
		cancelDelay = 0
	}
	fo.cancelAfter(cancelDelay)
	return a
}

// targetService picks one of the route's target services by weight; random is in [0, 1).
func targetService(rt *declarer.Route, random float64) string {
	total := 0.0
	for _, t := range rt.Targets {
		total += t.Weight
	}
	left := random * total
	for _, t := range rt.Targets {
		if left < t.Weight {
			return t.Service
		}
		left -= t.Weight
	}
	return rt.Targets[0].Service
}

// runSingle waits for the first answer that can be passed on, and retries and hedges until then.
func (f *fanout) runSingle(ctx context.Context) Answer {
	timer := time.NewTimer(f.hedgeAndWaitSingle())
	defer timer.Stop()
	for {
		select {
		case res := <-f.results:
			if a, ok := f.handleSingleResult(&res); ok {
				return a
			}
		case <-timer.C:
			if !time.Now().Before(f.deadline) {
				return refuse(http.StatusGatewayTimeout, "no searcher answered in time")
			}
			timer.Reset(f.hedgeAndWaitSingle())
		case <-f.fwd.ended:
			return f.fwd.endedAnswer(f.mayHaveRun || f.anyInFlight())
		case <-ctx.Done():
			return refuse(statusClientClosed, "client disconnected")
		}
	}
}

// hedgeAndWaitSingle hedges the call if it is due and returns the time until the next hedge or the deadline.
func (f *fanout) hedgeAndWaitSingle() time.Duration {
	now := time.Now()
	wait := f.deadline.Sub(now)
	if hedge := f.hedge(now); hedge > 0 {
		wait = min(wait, hedge)
	}
	return max(wait, minTimerDelay)
}

// handleSingleResult returns the final answer, or false when the call is retried or another attempt is in flight.
func (f *fanout) handleSingleResult(res *result) (Answer, bool) {
	c := &f.calls[0]
	if res.class == success || res.class == final {
		c.inFlight--
		c.done = true
		return passOn(res), true
	}
	if f.handleFailure(res) {
		return Answer{}, false
	}
	switch {
	case !f.mayHaveRun:
		return refuseNotRun(f.fwd.cfg.RetryAfter, "no searcher that was tried ran the request"), true
	case res.reply != nil && res.reply.Meta.Stamp != "" && !isNotRunStatus(res.reply.Status):
		return passOn(res), true
	default:
		return refuse(http.StatusBadGateway, "no complete answer from the searcher"), true
	}
}

// passOn returns a searcher's answer unchanged.
func passOn(res *result) Answer {
	return Answer{Status: res.reply.Status, Header: res.reply.Header, Body: res.reply.Body, reply: res.reply}
}
