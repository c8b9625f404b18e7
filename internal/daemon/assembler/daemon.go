package assembler

import (
	"context"
	crand "crypto/rand"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"
	"golang.org/x/time/rate"

	"cornelwood.example/internal/caller/receiver"
	"cornelwood.example/internal/caller/ticketer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/reconciler"
	"cornelwood.example/internal/control/storer"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/control/watcher"
	"cornelwood.example/internal/fault/blocker"
	"cornelwood.example/internal/operator/commander"
	"cornelwood.example/internal/peer/detector"
	"cornelwood.example/internal/peer/linker"
	"cornelwood.example/internal/query/gatherer"
	"cornelwood.example/internal/report/recorder"
	"cornelwood.example/internal/settings/reader"
	"cornelwood.example/internal/upstream/dispatcher"
	"cornelwood.example/internal/upstream/prober"
	"cornelwood.example/internal/web/evictor"
	"cornelwood.example/internal/web/gauger"
	"cornelwood.example/internal/web/server"
	"cornelwood.example/platform"
)

// keyBytes is the length of the key that signs tickets.
const keyBytes = 32

// Daemon is one instance's daemon.
type Daemon struct {
	settings *reader.Settings
	log      hclog.Logger
	reg      *prometheus.Registry

	self       declarer.Instance
	listeners  listeners
	blocker    *blocker.Blocker
	views      *viewer.Viewer
	linker     *linker.Linker
	reconciler *reconciler.Reconciler
	dispatcher *dispatcher.Dispatcher
	gatherer   *gatherer.Gatherer
	ticketer   *ticketer.Ticketer

	evictor   *evictor.Evictor
	shares    evictor.Shares
	callers   *server.Server
	operators *server.Server
	// callerCtx is the parent of the contexts of callers' requests. endCalls cancels it, so that each is answered with what
	// is known.
	callerCtx context.Context
	endCalls  context.CancelFunc
	// leaving is true from the start of the shutdown on.
	leaving atomic.Bool
	// joined is true once hasJoined has seen admitted work or the end of its time limit.
	joined    atomic.Bool
	startedAt time.Time

	// closeTicketer refuses new runs and waits for those in flight.
	closeTicketer func()
	// closers holds the functions that release resources, in order of acquisition.
	closers []func()
}

// New opens the listeners and assembles a daemon. The returned function releases its resources; call it after
// Serve has returned.
func New(settings *reader.Settings, log hclog.Logger) (*Daemon, func(), error) {
	d := &Daemon{settings: settings, log: log, reg: prometheus.NewRegistry(), blocker: blocker.New(), startedAt: time.Now()}
	d.callerCtx, d.endCalls = context.WithCancel(context.Background())
	d.onClose(d.endCalls)
	if err := d.listen(); err != nil {
		d.close()
		return nil, nil, err
	}
	d.reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.buildEvictor()
	if err := d.build(); err != nil {
		d.close()
		return nil, nil, err
	}
	return d, d.close, nil
}

// Self returns the daemon's instance record as of its start, with the addresses that it listens on.
func (d *Daemon) Self() declarer.Instance {
	return d.self
}

// Serve runs the daemon until ctx ends, and then shuts it down gracefully. It fails when the shutdown ran out of
// time before all requests had finished.
func (d *Daemon) Serve(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := d.supervise(runCtx)
	d.log.Info("started", "instance", d.self.ID, "zone", d.self.Zone, "caller", d.self.Caller, "operator", d.self.Operator, "peer", d.self.Peer)
	<-ctx.Done()
	err := d.shutdown()
	stop()
	<-done
	d.log.Info("stopped", "instance", d.self.ID)
	return err
}

// supervise starts every service under one supervisor. The returned channel is closed when all have ended.
func (d *Daemon) supervise(ctx context.Context) <-chan struct{} {
	sup := suture.New(d.self.ID, suture.Spec{EventHook: d.logEvent})
	sup.Add(d.evictor)
	sup.Add(d.linker.Server(d.peerGroup().Listener(d.listeners.peer)))
	sup.Add(d.reconciler)
	sup.Add(d.watcher())
	sup.Add(d.dispatcher)
	sup.Add(prober.New(prober.Default(), d.dispatcher))
	sup.Add(d.callers)
	sup.Add(d.operators)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := sup.Serve(ctx); err != nil && !errors.Is(err, context.Canceled) {
			d.log.Error("supervisor ended", "error", err)
		}
	}()
	return done
}

func (d *Daemon) logEvent(e suture.Event) {
	if e.Type() == suture.EventTypeServiceTerminate || e.Type() == suture.EventTypeServicePanic {
		d.log.Error("service ended", "event", e.String())
	}
}

// build creates the components in order of dependency: each uses only those created before it.
func (d *Daemon) build() error {
	var closer func()
	d.views = viewer.New(viewer.Build(d.self, nil, nil))
	d.linker, closer = linker.New(linker.Config{Self: d.self.Peer, Block: d.blocker.IsBlocked}, taskRunner{d}, d.log.Named("peer"), d.reg)
	d.onClose(closer)
	d.reconciler, closer = reconciler.New(d.reconcilerConfig(), d.linker, d.views, d.log.Named("control"), reconciler.NewMetrics(d.reg))
	d.onClose(closer)
	d.dispatcher, closer = dispatcher.New(d.dispatcherConfig(), d.views, d.reconciler, dispatcher.DialHTTP, d.log.Named("upstream"), d.reg)
	d.onClose(closer)
	d.gatherer, closer = gatherer.New(d.gathererConfig(), d.views, d.dispatcher, d.linker, d.log.Named("query"), d.reg)
	d.onClose(closer)
	if err := d.buildTicketer(); err != nil {
		return err
	}
	return d.buildServers()
}

