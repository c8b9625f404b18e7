package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/thejerf/suture/v4"

	"cornelwood.example/internal/caller/receiver"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/peer/assigner"
)

// httpService is an HTTP server under suture.
type httpService struct {
	name string
	lis  net.Listener
	srv  *http.Server
}

func newHTTPService(name string, lis net.Listener, h http.Handler) *httpService {
	return &httpService{name: name, lis: lis, srv: receiver.Server(h)}
}

// String names the service in the supervisor's events.
func (s *httpService) String() string {
	return s.name
}

// Serve serves until ctx ends or Shutdown is called.
func (s *httpService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.srv.Close() })
	defer stop()
	err := s.srv.Serve(s.lis)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

// Shutdown refuses new connections and waits for running calls.
func (s *httpService) Shutdown(ctx context.Context) error {
	return s.srv.Shutdown(ctx)
}

// worker runs peers' tasks on the daemon's own dispatcher, which is made after
// the links.
type worker struct {
	d *Daemon
}

// Do runs one task of a peer.
func (w worker) Do(ctx context.Context, t exchanger.Task, deliver func(exchanger.Result)) {
	w.d.owner.Do(ctx, t, deliver)
}

// checker answers the balancer's checks.
type checker struct {
	d *Daemon
}

// Ready reports whether new callers are welcome.
func (c checker) Ready() (bool, string) {
	if c.d.leaving.Load() {
		return false, "leaving"
	}
	return c.d.control.Ready()
}

// Live reports whether the control goroutine turns.
func (c checker) Live(ctx context.Context) bool {
	_, err := c.d.control.Status(ctx)
	return err == nil
}

// inFlight returns the number of sub-requests that run or wait at this daemon's
// upstreams.
func (d *Daemon) inFlight() int {
	n := 0
	for _, u := range d.owner.Snapshot() {
		n += u.InFlight + u.Waiting
	}
	return n
}

// inFlightFor returns the number of sub-requests that run at upstreams for which
// another instance ranks before this one; all of them while this one leaves.
func (d *Daemon) inFlightFor(other string, leaving bool) int {
	if leaving {
		return d.inFlight()
	}
	pair := []declarer.Instance{{ID: d.self.ID}, {ID: other}}
	n := 0
	for _, u := range d.owner.Snapshot() {
		if u.InFlight > 0 && assigner.Owner(viewer.UpstreamKey(u.Service, u.Upstream), pair) == 1 {
			n += u.InFlight
		}
	}
	return n
}
