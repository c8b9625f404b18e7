// Package sentry detects that the process was paused: stopped, suspended with its machine, or without a processor.
package sentry

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"cornelwood.example/internal/time/sleeper"
)

// interval is the interval of the ticks whose absence shows a pause.
const interval = 100 * time.Millisecond

// Clock returns the time since an arbitrary moment. It goes on while the machine is suspended.
type Clock func() time.Duration

// BootClock returns the time since the machine was started. Unlike the clock of package time, it counts the time for which
// the machine was suspended.
func BootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go supports has this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Sentry detects pauses of the process. It is a service whose Serve ticks. It is safe for concurrent use.
type Sentry struct {
	clock     Clock
	threshold time.Duration
	onPause   func(time.Duration)
	// tickedAt is the clock's time of the last tick, in nanoseconds.
	tickedAt atomic.Int64
}

// New returns a Sentry that calls onPause with the length of each pause of at least threshold, as soon as it is detected.
func New(clock Clock, threshold time.Duration, onPause func(time.Duration)) *Sentry {
	s := &Sentry{clock: clock, threshold: threshold, onPause: onPause}
	s.tickedAt.Store(int64(clock()))
	return s
}

// Check detects a pause that has just ended. Call it before acting on something that a pause makes outdated, which may be
// before the next tick.
func (s *Sentry) Check() {
	now := int64(s.clock())
	last := s.tickedAt.Load()
	if pause := time.Duration(now - last); pause >= s.threshold && s.tickedAt.CompareAndSwap(last, now) {
		s.onPause(pause)
	}
}

// String names the service for its supervisor.
func (s *Sentry) String() string {
	return "sentry"
}

// Serve ticks until ctx ends, and returns its error.
func (s *Sentry) Serve(ctx context.Context) error {
	for {
		s.Check()
		s.tickedAt.Store(int64(s.clock()))
		if err := sleeper.Sleep(ctx, interval); err != nil {
			return err
		}
	}
}
