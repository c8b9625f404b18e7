package admitter

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"cornelwood.example/internal/route/estimator"
)

// fleet is ten daemons that send to the same searchers. Each knows its own requests, and learns those of the others from
// their reports.
type fleet struct {
	daemons    []*model
	estimators []*estimator.Estimator
	searchers  []*searcher
	// own holds, by daemon and searcher, when each request in flight ends, and busy the time of requests since the last
	// report.
	own    [][][]time.Time
	busy   [][]time.Duration
	inTime int
	rnd    *rand.Rand
}

// reportInterval is the time between two reports of a daemon in milliseconds.
const reportInterval = 300

func newFleet() *fleet {
	shared := newModel()
	f := &fleet{searchers: slices.Concat(shared.searchers...), rnd: rand.New(rand.NewPCG(5, 6))}
	for range 10 {
		m := newModel()
		f.daemons = append(f.daemons, m)
		f.estimators = append(f.estimators, estimator.New(func() time.Time { return m.now }))
		f.own = append(f.own, make([][]time.Time, len(f.searchers)))
		f.busy = append(f.busy, make([]time.Duration, len(f.searchers)))
	}
	return f
}

// load returns the load of a searcher as a daemon sees it.
func (f *fleet) load(d, i int) float64 {
	return f.estimators[d].InFlight(strconv.Itoa(i), slots, len(f.estimators)) / (slots + 1)
}

// least returns the least loaded searcher of a shard.
func (f *fleet) least(d, shard int) int {
	best := shard * replicas
	for i := best; i < (shard+1)*replicas; i++ {
		if f.load(d, i) < f.load(d, best) {
			best = i
		}
	}
	return best
}

func (f *fleet) loadOfShards(d int) float64 {
	loads := make([]float64, shards)
	for s := range loads {
		loads[s] = f.load(d, f.least(d, s))
	}
	slices.Sort(loads)
	return loads[needed-1]
}

// settle sends what is admitted.
func (f *fleet) settle(d int) {
	m := f.daemons[d]
	m.pending = slices.DeleteFunc(m.pending, func(a *arrival) bool {
		if !isDone(a.ticket) || a.ticket.Refusal() != nil {
			return isDone(a.ticket)
		}
		ends := make([]time.Time, shards)
		for s := range ends {
			i := f.least(d, s)
			ends[s] = f.searchers[i].run(a.kind.work, m.now)
			f.own[d][i] = append(f.own[d][i], ends[s])
			f.estimators[d].Count(strconv.Itoa(i), len(f.own[d][i]))
		}
		slices.SortFunc(ends, time.Time.Compare)
		if ends[needed-1].Sub(a.at) <= a.kind.goal {
			f.inTime++
		}
		return true
	})
}

// step lets a millisecond pass at a daemon.
func (f *fleet) step(d, ms int) {
	m := f.daemons[d]
	m.now = m.now.Add(time.Millisecond)
	isDue := (ms+d*reportInterval/len(f.daemons))%reportInterval == 0
	for i := range f.searchers {
		n := len(f.own[d][i])
		f.own[d][i] = slices.DeleteFunc(f.own[d][i], func(end time.Time) bool { return !end.After(m.now) })
		if len(f.own[d][i]) < n {
			f.estimators[d].Count(strconv.Itoa(i), len(f.own[d][i]))
		}
		f.busy[d][i] += time.Duration(n) * time.Millisecond
		if isDue {
			f.report(d, i)
		}
	}
	m.Poll()
	f.settle(d)
}

// report tells the other daemons how busy a daemon kept a searcher.
func (f *fleet) report(d, i int) {
	for other := range f.daemons {
		if other != d {
			f.estimators[other].Observe(strconv.Itoa(i), estimator.Sample{Busy: f.busy[d][i]})
		}
	}
	f.busy[d][i] = 0
}

// TestCurveOfFleet guards against daemons that admit and refuse in turns, since they learn of each other's load late: at each
// moment all of them see the same old load.
func TestCurveOfFleet(t *testing.T) {
	peak := 0
	for _, load := range []float64{1, 2, 4} {
		f, kinds := newFleet(), mix(load)
		for ms := range 3000 {
			for d := range f.daemons {
				f.step(d, ms)
			}
			for i := range kinds {
				for n := kinds[i].perSecond / 1000; n > f.rnd.Float64(); n-- {
					d := f.rnd.IntN(len(f.daemons))
					m := f.daemons[d]
					m.pending = append(m.pending, &arrival{kind: &kinds[i], at: m.now, ticket: m.Offer(&Request{
						Group: "g", Priority: kinds[i].priority, Work: shards, Latency: 2 * kinds[i].work,
						Load: func() float64 { return f.loadOfShards(d) }, WaitUntil: m.now.Add(15 * time.Millisecond),
					})})
					f.settle(d)
				}
			}
		}
		t.Logf("load %.1f: %d answers in time a second", load, f.inTime/3)
		peak = max(peak, f.inTime)
		if float64(f.inTime) < 0.9*float64(peak) {
			t.Errorf("load %.1f: %d answers in time, want 0.9 of the peak of %d", load, f.inTime, peak)
		}
	}
}
