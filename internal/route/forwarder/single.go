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
	r := f.newRace(req, body, rt, v, []string{target(rt, rand.Float64())}, 1, deadline)
	if !r.send(0) {
		return refuseUntil(f.cfg.RetryAfter, "no searcher can be reached")
	}
	a := r.runSingle(ctx)
	a.SubRequests = len(r.cancels)
	linger := f.cfg.CancelDelay
	if ctx.Err() != nil {
		linger = 0
	}
	r.stop(linger)
	return a
}

// target returns the service that gets a request; random is from 0 up to 1.
func target(rt *declarer.Route, random float64) string {
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

// runSingle waits for the first answer that can be used.
func (r *race) runSingle(ctx context.Context) Answer {
	timer := time.NewTimer(r.nextSingle())
	defer timer.Stop()
	for {
		select {
		case res := <-r.results:
			if a, ok := r.takeSingle(&res); ok {
				return a
			}
		case <-timer.C:
			if !time.Now().Before(r.deadline) {
				return refuse(http.StatusGatewayTimeout, "no searcher answered in time")
			}
			timer.Reset(r.nextSingle())
		case <-ctx.Done():
			return refuse(statusClientClosed, "the client has left")
		}
	}
}

func (r *race) nextSingle() time.Duration {
	now := time.Now()
	wait := r.deadline.Sub(now)
	if hedge := r.hedge(now); hedge > 0 {
		wait = min(wait, hedge)
	}
	return max(wait, minTimer)
}

// takeSingle returns the final answer when a result decides it.
func (r *race) takeSingle(res *result) (Answer, bool) {
	l := &r.legs[0]
	if res.verdict == success || res.verdict == final {
		l.running--
		l.done = true
		return passOn(res), true
	}
	if r.settle(res) {
		return Answer{}, false
	}
	switch {
	case !r.ran:
		return refuseUntil(r.f.cfg.RetryAfter, "every searcher that was asked refused the request unrun"), true
	case res.reply != nil && res.reply.Meta.Stamp != "" && !isPromise(res.reply.Status):
		return passOn(res), true
	default:
		return refuse(http.StatusBadGateway, "the searcher gave no whole answer"), true
	}
}

// passOn returns a searcher's answer unchanged.
func passOn(res *result) Answer {
	return Answer{Status: res.reply.Status, Header: res.reply.Header, Body: res.reply.Body}
}
