package detector

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// healWithin is the bound of liveness in steps: the platform's lag, three takeover
// times (an old term expires, the last term expires, the end takes effect) and ten
// intervals for terms, records and draining.
const healWithin = maxListLag + 3*int(takeover/step) + 10*int(interval/step)

// randomPlan returns the plan of a seed. Its events come in a few moments, so
// that several happen together.
func randomPlan(seed uint64, size int) plan {
	rng := rand.New(rand.NewPCG(seed, uint64(size)))
	pick := func(of ...int) int { return of[rng.IntN(len(of))] }
	p := plan{
		seed: seed, size: size, upstreams: 2 + rng.IntN(2), horizon: 150,
		atStart: 1 + rng.IntN(size), loss: pick(0, 0, 10, 30), delay: pick(0, 0, 1, 4),
		load: pick(5, 50, 80), gossip: pick(0, 5, 40), listLag: rng.IntN(maxListLag + 1),
		fast: uint(rng.IntN(1 << size)), relay: rng.IntN(2) == 0, fewContacts: rng.IntN(4) == 0,
	}
	for i := p.atStart; i < size; i++ {
		p.events = append(p.events, event{at: rng.IntN(60), act: start, a: i})
	}
	for at := 20 + rng.IntN(20); at < p.horizon; at += pick(1, 3, 10, 20, 40) {
		for range 1 + rng.IntN(3) {
			p.events = append(p.events, randomEvent(rng, at, size))
		}
	}
	slices.SortStableFunc(p.events, func(a, b event) int { return a.at - b.at })
	return p
}

func randomEvent(rng *rand.Rand, at, size int) event {
	e := event{at: at, act: act(rng.IntN(int(acts))), a: rng.IntN(size)}
	if e.act < heal {
		e.a = 1 + rng.IntN(1<<size-2)
	}
	return e
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
