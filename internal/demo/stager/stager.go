// Package stager runs complete deployments in one process, with stand-ins for the platform and the searchers.
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

// Configuration of the stand-in searchers.
const (
	meanServiceTime = 8 * time.Millisecond
	stragglerShare  = 0.01
	stragglerFactor = 10
	coldTime        = 200 * time.Millisecond
	coldSuccesses   = 3
	documents       = 1000
)

// Times of a site.
const (
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
	callTimeout       = 10 * time.Second
	shutdownLag       = 10 * time.Millisecond
	drainTimeout      = 3 * time.Second
)

// Site is a deployment that runs in this process.
type Site struct {
	Name string
	// Schema declares the services with the actual addresses of the searchers.
	Schema *reader.Schema
	// Fleet is the stand-in searchers.
	Fleet *searcher.Fleet
	// Daemons has one daemon for each zone.
	Daemons []declarer.Instance

	// stopFuncs stop the parts of the site, in the order in which these were started.
	stopFuncs []func()
}

// NotReadyError is the error when a daemon does not become ready in time.
type NotReadyError struct {
	Instance string
	Err      error
}

// Error returns the instance, the timeout and the error of the last readiness check.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("instance %q is not ready after %s: %v", e.Instance, readyTimeout, e.Err)
}

// Unwrap returns the error of the last readiness check.
func (e *NotReadyError) Unwrap() error {
	return e.Err
}

// New starts the deployment described by the files NAME.schema.ini and NAME.settings.ini in the folder fixtures: a
// platform, the schema's searchers, and a daemon in each zone, all on free ports of 127.0.0.1. It creates the zones and
// services with operator calls and waits until all daemons are ready. The returned function stops the deployment.
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
	if err := s.createObjects(ctx); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

// startPlatform starts a stand-in platform and returns its URL.
func (s *Site) startPlatform(ctx context.Context, log hclog.Logger) (string, error) {
	k, closer := keeper.New(keeper.Config{}, log.Named("platform"))
	s.stopFuncs = append(s.stopFuncs, closer)
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for the platform: %w", err)
	}
	srv := &http.Server{Handler: k, ReadHeaderTimeout: callTimeout}
	go func() {
		if err := srv.Serve(lis); err != http.ErrServerClosed {
			log.Error("platform server failed", "error", err)
		}
	}()
	s.stopFuncs = append(s.stopFuncs, func() { srv.Close() })
	return "http://" + lis.Addr().String(), nil
}

// startSearchers starts stand-in searchers for the schema's services, and puts their addresses into the schema.
func (s *Site) startSearchers() error {
	fleet, closer, err := searcher.NewFleet(searcher.FleetConfig{
		Template: searcher.Config{
			MeanServiceTime: meanServiceTime, StragglerShare: stragglerShare, StragglerFactor: stragglerFactor, Seed: 1,
			ColdFor: coldTime, ColdSuccesses: coldSuccesses, Documents: documents,
		},
		AnyPort: true,
	}, s.Schema.Services)
	if err != nil {
		return err
	}
	s.Fleet = fleet
	s.Schema.Services = fleet.Services()
	s.stopFuncs = append(s.stopFuncs, closer)
	return nil
}

// startDaemon starts a daemon in a zone, with free ports in place of the addresses in the settings.
func (s *Site) startDaemon(set reader.Settings, zone, platform string, log hclog.Logger) error {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	set.Daemon.ID = zone + "-1"
	set.Daemon.Zone = zone
	set.Caller.Listen, set.Operator.Listen, set.Peer.Listen = anyPort, anyPort, anyPort
	set.Platform.URL = platform
	set.Shutdown = reader.Shutdown{Lag: shutdownLag, Drain: drainTimeout}
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
			log.Error("daemon failed", "instance", set.Daemon.ID, "error", err)
		}
	}()
	s.stopFuncs = append(s.stopFuncs, func() {
		cancel()
		<-done
		closer()
	})
	s.Daemons = append(s.Daemons, d.Self())
	return nil
}

// createObjects creates the schema's zones and services with operator calls.
func (s *Site) createObjects(ctx context.Context) error {
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

// awaitReady waits until all daemons report that they are ready.
func (s *Site) awaitReady(ctx context.Context) error {
	for _, in := range s.Daemons {
		if err := awaitInstanceReady(ctx, in); err != nil {
			return err
		}
	}
	return nil
}

// awaitInstanceReady waits at most readyTimeout until a daemon reports that it is ready.
func awaitInstanceReady(ctx context.Context, in declarer.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c := requester.New("http://"+in.Caller.String(), &http.Client{Timeout: callTimeout})
	poll := time.NewTicker(readyPollInterval)
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

// stop stops the parts of the site, in reverse order of their start.
func (s *Site) stop() {
	for i := len(s.stopFuncs) - 1; i >= 0; i-- {
		s.stopFuncs[i]()
	}
}