func (d *Daemon) dispatcherConfig() dispatcher.Config {
	cfg := dispatcher.Default()
	cfg.TakeoverMargin = d.settings.Group.Takeover - d.settings.Group.Fence
	cfg.SlowStart = d.settings.Policy.SlowStart
	cfg.EarlyRefusal = d.settings.Policy.Refusal
	return cfg
}

func (d *Daemon) gathererConfig() gatherer.Config {
	cfg := gatherer.DefaultConfig()
	cfg.MaxConcurrentQueries = d.settings.Caller.Queries
	cfg.Baseline = d.settings.Policy.Baseline
	cfg.Hedge = d.settings.Policy.Hedge
	cfg.Retry = d.settings.Policy.Retry
	cfg.ReplicaSelection = d.settings.Policy.Choice
	cfg.ExtraPercent = d.settings.Policy.Extra
	return cfg
}

func (d *Daemon) reconcilerConfig() reconciler.Config {
	return reconciler.Config{
		Self:  d.self,
		Seeds: d.settings.Peer.Seeds,
		Detector: detector.Config{
			Interval: d.settings.Group.Interval,
			Fence:    d.settings.Group.Fence,
			Takeover: d.settings.Group.Takeover,
			InFlight: d.inFlightFor,
		},
		Rand:     newRand(),
		InFlight: d.inFlight,
	}
}

func (d *Daemon) buildTicketer() error {
	key := make([]byte, keyBytes)
	if _, err := crand.Read(key); err != nil {
		return eris.Wrap(err, "generate the key that signs tickets")
	}
	d.ticketer, d.closeTicketer = ticketer.New(ticketer.Config{
		Instance:    d.self.ID,
		Incarnation: d.self.Incarnation,
		Key:         key,
		Views:       d.views,
		Runner:      d.gatherer,
		Forwarder:   runForwarder{d.linker},
		Now:         time.Now,
		Log:         d.log.Named("ticket"),
	})
	d.linker.Handle(forwardCall, forwardHandler(d.ticketer))
	return nil
}

func (d *Daemon) buildServers() error {
	store, err := d.storer("commander")
	if err != nil {
		return err
	}
	queryRecorder, closer := recorder.New(time.Now)
	d.onClose(closer)
	metrics := gauger.Handler(d.reg)
	callers := receiver.New(recorder.NewQuerier(d.gatherer, d.views, queryRecorder), d.ticketer, healthChecker{d}, metrics)
	callerServer := receiver.Server(callers)
	callerServer.BaseContext = func(net.Listener) context.Context { return d.callerCtx }
	d.callers = d.server("callers", d.shares.Clients, d.listeners.caller, callerServer)
	commands := commander.New(store, d.reconciler, d.views, d.log.Named("operator"), commander.NewMetrics(d.reg))
	operators := queryRecorder.Handler(d.self.ID, commands)
	if d.settings.Peer.Faults {
		operators = d.blocker.Handler(operators)
	}
	d.operators = d.server("operators", d.shares.Checks, d.listeners.operator, receiver.Server(operators))
	return nil
}

func (d *Daemon) watcher() suture.Service {
	store, err := d.storer("watcher")
	if err != nil {
		// Cannot happen: buildServers has created a client from the same URL.
		panic(err)
	}
	return watcher.New(store, d.reconciler, newRand(), d.log.Named("watcher"), watcher.NewMetrics(d.reg))
}

// storer returns a client of the platform; user is the label "user" of its metrics.
func (d *Daemon) storer(user string) (*storer.Storer, error) {
	u, err := url.Parse(d.settings.Platform.URL)
	if err != nil {
		return nil, eris.Wrapf(err, "platform url %q", d.settings.Platform.URL)
	}
	client := platform.NewClientWithTransport(d.blocker.Transport(), *u)
	s, closer := storer.New(storer.Config{
		Timeout:    d.settings.Platform.Timeout,
		Limiter:    rate.NewLimiter(rate.Limit(d.settings.Platform.Rate), d.settings.Platform.Rate),
		Rand:       rand.Float64,
		Registerer: prometheus.WrapRegistererWith(prometheus.Labels{"user": user}, d.reg),
	}, client.Declarations())
	d.onClose(closer)
	return s, nil
}

// onClose adds a function that close calls.
func (d *Daemon) onClose(closer func()) {
	d.closers = append(d.closers, closer)
}

// close releases the daemon's resources in reverse order of acquisition.
func (d *Daemon) close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
	d.listeners.close()
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// listeners holds the daemon's open listeners.
type listeners struct {
	caller, operator, peer net.Listener
}

func (l *listeners) close() {
	for _, lis := range []net.Listener{l.caller, l.operator, l.peer} {
		if lis != nil {
			lis.Close()
		}
	}
}

// listen opens the listeners and fills in the daemon's instance record.
func (d *Daemon) listen() error {
	d.self = declarer.Instance{
		ID:          d.settings.Daemon.ID,
		Zone:        d.settings.Daemon.Zone,
		Region:      d.settings.Daemon.Region,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	ports := []struct {
		section string
		addr    netip.AddrPort
		lis     *net.Listener
		bound   *netip.AddrPort
	}{
		{"caller", d.settings.Caller.Listen, &d.listeners.caller, &d.self.Caller},
		{"operator", d.settings.Operator.Listen, &d.listeners.operator, &d.self.Operator},
		{"peer", d.settings.Peer.Listen, &d.listeners.peer, &d.self.Peer},
	}
	for _, p := range ports {
		lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(p.addr))
		if err != nil {
			return eris.Wrapf(err, "section [%s]: key \"listen\"", p.section)
		}
		*p.lis = lis
		*p.bound = lis.Addr().(*net.TCPAddr).AddrPort()
	}
	return nil
}
