package lender

import (
	"slices"
	"time"
)

// tolerance grants tokens without a lender, from this daemon's part of what may exceed the limits.
//
// Load pattern: the lender is lost, or the zone is cut off, while the accounts go on at their usual rates.
type tolerance struct {
	cfg *Config
	// startedAt is the start of the process: an earlier process may have granted its part within the window before.
	startedAt time.Duration
	// grants holds the times of the grants within the last window, by account.
	grants map[string][]time.Duration
}

func newTolerance(cfg *Config, now time.Duration) *tolerance {
	return &tolerance{cfg: cfg, startedAt: now, grants: make(map[string][]time.Duration)}
}

// take returns whether it grants one token, with the number of zones.
func (t *tolerance) take(now time.Duration, limit *Limit, zones int) bool {
	window := withDrift(t.cfg.Window + t.cfg.Validity)
	if now < t.startedAt+window {
		return false
	}
	part := int(localShare * t.cfg.tolerance(limit) / float64(localDaemons*max(1, zones)))
	recent := slices.DeleteFunc(t.grants[limit.Account], func(at time.Duration) bool { return at+window <= now })
	if len(recent) >= part {
		t.store(limit.Account, recent)
		return false
	}
	t.store(limit.Account, append(recent, now))
	return true
}

func (t *tolerance) store(account string, grants []time.Duration) {
	if len(grants) == 0 {
		delete(t.grants, account)
		return
	}
	t.grants[account] = grants
}

// prune removes the accounts without a grant within the window.
func (t *tolerance) prune(now time.Duration) {
	window := withDrift(t.cfg.Window + t.cfg.Validity)
	for account, grants := range t.grants {
		if grants[len(grants)-1]+window <= now {
			delete(t.grants, account)
		}
	}
}
