package router

import (
	"sync/atomic"
	"time"

	"cornelwood.example/internal/control/relayer"
	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/time/sentry"
)

// maxDistrust bounds the time after a pause of the process for which requests are refused while the cached state has not
// been confirmed: within it, a peer or the store answers unless it is away.
const maxDistrust = 1500 * time.Millisecond

// confirmer is the cached state, which a pause invalidates and the store or a peer confirms.
type confirmer interface {
	IsCurrent() bool
	Invalidate()
}

// pauseGuard is the forwarder's Viewer. After a pause of the process, it returns views that are not ready until the cached
// state has been confirmed: a searcher may have left, or a zone have been taken out, meanwhile.
//
// Load pattern: a process that was stopped, or suspended with its machine, and finds requests in its sockets when it goes on.
type pauseGuard struct {
	views  interface{ View() *locator.View }
	state  confirmer
	sentry *sentry.Sentry
	// pausedAt is the end of the last pause, nil before the first.
	pausedAt atomic.Pointer[time.Time]
}

var _ confirmer = (*relayer.Relayer)(nil)

// newPauseGuard returns a pauseGuard that counts pauses of at least threshold; onPause is called after each.
func newPauseGuard(views interface{ View() *locator.View }, state confirmer, clock sentry.Clock, threshold time.Duration, onPause func(time.Duration)) *pauseGuard {
	g := &pauseGuard{views: views, state: state}
	g.sentry = sentry.New(clock, threshold, func(pause time.Duration) {
		now := time.Now()
		g.pausedAt.Store(&now)
		state.Invalidate()
		onPause(pause)
	})
	return g
}

// View returns the current view.
func (g *pauseGuard) View() *locator.View {
	g.sentry.Check()
	v := g.views.View()
	if at := g.pausedAt.Load(); at != nil && time.Since(*at) < maxDistrust && !g.state.IsCurrent() {
		return v.Outdated()
	}
	return v
}
