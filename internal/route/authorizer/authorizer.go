// Package authorizer decides which client account a request belongs to, and whether its route serves it.
//
// Keys are compared by their digests, so that neither the time of a decision nor a dump of the tables shows a key.
package authorizer

import (
	"crypto/sha256"

	"cornelwood.example/internal/contract/declarer"
)

// Refusal says why a request is not served.
type Refusal int

// Reasons for refusals.
const (
	// Allowed: the request is served.
	Allowed Refusal = iota
	// NoKey: the route needs a key and the request has none.
	NoKey
	// UnknownKey: the route needs a key and no account has the request's.
	UnknownKey
	// Outdated: the desired state may be too old to tell whether the key is valid.
	Outdated
)

// String returns the refusal as a word for logs and metrics.
func (r Refusal) String() string {
	switch r {
	case Allowed:
		return "allowed"
	case NoKey:
		return "nokey"
	case UnknownKey:
		return "unknownkey"
	case Outdated:
		return "outdated"
	default:
		return "invalid"
	}
}

// maxWithdrawn bounds the withdrawn keys that are remembered for logs.
const maxWithdrawn = 1024

// digest identifies a key.
type digest [sha256.Size]byte

// Withdrawal is the removal of a key from an account.
type Withdrawal struct {
	// Account is the account's name, and Version the version of the desired state that first lacked the key.
	Account string
	Version uint64
}

// Authorizer decides by the accounts of one version of the desired state. It is immutable.
type Authorizer struct {
	accounts map[digest]*declarer.Account
	// isRestricted is true when there are accounts, so that routes need a key unless they are public.
	isRestricted bool
	withdrawn    map[digest]Withdrawal
}

// New returns an Authorizer for the accounts of r. previous is the one of the version before it, nil when there is none;
// its keys that r lacks count as withdrawn.
func New(r *declarer.Routing, previous *Authorizer) *Authorizer {
	a := &Authorizer{
		accounts:     make(map[digest]*declarer.Account),
		isRestricted: len(r.Accounts) > 0,
		withdrawn:    make(map[digest]Withdrawal),
	}
	for i := range r.Accounts {
		for _, key := range r.Accounts[i].Keys {
			a.accounts[sha256.Sum256([]byte(key))] = &r.Accounts[i]
		}
	}
	if previous == nil {
		return a
	}
	for d, account := range previous.accounts {
		a.withdraw(d, Withdrawal{Account: account.Name, Version: r.Version})
	}
	for d, w := range previous.withdrawn {
		a.withdraw(d, w)
	}
	return a
}

// withdraw remembers the withdrawal of a key that no account has.
func (a *Authorizer) withdraw(d digest, w Withdrawal) {
	if a.accounts[d] == nil && len(a.withdrawn) < maxWithdrawn {
		a.withdrawn[d] = w
	}
}

// IsRestricted reports whether there are accounts, so that routes need a key unless they are public.
func (a *Authorizer) IsRestricted() bool {
	return a.isRestricted
}

// Authorize returns the account of a request's key, nil when there is none, and whether the route serves the request. An
// empty key is none.
func (a *Authorizer) Authorize(rt *declarer.Route, key string) (*declarer.Account, Refusal) {
	if key != "" {
		if account := a.accounts[sha256.Sum256([]byte(key))]; account != nil {
			return account, Allowed
		}
	}
	switch {
	case !a.isRestricted || rt.Public:
		return nil, Allowed
	case key == "":
		return nil, NoKey
	default:
		return nil, UnknownKey
	}
}

// Withdrawal returns when an account lost the key, and false when that is not known.
func (a *Authorizer) Withdrawal(key string) (Withdrawal, bool) {
	w, ok := a.withdrawn[sha256.Sum256([]byte(key))]
	return w, ok
}

// Withdrawals returns the number of keys that each account lost with a version.
func (a *Authorizer) Withdrawals(version uint64) map[string]int {
	counts := make(map[string]int)
	for _, w := range a.withdrawn {
		if w.Version == version {
			counts[w.Account]++
		}
	}
	return counts
}
