package dialer

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
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
		"avoidance off": {func(c *Config) { c.Silence = time.Hour }, exchanger.Failed, exchanger.DeadlineExceeded, map[Cause]int{Silent: 1}},
		"ping off":      {func(c *Config) { c.PingAfter = 0 }, exchanger.DeadlineExceeded, exchanger.OK, map[Cause]int{}},
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

// TestHold pins for how long a slot stays taken after a cancellation: two
// graces when the upstream answers a probe, else until the deadline and the margin.
func TestHold(t *testing.T) {
	margin := FromCapacity(declarer.Capacity{}).Margin
	for silent, want := range map[bool]time.Duration{false: 10 * time.Millisecond, true: 90*time.Millisecond + margin} {
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

// TestHoldIsNotEndedByOtherAnswers pins that bytes of another answer, which may
// have been sent before the upstream read the cancellation, do not free a slot.
func TestHoldIsNotEndedByOtherAnswers(t *testing.T) {
	const healthTakes = 60 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		search30 := after(30 * time.Millisecond)
		f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == healthPath {
				time.Sleep(healthTakes)
				return
			}
			search30(w, r)
		})
		c := f.client(t, nil)
		ctx, cancel := context.WithCancel(t.Context())
		given := begin(ctx, c, 1, time.Second)
		other := begin(t.Context(), c, 2, time.Second)
		time.Sleep(10 * time.Millisecond)
		cancel()
		out := <-given
		from := time.Now()
		if got := <-other; got.Result.Status != exchanger.OK {
			t.Fatalf("the other request: %+v", got.Result)
		}
		out.Hold.Wait()
		if held := time.Since(from); held < healthTakes {
			t.Errorf("held for %s, want until the probe is answered after %s", held, healthTakes)
		}
	})
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

// TestCloseDoesNotWaitForThePool pins the order of locks: net/http closes an
// HTTP/1.1 connection under a lock that the pool takes under its own.
func TestCloseDoesNotWaitForThePool(t *testing.T) {
	p := newPool(Config{}, "192.0.2.1:80", nil)
	near, _ := net.Pipe()
	l := &link{Conn: near, onClose: p.dropped}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := l.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}
