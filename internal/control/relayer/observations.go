package relayer

import (
	"slices"
	"sync"
	"time"

	"cornelwood.example/internal/contract/exchanger"
)

// observationRetention is how long observations are kept for peers that have not polled
// for them yet.
const observationRetention = 3 * time.Second

// Observer collects observations of searchers.
type Observer interface {
	// Drain returns this daemon's own observations since the last call.
	Drain() []exchanger.Observation
	// Merge adds observations of other daemons.
	Merge(observations []exchanger.Observation)
}

// observationBuffer holds the observations of the last seconds for the peers of this
// zone and of others. It is safe for concurrent use, and its zero value is empty.
type observationBuffer struct {
	mu      sync.Mutex
	batches []batch
	// lastNumber is the number of the newest batch.
	lastNumber uint64
}

// batch holds the observations that one daemon made or relayed.
type batch struct {
	number uint64
	// source is the ID of the daemon that the observations came from, and zone its zone.
	source       string
	zone         string
	at           time.Time
	observations []exchanger.Observation
}

func (b *observationBuffer) add(source, zone string, observations []exchanger.Observation) {
	if len(observations) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.lastNumber++
	b.batches = slices.DeleteFunc(b.batches, func(ba batch) bool { return now.Sub(ba.at) > observationRetention })
	b.batches = append(b.batches, batch{number: b.lastNumber, source: source, zone: zone, at: now, observations: observations})
}

const (
	// Peers of other zones get the observations of searchers that failed, and of those
	// that were slower than the moving average by this factor over this many answers.
	otherZoneMinSlowness = 1.7
	otherZoneMinAnswers  = 4
)

// filterForOtherZones returns the observations that peers of other zones get: those of
// searchers that failed or were unusually slow. It overwrites its argument.
func filterForOtherZones(observations []exchanger.Observation) []exchanger.Observation {
	return slices.DeleteFunc(observations, func(ob exchanger.Observation) bool {
		return ob.Failures == 0 && (ob.Answers < otherZoneMinAnswers || ob.Slowness < otherZoneMinSlowness)
	})
}

// since returns the observations of the batches after a number, merged by searcher, and
// the number of the newest batch. A peer does not get the batches that came from it, and
// a peer of another zone gets only those from ownZone.
func (b *observationBuffer) since(after uint64, peer, peerZone, ownZone string) ([]exchanger.Observation, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if after > b.lastNumber {
		// The peer's number is from before this daemon restarted.
		after = 0
	}
	var out []exchanger.Observation
	index := make(map[string]int)
	for _, ba := range b.batches {
		if ba.number <= after || ba.source == peer || peerZone != ownZone && ba.zone != ownZone {
			continue
		}
		for i := range ba.observations {
			ob := &ba.observations[i]
			pos, known := index[ob.Searcher]
			if !known {
				index[ob.Searcher] = len(out)
				out = append(out, *ob)
				continue
			}
			out[pos].Add(ob)
		}
	}
	if peerZone != ownZone {
		out = filterForOtherZones(out)
	}
	return out, b.lastNumber
}
