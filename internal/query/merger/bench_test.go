package merger

import (
	"fmt"
	"testing"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/exchanger"
)

// BenchmarkMerge merges the answers of 430 shards with 10 hits each into the best 10.
func BenchmarkMerge(b *testing.B) {
	results := make([]exchanger.Result, 430)
	for i := range results {
		results[i] = exchanger.Result{Version: 5, Documents: 10}
		for k := range 10 {
			score := float64((i*7919+k*104729)%1000) - float64(k*1000)
			results[i].Hits = append(results[i].Hits, answerer.Hit{ID: fmt.Sprintf("h%d", k), Score: score})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		m := New(5, len(results), 10)
		for i := range results {
			if err := m.Add(i, i, &results[i]); err != nil {
				b.Fatal(err)
			}
		}
		if len(m.Hits()) != 10 {
			b.Fatal("want 10 hits")
		}
	}
}
