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
	"github.com/prometheus/client_golang/prometheus/promhttp"
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
	"cornelwood.example/internal/web/server"
	"cornelwood.example/platform"
)

// keyBytes is the length of the key that signs tickets.
const keyBytes = 32

// Daemon is one instance's daemon.
type Daemon struct {
	set *reader.Settings
	log hclog.Logger
	reg *prometheus.Registry

	self    declarer.Instance
	lis     listeners
	block   *blocker.Blocker
	views   *viewer.Viewer
	link    *linker.Linker
	control *reconciler.Reconciler
	owner   *dispatcher.Dispatcher
	entry   *gatherer.Gatherer
	tickets *ticketer.Ticketer

	callers   *server.Server
	operators *server.Server
	leaving   atomic.Bool
	// joined is true once the daemon admits work, see admitting.
	joined  atomic.Bool
	started time.Time

	// closeTickets refuses new runs and waits for those that run.
	closeTickets func()
	closers      []func()
}

// New listens on the settings' addresses and puts a daemon together. The
// function returned frees what it holds; call it after Serve has returned.
func New(set *reader.Settings, log hclog.Logger) (*Daemon, func(), error) {
	d := &Daemon{set: set, log: log, reg: prometheus.NewRegistry(), block: blocker.New(), started: time.Now()}
	if err := d.listen(); err != nil {
		d.close()
		return nil, nil, err
	}
	d.reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := d.build(); err != nil {
		d.close()
		return nil, nil, err
	}
	return d, d.close, nil
}

// Self returns the daemon's record as it started, with the addresses it listens
// on.
func (d *Daemon) Self() declarer.Instance {
	return d.self
}

// Serve runs the daemon until ctx ends, and then shuts it down gracefully. It
// fails when the shutdown cut something.
func (d *Daemon) Serve(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := d.supervise(run)
	d.log.Info("started", "instance", d.self.ID, "zone", d.self.Zone, "caller", d.self.Caller, "operator", d.self.Operator, "peer", d.self.Peer)
	<-ctx.Done()
	err := d.shutdown()
	stop()
	<-done
	d.log.Info("stopped", "instance", d.self.ID)
	return err
}

