package forwarder

import (
	"context"
	"fmt"
	"io"
	"math"
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

// behavior is how a searcher answers a request: with a reply or an error, possibly after a delay.
type behavior func(ctx context.Context, req *connector.Request) (*connector.Reply, error)

// fakeSearchers is an Exchanger with searchers in memory.
type fakeSearchers struct {
	mu     sync.Mutex
	byAddr map[netip.AddrPort]string
	// behaviors holds the behavior of searchers by ID; the others send a good reply after 10 ms.
	behaviors map[string]behavior
	// sent counts the requests by searcher, cancelled counts those whose context ended before the reply.
	sent      map[string]int
	cancelled int
	// fresh is the argument of the last request.
	fresh bool
}

func (f *fakeSearchers) Do(ctx context.Context, addr netip.AddrPort, req *connector.Request, fresh bool) (*connector.Reply, error) {
	f.mu.Lock()
	id := f.byAddr[addr]
	f.sent[id]++
	f.fresh = fresh
	b := f.behaviors[id]
	f.mu.Unlock()
	if b == nil {
		b = replyAfter(10*time.Millisecond, goodReply(id))
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

func (f *fakeSearchers) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.sent {
		n += c
	}
	return n
}

// goodReply returns a successful reply with one record, which holds the searcher's ID.
func goodReply(id string) *connector.Reply {
	record := []byte(fmt.Sprintf("%-16s", id))
	return &connector.Reply{Status: http.StatusOK, Body: record, Meta: connector.Meta{Stamp: "stamp-" + id}}
}

// replyAfter returns a behavior that replies after d, unless the request is cancelled before.
func replyAfter(d time.Duration, rep *connector.Reply) behavior {
	return func(ctx context.Context, _ *connector.Request) (*connector.Reply, error) {
		select {
		case <-time.After(d):
			return rep, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// replyWith returns a behavior that replies after 1 ms with a status and an empty body.
func replyWith(code int, stamp string, notRun bool) behavior {
	return replyAfter(time.Millisecond, &connector.Reply{Status: code, Meta: connector.Meta{Stamp: stamp, NotRun: notRun}})
}

// failWith returns a behavior that fails with a connector.Error.
func failWith(sent, dial bool) behavior {
	return func(context.Context, *connector.Request) (*connector.Reply, error) {
		return nil, &connector.Error{Sent: sent, Dial: dial, Err: fmt.Errorf("broken")}
	}
}

// failedReply is a searcher's failure, and replacementAddr the address of a searcher that is registered later.
var (
	failedReply     = connector.Reply{Status: http.StatusInternalServerError, Meta: connector.Meta{Stamp: "st"}}
	replacementAddr = netip.MustParseAddrPort("10.0.0.9:80")
)

// never is a delay longer than any test.
const never = time.Hour

// setup is a Forwarder with fake searchers: "1a" and "1b" of service "1", "2a" and "2b" of service "2", and so on.
type setup struct {
	*Forwarder
	*fakeSearchers
	t       *testing.T
	locator *locator.Locator
}

const (
	goal    = 100 * time.Millisecond
	timeout = time.Second
)

// withForwarder runs a test in virtual time with three routes: "/q/" is a query over the shards, "/get/" an idempotent
// request to service "1", and "/post/" one that is not idempotent.
func withForwarder(t *testing.T, shards int, test func(s *setup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		loc := locator.New(declarer.Member{ID: "d", Zone: "z"}, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = loc.Serve(ctx)
		}()
		f := &fakeSearchers{byAddr: make(map[netip.AddrPort]string), behaviors: make(map[string]behavior), sent: make(map[string]int)}
		loc.Routings().Replace([]follower.Item[*declarer.Routing]{{Name: "main", Value: testRouting(shards)}}, 1)
		loc.Searchers().Replace(f.register(shards), 1)
		loc.Closures().Replace(nil, 1)
		synctest.Wait()
		fwd := New(Default(), declarer.Member{ID: "d", Zone: "z"}, loc, picker.New("z", time.Now), f, nil, hclog.NewNullLogger(), NewMetrics(prometheus.NewRegistry()))
		test(&setup{Forwarder: fwd, fakeSearchers: f, t: t, locator: loc})
		time.Sleep(10 * time.Second)
		cancel()
		<-done
	})
}

// testRouting returns the desired state with the routes of withForwarder.
func testRouting(shards int) *declarer.Routing {
	base := declarer.Route{Host: "h", Attempts: 2, LatencyGoal: declarer.Duration{Duration: goal}, Timeout: declarer.Duration{Duration: timeout}}
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

// register adds two searchers for each shard, "a" in the zone of the Forwarder and "b" in another one, and returns
// their entries.
func (f *fakeSearchers) register(shards int) []follower.Item[declarer.Searcher] {
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

// gatherElsewhere adds many daemons and bounds the connections of the searchers, so that a few of the daemons, and not
// this one, gather the queries.
func (s *setup) gatherElsewhere() {
	routing := testRouting(4)
	routing.Version++
	var members []follower.Item[declarer.Member]
	for i := range 20 {
		routing.Services = append(routing.Services, declarer.ServiceLimits{Name: fmt.Sprint(i), Connections: 8})
		id := fmt.Sprint("m", i)
		members = append(members, follower.Item[declarer.Member]{Name: id, Value: declarer.Member{ID: id, Zone: "z", Share: 1}})
	}
	s.locator.Routings().Replace([]follower.Item[*declarer.Routing]{{Name: "main", Value: routing}}, 2)
	s.locator.Members().Replace(members, 2)
	synctest.Wait()
}

// request sends a request to the Forwarder and returns the answer and how long it took.
func (s *setup) request(ctx context.Context, path, body string) (Answer, time.Duration) {
	req := &Request{ID: "r", Method: http.MethodGet, Host: "h", Path: path, Target: path, ClientTimeout: timeout, Arrived: time.Now()}
	if body != "" {
		req.Body, req.HasBody = strings.NewReader(body), true
	}
	a := s.Handle(ctx, req)
	return a, time.Since(req.Arrived)
}

// upload sends a request whose body takes half of the timeout, and calls meanwhile before it is whole.
func (s *setup) upload(path string, meanwhile func()) Answer {
	r, w := io.Pipe()
	go func() {
		time.Sleep(timeout / 4)
		meanwhile()
		time.Sleep(timeout / 4)
		_, _ = io.WriteString(w, "body")
		w.Close()
	}()
	return s.Handle(s.t.Context(), &Request{
		ID: "r", Method: http.MethodPost, Host: "h", Path: path, Target: path, Body: r, HasBody: true, ClientTimeout: timeout, Arrived: time.Now(),
	})
}

func (s *setup) assertAnswer(a Answer, wantStatus int) {
	s.t.Helper()
	if a.Status != wantStatus {
		s.t.Errorf("status %d (%s), want %d", a.Status, a.Reason, wantStatus)
	}
}

func (s *setup) assertTook(took, low, high time.Duration) {
	s.t.Helper()
	if took < low || took > high {
		s.t.Errorf("took %s, want %s to %s", took, low, high)
	}
}

func (s *setup) assertSent(want int) {
	s.t.Helper()
	if got := s.total(); got != want {
		s.t.Errorf("%d requests to searchers, want %d", got, want)
	}
}

// fillBudget sets the capacity of the budgets and fills that of a service, which starts with one token.
func (s *setup) fillBudget(service string, capacity, tokens float64) {
	s.stats.cfg.ExtraSlack = int(math.Ceil(capacity / burstShare * assumedMembers))
	s.stats.budget(service, sender, time.Now()).AddTokens(tokens - minBurst)
}
