package router

import (
	"context"
	"net/http"
	"time"

	"cornelwood.example/internal/time/sleeper"
)

const (
	// acceptShare is the share of the grace time in which new requests are still
	// served: the load balancer stops sending about 2 s after the check says no.
	acceptShare = 0.55
	// finishShare is the share of the grace time after which the process ends, whatever
	// still runs; a loaded machine takes some tenths of a second to end it.
	finishShare = 0.9
	// quietTime is how long no request has run when the process ends, though clients
	// hold connections open that never carried one: a request that is on its way takes
	// a round trip.
	quietTime = 200 * time.Millisecond
	// quietPoll is the time between two looks.
	quietPoll = 20 * time.Millisecond
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
	r.registrar.Deregister()
	time.Sleep(time.Duration(float64(grace) * acceptShare))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(time.Duration(float64(grace)*finishShare)))
	defer cancel()
	go r.awaitQuiet(ctx, cancel)
	if err := r.server.Shutdown(ctx); err != nil && r.running.Load() > 0 {
		r.log.Warn("requests still ran at the end of the grace time", "running", r.running.Load(), "error", err)
	}
}

// awaitQuiet ends the shutdown once no request has run for a while.
func (r *Router) awaitQuiet(ctx context.Context, end func()) {
	quiet := time.Duration(0)
	for quiet < quietTime {
		if sleeper.Sleep(ctx, quietPoll) != nil {
			return
		}
		quiet += quietPoll
		if r.running.Load() > 0 {
			quiet = 0
		}
	}
	end()
}

// counted counts the requests that run.
func (r *Router) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.running.Add(1)
		defer r.running.Add(-1)
		h.ServeHTTP(w, req)
	})
}
