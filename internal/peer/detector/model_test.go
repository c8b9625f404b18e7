package detector

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// healWithin is the bound of liveness in steps: the platform's lag, two takeover
// times (silent members expire; those told to join again wait for nobody longer)
// and ten intervals for terms, records and draining.
const healWithin = listLag + 2*int(takeover/step) + 10*int(interval/step)

// randomPlan returns the plan of a seed.
func randomPlan(seed uint64, size int) plan {
	rng := rand.New(rand.NewPCG(seed, uint64(size)))
	p := plan{
		seed: seed, size: size, upstreams: 2 + rng.IntN(2), horizon: 150, healWithin: healWithin,
		atStart: 1 + rng.IntN(size), loss: []int{0, 0, 10, 30}[rng.IntN(4)], delay: rng.IntN(5),
		relay: rng.IntN(2) == 0, fewContacts: rng.IntN(4) == 0,
	}
	for i := p.atStart; i < size; i++ {
		p.events = append(p.events, event{at: rng.IntN(60), act: start, a: i})
	}
	for range 2 + rng.IntN(10) {
		e := event{at: rng.IntN(p.horizon), act: act(rng.IntN(int(acts))), a: rng.IntN(size)}
		e.b = (e.a + 1 + rng.IntN(size-1)) % size
		p.events = append(p.events, e)
		if e.act <= cutOneWay || e.act == freeze || e.act == stall || e.act == kill || e.act == lose {
			p.events = append(p.events, undo(e, e.at+rng.IntN(80)))
		}
	}
	slices.SortStableFunc(p.events, func(a, b event) int { return a.at - b.at })
	return p
}

// undo returns the event that ends another.
func undo(e event, at int) event {
	switch e.act {
	case freeze, stall:
		return event{at: at, act: resume, a: e.a}
	case kill, lose:
		return event{at: at, act: start, a: e.a}
	default:
		return event{at: at, act: heal, a: e.a, b: e.b}
	}
}

// shrink drops events that a failure does not need.
func (p plan) shrink() plan {
	for i := len(p.events) - 1; i >= 0; i-- {
		q := p
		q.events = slices.Delete(slices.Clone(p.events), i, i+1)
		if q.run() != "" {
			p = q
			i = len(p.events)
		}
	}
	return p
}

func assertPlan(t *testing.T, p plan) {
	t.Helper()
	if got := p.run(); got != "" {
		small := p.shrink()
		t.Errorf("%s\nat first: %s\nsmallest: %+v", small.run(), got, small)
	}
}

func TestModel(t *testing.T) {
	for size := 2; size <= 4; size++ {
		t.Run(string(rune('0'+size)), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(1000) {
				assertPlan(t, randomPlan(seed, size))
				if t.Failed() {
					return
				}
			}
		})
	}
}
