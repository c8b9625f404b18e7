package picker

import (
	"math"
	"time"

	"cornelwood.example/internal/contract/exchanger"
)

const (
	// peerSampleWeight is the weight of one answer that another daemon observed.
	peerSampleWeight = 0.15
	// maxPeerWeight bounds the weight of one report, so that this daemon's own observations still count.
	maxPeerWeight = 0.85
)

// observe adds an outcome to the observations.
func (p *Picker) observe(id string, o Outcome, slowness float64) {
	ob := p.observations[id]
	if ob == nil {
		ob = &exchanger.Observation{Searcher: id}
		p.observations[id] = ob
	}
	switch o {
	case Answered, Abandoned:
		ob.Add(&exchanger.Observation{Answers: 1, Slowness: slowness})
	case Failed, NotRun:
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
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]exchanger.Observation, 0, len(p.observations))
	for _, ob := range p.observations {
		out = append(out, *ob)
	}
	clear(p.observations)
	return out
}

// Merge adds the observations of other daemons.
func (p *Picker) Merge(observed []exchanger.Observation) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range observed {
		p.healthOf(observed[i].Searcher).merge(&observed[i], now)
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
	if ob.DialFailures > 0 && ob.Answers == 0 && h.dialFailures == 0 {
		h.dialFailures = 1
		h.backoffUntil = now.Add(minBackoff)
	}
}

// peerWeight returns the weight of n samples in a moving average.
func peerWeight(n int) float64 {
	return min(maxPeerWeight, 1-math.Pow(1-peerSampleWeight, float64(n)))
}
