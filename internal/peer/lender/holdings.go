package lender

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the moving average of an account's requests at this daemon.
	demandTime = time.Second
	// returnMargin is how long before its end an unused token is returned: longer than a call takes.
	returnMargin = 100 * time.Millisecond
	// minDemand is the rate of requests a second below which an account is forgotten.
	minDemand = 0.01
)

// token is one that was granted and not used.
type token struct {
	grant     uint64
	expiresAt time.Duration
}

// holding holds the tokens and the refusals of one account.
type holding struct {
	version uint64
	tokens  []token
	// refusedUntil is until when the last refusal counts, and roomAt when there is room again. exceeded is true when the
	// account is known to be above its limit.
	refusedUntil, roomAt time.Duration
	exceeded             bool
	// demand is the moving average of requests a second, as of countedAt.
	demand    float64
	countedAt time.Duration
}

// holdings has the tokens and refusals of all accounts at the daemon that asks.
//
// Load pattern: an account at several times its rate, whose requests would each ask the lender; a large account, most of
// whose requests go to few daemons.
type holdings struct {
	cfg      *Config
	accounts map[string]*holding
	returns  []returned
}

func newHoldings(cfg *Config) *holdings {
	return &holdings{cfg: cfg, accounts: make(map[string]*holding)}
}

// take uses a token that is held, or reports the refusal that still counts. Otherwise the lender must be asked, for
// ahead tokens in addition.
func (h *holdings) take(now time.Duration, limit *Limit) (tk *token, refused *RefusedError, ahead int) {
	a, ok := h.accounts[limit.Account]
	if !ok {
		a = &holding{version: limit.Version, countedAt: now}
		h.accounts[limit.Account] = a
	}
	if a.version != limit.Version {
		a.version, a.refusedUntil = limit.Version, 0
	}
	a.demand = a.decayed(now) + 1/demandTime.Seconds()
	a.countedAt = now
	for len(a.tokens) > 0 {
		t := a.tokens[0]
		a.tokens = a.tokens[1:]
		if now < t.expiresAt {
			return &t, nil, 0
		}
	}
	if now < a.refusedUntil {
		return nil, &RefusedError{Account: limit.Account, Wait: a.roomAt - now, Exceeded: a.exceeded, Reason: reasonRemembered}, 0
	}
	// The request that asks gets a token of its own.
	expected := (a.demand - 1/demandTime.Seconds()) * (h.cfg.Validity - returnMargin).Seconds()
	return nil, nil, max(0, int(expected+0.5))
}

// decayed returns the moving average as of now.
func (a *holding) decayed(now time.Duration) float64 {
	return a.demand * math.Exp(-(now-a.countedAt).Seconds()/demandTime.Seconds())
}

// add adds tokens of a grant that was asked for at sentAt.
func (h *holdings) add(account string, grant uint64, count int, sentAt time.Duration) {
	a, ok := h.accounts[account]
	if !ok {
		return
	}
	for range count {
		a.tokens = append(a.tokens, token{grant: grant, expiresAt: sentAt + h.cfg.Validity})
	}
}

// putBack takes a token that was not used after all.
func (h *holdings) putBack(account string, t token) {
	if a, ok := h.accounts[account]; ok {
		a.tokens = append(a.tokens, t)
	}
}

// refuse remembers a refusal for a time.
func (h *holdings) refuse(now, remembered time.Duration, r *RefusedError) {
	if a, ok := h.accounts[r.Account]; ok {
		a.refusedUntil, a.roomAt, a.exceeded = now+remembered, now+r.Wait, r.Exceeded
	}
}

// sweep collects the tokens that are to be returned, and forgets what is of no use.
func (h *holdings) sweep(now time.Duration) {
	for name, a := range h.accounts {
		a.tokens = slices.DeleteFunc(a.tokens, func(t token) bool {
			if now+returnMargin < t.expiresAt {
				return false
			}
			if now < t.expiresAt && len(h.returns) < maxReturns {
				h.returns = append(h.returns, returned{Account: name, Grant: t.grant, Count: 1})
			}
			return true
		})
		if len(a.tokens) == 0 && now >= a.refusedUntil && a.decayed(now) < minDemand {
			delete(h.accounts, name)
		}
	}
}

// drain returns the tokens that are to be returned with the next call to the lender.
func (h *holdings) drain() []returned {
	out := h.returns
	h.returns = nil
	return out
}
