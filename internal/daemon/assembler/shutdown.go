package assembler

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// shutdown leaves the fleet without cutting what runs: it tells the balancer,
// serves on while the balancer lags, finishes callers' requests and tickets, and
// hands over the upstreams.
func (d *Daemon) shutdown() error {
	d.log.Info("leaving", "instance", d.self.ID)
	d.leaving.Store(true)
	time.Sleep(d.set.Shutdown.Lag)
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Shutdown.Drain)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		return eris.Wrapf(err, "callers' requests still ran after %s", d.set.Shutdown.Drain)
	}
	if err := d.finishTickets(ctx); err != nil {
		return err
	}
	if err := d.control.Leave(ctx); err != nil {
		return eris.Wrap(err, "hand over upstreams")
	}
	if err := d.owner.Drain(ctx); err != nil {
		return eris.Wrap(err, "finish sub-requests")
	}
	return nil
}

// finishTickets waits for the runs that this daemon dispatched.
func (d *Daemon) finishTickets(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.closeTickets()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "tickets still ran")
	}
}
