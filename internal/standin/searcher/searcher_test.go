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

// bench is one searcher and clients of it on a network in memory.
type bench struct {
	t        *testing.T
	searcher *Searcher
	client   *http.Client
	network  *dialer.Network
}

// run runs test against a searcher in a synctest bubble.
func run(t *testing.T, change func(*Config), test func(*bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cfg := Config{
			Service: service, Name: "af-0-a", Shards: []int{0, 1}, Oldest: 1, Newest: 3,
			Slots: 2, Cold: 1, Warm: true, ShedFor: time.Second, MeanServiceTime: 10 * time.Millisecond,
		}
		change(&cfg)
		s, cleanup, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		b := &bench{t: t, searcher: s, network: dialer.New()}
		ln, err := b.network.Listen(netip.MustParseAddrPort("10.0.0.1:80"))
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Serve(ln) }()
		b.client = b.newClient()
		test(b)
		b.client.CloseIdleConnections()
		cleanup()
	})
}

func (b *bench) newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: b.network.DialContext}}
}

// result is the outcome of one call; status 0 means that the connection failed.
type result struct {
	status int
	body   []byte
}

func (b *bench) post(ctx context.Context, client *http.Client, path string, body any, deadline string) result {
	data, err := json.Marshal(body)
	if err != nil {
		b.t.Error(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1:80"+path, bytes.NewReader(data))
	if err != nil {
		b.t.Error(err)
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

func query(request string) searchRequest {
	return searchRequest{Request: request, Attempt: request + "-1", Service: service, Shard: 1, Version: 2, Terms: "dent", Limit: 5}
}

func (b *bench) search(request string) result {
	return b.post(b.t.Context(), b.client, "/search", query(request), "")
}

// start searches in the background until it has settled into its wait.
func (b *bench) start(ctx context.Context, request, deadline string) <-chan result {
	done := make(chan result, 1)
	go func() { done <- b.post(ctx, b.client, "/search", query(request), deadline) }()
	synctest.Wait()
	return done
}

func (b *bench) assertStatus(name string, got result, want int) {
	b.t.Helper()
	if got.status != want {
		b.t.Errorf("%s: status %d, want %d; body %s", name, got.status, want, got.body)
	}
}

// assertCounts compares the counts that pick returns.
func (b *bench) assertCounts(pick func(Counts) []int, want ...int) {
	b.t.Helper()
	if diff := cmp.Diff(want, pick(b.searcher.Counts())); diff != "" {
		b.t.Errorf("counts (-want +got):\n%s", diff)
	}
}

func (b *bench) decode(r result) (searchAnswer, error) {
	var a searchAnswer
	err := json.Unmarshal(r.body, &a)
	return a, err
}

func keep(*Config) {}

func TestSearch(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2"} {
		t.Run(protocol, func(t *testing.T) {
			run(t, keep, func(b *bench) {
				if protocol == "HTTP/2" {
					p := new(http.Protocols)
					p.SetUnencryptedHTTP2(true)
					b.client.Transport.(*http.Transport).Protocols = p
				}
				got, err := b.decode(b.search("r1"))
				want := searchAnswer{
					Request: "r1", Attempt: "r1-1", Service: service, Shard: 1, Version: 2, Documents: 1003,
					Oldest: 1, Newest: 3, Hits: Hits(service, 1, 2, "dent", 5),
				}
				if diff := cmp.Diff(want, got); diff != "" || err != nil {
					t.Errorf("answer (-want +got), error %v:\n%s", err, diff)
				}
				b.assertCounts(func(c Counts) []int { return []int{c.Searches["r1"], c.Done, c.MostInside} }, 1, 1, 1)
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
		{"version dropped", func(q *searchRequest) { q.Version = 9 }, http.StatusGone},
		{"shard not held", func(q *searchRequest) { q.Shard = 7 }, http.StatusNotFound},
		{"other service", func(q *searchRequest) { q.Service = "x" }, http.StatusBadRequest},
		{"no attempt", func(q *searchRequest) { q.Attempt = "" }, http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, keep, func(b *bench) {
				q := query("r1")
				tt.change(&q)
				b.assertStatus("search", b.post(b.t.Context(), b.client, "/search", q, ""), tt.want)
				b.assertCounts(func(c Counts) []int { return []int{c.Started} }, 0)
			})
		})
	}
}

func TestDeadline(t *testing.T) {
	run(t, func(c *Config) { c.Slots = 1; c.MeanServiceTime = time.Second }, func(b *bench) {
		running := b.start(b.t.Context(), "r1", "100")
		queued := b.start(b.t.Context(), "r2", "50")
		b.assertStatus("queued", <-queued, http.StatusServiceUnavailable)
		b.assertStatus("running", <-running, http.StatusGatewayTimeout)
		b.assertStatus("bad header", b.post(b.t.Context(), b.client, "/search", query("r3"), "-1"), http.StatusBadRequest)
		b.assertCounts(func(c Counts) []int {
			return []int{c.Started, c.Expired, c.Refused, c.Overlaps, int(c.Wasted.Milliseconds())}
		}, 1, 1, 1, 1, 100)
	})
}

func TestCancel(t *testing.T) {
	run(t, func(c *Config) { c.Slots = 1; c.MeanServiceTime = time.Hour }, func(b *bench) {
		ctx, cancel := context.WithCancel(b.t.Context())
		running := b.start(ctx, "r1", "")
		time.Sleep(30 * time.Millisecond)
		cancel()
		b.assertStatus("running", <-running, 0)
		synctest.Wait()
		b.assertCounts(func(c Counts) []int { return []int{c.Cancelled, int(c.Wasted.Milliseconds())} }, 1, 30)
		b.searcher.mu.Lock()
		defer b.searcher.mu.Unlock()
		if n := b.searcher.state.inside; n != 0 {
			t.Errorf("%d requests inside after cancellation, want 0", n)
		}
	})
}

func TestRunTakesEffectOnce(t *testing.T) {
	run(t, keep, func(b *bench) {
		q := runRequest{Request: "t1", Service: service, Action: json.RawMessage(`{"crew":7}`)}
		got := b.post(b.t.Context(), b.client, "/run", q, "")
		b.assertStatus("run", got, http.StatusOK)
		want := `{"request":"t1","reply":{"ran":1,"action":{"crew":7}}}`
		if diff := cmp.Diff(want, string(got.body)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
		b.post(b.t.Context(), b.client, "/run", q, "")
		b.assertCounts(func(c Counts) []int { return []int{c.Runs["t1"]} }, 2)
	})
}

func TestConfigCheck(t *testing.T) {
	_, _, err := New(Config{Service: service, Slots: 2, Cold: 3, Oldest: 1, Newest: 1})
	if err == nil {
		t.Error("New took a cold capacity above the slots")
	}
}
