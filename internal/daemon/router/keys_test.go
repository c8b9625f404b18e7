package router

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/settings/reader"
)

// locatorWith returns a locator with a desired state that was confirmed at a time, 0 when that is not known.
func locatorWith(t *testing.T, at time.Duration, accounts ...declarer.Account) *locator.Locator {
	t.Helper()
	l := locator.New(declarer.Member{ID: "d", Zone: "z"}, hclog.NewNullLogger())
	go func() { _ = l.Serve(t.Context()) }()
	l.Searchers().Replace(nil, 1)
	l.Closures().Replace(nil, 1)
	l.Routings().Replace([]follower.Item[*declarer.Routing]{{Name: "main", Value: &declarer.Routing{Version: 1, Accounts: accounts}}}, 1)
	if at > 0 {
		l.ConfirmRouting(at)
	}
	for l.View().Matcher == nil || at > 0 && func() bool { _, known := l.View().RoutingAge(0); return !known }() {
		time.Sleep(time.Millisecond)
	}
	return l
}

// TestKeyGuard checks what is decided about keys at each age of the desired state: a withdrawn key must not be used past the bound, a
// new key must not get 401 from a daemon that may not know it yet, and requests that need no key are served.
func TestKeyGuard(t *testing.T) {
	const revoke, confirmed = 5 * time.Second, time.Hour
	strict := reader.AccountKeys{Strict: true, Revoke: revoke}
	account := declarer.Account{Name: "one", Keys: []string{"k"}}
	const all, aging, outdated = "one allowed, unknownkey, nokey, public allowed, ready", "one allowed, outdated, outdated, public allowed, not ready", "outdated, outdated, outdated, public allowed, not ready"
	for _, tt := range []struct {
		name     string
		settings reader.AccountKeys
		at, age  time.Duration
		want     string
	}{
		{"young", strict, confirmed, 3 * time.Second, all},
		{"above the age for readiness", strict, confirmed, 3*time.Second + time.Millisecond, aging},
		{"just below the bound", strict, confirmed, 4900 * time.Millisecond, aging},
		{"at the bound", strict, confirmed, revoke, outdated},
		{"above it", strict, confirmed, time.Hour, outdated},
		{"unknown age", strict, 0, 0, outdated},
		{"no bound", reader.AccountKeys{Revoke: revoke}, confirmed, time.Hour, all},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newKeyGuard(locatorWith(t, tt.at, account), tt.settings, func() time.Duration { return confirmed + tt.age }, hclog.NewNullLogger())
			v := g.View()
			got := ""
			for _, key := range []string{"k", "other", ""} {
				a, refusal := v.Authorize(&declarer.Route{}, key)
				if a != nil {
					got += a.Name + " "
				}
				got += refusal.String() + ", "
			}
			_, refusal := v.Authorize(&declarer.Route{Public: true}, "")
			got += "public " + refusal.String()
			if g.IsReady() {
				got += ", ready"
			} else {
				got += ", not ready"
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("known key, unknown key, no key, public route, readiness (-want +got):\n%s", diff)
			}
		})
	}
	t.Run("no accounts", func(t *testing.T) {
		g := newKeyGuard(locatorWith(t, 0), strict, func() time.Duration { return confirmed }, hclog.NewNullLogger())
		if _, refusal := g.View().Authorize(&declarer.Route{}, ""); refusal.String() != "allowed" || !g.IsReady() {
			t.Errorf("refusal %s, ready %t, want a deployment without accounts to be served", refusal, g.IsReady())
		}
	})
}

// TestRoutingFollowerConfig checks that the desired state is read faster only where the bound calls for it.
func TestRoutingFollowerConfig(t *testing.T) {
	for _, tt := range []struct {
		keys        reader.AccountKeys
		wait, pause time.Duration
	}{
		{reader.AccountKeys{Revoke: 5 * time.Second}, 1200 * time.Millisecond, 500 * time.Millisecond},
		{reader.AccountKeys{Strict: true, Revoke: 5 * time.Second}, 400 * time.Millisecond, 150 * time.Millisecond},
		{reader.AccountKeys{Strict: true, Revoke: time.Minute}, 1200 * time.Millisecond, 500 * time.Millisecond},
	} {
		cfg := routingFollowerConfig(tt.keys)
		if cfg.WatchWait != tt.wait || cfg.WatchPause != tt.pause {
			t.Errorf("%+v: watch %s and pause %s, want %s and %s", tt.keys, cfg.WatchWait, cfg.WatchPause, tt.wait, tt.pause)
		}
	}
}
