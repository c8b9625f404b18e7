// Package router puts an entry daemon together from its settings: followers of
// the store, the control goroutine, the connections to searchers and the HTTP
// services, under one suture supervisor.
package router

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/control/registrar"
	"cornelwood.example/internal/control/relayer"
	"cornelwood.example/internal/peer/linker"
	"cornelwood.example/internal/route/forwarder"
	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/route/picker"
	"cornelwood.example/internal/settings/reader"
	"cornelwood.example/internal/upstream/connector"
	"cornelwood.example/internal/web/server"
	"cornelwood.example/platform"
)

const (
	// memoryShare is the share of the memory limit that the runtime aims to stay under.
	memoryShare = 0.7
	// garbagePercent lets the heap grow to five times what is live: the live heap is a
	// few MB, and collections cost processor time.
	garbagePercent = 400
	// headerTimeout, idleTimeout and maxHeader bound a client's connection; they lie
	// above what desired states let clients do.
	headerTimeout = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
	// ratioShare is the share of the budget's ratio that is spent: requests are counted
	// where they arrive, some time after this daemon counts them.
	ratioShare = 0.9
	// linkHeartbeat is the pace at which idle links to peers are looked after.
	linkHeartbeat = time.Second
	// sweepInterval is the time between two closings of idle connections to searchers;
	// it adds to the time that they are kept.
	sweepInterval = 250 * time.Millisecond
)

// Router is one instance's entry daemon.
type Router struct {
	// set holds the settings in force, which Reload changes.
	set atomic.Pointer[reader.EntrySettings]
	log hclog.Logger
	reg *prometheus.Registry

	callers, checks, peers net.Listener
	store                  *platform.Client
	locator                *locator.Locator
	conns                  *connector.Connector
	picker                 *picker.Picker
	forwarder              *forwarder.Forwarder
	link                   *linker.Linker
	relay                  *relayer.Relayer
	registrar              *registrar.Registrar
	followers              []suture.Service
	server                 *http.Server
	// leaving is true from SIGTERM on.
	leaving atomic.Bool
	// running counts the clients' requests that run.
	running atomic.Int64
	closers []func()
}

// New listens on the settings' addresses and puts the daemon together. The
// function returned frees what it holds; call it after Serve has returned.
func New(set *reader.EntrySettings, log hclog.Logger) (*Router, func(), error) {
	r := &Router{log: log, reg: prometheus.NewRegistry()}
	r.set.Store(set)
	if set.Process.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(set.Process.MemoryMB) * memoryShare * (1 << 20)))
	}
	debug.SetGCPercent(garbagePercent)
	for _, l := range []struct {
		key  string
		addr netip.AddrPort
		lis  *net.Listener
	}{{"listen", set.Caller.Listen, &r.callers}, {"checks", set.Caller.Checks, &r.checks}, {"peers", set.Caller.Peers, &r.peers}} {
		lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.addr))
		if err != nil {
			r.close()
			return nil, nil, eris.Wrapf(err, "section [caller]: key %q", l.key)
		}
		*l.lis = lis
		r.closers = append(r.closers, func() { lis.Close() })
	}
	r.build(set)
	return r, r.close, nil
}

