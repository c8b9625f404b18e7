package main_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/standin/searcher"
)

// TestQueryEndToEnd sends queries through separate processes: three daemons, a platform and searchers.
func TestQueryEndToEnd(t *testing.T) {
	s := withSite(t, siteOptions{})
	for _, d := range s.daemons {
		t.Run("through "+d.id, func(t *testing.T) {
			assertComplete(t, d)
		})
	}
	for i, d := range s.daemons {
		if code := d.terminate(t); code != 0 {
			t.Errorf("exit code of daemon %d = %d, want 0", i, code)
		}
	}
}

// TestReadyMeansServing queries each daemon as soon as all are ready. Every shard must have an owner that admits work.
func TestReadyMeansServing(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "a", "b", "b", "b", "c", "c", "c"}})
	deadline := &declarer.Duration{Duration: 20 * time.Second}
	for _, d := range s.daemons {
		a, err := d.query(t, answerer.Query{Service: "finder", Deadline: deadline})
		if err != nil {
			t.Errorf("query through %s: %v", d.id, err)
			continue
		}
		if diff := cmp.Diff([]answerer.Missing(nil), a.Coverage.Missing); diff != "" {
			t.Errorf("missing shards through %s (-want +got):\n%s", d.id, diff)
		}
	}
}

// assertComplete waits for a complete answer of the service "finder", since searchers start cold, and compares it with
// the only right answer for its snapshot version.
func assertComplete(t *testing.T, d *daemon) {
	t.Helper()
	const (
		service = "finder"
		limit   = 5
	)
	var a answerer.Answer
	eventually(t, startTimeout, func() error {
		var err error
		a, err = d.query(t, answerer.Query{Request: "r-1", Service: service, Terms: "metal loss", Limit: limit})
		if err == nil && !a.Coverage.Complete() {
			err = fmt.Errorf("coverage %+v", a.Coverage)
		}
		return err
	})
	all := []int{0, 1, 2, 3}
	shards := len(all)
	want := answerer.Answer{
		Request: "r-1", Service: service, Snapshot: a.Snapshot,
		Coverage: answerer.Coverage{Shards: shards, Merged: shards, Documents: a.Coverage.Documents},
		Results:  searcher.MergedHits(service, all, a.Snapshot, "metal loss", limit),
		Took:     a.Took,
	}
	if diff := cmp.Diff(want, a); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}
