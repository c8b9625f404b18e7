package picker

import (
	"math"
	"time"

	"cornelwood.example/internal/contract/exchanger"
)

const (
	// peerGain is the weight of one answer that another daemon saw.
	peerGain = 0.15
	// maxPeerWeight bounds the weight of all that came at once, so that own answers
	// still count.
	maxPeerWeight = 0.85
)

// observe adds an outcome to what the next report tells.
func (p *Picker) observe(id string, o Outcome, slowness float64) {
	ob := p.pending[id]
	if ob == nil {
		ob = &exchanger.Observation{Searcher: id}
		p.pending[id] = ob
	}
	switch o {
	case Answered, Abandoned:
		ob.Add(&exchanger.Observation{Answers: 1, Slowness: slowness})
	case Failed, NotRun:
		ob.Failures++
	case ConnectionLimit:
		// The reset before has been told.
	case Unreachable:
		ob.Failures++
		ob.DialFailures++
	}
}

// Drain returns what this daemon has seen of searchers since the last call: every
// outcome, since a choice of the unusual ones would make all look slow.
//
// Load pattern: many daemons that each send few requests to a searcher learn
// together what none would learn alone in time.
func (p *Picker) Drain() []exchanger.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]exchanger.Observation, 0, len(p.pending))
	for _, ob := range p.pending {
		out = append(out, *ob)
	}
	clear(p.pending)
	return out
}

// Merge takes in what other daemons have seen.
func (p *Picker) Merge(seen []exchanger.Observation) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range seen {
		p.healthOf(seen[i].Searcher).merge(&seen[i], now)
	}
}

func (h *health) merge(ob *exchanger.Observation, now time.Time) {
	if ob.Answers > 0 {
		w := peerWeight(ob.Answers)
		h.slowness = h.slownessAt(now)*(1-w) + w*min(maxSlowness, ob.Slowness)
		h.seenAt = now
	}
	if n := ob.Answers + ob.Failures; n > 0 {
		w := peerWeight(n)
		h.failures = h.failuresAt(now)*(1-w) + w*float64(ob.Failures)/float64(n)
		h.failedAt = now
	}
	if ob.DialFailures > 0 && ob.Answers == 0 && h.streak == 0 {
		h.streak = 1
		h.downUntil = now.Add(minBackoff)
	}
}

func peerWeight(n int) float64 {
	return min(maxPeerWeight, 1-math.Pow(1-peerGain, float64(n)))
}
