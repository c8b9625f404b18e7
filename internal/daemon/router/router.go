// Package router assembles an entry daemon from its settings: the followers of the store, the control
// goroutine, the connections to searchers and the HTTP services, under one suture supervisor.
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
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/control/registrar"
	"cornelwood.example/internal/control/relayer"
	"cornelwood.example/internal/peer/lender"
	"cornelwood.example/internal/peer/linker"
	"cornelwood.example/internal/route/delegator"
	"cornelwood.example/internal/route/forwarder"
	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/route/picker"
	"cornelwood.example/internal/route/promoter"
	"cornelwood.example/internal/route/selector"
	"cornelwood.example/internal/settings/reader"
	"cornelwood.example/internal/time/sentry"
	"cornelwood.example/internal/upstream/connector"
	"cornelwood.example/internal/web/evictor"
	"cornelwood.example/internal/web/gauger"
	"cornelwood.example/internal/web/server"
	"cornelwood.example/platform"
)

const (
	// gcPercent lets the heap grow to five times the live heap: the live heap is a few MB, and collections
	// cost processor time.
	gcPercent = 400
	// readHeaderTimeout, idleTimeout and maxHeaderBytes bound a client connection where the desired state sets no
	// bounds, and connections to the address for checks.
	readHeaderTimeout = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// extraRatioFraction is the fraction of the configured ratio of extra requests that this daemon spends.
	// The rest is a margin: requests are counted where they arrive, some time after this daemon counts them.
	extraRatioFraction = 0.9
	// linkHeartbeatInterval is the interval at which links to peers are checked for silence and idleness.
	linkHeartbeatInterval = time.Second
	// sweepInterval is the time between two sweeps that close idle connections to searchers. It adds to the
	// time for which an idle connection stays open.
	sweepInterval = 250 * time.Millisecond
)

// Router is one instance's entry daemon.
type Router struct {
	// settings holds the settings in force. Reload replaces them.
	settings atomic.Pointer[reader.EntrySettings]
	log      hclog.Logger
	reg      *prometheus.Registry

	callers, checks, peers net.Listener
	store                  *platform.Client
	locator                *locator.Locator
	conns                  *connector.Connector
	picker                 *picker.Picker
	pauses                 *pauseGuard
	keys                   *keyGuard
	selector               *selector.Selector
	// gate and promoter carry out roll-outs; nil where there are none.
	gate      *promoter.Gate
	promoter  *promoter.Promoter
	forwarder *forwarder.Forwarder
	linker    *linker.Linker
	relayer   *relayer.Relayer
	// lender is nil when no limits of accounts are enforced.
	lender    *lender.Lender
	registrar *registrar.Registrar
	followers []suture.Service
	server    *http.Server
	// evictor bounds the connections of clients and other daemons by shares.
	evictor *evictor.Evictor
	shares  evictor.Shares
	// leaving is true from the start of the shutdown on.
	leaving atomic.Bool
	active  *activeConns
	// closers holds the functions that release resources, in order of acquisition.
	closers []func()
}

// New opens the listeners and assembles the daemon. The returned function releases its resources; call it
// after Serve has returned.
func New(settings *reader.EntrySettings, log hclog.Logger) (*Router, func(), error) {
	r := &Router{log: log, reg: prometheus.NewRegistry(), active: newActiveConns()}
	r.settings.Store(settings)
	debug.SetGCPercent(gcPercent)
	for _, l := range []struct {
		key  string
		addr netip.AddrPort
		lis  *net.Listener
	}{{"listen", settings.Caller.Listen, &r.callers}, {"checks", settings.Caller.Checks, &r.checks}, {"peers", settings.Caller.Peers, &r.peers}} {
		lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.addr))
		if err != nil {
			r.close()
			return nil, nil, eris.Wrapf(err, "section [caller]: key %q", l.key)
		}
		*l.lis = lis
		r.closers = append(r.closers, func() { lis.Close() })
	}
	r.build(settings)
	return r, r.close, nil
}

func (r *Router) build(settings *reader.EntrySettings) {
	r.reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	storeCalls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelwood_store_calls_total", Help: "Calls to the metadata store by kind and result.",
	}, []string{"call", "result"})
	r.reg.MustRegister(storeCalls)
	r.buildEvictor(settings)
	var closer func()
	r.store, closer = platform.NewClient(settings.Store.Address, func(call string, err error) {
		result := "answered"
		if err != nil {
			result = "failed"
		}
		storeCalls.WithLabelValues(call, result).Inc()
	})
	r.closers = append(r.closers, closer)
	r.locator = locator.New(selfMember(settings), r.log.Named("control"))
	r.picker = picker.New(settings.Daemon.Zone, time.Now)
	r.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cornelwood_searchers_full", Help: "Searchers with as many requests in flight, of all daemons, as they handle well.",
	}, func() float64 { return float64(r.picker.Full()) }))
	r.buildControl(settings)
	cfg := connector.Default()
	if r.shares.Answers > 0 {
		cfg.MaxBuffered = r.shares.Answers
	}
	r.conns, closer = connector.New(cfg, platform.Codec{})
	r.closers = append(r.closers, closer)
	r.reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "cornelwood_searcher_connections_opened_total", Help: "Connections opened to searchers.",
	}, func() float64 { return float64(r.conns.Opened()) }))
	r.buildForwarder(settings)
	r.server = &http.Server{Handler: platform.NewFrontend(r.forwarder, r.isClosing), ConnState: r.active.track, ConnContext: gauger.ConnContext}
}

