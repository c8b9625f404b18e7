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
	source string
	zone   string
	// isRelayed is true for what a source that this daemon polls has relayed.
	isRelayed    bool
	at           time.Time
	observations []exchanger.Observation
}

// add adds a batch, and sets its number and time.
func (b *observationBuffer) add(added batch) {
	if len(added.observations) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.lastNumber++
	b.batches = slices.DeleteFunc(b.batches, func(ba batch) bool { return now.Sub(ba.at) > observationRetention })
	added.number, added.at = b.lastNumber, now
	b.batches = append(b.batches, added)
}

const (
	// Peers of other zones get the observations of searchers that failed, and of those
	// that were slower than the moving average by this factor over this many answers.
	otherZoneMinSlowness = 1.7
	otherZoneMinAnswers  = 4
	// They also get the load of searchers that are busy: about one request in flight at all times between two polls. Less
	// does not bring any searcher near its limit.
	otherZoneMinBusy = 400 * time.Millisecond
)

// filterForOtherZones returns the observations that peers of other zones get: those of
// searchers that failed, were unusually slow or busy. It overwrites its argument.
func filterForOtherZones(observations []exchanger.Observation) []exchanger.Observation {
	return slices.DeleteFunc(observations, func(ob exchanger.Observation) bool {
		return ob.Failures == 0 && ob.Busy < otherZoneMinBusy && (ob.Answers < otherZoneMinAnswers || ob.Slowness < otherZoneMinSlowness)
	})
}

// since returns the observations of the batches after a number, merged by searcher, and
// the number of the newest batch. A peer does not get the batches that came from it, and
// a peer of another zone gets only those from ownZone.
func (b *observationBuffer) since(after uint64, peer, peerZone, ownZone string) ([]exchanger.Observation, uint64) {
	out, number := b.merged(after, func(ba *batch) bool {
		return ba.source != peer && (peerZone == ownZone || ba.zone == ownZone)
	})
	if peerZone != ownZone {
		out = filterForOtherZones(out)
	}
	return out, number
}

// ownSince returns the observations of the batches after a number that were not relayed to
// this daemon by a source, merged by searcher, and the number of the newest batch.
func (b *observationBuffer) ownSince(after uint64) ([]exchanger.Observation, uint64) {
	return b.merged(after, func(ba *batch) bool { return !ba.isRelayed })
}

// merged returns the observations of the wanted batches after a number, merged by searcher, and
// the number of the newest batch.
func (b *observationBuffer) merged(after uint64, isWanted func(ba *batch) bool) ([]exchanger.Observation, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if after > b.lastNumber {
		// The peer's number is from before this daemon restarted.
		after = 0
	}
	var out []exchanger.Observation
	index := make(map[string]int)
	for k := range b.batches {
		ba := &b.batches[k]
		if ba.number <= after || !isWanted(ba) {
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
	return out, b.lastNumber
}
