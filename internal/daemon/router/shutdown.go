package router

import (
	"context"
	"time"

	"cornelwood.example/internal/time/sleeper"
)

const (
	// acceptFraction is the fraction of the grace period during which new requests are still served: the load
	// balancer stops sending about 2 s after the readiness check fails. What comes later is refused, since it might
	// outlast the process.
	acceptFraction = 0.45
	// endFraction is the fraction of the grace period after which the requests in flight get their final answers.
	endFraction = 0.88
	// exitFraction is the fraction of the grace period after which the process ends at the latest: a loaded machine
	// takes some tenths of a second to end it.
	exitFraction = 0.93
	// idleBeforeExit is the time without a request in flight after which the process ends although clients
	// hold connections open that never carried one. It exceeds the round trip of a request that is on its way.
	idleBeforeExit = 200 * time.Millisecond
	// idlePollInterval is the interval at which the number of requests in flight is checked.
	idlePollInterval = 20 * time.Millisecond
)

// shutdown stops the daemon without aborting requests. The readiness check fails, and every connection is closed with its
// next answer. After acceptFraction of the grace period requests are refused, also those whose bodies are not complete. The
// listener stays open until those in flight have ended, so that a client on an open connection or a new one learns that its
// request has not run.
func (r *Router) shutdown() {
	settings := r.settings.Load()
	grace := settings.Shutdown.Grace
	startedAt := time.Now()
	at := func(fraction float64) time.Time {
		return startedAt.Add(time.Duration(float64(grace) * fraction))
	}
	r.leaving.Store(true)
	r.forwarder.SetLeaving()
	r.log.Info("leaving", "instance", settings.Daemon.ID, "grace", grace)
	if r.lender != nil {
		// The store may not answer; the rest of the shutdown does not wait for it.
		go r.lender.Release()
	}
	r.registrar.Deregister()
	time.Sleep(time.Until(at(acceptFraction)))
	r.forwarder.Refuse()
	r.evictor.RefuseIncomplete()
	r.log.Info("requests are refused from now on", "running", r.running())
	r.awaitIdle(at(endFraction))
	if n := r.running(); n > 0 {
		r.log.Warn("requests still in flight near the end of the grace period get their final answers now", "running", n)
	}
	r.forwarder.End()
	r.closeCallers(at(exitFraction))
}

// running returns the number of requests in flight, of clients and of other daemons.
func (r *Router) running() int {
	return r.active.count() + r.forwarder.Gathers()
}

// awaitIdle waits until no request has been in flight for idleBeforeExit, at most until the deadline.
func (r *Router) awaitIdle(deadline time.Time) {
	for idleSince := time.Now(); time.Now().Before(deadline); time.Sleep(idlePollInterval) {
		if r.running() > 0 {
			idleSince = time.Now()
		} else if time.Since(idleSince) >= idleBeforeExit {
			return
		}
	}
}

// closeCallers closes the listener and every connection of clients whose answer is out, at the latest at the deadline. It
// does not wait for connections that never carried a request.
func (r *Router) closeCallers(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	go func() {
		defer cancel()
		for r.running() > 0 && sleeper.Sleep(ctx, idlePollInterval) == nil {
		}
	}()
	if err := r.server.Shutdown(ctx); err != nil && r.active.count() > 0 {
		r.log.Warn("requests still in flight at the end of the grace period", "running", r.active.count(), "error", err)
	}
}