// buildForwarder creates the forwarder, and what it needs to leave queries to other daemons.
func (r *Router) buildForwarder(settings *reader.EntrySettings) {
	self := selfMember(settings)
	r.pauses = newPauseGuard(r.locator, r.relayer, sentry.BootClock, relayer.Default().MaxAge, func(pause time.Duration) {
		r.log.Warn("process was paused; requests are refused until the cached state is confirmed", "pause", pause, "most", maxDistrust)
	})
	r.keys = newKeyGuard(r.pauses, settings.Account, sentry.BootClock, r.log.Named("route"))
	if r.keys.revoke > 0 {
		r.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cornelwood_desired_state_age_seconds", Help: "Time since the call to the store that last confirmed the desired state was sent; -1 if not known.",
		}, r.routingAgeSeconds))
	}
	peers := &peers{r.linker}
	r.selector = selector.New(self.Zone, peers, r.log.Named("route"), time.Now)
	d := delegator.New(delegator.Default(), peers, r.selector, peers)
	r.forwarder = forwarder.New(forwarderConfig(settings), self, r.keys, r.picker, r.conns, d, r.log.Named("route"), forwarder.NewMetrics(r.reg))
	r.forwarder.UseGate(r.gate)
	r.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cornelwood_requests_waiting", Help: "Requests that wait for room at the searchers.",
	}, func() float64 { return float64(r.forwarder.Waiting()) }))
	r.buildLender(settings)
	srv := delegator.NewServer(r.forwarder)
	r.linker.HandleStream(gatherStream, func(ctx context.Context, s *linker.Stream) error { return srv.Serve(ctx, s) })
	r.linker.Handle(probeCall, func(context.Context, netip.AddrPort, []byte) (any, error) {
		if ok, reason := r.canGather(); !ok {
			return nil, &linker.RemoteError{Code: codeNotReady, Reason: reason}
		}
		return nil, nil
	})
}

// buildControl creates the followers of the store, the registrar, and the relayer that shares the state read from
// the store among the daemons.
func (r *Router) buildControl(settings *reader.EntrySettings) {
	self := selfMember(settings)
	var closer func()
	r.linker, closer = linker.New(linker.Config{Self: self.Peer, HeartbeatInterval: linkHeartbeatInterval}, nil, r.log.Named("peer"), r.reg)
	r.closers = append(r.closers, closer)
	r.relayer = relayer.New(relayer.Default(), self, func() []declarer.Member { return r.locator.View().Members() }, r.linker, r.checkStore, r.picker, r.log.Named("control"))
	r.linker.Handle(relayer.CallName(), r.relayer.Handle)
	members := relayer.NewCache("members", r.locator.Members(), r.relayer).NeverStale()
	r.registrar = registrar.New(self, settings.Store.Bootstrap, r.store, r.log.Named("control"))
	r.store.OnEra(r.observeEra)
	// Most daemons call the store rarely and learn of an era from their peers.
	r.relayer.OnEra(func(era uint64) { r.store.ObserveEra(era) })
	cfg := follower.Default()
	routings := relayer.NewCache("routing", r.locator.Routings(), r.relayer)
	routings.KeepNewer(func(value, than *declarer.Routing) bool { return value.Version < than.Version })
	if settings.Account.Strict {
		routings.LimitAge(fraction(settings.Account.Revoke, keyReadyShare), r.locator.ConfirmRouting)
	}
	r.followers = []suture.Service{
		follower.New("members", cfg, r.store.Members(), members, r.relayer.MemberGate()),
		follower.New("routing", routingFollowerConfig(settings.Account), r.store.Routings(), routings, r.relayer),
		follower.New("searchers", cfg, r.store.Searchers(), relayer.NewCache("searchers", r.locator.Searchers(), r.relayer), r.relayer),
		follower.New("closures", cfg, r.store.Closures(), relayer.NewCache("closures", r.locator.Closures(), r.relayer), r.relayer),
	}
	if settings.Rollout.Share > 0 {
		r.buildRollouts(settings, cfg)
	}
}

// observeEra records that the store has reached an era. It is called with each higher one.
func (r *Router) observeEra(era uint64) {
	r.log.Named("control").Info("era of the store known", "era", era)
	r.registrar.ObserveEra(era)
}