// supervise starts every service under one supervisor. The channel is closed when
// all have ended.
func (d *Daemon) supervise(ctx context.Context) <-chan struct{} {
	sup := suture.New(d.self.ID, suture.Spec{EventHook: d.logEvent})
	sup.Add(d.link.Server(d.lis.peer))
	sup.Add(d.control)
	sup.Add(d.watcher())
	sup.Add(d.owner)
	sup.Add(prober.New(prober.Default(), d.owner))
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

// build makes every part; each depends only on those before it.
func (d *Daemon) build() error {
	var closer func()
	d.views = viewer.New(viewer.Build(d.self, nil, nil))
	d.link, closer = linker.New(linker.Config{Self: d.self.Peer, Block: d.block.IsBlocked}, worker{d}, d.log.Named("peer"), d.reg)
	d.onClose(closer)
	d.control, closer = reconciler.New(d.reconcilerConfig(), d.link, d.views, d.log.Named("control"), reconciler.NewMetrics(d.reg))
	d.onClose(closer)
	d.owner, closer = dispatcher.New(d.ownerConfig(), d.views, d.control, dispatcher.DialHTTP, d.log.Named("upstream"), d.reg)
	d.onClose(closer)
	d.entry, closer = gatherer.New(d.entryConfig(), d.views, d.owner, d.link, d.log.Named("query"), d.reg)
	d.onClose(closer)
	if err := d.buildTickets(); err != nil {
		return err
	}
	return d.buildServers()
}

func (d *Daemon) ownerConfig() dispatcher.Config {
	cfg := dispatcher.Default()
	cfg.TakeoverMargin = d.set.Group.Takeover - d.set.Group.Fence
	cfg.SlowStart = d.set.Policy.SlowStart
	cfg.EarlyRefusal = d.set.Policy.Refusal
	return cfg
}

func (d *Daemon) entryConfig() gatherer.Config {
	cfg := gatherer.DefaultConfig()
	cfg.MaxConcurrentQueries = d.set.Caller.Queries
	cfg.Baseline = d.set.Policy.Baseline
	cfg.Hedge = d.set.Policy.Hedge
	cfg.Retry = d.set.Policy.Retry
	cfg.ReplicaSelection = d.set.Policy.Choice
	cfg.ExtraPercent = d.set.Policy.Extra
	return cfg
}

func (d *Daemon) reconcilerConfig() reconciler.Config {
	return reconciler.Config{
		Self:  d.self,
		Seeds: d.set.Peer.Seeds,
		Detector: detector.Config{
			Interval: d.set.Group.Interval,
			Fence:    d.set.Group.Fence,
			Takeover: d.set.Group.Takeover,
			InFlight: d.inFlightFor,
		},
		Rand:     newRand(),
		InFlight: d.inFlight,
	}
}

func (d *Daemon) buildTickets() error {
	key := make([]byte, keyBytes)
	if _, err := crand.Read(key); err != nil {
		return eris.Wrap(err, "key for tickets")
	}
	d.tickets, d.closeTickets = ticketer.New(ticketer.Config{
		Instance:    d.self.ID,
		Incarnation: d.self.Incarnation,
		Key:         key,
		Views:       d.views,
		Runner:      d.entry,
		Forwarder:   forwarder{d.link},
		Now:         time.Now,
		Log:         d.log.Named("ticket"),
	})
	d.link.Handle(callForward, forwardHandler(d.tickets))
	return nil
}

func (d *Daemon) buildServers() error {
	store, err := d.storer("commander")
	if err != nil {
		return err
	}
	rec, closer := recorder.New(time.Now)
	d.onClose(closer)
	metrics := promhttp.HandlerFor(d.reg, promhttp.HandlerOpts{})
	callers := receiver.New(recorder.NewQuerier(d.entry, d.views, rec), d.tickets, checker{d}, metrics)
	d.callers = server.New("callers", d.lis.caller, receiver.Server(callers))
	ops := commander.New(store, d.control, d.views, d.log.Named("operator"), commander.NewMetrics(d.reg))
	operators := rec.Handler(d.self.ID, ops)
	if d.set.Peer.Faults {
		operators = d.block.Handler(operators)
	}
	d.operators = server.New("operators", d.lis.operator, receiver.Server(operators))
	return nil
}

func (d *Daemon) watcher() suture.Service {
	store, err := d.storer("watcher")
	if err != nil {
		// The same settings made the commander's client before.
		panic(err)
	}
	return watcher.New(store, d.control, newRand(), d.log.Named("watcher"), watcher.NewMetrics(d.reg))
}

// storer returns a client of the platform for one of its users.
func (d *Daemon) storer(user string) (*storer.Storer, error) {
	u, err := url.Parse(d.set.Platform.URL)
	if err != nil {
		return nil, eris.Wrapf(err, "platform url %q", d.set.Platform.URL)
	}
	client := platform.NewClientWithTransport(d.block.Transport(), *u)
	s, closer := storer.New(storer.Config{
		Timeout:    d.set.Platform.Timeout,
		Limiter:    rate.NewLimiter(rate.Limit(d.set.Platform.Rate), d.set.Platform.Rate),
		Rand:       rand.Float64,
		Registerer: prometheus.WrapRegistererWith(prometheus.Labels{"user": user}, d.reg),
	}, client.Declarations())
	d.onClose(closer)
	return s, nil
}

// onClose remembers a part's clean-up function.
func (d *Daemon) onClose(closer func()) {
	d.closers = append(d.closers, closer)
}

// close frees what the daemon holds, last made first.
func (d *Daemon) close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
	d.lis.close()
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// listeners are the daemon's open ports.
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

// listen opens the ports and fills in the daemon's record.
func (d *Daemon) listen() error {
	d.self = declarer.Instance{
		ID:          d.set.Daemon.ID,
		Zone:        d.set.Daemon.Zone,
		Region:      d.set.Daemon.Region,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	ports := []struct {
		section string
		addr    netip.AddrPort
		lis     *net.Listener
		bound   *netip.AddrPort
	}{
		{"caller", d.set.Caller.Listen, &d.lis.caller, &d.self.Caller},
		{"operator", d.set.Operator.Listen, &d.lis.operator, &d.self.Operator},
		{"peer", d.set.Peer.Listen, &d.lis.peer, &d.self.Peer},
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
