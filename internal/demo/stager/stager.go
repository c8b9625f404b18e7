// Package stager runs whole deployments in one process, with stand-ins in place
// of the platform and the searchers.
package stager

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/cli/requester"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/daemon/assembler"
	"cornelwood.example/internal/settings/reader"
	"cornelwood.example/internal/standin/keeper"
	"cornelwood.example/internal/standin/searcher"
)

// Behaviour of the stand-in searchers.
const (
	meanService   = 8 * time.Millisecond
	stragglers    = 0.01
	stragglerSlow = 10
	coldFor       = 200 * time.Millisecond
	coldSuccesses = 3
	documents     = 1000
)

// Times of a stage.
const (
	readyWait    = 15 * time.Second
	readyPoll    = 50 * time.Millisecond
	callTimeout  = 10 * time.Second
	shutdownLag  = 10 * time.Millisecond
	shutdownTime = 3 * time.Second
)

// Site is one deployment that runs in this process.
type Site struct {
	Name    string
	Schema  *reader.Schema
	Fleet   *searcher.Fleet
	Daemons []declarer.Instance

	stops []func()
}

// NotReadyError says that a daemon did not become ready in time.
type NotReadyError struct {
	Instance string
	Err      error
}

// Error returns the instance and the last reason.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("instance %q is not ready after %s: %v", e.Instance, readyWait, e.Err)
}

// Unwrap returns the last reason.
func (e *NotReadyError) Unwrap() error {
	return e.Err
}

// New starts the deployment that the fixtures name: a platform, the schema's
// searchers, and a daemon in each zone, all on free ports of 127.0.0.1. It
// creates the zones and services through an operator's calls and waits until
// every daemon is ready. The function returned stops everything.
func New(ctx context.Context, fixtures, name string, log hclog.Logger) (*Site, func(), error) {
	s := &Site{Name: name}
	if err := s.start(ctx, filepath.Join(fixtures, name), log); err != nil {
		s.stop()
		return nil, nil, err
	}
	return s, s.stop, nil
}

func (s *Site) start(ctx context.Context, base string, log hclog.Logger) error {
	var err error
	if s.Schema, err = reader.ReadSchema(base + ".schema.ini"); err != nil {
		return err
	}
	settings, err := reader.ReadSettings(base + ".settings.ini")
	if err != nil {
		return err
	}
	platform, err := s.startPlatform(ctx, log)
	if err != nil {
		return err
	}
	if err := s.startSearchers(); err != nil {
		return err
	}
	for _, z := range s.Schema.Zones {
		if err := s.startDaemon(*settings, z.Name, platform, log); err != nil {
			return err
		}
	}
	if err := s.create(ctx); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

func (s *Site) startPlatform(ctx context.Context, log hclog.Logger) (string, error) {
	k, closer := keeper.New(keeper.Config{}, log.Named("platform"))
	s.stops = append(s.stops, closer)
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("platform: %w", err)
	}
	srv := &http.Server{Handler: k, ReadHeaderTimeout: callTimeout}
	go func() {
		if err := srv.Serve(lis); err != http.ErrServerClosed {
			log.Error("platform ended", "error", err)
		}
	}()
	s.stops = append(s.stops, func() { srv.Close() })
	return "http://" + lis.Addr().String(), nil
}

func (s *Site) startSearchers() error {
	fleet, closer, err := searcher.NewFleet(searcher.FleetConfig{
		Template: searcher.Config{
			MeanServiceTime: meanService, StragglerShare: stragglers, StragglerFactor: stragglerSlow, Seed: 1,
			ColdFor: coldFor, ColdSuccesses: coldSuccesses, Documents: documents,
		},
		AnyPort: true,
	}, s.Schema.Services)
	if err != nil {
		return err
	}
	s.Fleet = fleet
	s.Schema.Services = fleet.Services()
	s.stops = append(s.stops, closer)
	return nil
}

// startDaemon starts a daemon in a zone, with the addresses in settings replaced
// by free ports.
func (s *Site) startDaemon(set reader.Settings, zone, platform string, log hclog.Logger) error {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	set.Daemon.ID = zone + "-1"
	set.Daemon.Zone = zone
	set.Caller.Listen, set.Operator.Listen, set.Peer.Listen = anyPort, anyPort, anyPort
	set.Platform.URL = platform
	set.Shutdown = reader.Shutdown{Lag: shutdownLag, Drain: shutdownTime}
	set.Peer.Seeds = nil
	for _, in := range s.Daemons {
		set.Peer.Seeds = append(set.Peer.Seeds, in.Peer)
	}
	d, closer, err := assembler.New(&set, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := d.Serve(ctx); err != nil {
			log.Error("daemon ended", "instance", set.Daemon.ID, "error", err)
		}
	}()
	s.stops = append(s.stops, func() {
		cancel()
		<-done
		closer()
	})
	s.Daemons = append(s.Daemons, d.Self())
	return nil
}

// create puts the schema in force as an operator would.
func (s *Site) create(ctx context.Context) error {
	op := requester.New("http://"+s.Daemons[0].Operator.String(), &http.Client{Timeout: callTimeout})
	for i := range s.Schema.Zones {
		z := &s.Schema.Zones[i]
		in := map[string]any{"change": "demo-" + z.Name, "zone": z}
		if err := op.Do(ctx, http.MethodPost, "/v1/zones", in, nil); err != nil {
			return fmt.Errorf("zone %q: %w", z.Name, err)
		}
	}
	for i := range s.Schema.Services {
		sv := &s.Schema.Services[i]
		in := map[string]any{"change": "demo-" + sv.Name, "service": sv}
		if err := op.Do(ctx, http.MethodPost, "/v1/services", in, nil); err != nil {
			return fmt.Errorf("service %q: %w", sv.Name, err)
		}
	}
	return nil
}

// awaitReady waits until each daemon welcomes callers.
func (s *Site) awaitReady(ctx context.Context) error {
	for _, in := range s.Daemons {
		if err := awaitOne(ctx, in); err != nil {
			return err
		}
	}
	return nil
}

func awaitOne(ctx context.Context, in declarer.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	c := requester.New("http://"+in.Caller.String(), &http.Client{Timeout: callTimeout})
	poll := time.NewTicker(readyPoll)
	defer poll.Stop()
	for {
		err := c.Do(ctx, http.MethodGet, "/ready", nil, nil)
		if err == nil {
			return nil
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return &NotReadyError{Instance: in.ID, Err: err}
		}
	}
}

// stop stops what was started, last first.
func (s *Site) stop() {
	for i := len(s.stops) - 1; i >= 0; i-- {
		s.stops[i]()
	}
}
