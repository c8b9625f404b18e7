package dialer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestCancellation compares the protocols on a virtual clock: three requests of 5 ms in
// flight, one in ten cancelled after 3 ms. It logs the figures that docs/MEASUREMENTS.md
// shows, and checks that cancelled requests close no connection over HTTP/2.
func TestCancellation(t *testing.T) {
	const requests, workers = 600, 3
	for _, http1 := range []bool{true, false} {
		for _, connect := range []time.Duration{time.Millisecond, 6 * time.Millisecond} {
			t.Run(fmt.Sprintf("http1=%v connect=%s", http1, connect), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFakeUpstream(t, echoAfter(5*time.Millisecond))
					f.dialTime = connect
					c := f.client(t, func(cfg *Config) { cfg.HTTP1, cfg.MaxConnections = http1, 30 })
					var mu sync.Mutex
					var took []time.Duration
					var wg sync.WaitGroup
					for w := range workers {
						wg.Go(func() {
							rnd := rand.New(rand.NewPCG(1, uint64(w)))
							for range requests / workers {
								if d, ok := doTimed(t.Context(), c, rnd.IntN(10) == 0); ok {
									mu.Lock()
									took = append(took, d)
									mu.Unlock()
								}
							}
						})
					}
					wg.Wait()
					slices.Sort(took)
					at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))] }
					t.Logf("%d requests, %d cancelled: %d connections opened, p50 %s, p99 %s, p99.9 %s",
						requests, requests-len(took), f.opened(), at(0.5), at(0.99), at(0.999))
					if n := f.opened(); !http1 && n > maxHTTP2Connections {
						t.Errorf("%d connections opened, want at most %d", n, maxHTTP2Connections)
					}
				})
			})
		}
	}
}

// doTimed sends one request, and returns its duration and whether it succeeded.
func doTimed(ctx context.Context, c *Client, cancelled bool) (time.Duration, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	if cancelled {
		time.AfterFunc(3*time.Millisecond, cancel)
	}
	out := c.Do(ctx, search(1), admitFor(time.Second))
	return time.Since(began), out.Result.Status == 0
}
