package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/lender"
	"cornelwood.example/internal/route/locator"
)

// Allotter takes tokens of accounts, whose limits hold for all daemons together.
type Allotter interface {
	// Take takes a token for one request. Its error is a *lender.RefusedError.
	Take(ctx context.Context, account *declarer.Account, version uint64) (lender.Grant, error)
}

// SetAllotter makes the Forwarder take a token for each request of an account with a limit. Call it before the first
// request.
func (f *Forwarder) SetAllotter(a Allotter) {
	f.allotter = a
}

// minAllotmentWait is the shortest time that a client is asked to wait for a token.
const minAllotmentWait = time.Millisecond

// allot takes a token for a request, once for all its attempts. A request that has waited for it is authorized again. It
// returns the route and the view to go on with, or the answer to a request that is not served, of which nothing has been sent.
//
// Load pattern: an account at several times its rate; its requests are refused before they take anything else.
func (f *Forwarder) allot(ctx context.Context, req *Request, rt *declarer.Route, v *locator.View) (*declarer.Route, *locator.View, *Answer) {
	if f.allotter == nil || req.Account == nil || req.Account.Rate <= 0 {
		return rt, v, nil
	}
	grant, err := f.allotter.Take(ctx, req.Account, v.Version())
	if err != nil {
		a := f.allotmentRefusal(err)
		return rt, v, &a
	}
	req.grant = grant
	v = f.views.View()
	rt, refusal := f.accept(req, v)
	return rt, v, refusal
}

// allotmentRefusal returns the answer to a request without a token: 429 when the account is known to be above its limit, and
// 503 otherwise.
func (f *Forwarder) allotmentRefusal(err error) Answer {
	a := refuseNotRun(f.cfg.RetryAfter, err.Error())
	var refused *lender.RefusedError
	if !errors.As(err, &refused) {
		return a
	}
	a.heldFor = max(refused.Wait, minAllotmentWait)
	if refused.Exceeded {
		// The time is exact: a client that comes earlier is refused again.
		a.Status, a.RetryAfter = http.StatusTooManyRequests, 0
	}
	return a
}

// returnToken gives the token of a request back that reached no searcher. Other daemons that gathered may have sent
// requests of which this one does not know.
func (f *Forwarder) returnToken(req *Request, a *Answer) {
	if a.SubRequests > 0 || len(a.Gatherers) > 0 {
		return
	}
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusUnauthorized, http.StatusNotFound:
		req.grant.Return()
	}
}
