// Package registrar makes this daemon known to the others through the store.
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
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// leaveTimeout bounds the removal of the record at a graceful end.
	leaveTimeout = 300 * time.Millisecond
)

// Registry keeps the records of the daemons.
type Registry interface {
	// Register writes a daemon's record in place of an earlier one.
	Register(ctx context.Context, m declarer.Member) error
	// Deregister removes a daemon's record.
	Deregister(ctx context.Context, id string) error
}

// Registrar is the service that registers this daemon.
type Registrar struct {
	self     declarer.Member
	registry Registry
	log      hclog.Logger
}

// New returns a Registrar.
func New(self declarer.Member, registry Registry, log hclog.Logger) *Registrar {
	return &Registrar{self: self, registry: registry, log: log}
}

// String names the service for its supervisor.
func (r *Registrar) String() string {
	return "registrar"
}

// Serve registers the daemon, and waits for the end of ctx.
func (r *Registrar) Serve(ctx context.Context) error {
	if err := r.persist(ctx, "register", func(ctx context.Context) error {
		return r.registry.Register(ctx, r.self)
	}); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// persist repeats a call until it succeeds or ctx ends.
func (r *Registrar) persist(ctx context.Context, name string, call func(context.Context) error) error {
	pause := minRetry
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(bounded)
		cancel()
		if err == nil {
			return nil
		}
		r.log.Warn("store call failed", "call", name, "error", err, "retry", pause)
		if err := sleeper.Sleep(ctx, pause); err != nil {
			return err
		}
		pause = min(2*pause, maxRetry)
	}
}

// Deregister removes the daemon's record. A record that stays names a daemon that
// does not answer, which the others pass over.
func (r *Registrar) Deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := r.registry.Deregister(ctx, r.self.ID); err != nil {
		r.log.Warn("record not removed", "error", err)
	}
}
