package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"cornelwood.example/internal/standin/keeper"
	"cornelwood.example/platform"
)

const (
	// loopback is the address of everything in a play.
	loopback = "127.0.0.1"
	// host is the host of every route.
	host = "search.example"
	// ownZone is the daemon's availability zone.
	ownZone = "zone-a"
	// startTimeout bounds the start of the daemon, pollInterval is the interval of checks while something is awaited.
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Bounds of the users' site files.
const (
	drainLimit   = 3 * time.Second
	grace        = 6 * time.Second
	settleWindow = 4 * time.Second
)

// config is what a site is made from.
type config struct {
	// dir is the folder for the settings and the log of the daemon.
	dir      string
	template string
	// command is the daemon's command, without the path of the settings file at its end.
	command []string
	rec     *record
}

// site is an entry daemon in a process of its own, with a store and searchers in this process.
type site struct {
	rec    *record
	store  *keeper.MemoryStore
	cutter *watchCutter
	daemon *exec.Cmd
	// ended is closed when the daemon's process has ended.
	ended     chan struct{}
	callers   string
	checks    string
	searchers []*searcher
}

// newSite starts a store and a daemon, which is not ready before a desired state is declared. The returned function ends
// everything.
func newSite(ctx context.Context, cfg *config) (*site, func(), error) {
	s := &site{rec: cfg.rec, store: keeper.NewMemoryStore(), ended: make(chan struct{})}
	s.cutter = newWatchCutter(s.store, cfg.rec)
	lis, err := listen(ctx)
	if err != nil {
		return nil, nil, err
	}
	srv := &http.Server{Handler: s.cutter, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lis) }()
	settings, err := s.writeSettings(ctx, cfg, lis.Addr().String())
	if err != nil {
		srv.Close()
		return nil, nil, err
	}
	log, err := os.Create(filepath.Join(cfg.dir, "daemon.log"))
	if err != nil {
		srv.Close()
		return nil, nil, err
	}
	args := append(append([]string{}, cfg.command[1:]...), settings)
	// The daemon outlives ctx until cleanup, so that an interrupted play ends it, too.
	s.daemon = exec.CommandContext(context.WithoutCancel(ctx), cfg.command[0], args...)
	s.daemon.Stdout, s.daemon.Stderr = log, log
	if err := s.daemon.Start(); err != nil {
		srv.Close()
		log.Close()
		return nil, nil, err
	}
	pid := filepath.Join(cfg.dir, "daemon.pid")
	if err := os.WriteFile(pid, []byte(strconv.Itoa(s.daemon.Process.Pid)), 0o600); err != nil {
		cfg.rec.addf("the daemon's process ID is not written: %v", err)
	}
	go func() {
		defer close(s.ended)
		// The exit code of a process that was signalled is of no interest.
		_ = s.daemon.Wait()
	}()
	return s, func() {
		// The process may have ended already.
		_ = s.daemon.Process.Kill()
		<-s.ended
		os.Remove(pid)
		srv.Close()
		log.Close()
		for _, sr := range s.searchers {
			sr.close()
		}
	}, nil
}

// writeSettings fills the template of the settings in like the platform and returns the path of the result.
func (s *site) writeSettings(ctx context.Context, cfg *config, store string) (string, error) {
	ports, err := freePorts(ctx, 3)
	if err != nil {
		return "", err
	}
	s.callers, s.checks = net.JoinHostPort(loopback, ports[0]), net.JoinHostPort(loopback, ports[1])
	template, err := os.ReadFile(cfg.template)
	if err != nil {
		return "", err
	}
	text, err := fill(string(template), map[string]string{
		"node_name": "front-1", "zone": ownZone, "region": "region-1",
		"listen.front_addr": s.callers, "listen.ready_addr": s.checks, "ip": loopback, "port_range.0": ports[2],
		"platform.address": store, "bootstrap": "", "limits.memory_mb": "284", "limits.cpu_share": "0.4",
		"bounds.grace_s": "6", "bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "54", "bounds.budget_window_s": "10",
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(cfg.dir, "node.toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// declare writes the desired state and waits until the daemon is ready and in touch with the store.
func (s *site) declare(ctx context.Context, routes, services string) error {
	spec := fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s],`+
		`"limits":{"header_bytes":16384,"body_bytes":262144,"header_ms":3000,"idle_ms":15000}}`, routes, services)
	s.store.Set(platform.KindConfig, platform.ConfigName, json.RawMessage(spec))
	for end := time.Now().Add(startTimeout); ; {
		if s.isReady(ctx) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("the daemon is not ready after %s", startTimeout)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	s.rec.addf("the daemon is ready")
	return sleep(ctx, settleWindow+time.Second)
}

// onceRoute returns a route to one service for requests that may run once and wait 5 s, like those of the users' days.
func onceRoute(service string) string {
	return fmt.Sprintf(`{"name":"r-%s","host":%q,"path_prefix":"/%s/","kind":"non_idempotent","timeout_ms":5000,"goal_ms":500,"priority":2,"service":%q,"attempts":2}`,
		service, host, service, service)
}

func (s *site) isReady(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.checks+platform.ReadyPath, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// terminate sends SIGTERM to the daemon, and SIGKILL once the grace time has passed, like the platform.
func (s *site) terminate() error {
	s.rec.addf("SIGTERM to the daemon")
	if err := s.daemon.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.AfterFunc(grace, func() {
		select {
		case <-s.ended:
		default:
			s.rec.addf("SIGKILL to the daemon: the grace time is over")
			// The process may just have ended.
			_ = s.daemon.Process.Kill()
		}
	})
	go func() {
		<-s.ended
		s.rec.addf("the daemon's process has ended")
	}()
	return nil
}

func listen(ctx context.Context) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(loopback, "0"))
}

// freePorts returns n ports that were free a moment ago.
func freePorts(ctx context.Context, n int) ([]string, error) {
	var ports []string
	for range n {
		lis, err := listen(ctx)
		if err != nil {
			return nil, err
		}
		defer lis.Close()
		_, port, err := net.SplitHostPort(lis.Addr().String())
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

// sleep waits until d has passed or ctx ends, and then returns its error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
