// Package server runs an HTTP server as a service of a suture supervisor.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/thejerf/suture/v4"
)

// Server is an HTTP server on one listener.
type Server struct {
	name string
	lis  net.Listener
	srv  *http.Server
}

// New returns a Server. name identifies it in the supervisor's events.
func New(name string, lis net.Listener, srv *http.Server) *Server {
	return &Server{name: name, lis: lis, srv: srv}
}

// String returns the name of the service in the supervisor's events.
func (s *Server) String() string {
	return s.name
}

// Serve serves until ctx ends or Shutdown is called.
func (s *Server) Serve(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { s.srv.Close() })()
	err := s.srv.Serve(s.lis)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

// Shutdown refuses new connections and waits for requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.srv.Shutdown(ctx)
}