func (r *Router) build(set *reader.EntrySettings) {
	r.reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelwood_store_calls_total", Help: "Calls to the metadata store by kind and result.",
	}, []string{"call", "result"})
	r.reg.MustRegister(calls)
	var closer func()
	r.store, closer = platform.NewClient(set.Store.Address, func(call string, err error) {
		result := "answered"
		if err != nil {
			result = "failed"
		}
		calls.WithLabelValues(call, result).Inc()
	})
	r.closers = append(r.closers, closer)
	r.locator = locator.New(member(set), r.log.Named("control"))
	r.picker = picker.New(set.Daemon.Zone, time.Now)
	r.buildControl(set)
	r.conns, closer = connector.New(connector.Default(), platform.Codec{})
	r.closers = append(r.closers, closer)
	r.reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "cornelwood_searcher_connections_opened_total", Help: "Connections opened to searchers.",
	}, func() float64 { return float64(r.conns.Opened()) }))
	r.forwarder = forwarder.New(policy(set), r.locator, r.picker, r.conns, r.log.Named("route"), forwarder.NewMetrics(r.reg))
	r.server = &http.Server{
		Handler:           r.counted(platform.NewFrontend(r.forwarder, r.leaving.Load)),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// buildControl makes what reads the store and spreads it among the daemons.
func (r *Router) buildControl(set *reader.EntrySettings) {
	self := member(set)
	var closer func()
	r.link, closer = linker.New(linker.Config{Self: self.Peer, HeartbeatInterval: linkHeartbeat}, nil, r.log.Named("peer"), r.reg)
	r.closers = append(r.closers, closer)
	r.relay = relayer.New(relayer.Default(), self, func() []declarer.Member { return r.locator.View().Members() }, r.link, r.picker, r.log.Named("control"))
	r.link.Handle(relayer.CallName(), r.relay.Handle)
	members := relayer.NewCache("members", r.locator.Members(), r.relay).NeverStale()
	r.registrar = registrar.New(self, r.store, r.log.Named("control"))
	cfg := follower.Default()
	r.followers = []suture.Service{
		follower.New("members", cfg, r.store.Members(), members, r.relay.MemberGate()),
		follower.New("routing", cfg, r.store.Routings(), relayer.NewCache("routing", r.locator.Routings(), r.relay), r.relay),
		follower.New("searchers", cfg, r.store.Searchers(), relayer.NewCache("searchers", r.locator.Searchers(), r.relay), r.relay),
		follower.New("closures", cfg, r.store.Closures(), relayer.NewCache("closures", r.locator.Closures(), r.relay), r.relay),
	}
}

// member returns the daemon as the others know it.
func member(set *reader.EntrySettings) declarer.Member {
	return declarer.Member{ID: set.Daemon.ID, Zone: set.Daemon.Zone, Peer: set.Caller.Peers}
}

// policy returns the forwarder's policy with the settings' budget.
func policy(set *reader.EntrySettings) forwarder.Config {
	cfg := forwarder.Default()
	cfg.ExtraPercent = int(math.Floor(set.Extra.Ratio * 100 * ratioShare))
	cfg.ExtraSlack = set.Extra.Slack
	cfg.ExtraWindow = set.Extra.Window
	return cfg
}

// Reload takes changed settings over: the level of logs, the grace time and the
// budget of extra requests. Addresses and names hold until the next start.
func (r *Router) Reload(set *reader.EntrySettings) {
	r.log.SetLevel(hclog.LevelFromString(set.Log.Level))
	r.forwarder.SetExtraPercent(policy(set).ExtraPercent)
	r.set.Store(set)
	r.log.Info("settings reloaded", "instance", set.Daemon.ID, "grace", set.Shutdown.Grace, "ratio", set.Extra.Ratio)
}

// Serve runs the daemon until ctx ends, and then shuts it down gracefully.
func (r *Router) Serve(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := r.supervise(run)
	set := r.set.Load()
	r.log.Info("started", "instance", set.Daemon.ID, "zone", set.Daemon.Zone, "callers", r.callers.Addr(), "checks", r.checks.Addr())
	<-ctx.Done()
	r.shutdown()
	stop()
	<-done
	r.log.Info("stopped", "instance", set.Daemon.ID)
	return nil
}

// supervise starts every service under one supervisor. The channel is closed when
// all have ended.
func (r *Router) supervise(ctx context.Context) <-chan struct{} {
	sup := suture.New(r.set.Load().Daemon.ID, suture.Spec{EventHook: func(e suture.Event) {
		r.log.Error("service ended", "event", e.String())
	}})
	sup.Add(r.locator)
	sup.Add(r.link.Server(r.peers))
	sup.Add(r.registrar)
	sup.Add(r.relay)
	for _, f := range r.followers {
		sup.Add(f)
	}
	sup.Add(server.New("callers", r.callers, r.server))
	metrics := promhttp.HandlerFor(r.reg, promhttp.HandlerOpts{})
	checks := &http.Server{Handler: platform.NewHealthHandler(r.ready, metrics), ReadHeaderTimeout: headerTimeout}
	sup.Add(server.New("checks", r.checks, checks))
	sup.Add(&sweeper{r.conns})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := sup.Serve(ctx); err != nil && !errors.Is(err, context.Canceled) {
			r.log.Error("supervisor ended", "error", err)
		}
	}()
	return done
}

// ready reports whether new clients are welcome.
func (r *Router) ready() (bool, string) {
	if r.leaving.Load() {
		return false, "leaving"
	}
	return r.locator.View().Ready()
}

// close frees what the daemon holds, last made first.
func (r *Router) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}
