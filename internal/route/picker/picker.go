// Package picker chooses the searcher for a request by latencies, failures, exchanges in flight and failures to
// connect, as observed by this daemon and reported by others.
//
// It handles these load patterns:
//   - Searchers that pause for a moment or turn slow for seconds: new requests go elsewhere as soon as an exchange in
//     flight takes longer than average, before it has ended.
//   - Searchers that fail while they report good health: their failure rate adds the cost of a second attempt.
//   - Searchers that say in their answers that they leave, or want no request for a time: they get none.
//   - Searchers that are unreachable: they get no request during a growing backoff, and then a single one as a probe.
//   - Searchers with more requests in flight, from all daemons, than they handle well: others are chosen.
//   - Uneven load of zones: a searcher of another zone is chosen when those of the own zone have more in flight.
package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/route/estimator"
	"cornelwood.example/internal/route/locator"
)

// Costs are relative to the average latency of the route: 1 is the cost of an average exchange.
const (
	// crossZoneCost is the cost of an exchange with another zone in addition to its latency.
	crossZoneCost = 1.2
	// crossZoneDelay is about the network round trip between zones.
	crossZoneDelay = 2 * time.Millisecond
	// inFlightCost is the cost of each exchange in flight, as a share of the searcher's slowness.
	inFlightCost = 0.35
	// failureCost is the cost of a failed attempt.
	failureCost = 8
	// surplusCost is the additional cost of a searcher that sends more bytes after its answers: each takes a new connection.
	surplusCost = 16
	// queueCost is the cost of a searcher's queue, relative to the requests that it handles well at once: with as many
	// again in flight, a request waits as long as it runs.
	queueCost = 1
	// coldCost is the additional cost of a searcher during its warm-up.
	coldCost = 1
	// stallThreshold is the relative latency above which an exchange in flight counts as the searcher's slowness.
	stallThreshold = 1.5
	// costJitter is the share by which costs are increased at random, so that searchers of about equal cost get about
	// equal load, and one that has recovered gets requests again.
	costJitter = 0.2
	// healthRetention is how long the health of a searcher without new results is kept.
	healthRetention = time.Minute
)

// Picker chooses searchers. It is safe for concurrent use.
type Picker struct {
	zone string
	now  func() time.Time

	mu     sync.Mutex
	health map[string]*health
	// withdrawals holds what searchers have said in their answers, by ID.
	withdrawals map[string]*withdrawal
	// observations holds what the next call of Drain returns.
	observations map[string]*exchanger.Observation
	// drainedAt is when Drain was last called.
	drainedAt time.Time
	// estimator holds the speed and the limit of searchers, and the load by other daemons.
	estimator *estimator.Estimator
	nextSweep time.Time
}

// New returns a Picker of a daemon in zone; now is its clock.
func New(zone string, now func() time.Time) *Picker {
	return &Picker{
		zone: zone, now: now, health: make(map[string]*health), withdrawals: make(map[string]*withdrawal),
		observations: make(map[string]*exchanger.Observation), drainedAt: now(), estimator: estimator.New(now),
	}
}

// Exchange is an exchange with a searcher from Pick to End.
type Exchange struct {
	picker   *Picker
	searcher string
	health   *health
	start    time.Time
	average  time.Duration
	ended    bool
}

// Pick starts an exchange with the searcher of the lowest cost and returns its index, or -1 and nil when no searcher
// is available. It leaves out the searchers whose IDs are in tried. average is the average latency of the route.
func (p *Picker) Pick(searchers []locator.Searcher, tried []string, average time.Duration) (int, *Exchange) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost := -1, 0.0
	for i := range searchers {
		if slices.Contains(tried, searchers[i].ID) {
			continue
		}
		cost, ok := p.cost(&searchers[i], average, now)
		cost *= 1 + costJitter*rand.Float64()
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
	return best, p.start(&searchers[best], average, now)
}

// Usable returns the number of searchers that are available for a request now.
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

// cost returns the expected cost of a request to the searcher, and false when the searcher is not available.
func (p *Picker) cost(s *locator.Searcher, average time.Duration, now time.Time) (float64, bool) {
	if p.isWithdrawn(s, now) {
		return 0, false
	}
	cost := 1.0
	if h := p.health[s.ID]; h != nil {
		if h.probing || now.Before(h.backoffUntil) {
			return 0, false
		}
		cost = h.slownessAt(now) + h.learnedShare(now)*(1/p.estimator.Speed(s.ID)-1)
		if slowest := h.slowestInFlight(now); slowest > stallThreshold {
			cost = max(cost, slowest)
		}
		cost *= 1 + inFlightCost*float64(len(h.inFlight))
		cost += failureCost * h.failureRateAt(now)
		if now.Before(h.avoidedUntil) {
			cost += surplusCost
		}
	}
	if load, limit := p.load(s); limit > 0 {
		cost += queueCost * max(0, load+1-limit) / limit
	}
	if s.Zone != p.zone {
		cost += crossZoneCost + relativeLatency(crossZoneDelay, average)
	}
	if now.Before(s.WarmAt) {
		cost += coldCost
		if s.ColdLimited && p.healthOf(s.ID).refillColdTokens(s, now) < 1 {
			return 0, false
		}
	}
	return cost, true
}

