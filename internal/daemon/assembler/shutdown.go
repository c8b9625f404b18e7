package assembler

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// answerTime is reserved at the end of the time for requests in flight, to answer those that have not ended by then and
	// to hand over the upstreams; it is at most answerFraction of that time.
	answerTime     = time.Second
	answerFraction = 0.25
)

// shutdown stops the daemon without aborting requests: the readiness check fails, requests are still served for as
// long as the load balancer takes to react, callers' requests and ticket runs finish, and the upstreams are handed
// over. Requests that take too long are answered with what is known: partial results, an unknown outcome.
func (d *Daemon) shutdown() error {
	d.log.Info("leaving", "instance", d.self.ID)
	d.leaving.Store(true)
	time.Sleep(d.settings.Shutdown.Lag)
	drain := d.settings.Shutdown.Drain
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	reserved := min(answerTime, time.Duration(float64(drain)*answerFraction))
	defer time.AfterFunc(drain-reserved, func() {
		d.log.Warn("callers' requests that are still in flight get their final answers now")
		d.endCalls()
	}).Stop()
	if err := d.callers.Shutdown(ctx); err != nil {
		return eris.Wrapf(err, "callers' requests still in flight after %s", d.settings.Shutdown.Drain)
	}
	if err := d.awaitTicketRuns(ctx); err != nil {
		return err
	}
	if err := d.reconciler.Leave(ctx); err != nil {
		return eris.Wrap(err, "hand over upstreams")
	}
	if err := d.dispatcher.Drain(ctx); err != nil {
		return eris.Wrap(err, "finish sub-requests")
	}
	return nil
}

// awaitTicketRuns refuses new ticket runs and waits for those in flight, at most until ctx ends.
func (d *Daemon) awaitTicketRuns(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.closeTicketer()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "ticket runs still in flight")
	}
}
