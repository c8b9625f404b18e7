package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/upstream/dialer"
	"cornelwood.example/internal/upstream/limiter"
)

// permits gives every upstream the same share.
type permits struct {
	share atomic.Pointer[exchanger.Share]
}

func (p *permits) Share(string) exchanger.Share {
	return *p.share.Load()
}

func (p *permits) set(s exchanger.Share) {
	p.share.Store(&s)
}

func fullShare() exchanger.Share {
	return exchanger.Share{Num: 1, Den: 1, AllowCold: true, ValidUntil: time.Now().Add(time.Hour)}
}

// fixture is a Dispatcher that owns upstream "finder/u".
type fixture struct {
	*Dispatcher
	reg     *prometheus.Registry
	views   *viewer.Viewer
	permits *permits
	service *declarer.Service
	self    declarer.Instance
	close   func()
}

func newFixture(t testing.TB, cfg Config, addr string, dial Dial) *fixture {
	t.Helper()
	fx := &fixture{reg: prometheus.NewRegistry(), permits: &permits{}, self: declarer.Instance{ID: "d1", Zone: "addis-a", Incarnation: 1}}
	fx.service = &declarer.Service{
		Name:     "finder",
		Class:    declarer.Search,
		Capacity: declarer.Capacity{Slots: 3, ColdSlots: 1, Connections: 30},
		Maps:     shardMaps(addr),
	}
	fx.views = viewer.New(fx.view(fx.self))
	fx.permits.set(fullShare())
	d, closeAll := New(cfg, fx.views, fx.permits, dial, hclog.NewNullLogger(), fx.reg)
	t.Cleanup(closeAll)
	fx.Dispatcher, fx.close = d, closeAll
	return fx
}

func (fx *fixture) view(instances ...declarer.Instance) *viewer.View {
	return viewer.Build(fx.self, []declarer.Object{{
		Key:     declarer.Key{Kind: declarer.KindService, Name: fx.service.Name},
		Version: 1,
		Service: fx.service,
	}}, instances)
}

// shardMaps returns a shard map with one upstream at addr.
func shardMaps(addr string) []declarer.ShardMap {
	u := declarer.Upstream{Name: "u", Zone: "addis-a", Addr: netip.MustParseAddrPort(addr)}
	return []declarer.ShardMap{{FromVersion: 1, Shards: []declarer.Shard{{Replicas: []declarer.Upstream{u}}}}}
}

// publish publishes a view with a changed copy of the service.
func (fx *fixture) publish(change func(*declarer.Service)) {
	s := *fx.service
	change(&s)
	fx.service = &s
	fx.views.Publish(fx.view(fx.self))
}

func search(id uint64, remaining time.Duration) exchanger.Task {
	return exchanger.Task{ID: id, Request: "q", Service: "finder", Upstream: "u", Version: 7, Remaining: remaining}
}

// startEchoServer starts an upstream that answers each search at once with the fields of
// its request, and returns the address.
func startEchoServer(t testing.TB) string {
	t.Helper()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	srv.Config.Protocols = &http.Protocols{}
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// fakeClient is a Client that takes time to connect, to run a task, and to stop a cancelled
// one.
type fakeClient struct {
	connectTime, serviceTime, stopTime time.Duration
	mu                                 sync.Mutex
	running, peak                      int
	closed                             atomic.Int32
	timeouts                           []time.Duration
	// instant makes it answer at once, without a context or a lock.
	instant bool
}

func (c *fakeClient) dial(netip.AddrPort, declarer.Capacity, dialer.Events) (Client, func()) {
	return c, func() { c.closed.Add(1) }
}

func (c *fakeClient) addRunning(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	c.peak = max(c.peak, c.running)
}

func (c *fakeClient) Do(ctx context.Context, t *exchanger.Task, admit dialer.Admit) dialer.Outcome {
	time.Sleep(c.connectTime)
	timeout, refused := admit()
	if refused != nil {
		return dialer.Outcome{Result: *refused, Sample: limiter.Sample{Kind: limiter.Inconclusive}}
	}
	if c.instant {
		return dialer.Outcome{Result: exchanger.Result{ID: t.ID, Sent: true}}
	}
	c.addRunning(1)
	c.mu.Lock()
	c.timeouts = append(c.timeouts, timeout)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-time.After(c.serviceTime):
		c.addRunning(-1)
		return dialer.Outcome{Result: exchanger.Result{ID: t.ID, Sent: true}, Sample: limiter.Sample{Latency: c.serviceTime}}
	case <-ctx.Done():
		return dialer.Outcome{Result: exchanger.Result{ID: t.ID, Status: exchanger.Failed, Sent: true}, Sample: limiter.Sample{Kind: limiter.Inconclusive}, Hold: c}
	}
}

// Wait returns when a cancelled task has stopped.
func (c *fakeClient) Wait() {
	time.Sleep(c.stopTime)
	c.addRunning(-1)
}

func (c *fakeClient) Get(context.Context, string, any) error { return nil }

func (c *fakeClient) Open() int { return 1 }