// load returns the number of requests in flight to a searcher, of all daemons, and the number that it handles well, 0 when
// it has no limit.
func (p *Picker) load(s *locator.Searcher) (load, limit float64) {
	limit, _ = p.estimator.Limit(s.ID, s.Slots)
	load = p.estimator.Load(s.ID, s.Slots, s.Senders)
	if h := p.health[s.ID]; h != nil {
		load += float64(len(h.inFlight))
	}
	return load, limit
}

// Load returns the load of the least loaded of the searchers that are available, relative to what it handles well and one
// request that waits, and false when none is available. Without that one a searcher with a single slot would be full while it
// runs one request.
func (p *Picker) Load(searchers []locator.Searcher) (float64, bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	lowest, found := 0.0, false
	for i := range searchers {
		if _, ok := p.cost(&searchers[i], time.Millisecond, now); !ok {
			continue
		}
		relative := 0.0
		if limit, _ := p.estimator.Limit(searchers[i].ID, searchers[i].Slots); limit > 0 {
			relative = p.estimator.InFlight(searchers[i].ID, searchers[i].Slots, searchers[i].Senders) / (limit + 1)
		}
		if !found || relative < lowest {
			lowest, found = relative, true
		}
	}
	return lowest, found
}

// Full returns the number of searchers with as many requests in flight as they handle well.
func (p *Picker) Full() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for id, h := range p.health {
		limit, _ := p.estimator.Limit(id, h.slots)
		if limit > 0 && p.estimator.Load(id, h.slots, h.senders)+float64(len(h.inFlight)) >= limit {
			n++
		}
	}
	return n
}

func (p *Picker) start(s *locator.Searcher, average time.Duration, now time.Time) *Exchange {
	h := p.healthOf(s.ID)
	h.slots, h.senders = s.Slots, s.Senders
	// The first request after a backoff is a probe.
	h.probing = h.backoffs > 0
	e := &Exchange{picker: p, searcher: s.ID, health: h, start: now, average: average}
	h.inFlight[e] = struct{}{}
	p.estimator.Count(s.ID, len(h.inFlight))
	p.sweep(now)
	return e
}

func (p *Picker) healthOf(id string) *health {
	h := p.health[id]
	if h == nil {
		h = &health{inFlight: make(map[*Exchange]struct{})}
		p.health[id] = h
	}
	return h
}

// End ends the exchange with its outcome. It returns for how long the searcher gets no requests from now on because its answers are
// malformed, 0 in all other cases. Calls after the first have no effect.
func (e *Exchange) End(o Outcome) time.Duration {
	now := e.picker.now()
	e.picker.mu.Lock()
	defer e.picker.mu.Unlock()
	if e.ended {
		return 0
	}
	e.ended = true
	took := now.Sub(e.start)
	e.picker.estimate(e, o, relativeLatency(took, e.average))
	delete(e.health.inFlight, e)
	e.picker.estimator.Count(e.searcher, len(e.health.inFlight))
	before := e.health.backoffUntil
	e.health.record(o, took, e.average, now)
	e.picker.observe(e, o, relativeLatency(took, e.average), now)
	if o != Malformed || e.health.backoffUntil.Equal(before) {
		return 0
	}
	return e.health.backoffUntil.Sub(now)
}

// estimate adds an exchange that ends to the searcher's estimates. One that was abandoned says nothing of its speed.
func (p *Picker) estimate(e *Exchange, o Outcome, slowness float64) {
	s := estimator.Sample{InFlight: len(e.health.inFlight), Slots: e.health.slots}
	switch o {
	case Answered, Surplus:
		s.Answers, s.Slowness = 1, slowness
	case NotRun:
		s.Refusals = 1
	case Failed, ConnectionLimit, Unreachable, Malformed, Abandoned:
		return
	}
	p.estimator.Observe(e.searcher, s)
}

// sweep deletes the health of searchers without recent results.
func (p *Picker) sweep(now time.Time) {
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(healthRetention)
	p.sweepWithdrawals(now)
	for id, h := range p.health {
		last := h.sampledAt
		if h.outcomeAt.After(last) {
			last = h.outcomeAt
		}
		if len(h.inFlight) == 0 && now.Sub(last) > healthRetention {
			delete(p.health, id)
		}
	}
}
