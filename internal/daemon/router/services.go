package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"

	"cornelwood.example/internal/time/sleeper"
	"cornelwood.example/internal/upstream/connector"
)

// httpService is an HTTP server under suture.
type httpService struct {
	name string
	lis  net.Listener
	srv  *http.Server
}

// String names the service in the supervisor's events.
func (s *httpService) String() string {
	return s.name
}

// Serve serves until ctx ends or the server is shut down.
func (s *httpService) Serve(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { s.srv.Close() })()
	err := s.srv.Serve(s.lis)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

// sweeper closes idle connections to searchers.
type sweeper struct {
	conns *connector.Connector
}

// String names the service in the supervisor's events.
func (s *sweeper) String() string {
	return "sweeper"
}

// Serve sweeps now and then until ctx ends.
func (s *sweeper) Serve(ctx context.Context) error {
	for {
		if err := sleeper.Sleep(ctx, sweepInterval); err != nil {
			return err
		}
		s.conns.Sweep(time.Now())
	}
}
