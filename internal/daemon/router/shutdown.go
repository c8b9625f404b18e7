package router

import (
	"context"
	"time"

	"cornelwood.example/internal/time/sleeper"
)

const (
	// acceptFraction is the fraction of the grace period during which new requests are still served: the load
	// balancer stops sending about 2 s after the readiness check fails.
	acceptFraction = 0.55
	// finishFraction is the fraction of the grace period after which the process ends, even with requests in
	// flight: a loaded machine takes some tenths of a second to end it.
	finishFraction = 0.9
	// idleBeforeExit is the time without a request in flight after which the process ends although clients
	// hold connections open that never carried one. It exceeds the round trip of a request that is on its way.
	idleBeforeExit = 200 * time.Millisecond
	// idlePollInterval is the interval at which the number of requests in flight is checked.
	idlePollInterval = 20 * time.Millisecond
)

// shutdown stops the daemon without aborting requests: the readiness check fails, open connections are still
// served and are closed with their next answer, then the listener closes and requests in flight finish.
func (r *Router) shutdown() {
	settings := r.settings.Load()
	grace := settings.Shutdown.Grace
	startedAt := time.Now()
	r.leaving.Store(true)
	r.forwarder.SetLeaving()
	r.log.Info("leaving", "instance", settings.Daemon.ID, "grace", grace)
	r.registrar.Deregister()
	time.Sleep(time.Duration(float64(grace) * acceptFraction))
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(time.Duration(float64(grace)*finishFraction)))
	defer cancel()
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		r.awaitIdle(ctx, cancel)
	}()
	if err := r.server.Shutdown(ctx); err != nil && r.active.count() > 0 {
		r.log.Warn("requests still in flight at the end of the grace period", "running", r.active.count(), "error", err)
	}
	// Clients may be gone before the queries that this daemon gathers for others have ended.
	<-idle
}

// awaitIdle calls end once no request has been in flight for idleBeforeExit. It returns early when ctx ends.
func (r *Router) awaitIdle(ctx context.Context, end func()) {
	idle := time.Duration(0)
	for idle < idleBeforeExit {
		if sleeper.Sleep(ctx, idlePollInterval) != nil {
			return
		}
		idle += idlePollInterval
		if r.active.count()+r.forwarder.Gathers() > 0 {
			idle = 0
		}
	}
	end()
}
