package searcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/standin/dialer"
)

const service = "anomaly-finder"

// fixture is one searcher and its clients on an in-memory network.
type fixture struct {
	t        *testing.T
	searcher *Searcher
	client   *http.Client
	network  *dialer.Network
}

// withSearcher runs test in a synctest bubble, against a searcher whose settings change adjusts.
func withSearcher(t *testing.T, change func(*Config), test func(*fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cfg := Config{
			Service: service, Name: "af-0-a", Shards: []int{0, 1}, Oldest: 1, Newest: 3,
			Slots: 2, ColdSlots: 1, Warm: true, ShedFor: time.Second, MeanServiceTime: 10 * time.Millisecond,
		}
		change(&cfg)
		s, cleanup, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		fx := &fixture{t: t, searcher: s, network: dialer.New()}
		ln, err := fx.network.Listen(netip.MustParseAddrPort("10.0.0.1:80"))
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Serve(ln) }()
		fx.client = fx.newClient()
		test(fx)
		fx.client.CloseIdleConnections()
		cleanup()
	})
}

func (fx *fixture) newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: fx.network.DialContext}}
}

// result is the HTTP status and body of one call; status 0 means that the connection failed.
type result struct {
	status int
	body   []byte
}

// post sends a call and returns its result. deadline is the value of the Deadline-Ms header, "" for none.
func (fx *fixture) post(ctx context.Context, client *http.Client, path string, body any, deadline string) result {
	data, err := json.Marshal(body)
	if err != nil {
		fx.t.Error(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1:80"+path, bytes.NewReader(data))
	if err != nil {
		fx.t.Error(err)
	}
	if deadline != "" {
		r.Header.Set("Deadline-Ms", deadline)
	}
	resp, err := client.Do(r)
	if err != nil {
		return result{}
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return result{}
	}
	return result{resp.StatusCode, data}
}

// query returns a valid search for shard 1 in version 2.
func query(request string) searchRequest {
	return searchRequest{Request: request, Attempt: request + "-1", Service: service, Shard: 1, Version: 2, Terms: "dent", Limit: 5}
}

func (fx *fixture) search(request string) result {
	return fx.post(fx.t.Context(), fx.client, "/search", query(request), "")
}

// start sends a search in the background and returns when it is blocked or answered. Its result comes on the channel.
func (fx *fixture) start(ctx context.Context, request, deadline string) <-chan result {
	done := make(chan result, 1)
	go func() { done <- fx.post(ctx, fx.client, "/search", query(request), deadline) }()
	synctest.Wait()
	return done
}

func (fx *fixture) assertStatus(name string, got result, want int) {
	fx.t.Helper()
	if got.status != want {
		fx.t.Errorf("%s: status %d, want %d; body %s", name, got.status, want, got.body)
	}
}

// assertCounts compares the counters that pick selects.
func (fx *fixture) assertCounts(pick func(Counts) []int, want ...int) {
	fx.t.Helper()
	if diff := cmp.Diff(want, pick(fx.searcher.Counts())); diff != "" {
		fx.t.Errorf("counts (-want +got):\n%s", diff)
	}
}

func (fx *fixture) decode(r result) (searchAnswer, error) {
	var a searchAnswer
	err := json.Unmarshal(r.body, &a)
	return a, err
}

// unchanged keeps the settings of withSearcher.
func unchanged(*Config) {}

func TestSearch(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2"} {
		t.Run(protocol, func(t *testing.T) {
			withSearcher(t, unchanged, func(fx *fixture) {
				if protocol == "HTTP/2" {
					p := new(http.Protocols)
					p.SetUnencryptedHTTP2(true)
					fx.client.Transport.(*http.Transport).Protocols = p
				}
				got, err := fx.decode(fx.search("r1"))
				want := searchAnswer{
					Request: "r1", Attempt: "r1-1", Service: service, Shard: 1, Version: 2, Documents: 1003,
					Oldest: 1, Newest: 3, Hits: Hits(service, 1, 2, "dent", 5),
				}
				if diff := cmp.Diff(want, got); diff != "" || err != nil {
					t.Errorf("answer (-want +got), error %v:\n%s", err, diff)
				}
				fx.assertCounts(func(c Counts) []int { return []int{c.Searches["r1"], c.Done, c.MaxInFlight} }, 1, 1, 1)
			})
		})
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change func(*searchRequest)
		want   int
	}{
		{"version not held", func(q *searchRequest) { q.Version = 9 }, http.StatusGone},
		{"shard not held", func(q *searchRequest) { q.Shard = 7 }, http.StatusNotFound},
		{"other service", func(q *searchRequest) { q.Service = "x" }, http.StatusBadRequest},
		{"no attempt", func(q *searchRequest) { q.Attempt = "" }, http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSearcher(t, unchanged, func(fx *fixture) {
				q := query("r1")
				tt.change(&q)
				fx.assertStatus("search", fx.post(fx.t.Context(), fx.client, "/search", q, ""), tt.want)
				fx.assertCounts(func(c Counts) []int { return []int{c.Started} }, 0)
			})
		})
	}
}

func TestDeadline(t *testing.T) {
	withSearcher(t, func(c *Config) { c.Slots = 1; c.MeanServiceTime = time.Second }, func(fx *fixture) {
		running := fx.start(fx.t.Context(), "r1", "100")
		queued := fx.start(fx.t.Context(), "r2", "50")
		fx.assertStatus("queued", <-queued, http.StatusServiceUnavailable)
		fx.assertStatus("running", <-running, http.StatusGatewayTimeout)
		fx.assertStatus("bad header", fx.post(fx.t.Context(), fx.client, "/search", query("r3"), "-1"), http.StatusBadRequest)
		fx.assertCounts(func(c Counts) []int {
			return []int{c.Started, c.Expired, c.Refused, c.Overlaps, int(c.Wasted.Milliseconds())}
		}, 1, 1, 1, 1, 100)
	})
}

func TestCancel(t *testing.T) {
	withSearcher(t, func(c *Config) { c.Slots = 1; c.MeanServiceTime = time.Hour }, func(fx *fixture) {
		ctx, cancel := context.WithCancel(fx.t.Context())
		running := fx.start(ctx, "r1", "")
		time.Sleep(30 * time.Millisecond)
		cancel()
		fx.assertStatus("running", <-running, 0)
		synctest.Wait()
		fx.assertCounts(func(c Counts) []int { return []int{c.Cancelled, int(c.Wasted.Milliseconds())} }, 1, 30)
		fx.searcher.mu.Lock()
		defer fx.searcher.mu.Unlock()
		if n := fx.searcher.state.inFlight; n != 0 {
			t.Errorf("%d requests in flight after cancellation, want 0", n)
		}
	})
}

func TestRun(t *testing.T) {
	withSearcher(t, unchanged, func(fx *fixture) {
		q := runRequest{Request: "t1", Service: service, Action: json.RawMessage(`{"crew":7}`)}
		got := fx.post(fx.t.Context(), fx.client, "/run", q, "")
		fx.assertStatus("run", got, http.StatusOK)
		want := `{"request":"t1","reply":{"ran":1,"action":{"crew":7}}}`
		if diff := cmp.Diff(want, string(got.body)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
		fx.post(fx.t.Context(), fx.client, "/run", q, "")
		fx.assertCounts(func(c Counts) []int { return []int{c.Runs["t1"]} }, 2)
	})
}

func TestConfigCheck(t *testing.T) {
	_, _, err := New(Config{Service: service, Slots: 2, ColdSlots: 3, Oldest: 1, Newest: 1})
	if err == nil {
		t.Error("New accepted 3 cold slots of 2 slots")
	}
}
