package storer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cornelwood.example/internal/time/sleeper"
)

var (
	errEnded = errors.New("the storer has ended")
	errSlow  = fmt.Errorf("no answer in time: %w", context.DeadlineExceeded)
	errPause = errors.New("the pause after a failure outlasts the call")
)

// do makes a call once the pause and the limiter let it; wait is how long the
// store may hold its answer back.
func (s *Storer) do(ctx context.Context, name string, wait time.Duration, call func(ctx context.Context) error) error {
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ended, cancel)()
	if err := s.admit(stop); err != nil {
		s.calls.WithLabelValues(name, "held").Inc()
		return &UnavailableError{Call: name, Err: err}
	}
	bounded, release := context.WithTimeoutCause(stop, s.cfg.Timeout+wait, errSlow)
	defer release()
	started := time.Now()
	err := call(bounded)
	s.settle(bounded, name, started, err)
	return err
}

// admit waits for the end of the pause and for the limiter.
func (s *Storer) admit(ctx context.Context) error {
	if s.ended.Err() != nil {
		return errEnded
	}
	s.mu.Lock()
	wait := time.Until(s.pause.until)
	s.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return errPause
	}
	if err := sleeper.Sleep(ctx, wait); err != nil {
		return err
	}
	return s.cfg.Limiter.Wait(ctx)
}

// settle counts the call and notes whether the store works.
func (s *Storer) settle(ctx context.Context, name string, started time.Time, err error) {
	var failure *UnavailableError
	isFailure := errors.As(err, &failure)
	result := "answered"
	if isFailure {
		result = "failed"
	}
	s.calls.WithLabelValues(name, result).Inc()
	// A caller that gives up says nothing about the store.
	if isFailure && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if isFailure {
		s.pause.fail(started, time.Now(), s.cfg.Rand())
		return
	}
	s.pause.succeed()
}
