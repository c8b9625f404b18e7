// Package follower keeps a copy of one kind of objects of a store: it lists them
// once, watches for changes, and lists again when the store has forgotten its
// history.
//
// Each call ends on its own after a short time, so that a connection that has
// gone silent, or a store behind a network partition, delays knowledge by no
// more than one call.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cornelwood.example/internal/time/sleeper"
)

// Config holds the pace of a Follower.
type Config struct {
	// Wait is how long the store holds a watch that has nothing to tell.
	Wait time.Duration
	// Slack is how much longer than its wait a call may take.
	Slack time.Duration
	// Pause is the time between an answer and the next watch: changes within it
	// come with one call.
	Pause time.Duration
	// Retry is the least pause after a failed call; it doubles up to MaxRetry.
	Retry, MaxRetry time.Duration
	// Rand draws a number from 0 up to 1 to spread the calls of many daemons.
	Rand func() float64
}

// Default returns the pace for bounds of 3 s on knowledge: a change that a silent
// connection hides is found by the next call, within Wait, Slack and Pause.
func Default() Config {
	return Config{
		Wait:     1200 * time.Millisecond,
		Slack:    450 * time.Millisecond,
		Pause:    500 * time.Millisecond,
		Retry:    100 * time.Millisecond,
		MaxRetry: 2 * time.Second,
		Rand:     rand.Float64,
	}
}

// Gate decides whether a Follower calls the store.
type Gate interface {
	// Open reports whether it does, and a channel that closes when that may have
	// changed.
	Open() (bool, <-chan struct{})
}

// Follower is the service that follows one kind of objects.
type Follower[T any] struct {
	name string
	cfg  Config
	feed Feed[T]
	sink Sink[T]
	gate Gate

	// forgotten is true when the store has lost the history that a watch needs.
	forgotten bool
	// failures counts failed calls in a row.
	failures int
}

// New returns a Follower that calls the store while the gate is open; name stands
// for it in logs.
func New[T any](name string, cfg Config, feed Feed[T], sink Sink[T], gate Gate) *Follower[T] {
	return &Follower[T]{name: name, cfg: cfg, feed: feed, sink: sink, gate: gate}
}

// String names the service for its supervisor.
func (f *Follower[T]) String() string {
	return "follower " + f.name
}

// Serve follows the store until ctx ends.
func (f *Follower[T]) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if open, changed := f.gate.Open(); !open {
			f.failures = 0
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		pause := f.settle(ctx, f.round(ctx))
		if err := sleeper.Sleep(ctx, pause); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// round makes one call.
func (f *Follower[T]) round(ctx context.Context) error {
	from, known := f.sink.Revision()
	if !known || f.forgotten {
		return f.list(ctx)
	}
	return f.watch(ctx, from)
}

func (f *Follower[T]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+f.cfg.Slack)
	defer cancel()
	items, revision, err := f.feed.List(ctx)
	if err != nil {
		return err
	}
	f.failures = 0
	f.forgotten = false
	f.sink.Replace(items, revision)
	return nil
}

func (f *Follower[T]) watch(ctx context.Context, from uint64) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+f.cfg.Slack)
	defer cancel()
	changes, revision, err := f.feed.Watch(ctx, from, f.cfg.Wait)
	var lost *CompactedError
	if errors.As(err, &lost) {
		f.forgotten = true
		return nil
	}
	if err != nil {
		return err
	}
	f.failures = 0
	f.sink.Apply(changes, revision)
	return nil
}

// settle notes the outcome of a call and returns the pause before the next.
func (f *Follower[T]) settle(ctx context.Context, err error) time.Duration {
	if err == nil {
		if f.forgotten {
			return 0
		}
		return f.vary(f.cfg.Pause)
	}
	if ctx.Err() != nil {
		return 0
	}
	if f.failures == 0 {
		f.sink.Lost(err)
	}
	pause := min(f.cfg.MaxRetry, f.cfg.Retry<<min(f.failures, 8))
	f.failures++
	return f.vary(pause)
}

// vary returns d, longer or shorter by up to a quarter.
func (f *Follower[T]) vary(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + f.cfg.Rand()/2))
}
