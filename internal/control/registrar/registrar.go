// Package registrar writes this daemon's record to the store, by which the other daemons
// find it.
package registrar

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/time/sleeper"
)

const (
	// callTimeout bounds one call to the store, which answers in milliseconds.
	callTimeout = time.Second
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// deregisterTimeout bounds the removal of the record during a graceful shutdown.
	deregisterTimeout = 300 * time.Millisecond
)

// Registry holds the records of the daemons.
type Registry interface {
	// Register writes a daemon's record and replaces an earlier one. isNew is true when
	// there is probably none.
	Register(ctx context.Context, m declarer.Member, isNew bool) error
	// Deregister removes a daemon's record.
	Deregister(ctx context.Context, id string) error
}

// Registrar is the service that registers this daemon.
type Registrar struct {
	self     declarer.Member
	isNew    bool
	registry Registry
	log      hclog.Logger
}

// New returns a Registrar that writes self's record to registry. isNew is true when there is
// probably none yet.
func New(self declarer.Member, isNew bool, registry Registry, log hclog.Logger) *Registrar {
	return &Registrar{self: self, isNew: isNew, registry: registry, log: log}
}

// String names the service for its supervisor.
func (r *Registrar) String() string {
	return "registrar"
}

// Serve registers the daemon, waits until ctx ends, and returns the error of ctx.
func (r *Registrar) Serve(ctx context.Context) error {
	if err := r.retryCall(ctx, "register", func(ctx context.Context) error {
		return r.registry.Register(ctx, r.self, r.isNew)
	}); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// retryCall repeats a call with backoff until it succeeds or ctx ends. Logs contain name.
func (r *Registrar) retryCall(ctx context.Context, name string, call func(context.Context) error) error {
	backoff := minBackoff
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(callCtx)
		cancel()
		if err == nil {
			return nil
		}
		r.log.Warn("store call failed", "call", name, "error", err, "retry", backoff)
		if err := sleeper.Sleep(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// Deregister removes the daemon's record, in one attempt: if the record stays, the other
// daemons skip this one because it does not answer.
func (r *Registrar) Deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := r.registry.Deregister(ctx, r.self.ID); err != nil {
		r.log.Warn("daemon's record not removed from the store", "error", err)
	}
}
