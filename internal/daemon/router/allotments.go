package router

import (
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/lender"
	"cornelwood.example/internal/settings/reader"
	"cornelwood.example/internal/time/sentry"
)

// buildLender makes the forwarder take tokens for the requests of accounts, if the settings say that limits are enforced.
func (r *Router) buildLender(settings *reader.EntrySettings) {
	if settings.Allotment.Window <= 0 {
		return
	}
	cfg := lender.Default()
	cfg.Window, cfg.Overage, cfg.Slack = settings.Allotment.Window, settings.Allotment.Overage, settings.Allotment.Slack
	r.lender = lender.New(cfg, selfMember(settings), r.store.Leases(), r.linker, r.limitedFleet, sentry.BootClock, r.log.Named("allotment"), lender.NewMetrics(r.reg))
	r.linker.Handle(lender.TakeCall, r.lender.HandleTake)
	r.linker.Handle(lender.PingCall, r.lender.HandlePing)
	r.forwarder.SetAllotter(r.lender)
}

// limitedFleet returns the daemons of the fleet, and whether the desired state has an account with a limit.
func (r *Router) limitedFleet() ([]declarer.Member, bool) {
	v := r.locator.View()
	if v.Matcher == nil {
		return v.Members(), false
	}
	for i := range v.Matcher.Routing().Accounts {
		if v.Matcher.Routing().Accounts[i].Rate > 0 {
			return v.Members(), true
		}
	}
	return v.Members(), false
}
