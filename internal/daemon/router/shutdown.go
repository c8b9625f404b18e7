package router

import (
	"context"
	"time"
)

const (
	// acceptShare is the share of the grace time in which new requests are still
	// served: the load balancer stops sending about 2 s after the check says no.
	acceptShare = 0.55
	// finishShare is the share of the grace time after which the process ends, whatever
	// still runs.
	finishShare = 0.95
)

// shutdown leaves without cutting what runs: the check says no, open connections
// are served and end with their next answer, then the listener closes and what
// runs finishes.
func (r *Router) shutdown() {
	set := r.set.Load()
	grace := set.Shutdown.Grace
	started := time.Now()
	r.leaving.Store(true)
	r.log.Info("leaving", "instance", set.Daemon.ID, "grace", grace)
	r.registrar.Leave()
	time.Sleep(time.Duration(float64(grace) * acceptShare))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(time.Duration(float64(grace)*finishShare)))
	defer cancel()
	if err := r.server.Shutdown(ctx); err != nil {
		r.log.Warn("requests still ran at the end of the grace time", "error", err)
	}
}
