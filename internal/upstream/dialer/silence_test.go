package dialer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/exchanger"
)

// begin sends a task and returns where its outcome comes.
func begin(ctx context.Context, c *Client, id uint64, d time.Duration) <-chan Outcome {
	got := make(chan Outcome, 1)
	go func() { got <- c.Do(ctx, search(id), within(d)) }()
	return got
}

// TestSilentConnection pins what becomes of a connection that goes silent for
// good: new requests avoid it, then a ping finds it and it is closed.
func TestSilentConnection(t *testing.T) {
	tests := map[string]struct {
		change func(*Config)
		// met and next are the statuses of the request on the silent connection and
		// of one that comes 50 ms later.
		met, next exchanger.Status
		closed    map[Cause]int
	}{
		"on":            {nil, exchanger.Failed, exchanger.OK, map[Cause]int{Silent: 1}},
		"avoidance off": {func(c *Config) { c.Silence = time.Hour }, exchanger.Failed, exchanger.Late, map[Cause]int{Silent: 1}},
		"ping off":      {func(c *Config) { c.PingAfter = 0 }, exchanger.Late, exchanger.OK, map[Cause]int{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake(t, answer(nil))
				c := f.client(t, tt.change)
				c.Do(t.Context(), search(1), within(time.Second))
				f.silence(true)

				met := begin(t.Context(), c, 2, time.Second)
				time.Sleep(50 * time.Millisecond)
				next := c.Do(t.Context(), search(3), within(100*time.Millisecond))
				got := []exchanger.Status{(<-met).Result.Status, next.Result.Status}
				if d := cmp.Diff([]exchanger.Status{tt.met, tt.next}, got); d != "" {
					t.Errorf("statuses (-want +got):\n%s", d)
				}
				if d := cmp.Diff(tt.closed, f.causes()); d != "" {
					t.Errorf("connections closed (-want +got):\n%s", d)
				}
			})
		})
	}
}

// TestCancellationKeepsTheConnection pins that cancelled requests cost no
// connection over HTTP/2, and one each over HTTP/1.1.
func TestCancellationKeepsTheConnection(t *testing.T) {
	for http1, want := range map[bool]int{false: 1, true: 10} {
		synctest.Test(t, func(t *testing.T) {
			f := newFake(t, after(time.Second))
			c := f.client(t, func(cfg *Config) { cfg.HTTP1 = http1 })
			for id := range uint64(10) {
				ctx, cancel := context.WithCancel(t.Context())
				got := begin(ctx, c, id, time.Second)
				time.Sleep(5 * time.Millisecond)
				cancel()
				out := <-got
				assertResult(t, exchanger.Result{ID: id, Status: exchanger.Failed, Sent: true}, out.Result)
				out.Hold.Wait()
			}
			if f.opened() != want {
				t.Errorf("HTTP/1.1 %v: %d connections opened, want %d", http1, f.opened(), want)
			}
		})
	}
}

// TestHold pins for how long a slot stays taken after a cancellation: two
// graces when the upstream answers a nudge, else until the deadline and the margin.
func TestHold(t *testing.T) {
	for silent, want := range map[bool]time.Duration{false: 10 * time.Millisecond, true: 110 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newFake(t, after(time.Second))
			c := f.client(t, nil)
			ctx, cancel := context.WithCancel(t.Context())
			got := begin(ctx, c, 1, 100*time.Millisecond)
			time.Sleep(10 * time.Millisecond)
			f.silence(silent)
			cancel()
			out := <-got
			from := time.Now()
			out.Hold.Wait()
			if d := cmp.Diff(want, time.Since(from)); d != "" {
				t.Errorf("silent %v: held for (-want +got):\n%s", silent, d)
			}
		})
	}
}

// TestConnectionsAreBounded pins that straggling requests on all connections
// never open more than the bound.
func TestConnectionsAreBounded(t *testing.T) {
	for _, http1 := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFake(t, after(time.Second))
			f.connect = 6 * time.Millisecond
			c := f.client(t, func(cfg *Config) { cfg.HTTP1 = http1 })
			for id := range uint64(8) {
				begin(t.Context(), c, id, 3*time.Second)
				time.Sleep(40 * time.Millisecond)
			}
			if n := f.opened(); n != maxHTTP2 {
				t.Errorf("HTTP/1.1 %v: %d connections opened, want %d", http1, n, maxHTTP2)
			}
			time.Sleep(5 * time.Second)
		})
	}
}
