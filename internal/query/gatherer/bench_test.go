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

// benchShards is the number of shards of a query at the target size.
const benchShards = 430

// instantFleet answers each task at once, in the goroutine that sends it.
type instantFleet struct {
	*fleet
	hits []answerer.Hit
}

func (n *instantFleet) Do(_ context.Context, t exchanger.Task, deliver func(exchanger.Result)) {
	n.deliverResult(&t, deliver)
}

func (n *instantFleet) Exchange(_ context.Context, _ netip.AddrPort, tasks []exchanger.Task, deliver func(exchanger.Result)) {
	for i := range tasks {
		n.deliverResult(&tasks[i], deliver)
	}
}

func (n *instantFleet) deliverResult(t *exchanger.Task, deliver func(exchanger.Result)) {
	r := exchanger.Result{ID: t.ID, Sent: true, Version: 5, Documents: 10, Oldest: 1, Newest: 5, Hits: n.hits}
	if t.Version == 0 {
		r.Status = exchanger.VersionUnavailable
	}
	deliver(r)
}

func newInstantFleet(b *testing.B) (*instantFleet, *Gatherer) {
	s := newService(declarer.Search, benchShards)
	// A long deadline, so that a loaded machine does not cut queries short.
	s.Contract.Deadline.Duration = time.Minute
	f := newFleet(s, nil)
	n := &instantFleet{fleet: f}
	for i := range 10 {
		n.hits = append(n.hits, answerer.Hit{ID: string(rune('a' + i)), Score: float64(10 - i)})
	}
	g := f.start(b, nil)
	g.cfg.Seed = DefaultConfig().Seed
	g.local, g.remote = n, n
	for range 500 {
		if _, err := g.Query(context.Background(), query()); err != nil {
			b.Fatal(err)
		}
	}
	return n, g
}

// BenchmarkQuery runs whole queries of 430 shards over fakes that answer at once: planning, admission,
// sending, handling of results and merging.
func BenchmarkQuery(b *testing.B) {
	_, g := newInstantFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.Query(context.Background(), query()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPlan reads the state of 1290 upstreams and plans 430 shards.
func BenchmarkPlan(b *testing.B) {
	f, g := newInstantFleet(b)
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

// BenchmarkParallel runs whole queries, and admission alone, on all processors at once.
func BenchmarkParallel(b *testing.B) {
	_, g := newInstantFleet(b)
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
