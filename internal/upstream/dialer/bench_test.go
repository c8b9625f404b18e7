package dialer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkCancellation compares the protocols when one request in ten is
// cancelled while it runs: three at once, 5 ms each. It reports the connections
// opened for 1000 requests, and the latency of the others.
func BenchmarkCancellation(b *testing.B) {
	for _, http1 := range []bool{true, false} {
		for _, connect := range []time.Duration{time.Millisecond, 6 * time.Millisecond} {
			b.Run(fmt.Sprintf("http1=%v/connect=%s", http1, connect), func(b *testing.B) {
				measure(b, http1, connect)
			})
		}
	}
}

func measure(b *testing.B, http1 bool, connect time.Duration) {
	f := newFake(b, after(5*time.Millisecond))
	srv := httptest.NewUnstartedServer(f)
	srv.Config.Protocols = &http.Protocols{}
	srv.Config.Protocols.SetHTTP1(true)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	defer srv.Close()
	var mu sync.Mutex
	opened := 0
	c := f.client(b, func(cfg *Config) {
		cfg.HTTP1 = http1
		cfg.Connections = 30
		cfg.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
			mu.Lock()
			opened++
			mu.Unlock()
			time.Sleep(connect)
			return (&net.Dialer{}).DialContext(ctx, network, strings.TrimPrefix(srv.URL, "http://"))
		}
	})
	const workers = 3
	var latencies []time.Duration
	var wg sync.WaitGroup
	b.ResetTimer()
	for w := range workers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(1, uint64(w)))
			for i := w; i < b.N; i += workers {
				ctx, cancel := context.WithCancel(b.Context())
				if rnd.IntN(10) == 0 {
					time.AfterFunc(3*time.Millisecond, cancel)
				}
				began := time.Now()
				out := c.Do(ctx, search(uint64(i)), within(time.Second))
				cancel()
				if out.Result.Status == 0 {
					mu.Lock()
					latencies = append(latencies, time.Since(began))
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	at := func(q float64) float64 {
		return latencies[int(q*float64(len(latencies)-1))].Seconds() * 1000
	}
	b.ReportMetric(float64(opened)*1000/float64(b.N), "conns/1000")
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
}
