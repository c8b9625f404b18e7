package router

import (
	"context"
	"time"

	"cornelwood.example/internal/time/sleeper"
	"cornelwood.example/internal/upstream/connector"
)

// sweeper closes idle connections to searchers.
type sweeper struct {
	conns *connector.Connector
}

// String names the service in the supervisor's events.
func (s *sweeper) String() string {
	return "sweeper"
}

// Serve closes idle connections every sweepInterval until ctx ends.
func (s *sweeper) Serve(ctx context.Context) error {
	for {
		if err := sleeper.Sleep(ctx, sweepInterval); err != nil {
			return err
		}
		s.conns.Sweep(time.Now())
	}
}
