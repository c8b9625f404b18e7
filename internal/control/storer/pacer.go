package storer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cornelwood.example/internal/time/sleeper"
)

var (
	errClosed  = errors.New("storer is closed")
	errTimeout = fmt.Errorf("no answer within the timeout: %w", context.DeadlineExceeded)
	errBackoff = errors.New("backoff after a failure exceeds the call's deadline")
)

// do makes a call after the backoff, when the limiter admits it. wait is how long the
// store may hold back its answer.
func (s *Storer) do(ctx context.Context, name string, wait time.Duration, call func(ctx context.Context) error) error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.closed, cancel)()
	if err := s.admit(callCtx); err != nil {
		s.calls.WithLabelValues(name, "held").Inc()
		return &UnavailableError{Call: name, Err: err}
	}
	timeoutCtx, release := context.WithTimeoutCause(callCtx, s.cfg.Timeout+wait, errTimeout)
	defer release()
	started := time.Now()
	err := call(timeoutCtx)
	s.recordOutcome(timeoutCtx, name, started, err)
	return err
}

// admit waits for the end of the backoff and for the limiter. It fails at once when the
// backoff exceeds the deadline of ctx.
func (s *Storer) admit(ctx context.Context) error {
	if s.closed.Err() != nil {
		return errClosed
	}
	s.mu.Lock()
	wait := time.Until(s.backoff.until)
	s.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return errBackoff
	}
	if err := sleeper.Sleep(ctx, wait); err != nil {
		return err
	}
	return s.cfg.Limiter.Wait(ctx)
}

// recordOutcome counts the call, and starts or ends the backoff.
func (s *Storer) recordOutcome(ctx context.Context, name string, started time.Time, err error) {
	var unavailable *UnavailableError
	isFailure := errors.As(err, &unavailable)
	result := "answered"
	if isFailure {
		result = "failed"
	}
	s.calls.WithLabelValues(name, result).Inc()
	// A call that was cancelled does not show that the store is unavailable.
	if isFailure && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if isFailure {
		s.backoff.fail(started, time.Now(), s.cfg.Rand())
		return
	}
	s.backoff.succeed()
}
