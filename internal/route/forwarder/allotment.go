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

// takeToken takes a token for a request, once for all its attempts. It returns false and the refusal when there is none:
// 429 when the account is known to be above its limit, 503 otherwise. Nothing has been sent then.
//
// Load pattern: an account at several times its rate; its requests are refused before they take anything else.
func (f *Forwarder) takeToken(ctx context.Context, req *Request, v *locator.View) (Answer, bool) {
	if f.allotter == nil || req.Account == nil || req.Account.Rate <= 0 {
		return Answer{}, true
	}
	grant, err := f.allotter.Take(ctx, req.Account, v.Version())
	if err == nil {
		req.grant = grant
		return Answer{}, true
	}
	var refused *lender.RefusedError
	if !errors.As(err, &refused) {
		return refuseNotRun(f.cfg.RetryAfter, err.Error()), false
	}
	if refused.Exceeded {
		// The time is exact: a client that comes earlier is refused again.
		return Answer{Status: http.StatusTooManyRequests, heldFor: max(refused.Wait, minAllotmentWait), Reason: err.Error()}, false
	}
	a := refuseNotRun(f.cfg.RetryAfter, err.Error())
	a.heldFor = refused.Wait
	return a, false
}

// returnToken gives the token of a request back that reached no searcher. Other daemons that gathered may have sent
// requests of which this one does not know.
func (f *Forwarder) returnToken(req *Request, a *Answer) {
	if a.SubRequests == 0 && len(a.Gatherers) == 0 && a.Status == http.StatusServiceUnavailable {
		req.grant.Return()
	}
}
