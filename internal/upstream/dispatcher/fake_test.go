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

func whole() exchanger.Share {
	return exchanger.Share{Num: 1, Den: 1, AllowCold: true, ValidUntil: time.Now().Add(time.Hour)}
}

// bench is a Dispatcher that owns upstream "finder/u".
type bench struct {
	*Dispatcher
	reg     *prometheus.Registry
	views   *viewer.Viewer
	permits *permits
	service *declarer.Service
	self    declarer.Instance
	close   func()
}

func newBench(t testing.TB, cfg Config, addr string, dial Dial) *bench {
	t.Helper()
	b := &bench{reg: prometheus.NewRegistry(), permits: &permits{}, self: declarer.Instance{ID: "d1", Zone: "addis-a", Incarnation: 1}}
	b.service = &declarer.Service{
		Name:     "finder",
		Class:    declarer.Search,
		Capacity: declarer.Capacity{Slots: 3, ColdSlots: 1, Connections: 30},
		Maps:     shardMaps(addr),
	}
	b.views = viewer.New(b.view(b.self))
	b.permits.set(whole())
	d, closeAll := New(cfg, b.views, b.permits, dial, hclog.NewNullLogger(), b.reg)
	t.Cleanup(closeAll)
	b.Dispatcher, b.close = d, closeAll
	return b
}

func (b *bench) view(instances ...declarer.Instance) *viewer.View {
	return viewer.Build(b.self, []declarer.Object{{
		Key:     declarer.Key{Kind: declarer.KindService, Name: b.service.Name},
		Version: 1,
		Service: b.service,
	}}, instances)
}

// shardMaps returns a shard map with one upstream at addr.
func shardMaps(addr string) []declarer.ShardMap {
	u := declarer.Upstream{Name: "u", Zone: "addis-a", Addr: netip.MustParseAddrPort(addr)}
	return []declarer.ShardMap{{FromVersion: 1, Shards: []declarer.Shard{{Replicas: []declarer.Upstream{u}}}}}
}

// publish publishes a view with a changed copy of the service.
func (b *bench) publish(change func(*declarer.Service)) {
	s := *b.service
	change(&s)
	b.service = &s
	b.views.Publish(b.view(b.self))
}

func search(id uint64, remaining time.Duration) exchanger.Task {
	return exchanger.Task{ID: id, Request: "q", Service: "finder", Upstream: "u", Version: 7, Remaining: remaining}
}

// serve answers each search at once with what it asked for, and returns the
// address.
func serve(t testing.TB) string {
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

// runner is a Client that takes a while to connect, to serve, and to stop a
// cancelled task.
type runner struct {
	connect, service, stop time.Duration
	mu                     sync.Mutex
	inside, most           int
	closed                 atomic.Int32
	given                  []time.Duration
	// instant makes it answer without a context or a lock.
	instant bool
}

func (r *runner) dial(netip.AddrPort, declarer.Capacity, dialer.Events) (Client, func()) {
	return r, func() { r.closed.Add(1) }
}

func (r *runner) enter(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inside += n
	r.most = max(r.most, r.inside)
}

func (r *runner) Do(ctx context.Context, t *exchanger.Task, admit dialer.Admit) dialer.Outcome {
	time.Sleep(r.connect)
	timeout, refused := admit()
	if refused != nil {
		return dialer.Outcome{Result: *refused, Sample: limiter.Sample{Kind: limiter.Unused}}
	}
	if r.instant {
		return dialer.Outcome{Result: exchanger.Result{ID: t.ID, Sent: true}}
	}
	r.enter(1)
	r.mu.Lock()
	r.given = append(r.given, timeout)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-time.After(r.service):
		r.enter(-1)
		return dialer.Outcome{Result: exchanger.Result{ID: t.ID, Sent: true}, Sample: limiter.Sample{Latency: r.service}}
	case <-ctx.Done():
		return dialer.Outcome{Result: exchanger.Result{ID: t.ID, Status: exchanger.Failed, Sent: true}, Sample: limiter.Sample{Kind: limiter.Unused}, Hold: r}
	}
}

// Wait returns when a cancelled task has stopped.
func (r *runner) Wait() {
	time.Sleep(r.stop)
	r.enter(-1)
}

func (r *runner) Get(context.Context, string, any) error { return nil }

func (r *runner) Open() int { return 1 }
