package assembler

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// shutdown stops the daemon without aborting requests: the readiness check fails, requests are still served for as
// long as the load balancer takes to react, callers' requests and ticket runs finish, and the upstreams are handed
// over.
func (d *Daemon) shutdown() error {
	d.log.Info("leaving", "instance", d.self.ID)
	d.leaving.Store(true)
	time.Sleep(d.settings.Shutdown.Lag)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Shutdown.Drain)
	defer cancel()
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
