package gatherer

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

// localSuffix ends the names of the upstreams in the entry daemon's own zone, which it asks first.
const localSuffix = "-a"

func mustQuery(t *testing.T, g *Gatherer) *answerer.Answer {
	t.Helper()
	a, err := g.Query(context.Background(), query())
	if err != nil {
		t.Fatalf("Query failed: %v", err)
	}
	return a
}

func assertCoverage(t *testing.T, a *answerer.Answer, want answerer.Coverage) {
	t.Helper()
	if diff := cmp.Diff(want, a.Coverage); diff != "" {
		t.Errorf("coverage (-want +got):\n%s", diff)
	}
}

// assertOneSnapshot checks that every hit is of the answer's snapshot and that no hit is in it twice.
func assertOneSnapshot(t *testing.T, a *answerer.Answer, snapshot uint64) {
	t.Helper()
	if a.Snapshot != snapshot {
		t.Errorf("snapshot %d, want %d", a.Snapshot, snapshot)
	}
	seen := make(map[string]bool)
	for _, h := range a.Results {
		if !strings.HasPrefix(h.ID, "v"+string(rune('0'+snapshot))+"-") {
			t.Errorf("hit %q is not of snapshot %d", h.ID, snapshot)
		}
		if seen[h.ID] {
			t.Errorf("hit %q occurs twice", h.ID)
		}
		seen[h.ID] = true
	}
}

func assertRefused(t *testing.T, err error, code answerer.Code) {
	t.Helper()
	var r *answerer.RefusalError
	if !errors.As(err, &r) {
		t.Fatalf("got error %v, want a refusal", err)
	}
	if r.Code != code || r.Outcome != answerer.NotRun {
		t.Errorf("refused with %q, outcome %q, want %q, not run", r.Code, r.Outcome, code)
	}
}

func assertSent(t *testing.T, f *fleet, want int) {
	t.Helper()
	if got := len(f.sentTasks()); got != want {
		t.Errorf("%d sub-requests sent, want %d", got, want)
	}
}

// failing answers searches of upstreams in the first zone with r after a delay, and everything else
// like healthy upstreams.
func failing(r exchanger.Result, delay time.Duration) func(string, exchanger.Task) reply {
	return func(_ string, t exchanger.Task) reply {
		if t.Version != 0 && strings.HasSuffix(t.Upstream, localSuffix) {
			return reply{result: r, delay: delay}
		}
		return reply{result: resultFor(t, 1, 5), delay: time.Millisecond}
	}
}

func TestQuery(t *testing.T) {
	bubble(t, "complete", func(t *testing.T) {
		f := newFleet(newService(declarer.Search, 20), healthy(time.Millisecond))
		a := mustQuery(t, f.start(t, nil))
		assertCoverage(t, a, answerer.Coverage{Shards: 20, Merged: 20, Documents: 200})
		assertOneSnapshot(t, a, 5)
		assertSent(t, f, 20)
		for _, task := range f.sentTasks() {
			if !strings.HasSuffix(task.Upstream, localSuffix) {
				t.Errorf("asked %s, want only upstreams in this daemon's zone", task.Upstream)
			}
		}
	})
	bubble(t, "partial at the deadline", func(t *testing.T) {
		f := newFleet(newService(declarer.Search, 3), func(_ string, t exchanger.Task) reply {
			return reply{result: resultFor(t, 1, 5), delay: time.Millisecond, silent: t.Version != 0 && t.Shard == 1}
		})
		a := mustQuery(t, f.start(t, nil))
		assertCoverage(t, a, answerer.Coverage{
			Shards: 3, Merged: 2, Documents: 20,
			Missing: []answerer.Missing{{Shard: 1, Reason: answerer.ReasonDeadline}},
		})
		if a.Took.Duration > 200*time.Millisecond {
			t.Errorf("took %s, want at most the deadline", a.Took)
		}
	})
	bubble(t, "result of another version", func(t *testing.T) {
		f := newFleet(newService(declarer.Search, 3), failing(exchanger.Result{Version: 4, Documents: 10}, 0))
		a := mustQuery(t, f.start(t, nil))
		assertCoverage(t, a, answerer.Coverage{Shards: 3, Merged: 3, Documents: 30})
		assertOneSnapshot(t, a, 5)
	})
}

func TestRefusals(t *testing.T) {
	s := newService(declarer.Search, 3)
	tests := []struct {
		name   string
		change func(*fleet, *answerer.Query)
		want   answerer.Code
	}{
		{"no configuration", func(f *fleet, _ *answerer.Query) {
			v := *f.View()
			v.Version = 0
			f.viewer.Publish(&v)
		}, answerer.CodeNoConfig},
		{"no such service", func(_ *fleet, q *answerer.Query) { q.Service = "nobody" }, answerer.CodeNoService},
		{"bad limit", func(_ *fleet, q *answerer.Query) { q.Limit = -1 }, answerer.CodeBadField},
		{"no versions", func(f *fleet, _ *answerer.Query) {
			f.answer = func(string, exchanger.Task) reply { return reply{silent: true} }
		}, answerer.CodeNoSnapshot},
		{"all out", func(f *fleet, _ *answerer.Query) { f.viewer.Publish(newView(s, zones...)) }, answerer.CodeNoSnapshot},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			f, q := newFleet(s, healthy(0)), query()
			tt.change(f, q)
			_, err := f.start(t, nil).Query(context.Background(), q)
			assertRefused(t, err, tt.want)
			assertSent(t, f, 0)
		})
	}
	bubble(t, "overloaded", func(t *testing.T) {
		f := newFleet(s, func(string, exchanger.Task) reply { return reply{silent: true} })
		g := f.start(t, func(c *Config) { c.MaxConcurrentQueries = 1 })
		go g.Query(context.Background(), query()) //nolint:errcheck // only fills the daemon's limit
		synctest.Wait()
		_, err := g.Query(context.Background(), query())
		assertRefused(t, err, answerer.CodeOverloaded)
	})
}
