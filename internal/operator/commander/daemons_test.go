package commander

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/reconciler"
	"cornelwood.example/internal/control/storer"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/control/watcher"
	"cornelwood.example/internal/peer/detector"
	"cornelwood.example/internal/peer/linker"
	"cornelwood.example/internal/standin/keeper"
	adapter "cornelwood.example/platform"
)

// maxPropagation bounds the time until a change is in force at all daemons. It is the stated target for fleets of
// today's size.
const maxPropagation = 3 * time.Second

// idleWorker is a worker of a linker that ignores all tasks.
type idleWorker struct{}

func (idleWorker) Do(context.Context, exchanger.Task, func(exchanger.Result)) {}

// daemon is the control part of one daemon, on real connections.
type daemon struct {
	fixture *fixture
	r       *reconciler.Reconciler
	views   *viewer.Viewer
	stop    func()
}

// listen returns a listener on the port, or on a free one for 0.
func listen(t *testing.T, port uint16) (net.Listener, netip.AddrPort) {
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		t.Fatal(err)
	}
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// startDaemon starts a daemon that uses the seeds and the platform at u.
func startDaemon(t *testing.T, self declarer.Instance, l net.Listener, u *url.URL, seeds ...netip.AddrPort) *daemon {
	reg, log := prometheus.NewRegistry(), hclog.NewNullLogger()
	self.Peer = netip.MustParseAddrPort(l.Addr().String())
	links, closeLinks := linker.New(linker.Config{Self: self.Peer}, idleWorker{}, log, reg)
	client := adapter.NewClientWithTransport(&http.Transport{}, *u)
	st, closeStorer := storer.New(storer.Config{Limiter: rate.NewLimiter(100, 100)}, client.Declarations())
	d := &daemon{views: viewer.New(viewer.Build(self, nil, nil))}
	cfg := reconciler.Config{
		Self:     self,
		Seeds:    seeds,
		Rand:     rand.New(rand.NewPCG(1, self.Incarnation)),
		InFlight: func() int { return 0 },
		Detector: detector.Config{
			Interval: 250 * time.Millisecond,
			Fence:    time.Second,
			Takeover: 2 * time.Second,
			InFlight: func(string, bool) int { return 0 },
		},
	}
	r, wait := reconciler.New(cfg, links, d.views, log, reconciler.NewMetrics(reg))
	d.r = r
	w := watcher.New(st, r, rand.New(rand.NewPCG(2, self.Incarnation)), log, watcher.NewMetrics(reg))
	d.fixture = &fixture{t: t, c: New(st, r, d.views, log, NewMetrics(reg))}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 3)
	for _, serve := range []func(context.Context) error{links.Server(l).Serve, r.Serve, w.Serve} {
		go func() {
			_ = serve(ctx)
			done <- struct{}{}
		}()
	}
	d.stop = func() {
		cancel()
		closeStorer()
		for range cap(done) {
			<-done
		}
		wait()
		closeLinks()
	}
	return d
}

// waitForVersion waits until all daemons have at least the version of the configuration.
func waitForVersion(t *testing.T, what string, version uint64, daemons ...*daemon) {
	t.Helper()
	deadline := time.NewTimer(maxPropagation)
	defer deadline.Stop()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		ready := 0
		for _, d := range daemons {
			if d.views.View().Version >= version {
				ready++
			}
		}
		if ready == len(daemons) {
			return
		}
		select {
		case <-tick.C:
		case <-deadline.C:
			t.Fatalf("%s: at %d of %d daemons within %s", what, ready, len(daemons), maxPropagation)
		}
	}
}

// TestDaemonsOnRealConnections checks that changes reach all daemons over real connections, also when the platform's
// answer is lost, and that a daemon that restarts while the platform is down gets the configuration from its peers.
func TestDaemonsOnRealConnections(t *testing.T) {
	k, closeKeeper := keeper.New(keeper.Config{}, hclog.NewNullLogger())
	defer closeKeeper()
	server := httptest.NewServer(k)
	defer server.Close()
	u, err := url.Parse(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	var daemons []*daemon
	var addrs []netip.AddrPort
	selves := make([]declarer.Instance, 4)
	for i := range selves {
		l, addr := listen(t, 0)
		addrs = append(addrs, addr)
		selves[i] = declarer.Instance{ID: fmt.Sprintf("i-%d", i), Zone: []string{"addis-a", "adama-b"}[i%2], Region: "et", Incarnation: 1}
		daemons = append(daemons, startDaemon(t, selves[i], l, u, addrs...))
	}
	defer func() {
		for _, d := range daemons {
			d.stop()
		}
	}()
	first := daemons[0].fixture
	first.want("POST", "/v1/zones", `{"change":"z1","zone":`+zone+`}`, answer{Status: 201, Version: 1})
	first.want("POST", "/v1/services", `{"change":"c1","service":`+service+`}`, answer{Status: 201, Version: 2})
	waitForVersion(t, "configuration", 2, daemons...)

	k.SetFaults(keeper.Faults{Lose: 1})
	daemons[1].fixture.want("POST", "/v1/zones/addis-a/out", `{"change":"z2"}`, answer{Status: 200, Version: 3})
	waitForVersion(t, "change whose answer was lost", 3, daemons...)

	k.SetFaults(keeper.Faults{Outage: keeper.OutageRefuse})
	first.want("POST", "/v1/zones/addis-a/in", `{"change":"z3"}`, answer{Status: 503, Code: "no_platform", Run: "not_run"})
	daemons[2].stop()
	l, _ := listen(t, addrs[2].Port())
	selves[2].Incarnation++
	daemons[2] = startDaemon(t, selves[2], l, u, addrs...)
	waitForVersion(t, "configuration from peers", 3, daemons...)
}
