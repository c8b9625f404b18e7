package router

import (
	"math/rand/v2"
	"time"

	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/control/relayer"
	"cornelwood.example/internal/route/promoter"
	"cornelwood.example/internal/settings/reader"
	"cornelwood.example/internal/time/sentry"
)

// buildRollouts creates what carries out roll-outs. The orders are a kind of their own, which is watched only where the
// settings allow roll-outs, since calls to the store cost money.
func (r *Router) buildRollouts(settings *reader.EntrySettings, cfg follower.Config) {
	orders := relayer.NewCache("rollouts", r.locator.Rollouts(), r.relayer)
	r.followers = append(r.followers, follower.New("rollouts", cfg, r.store.Rollouts(), orders, r.relayer))
	isFresh := func() bool { return orders.IsFresh(relayer.Default().MaxAge) }
	r.gate = promoter.NewGate(settings.Rollout.Share, isFresh, rand.Float64, time.Now, promoter.NewGateMetrics(r.reg))
	r.promoter = promoter.New(promoter.Default(), selfMember(settings), r.locator, r.gate, r.linker, r.store, sentry.BootClock,
		r.log.Named("route"), promoter.NewMetrics(r.reg))
	r.linker.Handle(promoter.CallCounts, r.promoter.Counts)
	r.linker.Handle(promoter.CallNotice, r.promoter.Notice)
}
