package linker_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/peer/linker"
)

// tenHits returns a typical result of a sub-request.
func tenHits(id uint64) exchanger.Result {
	r := exchanger.Result{ID: id, Version: 41, Documents: 1000}
	for i := range 10 {
		r.Hits = append(r.Hits, answerer.Hit{ID: fmt.Sprintf("finder-3-%02d", i), Shard: 3, Score: 0.5, Text: "metal loss in version 41"})
	}
	return r
}

// BenchmarkExchange sends batches of sub-requests over a link. One operation is one sub-request.
func BenchmarkExchange(b *testing.B) {
	for _, batch := range []int{1, 16, 128} {
		b.Run(fmt.Sprint(batch), func(b *testing.B) {
			work := workerFunc(func(_ context.Context, t exchanger.Task, deliver func(exchanger.Result)) { deliver(tenHits(t.ID)) })
			from := start(b, linker.Config{}, work)
			to := start(b, linker.Config{}, work)
			b.ReportAllocs()
			for done := 0; done < b.N; done += batch {
				var wg sync.WaitGroup
				var tasks []exchanger.Task
				for i := range batch {
					tasks = append(tasks, task(uint64(i+1), ""))
				}
				wg.Add(batch)
				from.Exchange(b.Context(), to.addr, tasks, func(exchanger.Result) { wg.Done() })
				wg.Wait()
			}
		})
	}
}

// BenchmarkHTTP sends each of the same sub-requests as one HTTP request.
func BenchmarkHTTP(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var t exchanger.Task
		if json.NewDecoder(r.Body).Decode(&t) == nil {
			_ = json.NewEncoder(w).Encode(tenHits(t.ID))
		}
	}))
	defer srv.Close()
	b.ReportAllocs()
	for b.Loop() {
		body, _ := json.Marshal(task(1, ""))
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, srv.URL, bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		resp, err := srv.Client().Do(req)
		if err != nil {
			b.Fatal(err)
		}
		var r exchanger.Result
		if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
