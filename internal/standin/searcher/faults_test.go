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

// fault posts faults on a connection of its own.
func (b *bench) fault(body string) {
	b.t.Helper()
	client := b.newClient()
	defer client.CloseIdleConnections()
	b.assertStatus("faults", b.post(b.t.Context(), client, "/faults", json.RawMessage(body), ""), http.StatusOK)
}

// page reads a page into v.
func (b *bench) page(path string, v any) {
	b.t.Helper()
	resp, err := b.client.Get("http://10.0.0.1:80" + path) //nolint:noctx // the bubble bounds the call
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		b.t.Error(err)
	}
}

func (b *bench) assertState(want string) {
	b.t.Helper()
	var h Health
	b.page("/health", &h)
	if h.State != want {
		b.t.Errorf("health page says %q, want %q", h.State, want)
	}
}

func (b *bench) assertLoad(inflight int) {
	b.t.Helper()
	var l Load
	b.page("/load", &l)
	if diff := cmp.Diff(Load{Inflight: inflight, Slots: 2}, l); diff != "" {
		b.t.Errorf("load page (-want +got):\n%s", diff)
	}
}

func TestColdOverload(t *testing.T) {
	run(t, func(c *Config) { c.Warm = false; c.ColdSuccesses = 2; c.MeanServiceTime = time.Hour }, func(b *bench) {
		first := b.start(b.t.Context(), "r1", "")
		second := b.start(b.t.Context(), "r2", "")
		b.assertStatus("first", <-first, 0)
		b.assertStatus("second", <-second, 0)
		b.assertStatus("while shedding", b.search("r3"), http.StatusServiceUnavailable)
		b.assertCounts(func(c Counts) []int { return []int{c.ColdOverloads, c.MostCold, c.Sheds} }, 1, 2, 1)
		time.Sleep(time.Second)
		b.assertStatus("after shedding", <-b.start(b.t.Context(), "r4", "1"), http.StatusGatewayTimeout)
	})
}

func TestColdStartEnds(t *testing.T) {
	run(t, func(c *Config) { c.Warm = false; c.ColdSuccesses = 2; c.ColdFor = time.Second }, func(b *bench) {
		b.search("r1")
		b.search("r2")
		b.assertState(Cold)
		time.Sleep(time.Second)
		b.assertState(Warm)
		b.fault(`{"cold":true}`)
		b.assertState(Cold)
	})
}

func TestColdResetsConnections(t *testing.T) {
	run(t, func(c *Config) { c.MeanServiceTime = time.Hour }, func(b *bench) {
		running := b.start(b.t.Context(), "r1", "")
		b.fault(`{"cold":true}`)
		b.assertStatus("running", <-running, 0)
	})
}

func TestSilence(t *testing.T) {
	run(t, func(c *Config) { c.Connections = 1 }, func(b *bench) {
		b.search("r1")
		b.searcher.SetFaults(Faults{Silent: true})
		old := b.start(b.t.Context(), "r2", "")
		time.Sleep(time.Hour)
		synctest.Wait()
		select {
		case got := <-old:
			t.Errorf("silent connection answered with status %d", got.status)
		default:
		}
		fresh := b.newClient()
		defer fresh.CloseIdleConnections()
		b.assertStatus("new connection", b.post(b.t.Context(), fresh, "/search", query("r3"), ""), http.StatusOK)
		b.assertCounts(func(c Counts) []int { return []int{c.Accepted, c.Open, c.Searches["r2"]} }, 2, 1, 0)
	})
}

func TestConnections(t *testing.T) {
	run(t, func(c *Config) { c.Connections = 1; c.MeanServiceTime = 0; c.ConnectDelay = 6 * time.Millisecond }, func(b *bench) {
		began := time.Now()
		b.assertStatus("first connection", b.search("r1"), http.StatusOK)
		if got := time.Since(began); got != 6*time.Millisecond {
			t.Errorf("first request took %s, want the connect delay of 6ms", got)
		}
		other := b.newClient()
		b.assertStatus("beyond the cap", b.post(b.t.Context(), other, "/search", query("r2"), ""), 0)
		b.client.CloseIdleConnections()
		synctest.Wait()
		b.assertStatus("after one closed", b.post(b.t.Context(), other, "/search", query("r3"), ""), http.StatusOK)
		other.CloseIdleConnections()
		b.assertCounts(func(c Counts) []int { return []int{c.Accepted, c.MostOpen} }, 2, 1)
		if n := b.searcher.Counts().RefusedConns; n < 1 {
			t.Errorf("%d connections refused, want at least 1", n)
		}
	})
}