// storeCheckTimeout bounds a check of the store, which answers in milliseconds.
const storeCheckTimeout = 300 * time.Millisecond

// checkStore reports whether the store answers this daemon.
func (r *Router) checkStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	return r.store.Check(ctx) == nil
}

// selfMember returns the daemon's own member record.
func selfMember(settings *reader.EntrySettings) declarer.Member {
	return declarer.Member{ID: settings.Daemon.ID, Zone: settings.Daemon.Zone, Peer: settings.Caller.Peers, Share: settings.Process.Share}
}

// forwarderConfig returns the forwarder's configuration with the budget of extra requests from the settings.
func forwarderConfig(settings *reader.EntrySettings) forwarder.Config {
	cfg := forwarder.Default()
	cfg.ExtraPercent = int(math.Floor(settings.Extra.Ratio * 100 * extraRatioFraction))
	cfg.ExtraSlack = settings.Extra.Slack
	cfg.ExtraWindow = settings.Extra.Window
	return cfg
}

// Reload applies changed settings: the log level, the grace period and the ratio of extra requests. Addresses,
// names, the rest of the budget and the bound on keys take effect at the next start.
func (r *Router) Reload(settings *reader.EntrySettings) {
	r.log.SetLevel(hclog.LevelFromString(settings.Log.Level))
	r.forwarder.SetExtraPercent(forwarderConfig(settings).ExtraPercent)
	r.settings.Store(settings)
	r.log.Info("settings reloaded", "instance", settings.Daemon.ID, "grace", settings.Shutdown.Grace, "ratio", settings.Extra.Ratio)
}

// Serve runs the daemon until ctx ends, and then shuts it down gracefully.
func (r *Router) Serve(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := r.supervise(runCtx)
	settings := r.settings.Load()
	r.log.Info("started", "instance", settings.Daemon.ID, "zone", settings.Daemon.Zone, "callers", r.callers.Addr(), "checks", r.checks.Addr())
	<-ctx.Done()
	r.shutdown()
	stop()
	<-done
	r.log.Info("stopped", "instance", settings.Daemon.ID)
	return nil
}

// supervise starts every service under one supervisor. The returned channel is closed when all have ended.
func (r *Router) supervise(ctx context.Context) <-chan struct{} {
	sup := suture.New(r.settings.Load().Daemon.ID, suture.Spec{EventHook: func(e suture.Event) {
		r.log.Error("service ended", "event", e.String())
	}})
	sup.Add(r.locator)
	sup.Add(r.evictor)
	sup.Add(r.linker.Server(r.peerGroup().Listener(r.peers)))
	sup.Add(r.registrar)
	sup.Add(r.relayer)
	sup.Add(r.selector)
	if r.lender != nil {
		sup.Add(r.lender)
	}
	sup.Add(r.pauses.sentry)
	if r.promoter != nil {
		sup.Add(r.promoter)
	}
	for _, f := range r.followers {
		sup.Add(f)
	}
	sup.Add(server.New("callers", r.bound("callers", r.shares.Clients, r.callers, r.server, r.limits), r.server))
	metrics := gauger.Handler(r.reg)
	checks := &http.Server{Handler: platform.NewHealthHandler(r.ready, metrics)}
	sup.Add(server.New("checks", r.bound("checks", r.shares.Checks, r.checks, checks, r.checkLimits), checks))
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

// ready reports whether the daemon accepts new clients, and the reason when it does not.
func (r *Router) ready() (bool, string) {
	if !r.keys.IsReady() {
		return false, "the desired state was not confirmed in time for the keys of accounts"
	}
	return r.canGather()
}

// routingAgeSeconds returns the age of the desired state, -1 if it is not known.
func (r *Router) routingAgeSeconds() float64 {
	age, known := r.locator.View().RoutingAge(sentry.BootClock())
	if !known {
		return -1
	}
	return age.Seconds()
}

// canGather reports whether the daemon gathers queries for others, and the reason when it does not. The daemon that asks has
// authorized them.
func (r *Router) canGather() (bool, string) {
	if r.leaving.Load() {
		return false, "leaving"
	}
	if r.isOfNoUse() {
		return false, "the zone is cut off and lacks searchers"
	}
	return r.locator.View().Ready()
}

// isOfNoUse reports whether the daemon cannot answer some of the requests because its zone is cut off, so that clients are
// better off with the daemons of other zones.
//
// Load pattern: a zone is cut off for seconds with its clients' requests, and its searchers lack some of the shards.
func (r *Router) isOfNoUse() bool {
	return r.relayer.IsCutOff() && !r.locator.View().IsSelfSufficient(r.settings.Load().Daemon.Zone)
}

// isClosing reports whether client connections are closed after their next answer.
func (r *Router) isClosing() bool {
	return r.leaving.Load() || r.isOfNoUse() || !r.keys.IsReady()
}

// close releases the daemon's resources in reverse order of acquisition.
func (r *Router) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}
