package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/route/picker"
	"cornelwood.example/internal/upstream/connector"
)

// behave is how a searcher answers: after a time, with a reply or an error.
type behave func(ctx context.Context, req *connector.Request) (*connector.Reply, error)

// fakes are searchers without a network.
type fakes struct {
	mu      sync.Mutex
	byAddr  map[netip.AddrPort]string
	behaves map[string]behave
	// sent counts the requests by searcher, cancelled those whose context ended early.
	sent      map[string]int
	cancelled int
	fresh     bool
}

func (f *fakes) Do(ctx context.Context, addr netip.AddrPort, req *connector.Request, fresh bool) (*connector.Reply, error) {
	f.mu.Lock()
	id := f.byAddr[addr]
	f.sent[id]++
	f.fresh = fresh
	b := f.behaves[id]
	f.mu.Unlock()
	if b == nil {
		b = after(10*time.Millisecond, part(id))
	}
	rep, err := b(ctx, req)
	if ctx.Err() != nil {
		f.mu.Lock()
		f.cancelled++
		f.mu.Unlock()
		return nil, &connector.Error{Addr: addr, Sent: true, Err: ctx.Err()}
	}
	return rep, err
}

func (f *fakes) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.sent {
		n += c
	}
	return n
}

// part is a good answer: one record, whose bytes are the searcher's name.
func part(id string) *connector.Reply {
	record := []byte(fmt.Sprintf("%-16s", id))
	return &connector.Reply{Status: http.StatusOK, Body: record, Meta: connector.Meta{Stamp: "stamp-" + id}}
}

func after(d time.Duration, rep *connector.Reply) behave {
	return func(ctx context.Context, _ *connector.Request) (*connector.Reply, error) {
		select {
		case <-time.After(d):
			return rep, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func status(code int, stamp string, notRun bool) behave {
	return after(time.Millisecond, &connector.Reply{Status: code, Meta: connector.Meta{Stamp: stamp, NotRun: notRun}})
}

func fail(sent, dial bool) behave {
	return func(context.Context, *connector.Request) (*connector.Reply, error) {
		return nil, &connector.Error{Sent: sent, Dial: dial, Err: fmt.Errorf("broken")}
	}
}

const silence = time.Hour

// scene is a Forwarder before searchers "1a" "1b" of service "1", and so on.
type scene struct {
	*Forwarder
	*fakes
	t *testing.T
}

const (
	goal     = 100 * time.Millisecond
	patience = time.Second
)

// withScene runs a test in virtual time before a query over n shards at "/q/", a
// request that may be repeated at "/get/", and one that may not at "/post/".
func withScene(t *testing.T, shards int, during func(s *scene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		loc := locator.New(declarer.Member{ID: "d", Zone: "z"}, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = loc.Serve(ctx)
		}()
		f := &fakes{byAddr: make(map[netip.AddrPort]string), behaves: make(map[string]behave), sent: make(map[string]int)}
		loc.Routings().Replace([]follower.Item[*declarer.Routing]{{Name: "main", Value: routing(shards)}}, 1)
		loc.Searchers().Replace(f.register(shards), 1)
		synctest.Wait()
		fwd := New(Default(), loc, picker.New("z", time.Now), f, hclog.NewNullLogger(), NewMetrics(prometheus.NewRegistry()))
		during(&scene{Forwarder: fwd, fakes: f, t: t})
		time.Sleep(10 * time.Second)
		cancel()
		<-done
	})
}

func routing(shards int) *declarer.Routing {
	base := declarer.Route{Host: "h", Attempts: 2, LatencyGoal: declarer.Duration{Duration: goal}, Timeout: declarer.Duration{Duration: patience}}
	q, get, post := base, base, base
	q.Name, q.Prefix, q.Idempotent, q.TopK, q.Coverage = "q", "/q/", true, 100, 0.75
	for i := range shards {
		q.Shards = append(q.Shards, fmt.Sprint(i+1))
	}
	get.Name, get.Prefix, get.Idempotent = "get", "/get/", true
	get.Targets = []declarer.Target{{Service: "1", Weight: 1}}
	post.Name, post.Prefix, post.Targets = "post", "/post/", get.Targets
	return &declarer.Routing{Version: 1, Routes: []declarer.Route{q, get, post}, Limits: declarer.RequestLimits{BodyBytes: 10}}
}

func (f *fakes) register(shards int) []follower.Item[declarer.Searcher] {
	var items []follower.Item[declarer.Searcher]
	for i := range shards {
		for r, zone := range []string{"z", "other"} {
			id := fmt.Sprintf("%d%c", i+1, 'a'+r)
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), byte(r)}), 80)
			f.byAddr[addr] = id
			items = append(items, follower.Item[declarer.Searcher]{Name: id, Value: declarer.Searcher{
				ID: id, Service: fmt.Sprint(i + 1), Addr: addr, Zone: zone,
			}})
		}
	}
	return items
}

// ask sends a request and returns its answer and how long it took.
func (s *scene) ask(ctx context.Context, path, body string) (Answer, time.Duration) {
	req := &Request{ID: "r", Method: http.MethodGet, Host: "h", Path: path, Target: path, ClientTimeout: patience, Arrived: time.Now()}
	if body != "" {
		req.Body, req.HasBody = strings.NewReader(body), true
	}
	a := s.Handle(ctx, req)
	return a, time.Since(req.Arrived)
}

func (s *scene) assertAnswer(a Answer, wantStatus int) {
	s.t.Helper()
	if a.Status != wantStatus {
		s.t.Errorf("status %d (%s), want %d", a.Status, a.Reason, wantStatus)
	}
}

func (s *scene) assertTook(took, low, high time.Duration) {
	s.t.Helper()
	if took < low || took > high {
		s.t.Errorf("took %s, want %s to %s", took, low, high)
	}
}

func (s *scene) assertSent(want int) {
	s.t.Helper()
	if got := s.total(); got != want {
		s.t.Errorf("%d requests to searchers, want %d", got, want)
	}
}
