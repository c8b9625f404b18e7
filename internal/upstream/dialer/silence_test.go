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

// begin sends a task and returns the channel that receives its outcome.
func begin(ctx context.Context, c *Client, id uint64, d time.Duration) <-chan Outcome {
	got := make(chan Outcome, 1)
	go func() { got <- c.Do(ctx, search(id), admitFor(d)) }()
	return got
}

// TestWaitForDialReservesNothing checks that requests which wait for a second connection because the first is silent
// leave nothing reserved on it.
func TestWaitForDialReservesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeUpstream(t, echo(nil))
		c := f.client(t, func(cfg *Config) { cfg.PingAfter = 0 })
		c.Do(t.Context(), search(1), admitFor(time.Second))
		f.setSilent(true)
		f.dialTime = 50 * time.Millisecond
		first := begin(t.Context(), c, 2, time.Second)
		time.Sleep(50 * time.Millisecond)
		var waiting []<-chan Outcome
		for id := uint64(3); id < 13; id++ {
			waiting = append(waiting, begin(t.Context(), c, id, 10*time.Millisecond))
		}
		for _, w := range waiting {
			<-w
		}
		<-first
		// The end of a request that was sent is completed by another goroutine.
		synctest.Wait()
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		for _, cn := range c.pool.conns {
			// The request that was sent counts until the upstream acknowledges its end.
			if n := cn.http.InFlight(); n > 1 {
				t.Errorf("a connection has %d requests in flight after all have ended, want 1 at most", n)
			}
		}
	})
}

// TestSilentConnection checks that new requests avoid a connection that has become silent for
// good, and that it is closed when it answers no ping.
func TestSilentConnection(t *testing.T) {
	tests := map[string]struct {
		change func(*Config)
		// first and next are the statuses of the request on the silent connection and of
		// one that is sent 50 ms later.
		first, next exchanger.Status
		closed      map[Cause]int
	}{
		"on":            {nil, exchanger.Failed, exchanger.OK, map[Cause]int{Silent: 1}},
		"avoidance off": {func(c *Config) { c.SilenceThreshold = time.Hour }, exchanger.Failed, exchanger.DeadlineExceeded, map[Cause]int{Silent: 1}},
		"ping off":      {func(c *Config) { c.PingAfter = 0 }, exchanger.DeadlineExceeded, exchanger.OK, map[Cause]int{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeUpstream(t, echo(nil))
				c := f.client(t, tt.change)
				c.Do(t.Context(), search(1), admitFor(time.Second))
				f.setSilent(true)

				first := begin(t.Context(), c, 2, time.Second)
				time.Sleep(50 * time.Millisecond)
				next := c.Do(t.Context(), search(3), admitFor(100*time.Millisecond))
				got := []exchanger.Status{(<-first).Result.Status, next.Result.Status}
				if d := cmp.Diff([]exchanger.Status{tt.first, tt.next}, got); d != "" {
					t.Errorf("statuses (-want +got):\n%s", d)
				}
				if d := cmp.Diff(tt.closed, f.causes()); d != "" {
					t.Errorf("connections closed (-want +got):\n%s", d)
				}
			})
		})
	}
}

// TestHold checks how long a slot stays taken after a cancellation: twice CancelGrace when the
// upstream answers a probe, else until DeadlineMargin after the deadline.
func TestHold(t *testing.T) {
	margin := FromCapacity(declarer.Capacity{}).DeadlineMargin
	for silent, want := range map[bool]time.Duration{false: 10 * time.Millisecond, true: 90*time.Millisecond + margin} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeUpstream(t, echoAfter(time.Second))
			c := f.client(t, nil)
			ctx, cancel := context.WithCancel(t.Context())
			got := begin(ctx, c, 1, 100*time.Millisecond)
			time.Sleep(10 * time.Millisecond)
			f.setSilent(silent)
			cancel()
			out := <-got
			start := time.Now()
			out.Hold.Wait()
			if d := cmp.Diff(want, time.Since(start)); d != "" {
				t.Errorf("silent %v: held for (-want +got):\n%s", silent, d)
			}
		})
	}
}

// TestHoldIsNotEndedByOtherAnswers checks that bytes of another answer, which the upstream may
// have sent before it read the cancellation, do not free a slot.
func TestHoldIsNotEndedByOtherAnswers(t *testing.T) {
	const healthTime = 60 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		search30 := echoAfter(30 * time.Millisecond)
		f := newFakeUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == healthPath {
				time.Sleep(healthTime)
				return
			}
			search30(w, r)
		})
		c := f.client(t, nil)
		ctx, cancel := context.WithCancel(t.Context())
		abandoned := begin(ctx, c, 1, time.Second)
		other := begin(t.Context(), c, 2, time.Second)
		time.Sleep(10 * time.Millisecond)
		cancel()
		out := <-abandoned
		start := time.Now()
		if got := <-other; got.Result.Status != exchanger.OK {
			t.Fatalf("the other request: %+v", got.Result)
		}
		out.Hold.Wait()
		if held := time.Since(start); held < healthTime {
			t.Errorf("held for %s, want until the probe is answered after %s", held, healthTime)
		}
	})
}

// TestConnectionsAreBounded checks that slow requests on all connections open no more than
// the maximum.
func TestConnectionsAreBounded(t *testing.T) {
	for _, http1 := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeUpstream(t, echoAfter(time.Second))
			f.dialTime = 6 * time.Millisecond
			c := f.client(t, func(cfg *Config) { cfg.HTTP1 = http1 })
			for id := range uint64(8) {
				begin(t.Context(), c, id, 3*time.Second)
				time.Sleep(40 * time.Millisecond)
			}
			if n := f.opened(); n != maxHTTP2Connections {
				t.Errorf("HTTP/1.1 %v: %d connections opened, want %d", http1, n, maxHTTP2Connections)
			}
			time.Sleep(5 * time.Second)
		})
	}
}

// TestCloseDoesNotWaitForThePool guards against a deadlock: net/http closes an HTTP/1.1
// connection under a lock that the pool acquires under its own.
func TestCloseDoesNotWaitForThePool(t *testing.T) {
	p := newPool(Config{}, "192.0.2.1:80", nil)
	near, _ := net.Pipe()
	l := &link{Conn: near, onClose: p.removeClosed}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := l.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}