func TestDrain(t *testing.T) {
	run(t, keep, func(b *bench) {
		running := b.start(b.t.Context(), "r1", "")
		b.fault(`{"drain":true}`)
		b.assertState(Draining)
		b.assertStatus("running", <-running, http.StatusOK)
		time.Sleep(3 * time.Second)
		b.assertStatus("new work", b.search("r2"), http.StatusConflict)
		b.assertCounts(func(c Counts) []int { return []int{c.AfterDrain, c.Started} }, 1, 1)
		if last := b.searcher.Counts().LastAfterDrain; last < 3*time.Second {
			t.Errorf("last work came %s after the drain, want 3s or more", last)
		}
	})
}

func TestAnswerFaults(t *testing.T) {
	right := searchAnswer{
		Request: "r1", Attempt: "r1-1", Service: service, Shard: 1, Version: 2, Documents: 1003,
		Oldest: 1, Newest: 3, Hits: Hits(service, 1, 2, "dent", 5),
	}
	tests := []struct {
		name   string
		faults Faults
		change func(*searchAnswer)
	}{
		{"cross without another", Faults{Cross: 1}, func(a *searchAnswer) { a.Attempt += "-other" }},
		{"duplicate", Faults{Duplicate: 1}, func(a *searchAnswer) { a.Hits = doubled(a.Hits) }},
		{"wrong version", Faults{WrongVersion: 1}, func(a *searchAnswer) {
			a.Version, a.Documents, a.Hits = 3, 1004, Hits(service, 1, 3, "dent", 5)
		}},
		{"late", Faults{Late: 1, LateBy: declarer.Duration{Duration: time.Hour}}, func(*searchAnswer) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, keep, func(b *bench) {
				b.searcher.SetFaults(tt.faults)
				want := right
				tt.change(&want)
				got, err := b.decode(b.search("r1"))
				if diff := cmp.Diff(want, got); diff != "" || err != nil {
					t.Errorf("answer (-want +got), error %v:\n%s", err, diff)
				}
				got, err = b.decode(b.search("r1"))
				if diff := cmp.Diff(right, got); diff != "" || err != nil {
					t.Errorf("answer after the fault (-want +got), error %v:\n%s", err, diff)
				}
			})
		})
	}
}

func TestCrossSwapsAnswers(t *testing.T) {
	run(t, keep, func(b *bench) {
		b.search("r1")
		b.fault(`{"cross":1}`)
		got, err := b.decode(b.search("r2"))
		if err != nil || got.Request != "r1" {
			t.Errorf("answer to r2 is of %q, error %v, want r1", got.Request, err)
		}
	})
}

func TestTruncate(t *testing.T) {
	run(t, keep, func(b *bench) {
		b.fault(`{"truncate":2}`)
		b.assertStatus("closed amid the body", b.search("r1"), 0)
		cut := b.search("r2")
		b.assertStatus("half of the JSON", cut, http.StatusOK)
		if json.Valid(cut.body) {
			t.Errorf("body %s is whole", cut.body)
		}
		b.assertStatus("afterwards", b.search("r3"), http.StatusOK)
	})
}

func TestStallHoldsSlot(t *testing.T) {
	run(t, func(c *Config) { c.Slots = 1 }, func(b *bench) {
		b.fault(`{"stall":1}`)
		stalled := b.start(b.t.Context(), "r1", "20")
		b.assertStatus("behind it", <-b.start(b.t.Context(), "r2", "50"), http.StatusServiceUnavailable)
		b.client.CloseIdleConnections()
		b.searcher.conns.reset(nil)
		b.assertStatus("stalled", <-stalled, 0)
		b.assertStatus("afterwards", b.search("r3"), http.StatusOK)
	})
}

func TestShedAndAdvance(t *testing.T) {
	run(t, keep, func(b *bench) {
		b.fault(`{"shed":1}`)
		b.assertStatus("shed", b.search("r1"), http.StatusServiceUnavailable)
		b.fault(`{"shed":0,"advance":2}`)
		got := b.search("r2")
		b.assertStatus("dropped version", got, http.StatusGone)
		if !strings.Contains(string(got.body), `"oldest":3,"newest":5`) {
			t.Errorf("body %s does not name the versions held", got.body)
		}
	})
}

func TestPagesMisleadAndLag(t *testing.T) {
	run(t, func(c *Config) { c.MeanServiceTime = time.Hour; c.ColdSuccesses = 1 }, func(b *bench) {
		time.Sleep(time.Minute)
		b.fault(`{"cold":true,"lag":"5s"}`)
		b.assertState(Warm)
		time.Sleep(5 * time.Second)
		b.assertState(Cold)
		b.fault(`{"mislead":true,"lag":"0s"}`)
		b.assertState(Warm)
		running := b.start(b.t.Context(), "r1", "")
		b.assertLoad(0)
		b.fault(`{"mislead":false}`)
		b.assertLoad(1)
		b.searcher.conns.reset(nil)
		<-running
	})
}
