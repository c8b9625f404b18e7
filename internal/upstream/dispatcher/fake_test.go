package dispatcher

import (
	"encoding/json"
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
	return exchanger.Share{Num: 1, Den: 1, Cold: true, Until: time.Now().Add(time.Hour)}
}

// bench is a Dispatcher that owns upstream "finder/u".
type bench struct {
	*Dispatcher
	views   *viewer.Viewer
	permits *permits
	service *declarer.Service
	self    declarer.Instance
}

func newBench(t testing.TB, cfg Config, addr string, dial Dial) *bench {
	t.Helper()
	b := &bench{permits: &permits{}, self: declarer.Instance{ID: "d1", Zone: "addis-a", Incarnation: 1}}
	b.service = &declarer.Service{
		Name:     "finder",
		Class:    declarer.Search,
		Capacity: declarer.Capacity{Slots: 3, Cold: 1, Connections: 30},
		Maps:     shardMaps(addr),
	}
	b.views = viewer.New(b.view(b.self))
	b.permits.set(whole())
	d, closeAll := New(cfg, b.views, b.permits, dial, hclog.NewNullLogger(), prometheus.NewRegistry())
	t.Cleanup(closeAll)
	b.Dispatcher = d
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
	return []declarer.ShardMap{{From: 1, Shards: []declarer.Shard{{Replicas: []declarer.Upstream{u}}}}}
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

// searcher is an upstream over HTTP that takes a fixed time for each search.
type searcher struct {
	service      time.Duration
	mu           sync.Mutex
	inside, most int
}

func serve(t testing.TB, s *searcher) string {
	t.Helper()
	srv := httptest.NewUnstartedServer(s)
	srv.Config.Protocols = &http.Protocols{}
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.inside++
	s.most = max(s.most, s.inside)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inside--
		s.mu.Unlock()
	}()
	var q map[string]any
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		return
	}
	if s.service > 0 {
		select {
		case <-time.After(s.service):
		case <-r.Context().Done():
			return
		}
	}
	q["documents"] = 1
	_ = json.NewEncoder(w).Encode(q)
}
