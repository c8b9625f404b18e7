package router

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/settings/reader"
	"cornelwood.example/internal/time/sentry"
)

// Shares of the time after which a withdrawn key must not be used.
const (
	// keyReadyShare is the share of it up to which the daemon is ready. The rest, 2 s of 5 s, is the time in which the load
	// balancer moves the clients: it needs two failed checks, one each second.
	keyReadyShare = 0.6
	// keyUseShare is the share up to which keys are used. The rest covers clocks of daemons that differ in speed.
	keyUseShare = 0.98
	// keyWatchShare is the share for which the store holds a watch of the desired state, and keyPauseShare that of the pause
	// between two. With 0.40 s and 0.15 s of 5 s, the state is at most 1 s old at the daemon that reads the store, and four
	// relays of 0.35 s each keep it below keyReadyShare.
	keyWatchShare = 0.08
	keyPauseShare = 0.03
)

func fraction(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// keyGuard is the forwarder's Viewer where a key is valid only while the desired state is known to be current. Its views say
// which decisions about keys the age of the desired state allows.
//
// Load pattern: a daemon that is frozen, or cut off from the store and its peers, when a key is withdrawn.
type keyGuard struct {
	views interface{ View() *locator.View }
	clock sentry.Clock
	log   hclog.Logger
	// revoke is the time after its withdrawal from which a key must not be used; 0 means that there is no bound.
	revoke time.Duration
	// trust is the last locator.KeyTrust, for logs.
	trust atomic.Int32
}

// newKeyGuard returns a keyGuard with the bound of the settings.
func newKeyGuard(views interface{ View() *locator.View }, settings reader.AccountKeys, clock sentry.Clock, log hclog.Logger) *keyGuard {
	g := &keyGuard{views: views, clock: clock, log: log}
	if settings.Strict {
		g.revoke = settings.Revoke
	}
	return g
}

// View returns the current view.
func (g *keyGuard) View() *locator.View {
	v := g.views.View()
	trust, age := g.trustOf(v)
	if trust == locator.KeysCurrent {
		return v
	}
	return v.WithKeyTrust(trust, age)
}

// IsReady reports whether the desired state is young enough to accept new clients.
func (g *keyGuard) IsReady() bool {
	trust, _ := g.trustOf(g.views.View())
	return trust == locator.KeysCurrent
}

// trustOf returns the trust in the keys of a view at this moment, and the age of its desired state if that is known.
func (g *keyGuard) trustOf(v *locator.View) (locator.KeyTrust, time.Duration) {
	if g.revoke <= 0 || v.Authorizer == nil || !v.Authorizer.IsRestricted() {
		return locator.KeysCurrent, 0
	}
	// The clock is read after the view was taken, so that the age is not less than the true one.
	age, known := v.RoutingAge(g.clock())
	trust := locator.KeysOutdated
	switch {
	case known && age <= fraction(g.revoke, keyReadyShare):
		trust = locator.KeysCurrent
	case known && age <= fraction(g.revoke, keyUseShare):
		trust = locator.KeysAging
	}
	if g.trust.Load() != int32(trust) && g.trust.Swap(int32(trust)) != int32(trust) {
		g.log.Warn("trust in the keys of accounts changed", "trust", trust.String(), "age", age, "known", known, "revoke", g.revoke, "version", v.Version())
	}
	return trust, age
}

// routingFollowerConfig returns the pace at which the desired state is read.
func routingFollowerConfig(keys reader.AccountKeys) follower.Config {
	cfg := follower.Default()
	if keys.Strict {
		cfg.WatchWait = min(cfg.WatchWait, fraction(keys.Revoke, keyWatchShare))
		cfg.WatchPause = min(cfg.WatchPause, fraction(keys.Revoke, keyPauseShare))
	}
	return cfg
}
