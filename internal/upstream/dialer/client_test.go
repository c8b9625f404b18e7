package dialer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/limiter"
)

func assertResult(t *testing.T, want, got exchanger.Result) {
	t.Helper()
	if want.Reason == "" {
		got.Reason = ""
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("result (-want +got):\n%s", d)
	}
}

func TestAnswersAreChecked(t *testing.T) {
	ok := exchanger.Result{ID: 1, Sent: true, Version: 7, Documents: 12, Oldest: 3, Newest: 9}
	bad := exchanger.Result{ID: 1, Sent: true, Status: exchanger.Failed}
	tests := map[string]struct {
		handler http.HandlerFunc
		want    exchanger.Result
	}{
		"right":           {echo(nil), ok},
		"another request": {echo(map[string]any{"request": "r"}), bad},
		"another attempt": {echo(map[string]any{"attempt": "a"}), bad},
		"another service": {echo(map[string]any{"service": "s"}), bad},
		"another shard":   {echo(map[string]any{"shard": 5}), bad},
		"another version": {echo(map[string]any{"version": 8}), bad},
		"too many hits":   {echo(map[string]any{"hits": make([]answerer.Hit, 11)}), bad},
		"too long":        {echo(map[string]any{"pad": strings.Repeat("x", 1<<20)}), bad},
		"truncated":       {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"request":"q"`) }, bad},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeUpstream(t, tt.handler)
				c := f.client(t, nil)
				out := c.Do(t.Context(), search(1), admitFor(time.Second))
				assertResult(t, tt.want, out.Result)
				closed := map[Cause]int{}
				if out.Invalid {
					closed[ClosedByClient] = 1
				}
				if d := cmp.Diff(closed, f.causes()); d != "" {
					t.Errorf("connections closed (-want +got):\n%s", d)
				}
			})
		})
	}
}

func TestStatusesAreMapped(t *testing.T) {
	tests := map[int]struct {
		status exchanger.Status
		kind   limiter.Kind
	}{
		404: {exchanger.Failed, limiter.Inconclusive},
		409: {exchanger.UpstreamOut, limiter.Draining},
		410: {exchanger.VersionUnavailable, limiter.Inconclusive},
		429: {exchanger.Shed, limiter.Shed},
		500: {exchanger.Failed, limiter.Inconclusive},
		503: {exchanger.Shed, limiter.Shed},
		504: {exchanger.DeadlineExceeded, limiter.Slow},
	}
	for code, tt := range tests {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(code)
					fmt.Fprint(w, `{"oldest":3,"newest":9}`)
				})
				out := f.client(t, nil).Do(t.Context(), search(1), admitFor(time.Second))
				want := exchanger.Result{ID: 1, Sent: true, Status: tt.status}
				if code == 410 {
					want.Oldest, want.Newest = 3, 9
				}
				assertResult(t, want, out.Result)
				if out.Sample.Kind != tt.kind {
					t.Errorf("sample %+v, want kind %d", out.Sample, tt.kind)
				}
			})
		})
	}
}

func TestRequestOnTheWire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got http.Header
		f := newFakeUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			got = r.Header.Clone()
			echo(nil)(w, r)
		})
		f.client(t, nil).Do(t.Context(), search(1), admitFor(1500*time.Microsecond))
		want := http.Header{
			"Content-Type":   {"application/json"},
			"Content-Length": got["Content-Length"],
			"Deadline-Ms":    {"1"},
			"User-Agent":     got["User-Agent"],
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("headers (-want +got):\n%s", d)
		}
	})
}

// TestUnsentTaskIsRetried checks that an action is sent on another connection when the first
// was closed before any byte was written, and that it is reported as sent when its context is
// cancelled right after it was passed to the connection.
func TestUnsentTaskIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeUpstream(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"request":"t"}`) })
		c := f.client(t, nil)
		c.Do(t.Context(), action(), admitFor(time.Second))
		out := c.Do(t.Context(), action(), func() (time.Duration, *exchanger.Result) {
			if f.opened() == 1 {
				_ = c.pool.conns[0].http.Close()
			}
			return time.Second, nil
		})
		assertResult(t, exchanger.Result{ID: 1, Sent: true}, out.Result)
		ctx, cancel := context.WithCancel(t.Context())
		out = c.Do(ctx, action(), func() (time.Duration, *exchanger.Result) {
			cancel()
			return time.Second, nil
		})
		assertResult(t, exchanger.Result{ID: 1, Status: exchanger.Failed, Sent: true}, out.Result)
	})
}

// TestActionIsNeverResent checks that an action reaches the upstream only once when its
// connection breaks while it runs.
func TestActionIsNeverResent(t *testing.T) {
	for _, http1 := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var runs atomic.Int32
			f := newFakeUpstream(t, func(http.ResponseWriter, *http.Request) {
				if runs.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			})
			c := f.client(t, func(cfg *Config) { cfg.HTTP1 = http1 })
			c.Do(t.Context(), action(), admitFor(time.Second))
			runs.Store(1)
			out := c.Do(t.Context(), action(), admitFor(time.Second))
			assertResult(t, exchanger.Result{ID: 1, Status: exchanger.Failed, Sent: true}, out.Result)
			if runs.Load() != 2 {
				t.Errorf("HTTP/1.1 %v: runs %d, want 1", http1, runs.Load()-1)
			}
		})
	}
}

func TestTaskIsNotSent(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	fence := exchanger.Result{ID: 1, Status: exchanger.NotOwner}
	tests := map[string]struct {
		change func(*Config)
		admit  Admit
		want   exchanger.Status
		kind   limiter.Kind
	}{
		"connection refused": {func(c *Config) { c.Dial = refused }, admitFor(time.Second), exchanger.Unreachable, limiter.Reset},
		"fenced meanwhile":   {nil, func() (time.Duration, *exchanger.Result) { return 0, &fence }, exchanger.NotOwner, limiter.Inconclusive},
		"no time left":       {nil, admitFor(time.Millisecond - 1), exchanger.DeadlineExceeded, limiter.Inconclusive},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeUpstream(t, func(http.ResponseWriter, *http.Request) { t.Error("a request was sent") })
				out := f.client(t, tt.change).Do(t.Context(), search(1), tt.admit)
				assertResult(t, exchanger.Result{ID: 1, Status: tt.want}, out.Result)
				if out.Sample.Kind != tt.kind || out.Hold != nil {
					t.Errorf("sample %+v, hold %v, want kind %d and none", out.Sample, out.Hold, tt.kind)
				}
			})
		})
	}
}
