// Package registrar writes this daemon's record to the store, by which the other daemons
// find it.
package registrar

import (
	"context"
	"math/rand/v2"
	"sync"
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
	// rewriteSpread spreads the records that a fleet writes again after the store was restored. Searchers write theirs
	// within about 2 s, and daemons keep members that the copy lacks for as long.
	rewriteSpread = time.Second
	// deregisterTimeout bounds the removal of the record during a graceful shutdown.
	deregisterTimeout = 300 * time.Millisecond
)

// Registry holds the records of the daemons.
type Registry interface {
	// Register writes a daemon's record and replaces an earlier one. isNew is true when
	// there is probably none. It returns the era of the store that has the record.
	Register(ctx context.Context, m declarer.Member, isNew bool) (uint64, error)
	// Deregister removes a daemon's record.
	Deregister(ctx context.Context, id string) error
}

// Registrar is the service that registers this daemon.
type Registrar struct {
	self     declarer.Member
	isNew    bool
	registry Registry
	log      hclog.Logger

	mu sync.Mutex
	// era is the highest era of the store that is known; raised holds a value after it has risen.
	era    uint64
	raised chan struct{}
}

// New returns a Registrar that writes self's record to registry. isNew is true when there is
// probably none yet.
func New(self declarer.Member, isNew bool, registry Registry, log hclog.Logger) *Registrar {
	return &Registrar{self: self, isNew: isNew, registry: registry, log: log, raised: make(chan struct{}, 1)}
}

// ObserveEra records that the store has reached an era. If the record was written in an earlier one, the store may have
// lost it, and it is written again.
func (r *Registrar) ObserveEra(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era <= r.era {
		return
	}
	r.era = era
	select {
	case r.raised <- struct{}{}:
	default:
	}
}

func (r *Registrar) knownEra() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// String names the service for its supervisor.
func (r *Registrar) String() string {
	return "registrar"
}

// Serve registers the daemon, again in each later era of the store, until ctx ends, and returns the error of ctx.
func (r *Registrar) Serve(ctx context.Context) error {
	written, err := r.register(ctx)
	for err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.raised:
		}
		if era := r.knownEra(); era > written {
			// Load pattern: the whole fleet learns of a new era within a second, while the store has just come back.
			if err := sleeper.Sleep(ctx, time.Duration(rand.Float64()*float64(rewriteSpread))); err != nil {
				return err
			}
			r.isNew = true
			written, err = r.register(ctx)
			r.log.Info("daemon's record written again", "era", written, "cause", era)
		}
	}
	return err
}

// register writes the record and returns the era of the store that has it.
func (r *Registrar) register(ctx context.Context) (era uint64, err error) {
	err = r.retryCall(ctx, "register", func(ctx context.Context) (err error) {
		era, err = r.registry.Register(ctx, r.self, r.isNew)
		return err
	})
	return era, err
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
