package searcher

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
)

// postFaults posts faults on a new connection.
func (fx *fixture) postFaults(body string) {
	fx.t.Helper()
	client := fx.newClient()
	defer client.CloseIdleConnections()
	fx.assertStatus("faults", fx.post(fx.t.Context(), client, "/faults", json.RawMessage(body), ""), http.StatusOK)
}

// getPage decodes the page at path into v.
func (fx *fixture) getPage(path string, v any) {
	fx.t.Helper()
	resp, err := fx.client.Get("http://10.0.0.1:80" + path) //nolint:noctx // the bubble bounds the call
	if err != nil {
		fx.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		fx.t.Error(err)
	}
}

func (fx *fixture) assertState(want string) {
	fx.t.Helper()
	var h Health
	fx.getPage("/health", &h)
	if h.State != want {
		fx.t.Errorf("state on the health page %q, want %q", h.State, want)
	}
}

func (fx *fixture) assertLoad(inflight int) {
	fx.t.Helper()
	var l Load
	fx.getPage("/load", &l)
	if diff := cmp.Diff(Load{Inflight: inflight, Slots: 2}, l); diff != "" {
		fx.t.Errorf("load page (-want +got):\n%s", diff)
	}
}

func TestColdOverload(t *testing.T) {
	withSearcher(t, func(c *Config) { c.Warm = false; c.ColdSuccesses = 2; c.MeanServiceTime = time.Hour }, func(fx *fixture) {
		first := fx.start(fx.t.Context(), "r1", "")
		second := fx.start(fx.t.Context(), "r2", "")
		fx.assertStatus("first", <-first, 0)
		fx.assertStatus("second", <-second, 0)
		fx.assertStatus("while shedding", fx.search("r3"), http.StatusServiceUnavailable)
		fx.assertCounts(func(c Counts) []int { return []int{c.ColdOverloads, c.MaxInFlightCold, c.Sheds} }, 1, 2, 1)
		if diff := cmp.Diff(ColdOverload{InFlight: 2}, fx.searcher.Counts().LastColdOverload); diff != "" {
			fx.t.Errorf("last cold overload (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
		fx.assertStatus("after shedding", <-fx.start(fx.t.Context(), "r4", "1"), http.StatusGatewayTimeout)
	})
}

func TestColdStartEnds(t *testing.T) {
	withSearcher(t, func(c *Config) { c.Warm = false; c.ColdSuccesses = 2; c.ColdFor = time.Second }, func(fx *fixture) {
		fx.search("r1")
		fx.search("r2")
		fx.assertState(Cold)
		time.Sleep(time.Second)
		fx.assertState(Warm)
		fx.postFaults(`{"cold":true}`)
		fx.assertState(Cold)
	})
}

func TestColdResetsConnections(t *testing.T) {
	withSearcher(t, func(c *Config) { c.MeanServiceTime = time.Hour }, func(fx *fixture) {
		running := fx.start(fx.t.Context(), "r1", "")
		fx.postFaults(`{"cold":true}`)
		fx.assertStatus("running", <-running, 0)
	})
}

func TestSilentConnection(t *testing.T) {
	withSearcher(t, func(c *Config) { c.Connections = 1 }, func(fx *fixture) {
		fx.search("r1")
		fx.searcher.SetFaults(Faults{Silent: true})
		silenced := fx.start(fx.t.Context(), "r2", "")
		time.Sleep(time.Hour)
		synctest.Wait()
		select {
		case got := <-silenced:
			t.Errorf("silent connection answered with status %d", got.status)
		default:
		}
		fresh := fx.newClient()
		defer fresh.CloseIdleConnections()
		fx.assertStatus("new connection", fx.post(fx.t.Context(), fresh, "/search", query("r3"), ""), http.StatusOK)
		fx.assertCounts(func(c Counts) []int { return []int{c.Accepted, c.Open, c.Searches["r2"]} }, 2, 1, 0)
	})
}

func TestConnectionLimit(t *testing.T) {
	withSearcher(t, func(c *Config) { c.Connections = 1; c.MeanServiceTime = 0; c.ConnectDelay = 6 * time.Millisecond }, func(fx *fixture) {
		started := time.Now()
		fx.assertStatus("first connection", fx.search("r1"), http.StatusOK)
		if got := time.Since(started); got != 6*time.Millisecond {
			t.Errorf("first request took %s, want the connect delay of 6ms", got)
		}
		other := fx.newClient()
		fx.assertStatus("beyond the limit", fx.post(fx.t.Context(), other, "/search", query("r2"), ""), 0)
		fx.client.CloseIdleConnections()
		synctest.Wait()
		fx.assertStatus("after one closed", fx.post(fx.t.Context(), other, "/search", query("r3"), ""), http.StatusOK)
		other.CloseIdleConnections()
		fx.assertCounts(func(c Counts) []int { return []int{c.Accepted, c.MaxOpen} }, 2, 1)
		if n := fx.searcher.Counts().RefusedConns; n < 1 {
			t.Errorf("%d connections refused, want at least 1", n)
		}
	})
}

func TestDrain(t *testing.T) {
	withSearcher(t, unchanged, func(fx *fixture) {
		running := fx.start(fx.t.Context(), "r1", "")
		fx.postFaults(`{"drain":true}`)
		fx.assertState(Draining)
		fx.assertStatus("running", <-running, http.StatusOK)
		time.Sleep(3 * time.Second)
		fx.assertStatus("new request", fx.search("r2"), http.StatusConflict)
		fx.assertCounts(func(c Counts) []int { return []int{c.AfterDrain, c.Started} }, 1, 1)
		if last := fx.searcher.Counts().LastAfterDrain; last < 3*time.Second {
			t.Errorf("last request arrived %s after the drain began, want 3s or more", last)
		}
	})
}

func TestAnswerFaults(t *testing.T) {
	correct := searchAnswer{
		Request: "r1", Attempt: "r1-1", Service: service, Shard: 1, Version: 2, Documents: 1003,
		Oldest: 1, Newest: 3, Hits: Hits(service, 1, 2, "dent", 5),
	}
	tests := []struct {
		name   string
		faults Faults
		change func(*searchAnswer)
	}{
		{"cross without a previous answer", Faults{Cross: 1}, func(a *searchAnswer) { a.Attempt += "-other" }},
		{"duplicate", Faults{Duplicate: 1}, func(a *searchAnswer) { a.Hits = duplicateHits(a.Hits) }},
		{"wrong version", Faults{WrongVersion: 1}, func(a *searchAnswer) {
			a.Version, a.Documents, a.Hits = 3, 1004, Hits(service, 1, 3, "dent", 5)
		}},
		{"late", Faults{Late: 1, LateBy: declarer.Duration{Duration: time.Hour}}, func(*searchAnswer) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSearcher(t, unchanged, func(fx *fixture) {
				fx.searcher.SetFaults(tt.faults)
				want := correct
				tt.change(&want)
				got, err := fx.decode(fx.search("r1"))
				if diff := cmp.Diff(want, got); diff != "" || err != nil {
					t.Errorf("answer (-want +got), error %v:\n%s", err, diff)
				}
				got, err = fx.decode(fx.search("r1"))
				if diff := cmp.Diff(correct, got); diff != "" || err != nil {
					t.Errorf("answer after the fault (-want +got), error %v:\n%s", err, diff)
				}
			})
		})
	}
}

func TestCrossReturnsPreviousAnswer(t *testing.T) {
	withSearcher(t, unchanged, func(fx *fixture) {
		fx.search("r1")
		fx.postFaults(`{"cross":1}`)
		got, err := fx.decode(fx.search("r2"))
		if err != nil || got.Request != "r1" {
			t.Errorf("answer to r2 is that to %q, error %v, want r1", got.Request, err)
		}
	})
}

func TestTruncate(t *testing.T) {
	withSearcher(t, unchanged, func(fx *fixture) {
		fx.postFaults(`{"truncate":2}`)
		fx.assertStatus("connection closed within the body", fx.search("r1"), 0)
		truncated := fx.search("r2")
		fx.assertStatus("half of the JSON", truncated, http.StatusOK)
		if json.Valid(truncated.body) {
			t.Errorf("body %s is complete, want half of it", truncated.body)
		}
		fx.assertStatus("afterwards", fx.search("r3"), http.StatusOK)
	})
}

func TestStallHoldsSlot(t *testing.T) {
	withSearcher(t, func(c *Config) { c.Slots = 1 }, func(fx *fixture) {
		fx.postFaults(`{"stall":1}`)
		stalled := fx.start(fx.t.Context(), "r1", "20")
		fx.assertStatus("queued behind it", <-fx.start(fx.t.Context(), "r2", "50"), http.StatusServiceUnavailable)
		fx.client.CloseIdleConnections()
		fx.searcher.conns.resetAll(nil)
		fx.assertStatus("stalled", <-stalled, 0)
		fx.assertStatus("afterwards", fx.search("r3"), http.StatusOK)
	})
}

func TestShedAndAdvance(t *testing.T) {
	withSearcher(t, unchanged, func(fx *fixture) {
		fx.postFaults(`{"shed":1}`)
		fx.assertStatus("shed", fx.search("r1"), http.StatusServiceUnavailable)
		fx.postFaults(`{"shed":0,"advance":2}`)
		got := fx.search("r2")
		fx.assertStatus("dropped version", got, http.StatusGone)
		if !strings.Contains(string(got.body), `"oldest":3,"newest":5`) {
			t.Errorf("body %s lacks the versions held, 3 to 5", got.body)
		}
	})
}

func TestMisleadAndLag(t *testing.T) {
	withSearcher(t, func(c *Config) { c.MeanServiceTime = time.Hour; c.ColdSuccesses = 1 }, func(fx *fixture) {
		time.Sleep(time.Minute)
		fx.postFaults(`{"cold":true,"lag":"5s"}`)
		fx.assertState(Warm)
		time.Sleep(5 * time.Second)
		fx.assertState(Cold)
		fx.postFaults(`{"mislead":true,"lag":"0s"}`)
		fx.assertState(Warm)
		running := fx.start(fx.t.Context(), "r1", "")
		fx.assertLoad(0)
		fx.postFaults(`{"mislead":false}`)
		fx.assertLoad(1)
		fx.searcher.conns.resetAll(nil)
		<-running
	})
}
