package gatherer

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

// faulty answers with random faults: every status, wrong versions, results that are duplicated, late
// or missing, and upstreams whose versions change.
func faulty(rng *rand.Rand) func(string, exchanger.Task) reply {
	return func(_ string, t exchanger.Task) reply {
		newest := 3 + uint64(rng.IntN(3))
		r := reply{result: resultFor(t, newest-uint64(rng.IntN(2)), newest)}
		r.delay = time.Duration(rng.ExpFloat64() * float64(3*time.Millisecond))
		switch rng.IntN(20) {
		case 0:
			r.result.Status = exchanger.Status(rng.IntN(int(exchanger.DeadlineExceeded) + 1))
		case 1:
			r.result.Version += uint64(rng.IntN(3))
		case 2:
			r.silent = true
		case 3:
			r.duplicate = true
		case 4:
			r.delay *= 30
		}
		return r
	}
}

// TestFaults checks the invariants of answers under random faults of the upstreams.
func TestFaults(t *testing.T) {
	for seed := range uint64(60) {
		bubble(t, fmt.Sprint(seed), func(t *testing.T) {
			const shards, queries, burst = 12, 15, 20
			rng := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(newService(declarer.Search, shards), faulty(rng))
			var seeds atomic.Uint64
			g := f.start(t, func(c *Config) {
				c.ExtraBurst = burst
				c.Seed = func() uint64 { return (seed<<32 + seeds.Add(1)) * 0x9e3779b97f4a7c15 }
			})
			var wg sync.WaitGroup
			for i := range queries {
				wg.Go(func() { queryFaulty(t, g, fmt.Sprint("q", i), shards) })
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			}
			wg.Wait()
			synctest.Wait()
			assertNoneInFlight(t, g)
		})
	}
}

func queryFaulty(t *testing.T, g *Gatherer, request string, shards int) {
	q, start := query(), time.Now()
	q.Request = request
	a, err := g.Query(t.Context(), q)
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("query took %s, want at most 200ms", took)
	}
	if err == nil {
		assertConsistent(t, a, request, shards)
	}
}

// assertConsistent checks that an answer is of its own request and of one snapshot, that no hit is in
// it twice, and that its coverage matches its results.
func assertConsistent(t *testing.T, a *answerer.Answer, request string, shards int) {
	t.Helper()
	assertOneSnapshot(t, a, a.Snapshot)
	for _, h := range a.Results {
		if a.Request != request || h.Text != request {
			t.Errorf("answer of %q to %q has a hit of %q", a.Request, request, h.Text)
		}
	}
	c := a.Coverage
	if c.Shards != shards || c.Merged+len(c.Missing) != shards || c.Documents != uint64(10*c.Merged) {
		t.Errorf("coverage %+v does not add up to %d shards", c, shards)
	}
	if len(a.Results) != min(c.Merged, 10) {
		t.Errorf("%d results from %d merged shards with one hit each", len(a.Results), c.Merged)
	}
	for _, m := range c.Missing {
		for _, h := range a.Results {
			if h.Shard == m.Shard {
				t.Errorf("shard %d is listed as missing and has a hit", m.Shard)
			}
		}
	}
}

// assertNoneInFlight checks that no sub-request is counted as in flight.
func assertNoneInFlight(t *testing.T, g *Gatherer) {
	t.Helper()
	l, _ := g.layout(g.views.View(), "anomaly-finder")
	for i, u := range l.upstreams {
		if n := u.Read(time.Now()).InFlight; n != 0 {
			t.Errorf("%s has %d sub-requests in flight after all queries", l.Upstreams[i].Name, n)
		}
	}
}
