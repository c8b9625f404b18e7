package picker

import (
	"math"
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/route/estimator"
)

const (
	// peerSampleWeight is the weight of one answer that another daemon observed.
	peerSampleWeight = 0.15
	// maxPeerWeight bounds the weight of one report, so that this daemon's own observations still count.
	maxPeerWeight = 0.85
)

func (p *Picker) observationOf(id string) *exchanger.Observation {
	ob := p.observations[id]
	if ob == nil {
		ob = &exchanger.Observation{Searcher: id}
		p.observations[id] = ob
	}
	return ob
}

// observe adds an exchange that has ended to the observations.
func (p *Picker) observe(e *Exchange, o Outcome, slowness float64, now time.Time) {
	ob := p.observationOf(e.searcher)
	ob.Busy += e.busySince(p.drainedAt, now)
	switch o {
	case Answered, Surplus, Abandoned:
		ob.Add(&exchanger.Observation{Answers: 1, Slowness: slowness})
	case Failed, Malformed, NotRun:
		ob.Failures++
	case ConnectionLimit:
		// The connection reset that caused it has already been counted as a failure.
	case Unreachable:
		ob.Failures++
		ob.DialFailures++
	}
}

// Drain returns what this daemon has observed of searchers since the last call. It includes answers of every latency,
// since the slow ones alone would make every searcher look slow.
//
// Load pattern: many daemons that each send few requests to a searcher, too few to detect a bad one in time without
// the observations of the others.
func (p *Picker) Drain() []exchanger.Observation {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, h := range p.health {
		for e := range h.inFlight {
			p.observationOf(id).Busy += e.busySince(p.drainedAt, now)
		}
	}
	p.drainedAt = now
	out := make([]exchanger.Observation, 0, len(p.observations))
	for _, ob := range p.observations {
		out = append(out, *ob)
	}
	clear(p.observations)
	return out
}

// busySince returns for how long the exchange was in flight between two times.
func (e *Exchange) busySince(from, to time.Time) time.Duration {
	if e.start.After(from) {
		from = e.start
	}
	return max(0, to.Sub(from))
}

// Merge adds the observations of other daemons.
func (p *Picker) Merge(observed []exchanger.Observation) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range observed {
		ob := &observed[i]
		h := p.healthOf(ob.Searcher)
		h.merge(ob, now)
		p.estimator.Observe(ob.Searcher, estimator.Sample{
			Answers: ob.Answers, Slowness: min(maxSlowness, ob.Slowness), InFlight: len(h.inFlight), Slots: h.slots, Busy: ob.Busy,
		})
	}
}

func (h *health) merge(ob *exchanger.Observation, now time.Time) {
	if ob.Answers > 0 {
		w := peerWeight(ob.Answers)
		h.slowness = h.slownessAt(now)*(1-w) + w*min(maxSlowness, ob.Slowness)
		h.sampledAt = now
	}
	if n := ob.Answers + ob.Failures; n > 0 {
		w := peerWeight(n)
		h.failureRate = h.failureRateAt(now)*(1-w) + w*float64(ob.Failures)/float64(n)
		h.outcomeAt = now
	}
	if ob.DialFailures > 0 && ob.Answers == 0 && h.backoffs == 0 {
		h.backoffs = 1
		h.backoffUntil = now.Add(minBackoff)
	}
}

// peerWeight returns the weight of n samples in a moving average.
func peerWeight(n int) float64 {
	return min(maxPeerWeight, 1-math.Pow(1-peerSampleWeight, float64(n)))
}
