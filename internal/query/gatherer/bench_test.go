package gatherer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

// benchShards is the number of searchers of one query at the target size.
const benchShards = 430

// instant answers each task at once, in the goroutine that sends it.
type instant struct {
	*fleet
	hits []answerer.Hit
}

func (n *instant) Do(_ context.Context, t exchanger.Task, deliver func(exchanger.Result)) {
	n.give(&t, deliver)
}

func (n *instant) Exchange(_ context.Context, _ netip.AddrPort, tasks []exchanger.Task, deliver func(exchanger.Result)) {
	for i := range tasks {
		n.give(&tasks[i], deliver)
	}
}

func (n *instant) give(t *exchanger.Task, deliver func(exchanger.Result)) {
	r := exchanger.Result{ID: t.ID, Sent: true, Version: 5, Documents: 10, Oldest: 1, Newest: 5, Hits: n.hits}
	if t.Version == 0 {
		r.Status = exchanger.VersionUnavailable
	}
	deliver(r)
}

func newInstant(b *testing.B) (*instant, *Gatherer) {
	s := serviceOf(declarer.Search, benchShards)
	// A loaded machine must not end queries.
	s.Contract.Deadline.Duration = time.Minute
	f := newFleet(s, nil)
	n := &instant{fleet: f}
	for i := range 10 {
		n.hits = append(n.hits, answerer.Hit{ID: string(rune('a' + i)), Score: float64(10 - i)})
	}
	g := f.start(b, nil)
	g.cfg.Seed = DefaultConfig().Seed
	g.local, g.links = n, n
	for range 500 {
		if _, err := g.Query(context.Background(), query()); err != nil {
			b.Fatal(err)
		}
	}
	return n, g
}

// BenchmarkQuery runs whole queries of 430 shards over fakes that answer at once:
// planning, admission, sending, settling and merging.
func BenchmarkQuery(b *testing.B) {
	_, g := newInstant(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.Query(context.Background(), query()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPlan reads the state of 1290 upstreams and plans 430 shards.
func BenchmarkPlan(b *testing.B) {
	f, g := newInstant(b)
	l, _ := g.layout(f.View(), "anomaly-finder")
	b.ReportAllocs()
	for b.Loop() {
		p := g.plan(l, nil)
		if p.Covered != benchShards {
			b.Fatal(p.Covered)
		}
		g.plans.Put(p)
	}
}

// BenchmarkParallel runs whole queries, and their admission alone, on all
// processors at once.
func BenchmarkParallel(b *testing.B) {
	_, g := newInstant(b)
	ctx := context.Background()
	run := func(name string, f func()) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					f()
				}
			})
		})
	}
	run("query", func() {
		if _, err := g.Query(ctx, query()); err != nil {
			b.Error(err)
		}
	})
	run("admit", func() {
		if g.admitter.Admit(9) {
			g.admitter.Release()
		}
	})
}
