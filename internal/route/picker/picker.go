// Package picker chooses the searcher that gets a request, from what this daemon
// has seen of each: latency, failures, exchanges that run, and connections that
// could not be opened.
//
// Load patterns that it answers: searchers that pause for a moment or turn slow
// for seconds (new requests go elsewhere once an exchange takes longer than
// usual, before it has ended); searchers that fail while they report good health
// (their failure rate costs what a second attempt costs); searchers that cannot
// be reached (left out for a growing time, then tried by one request); zones of
// uneven load (another zone's searcher wins when the own one has more to do).
package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/route/locator"
)

const (
	// zoneCost is what an answer from another zone costs beside its latency, in
	// shares of the usual latency.
	zoneCost = 1.2
	// zoneDelay is about the round trip between zones.
	zoneDelay = 2 * time.Millisecond
	// loadCost is how much each running exchange adds, in shares of the usual latency.
	loadCost = 0.35
	// failureCost is what a failed attempt costs, in shares of the usual latency.
	failureCost = 8
	// coldCost is how much slower a cold searcher is taken to be.
	coldCost = 1
	// stallStart is how much longer than usual a running exchange takes before it
	// counts against its searcher.
	stallStart = 1.5
	// chance is the share by which costs are blurred, so that searchers that are about
	// equal get about as much, and one that recovered is met again.
	chance = 0.2
	// forgetAfter is how long a searcher that gets no request is remembered.
	forgetAfter = time.Minute
)

// Picker chooses searchers. It is safe for concurrent use.
type Picker struct {
	zone string
	now  func() time.Time

	mu      sync.Mutex
	known   map[string]*health
	pending map[string]*exchanger.Observation
	sweepAt time.Time
}

// New returns a Picker of a daemon in zone.
func New(zone string, now func() time.Time) *Picker {
	return &Picker{zone: zone, now: now, known: make(map[string]*health), pending: make(map[string]*exchanger.Observation)}
}

// Exchange stands for one running exchange.
type Exchange struct {
	picker *Picker
	id     string
	health *health
	start  time.Time
	usual  time.Duration
	ended  bool
}

// Pick returns the best of the searchers, those whose index is in tried left
// out, and starts an exchange with it; usual is the latency that the service
// usually has. It returns -1 when none may get a request now.
func (p *Picker) Pick(searchers []locator.Searcher, tried []int, usual time.Duration) (int, *Exchange) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost := -1, 0.0
	for i := range searchers {
		if slices.Contains(tried, i) {
			continue
		}
		cost, ok := p.cost(&searchers[i], usual, now)
		cost *= 1 + chance*rand.Float64()
		if ok && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return -1, nil
	}
	if s := &searchers[best]; s.ColdLimited && now.Before(s.WarmAt) {
		p.healthOf(s.ID).coldTokens--
	}
	return best, p.start(searchers[best].ID, usual, now)
}

// Usable returns the number of searchers that may get a request now.
func (p *Picker) Usable(searchers []locator.Searcher) int {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for i := range searchers {
		if _, ok := p.cost(&searchers[i], time.Millisecond, now); ok {
			n++
		}
	}
	return n
}

// cost returns what a request to the searcher is expected to cost, in shares of
// the usual latency, and false when it may get none.
func (p *Picker) cost(s *locator.Searcher, usual time.Duration, now time.Time) (float64, bool) {
	cost := 1.0
	if h := p.known[s.ID]; h != nil {
		if h.trial || now.Before(h.downUntil) {
			return 0, false
		}
		cost = h.slownessAt(now)
		if stall := h.stall(now); stall > stallStart {
			cost = max(cost, stall)
		}
		cost *= 1 + loadCost*float64(len(h.running))
		cost += failureCost * h.failuresAt(now)
	}
	if s.Zone != p.zone {
		cost += zoneCost + ratio(zoneDelay, usual)
	}
	if now.Before(s.WarmAt) {
		cost += coldCost
		if s.ColdLimited && p.healthOf(s.ID).coldAt(s, now) < 1 {
			return 0, false
		}
	}
	return cost, true
}

func (p *Picker) start(id string, usual time.Duration, now time.Time) *Exchange {
	h := p.healthOf(id)
	// After a backoff one request alone tries the searcher.
	h.trial = h.streak > 0
	t := &Exchange{picker: p, id: id, health: h, start: now, usual: usual}
	h.running[t] = struct{}{}
	p.sweep(now)
	return t
}

func (p *Picker) healthOf(id string) *health {
	h := p.known[id]
	if h == nil {
		h = &health{running: make(map[*Exchange]struct{})}
		p.known[id] = h
	}
	return h
}

// End ends the exchange with its outcome.
func (t *Exchange) End(o Outcome) {
	now := t.picker.now()
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	delete(t.health.running, t)
	took := now.Sub(t.start)
	t.health.settle(o, took, t.usual, now)
	t.picker.observe(t.id, o, ratio(took, t.usual))
}

// sweep forgets searchers that have been quiet for long.
func (p *Picker) sweep(now time.Time) {
	if now.Before(p.sweepAt) {
		return
	}
	p.sweepAt = now.Add(forgetAfter)
	for id, h := range p.known {
		last := h.seenAt
		if h.failedAt.After(last) {
			last = h.failedAt
		}
		if len(h.running) == 0 && now.Sub(last) > forgetAfter {
			delete(p.known, id)
		}
	}
}
