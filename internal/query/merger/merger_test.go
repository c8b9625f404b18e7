package merger

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/exchanger"
)

const version = 5

// TestMerge compares the Merger with sorting all hits of the valid results, when results arrive in any
// order, twice, or of another version.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 12).Draw(t, "shards")
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		m := New(version, shards, limit)
		merged := make(map[int]bool)
		var all []answerer.Hit
		documents := uint64(0)
		for range rapid.IntRange(0, 3*shards).Draw(t, "results") {
			i := rapid.IntRange(0, shards-1).Draw(t, "shard")
			r := drawResult(t)
			wantMerged := r.Status == exchanger.OK && r.Version == version && !merged[i]
			if err := m.Add(i, i, r); (err == nil) != wantMerged {
				t.Fatalf("Add(%d, %+v) = %v, want merged %v", i, r, err, wantMerged)
			}
			if !wantMerged {
				continue
			}
			merged[i] = true
			documents += r.Documents
			for _, h := range r.Hits {
				h.Shard = i
				all = append(all, h)
			}
		}
		slices.SortFunc(all, compareHitValues)
		want := append([]answerer.Hit{}, all[:min(limit, len(all))]...)
		if m.Count() != len(merged) || m.Documents() != documents {
			t.Fatalf("merged %d shards of %d documents, want %d of %d", m.Count(), m.Documents(), len(merged), documents)
		}
		if diff := cmp.Diff(want, m.Hits()); diff != "" {
			t.Fatalf("hits (-want +got):\n%s", diff)
		}
	})
}

func drawResult(t *rapid.T) *exchanger.Result {
	r := &exchanger.Result{
		Status:    rapid.SampledFrom([]exchanger.Status{exchanger.OK, exchanger.OK, exchanger.OK, exchanger.Failed}).Draw(t, "status"),
		Version:   rapid.SampledFrom([]uint64{version, version, version, version - 1}).Draw(t, "version"),
		Documents: rapid.Uint64Range(0, 9).Draw(t, "documents"),
	}
	for i, score := range rapid.SliceOfN(rapid.IntRange(0, 5), 0, 10).Draw(t, "scores") {
		r.Hits = append(r.Hits, answerer.Hit{ID: fmt.Sprintf("h%d", i), Score: float64(score), Shard: 99})
	}
	return r
}

func TestReject(t *testing.T) {
	tests := []struct {
		name   string
		result exchanger.Result
		want   answerer.Reason
	}{
		{"other version", exchanger.Result{Version: 4}, answerer.ReasonVersion},
		{"not a score", exchanger.Result{Version: 5, Hits: []answerer.Hit{{ID: "h", Score: math.NaN()}}}, answerer.ReasonInvalid},
		{"no id", exchanger.Result{Version: 5, Hits: []answerer.Hit{{Score: 1}}}, answerer.ReasonInvalid},
		{"hit twice", exchanger.Result{Version: 5, Hits: []answerer.Hit{{ID: "h"}, {ID: "h"}}}, answerer.ReasonInvalid},
		{"not a success", exchanger.Result{Status: exchanger.Shed, Version: 5}, answerer.ReasonInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New(version, 1, 10)
			var reject *RejectError
			if err := m.Add(0, 0, &tt.result); !errors.As(err, &reject) || reject.Reason != tt.want {
				t.Errorf("Add = %v, want a rejection for %q", err, tt.want)
			}
			if m.Count() != 0 || len(m.Hits()) != 0 {
				t.Error("a rejected result changed the Merger")
			}
		})
	}
}

// TestMain fixes the seed of property tests; -rapid.seed on the command line
// overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}
