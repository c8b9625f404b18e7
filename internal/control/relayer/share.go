package relayer

import (
	"slices"
	"sync"
	"time"

	"cornelwood.example/internal/contract/exchanger"
)

// shareTime is how long observations are kept for peers that have not got them.
const shareTime = 3 * time.Second

// Observer holds what this daemon has seen of the searchers.
type Observer interface {
	// Drain returns what it has seen since the last call.
	Drain() []exchanger.Observation
	// Merge takes in what other daemons have seen.
	Merge(seen []exchanger.Observation)
}

// board keeps the observations of the last seconds, for the peers of this zone
// and of others.
type board struct {
	mu    sync.Mutex
	notes []note
	last  uint64
}

// note is what one daemon, or another zone, has seen.
type note struct {
	number uint64
	from   string
	// zone is where it was seen.
	zone string
	at   time.Time
	seen []exchanger.Observation
}

func (b *board) add(from, zone string, seen []exchanger.Observation) {
	if len(seen) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.last++
	b.notes = slices.DeleteFunc(b.notes, func(n note) bool { return now.Sub(n.at) > shareTime })
	b.notes = append(b.notes, note{number: b.last, from: from, zone: zone, at: now, seen: seen})
}

const (
	// Another zone is told of searchers that fail, and of those that are this much
	// slower than usual over this many answers.
	unusualSlowness = 1.7
	unusualAnswers  = 4
)

// unusual returns the observations that another zone is told of.
func unusual(seen []exchanger.Observation) []exchanger.Observation {
	return slices.DeleteFunc(seen, func(ob exchanger.Observation) bool {
		return ob.Failures == 0 && (ob.Answers < unusualAnswers || ob.Slowness < unusualSlowness)
	})
}

// since returns the observations after a number that a peer lacks, merged by
// searcher, and the number of the last one. A peer of another zone gets those
// of this zone only.
func (b *board) since(number uint64, peer, peerZone, ownZone string) ([]exchanger.Observation, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if number > b.last {
		// The peer counts the notes of this daemon's predecessor.
		number = 0
	}
	var out []exchanger.Observation
	index := make(map[string]int)
	for _, n := range b.notes {
		if n.number <= number || n.from == peer || peerZone != ownZone && n.zone != ownZone {
			continue
		}
		for i := range n.seen {
			ob := &n.seen[i]
			at, known := index[ob.Searcher]
			if !known {
				index[ob.Searcher] = len(out)
				out = append(out, *ob)
				continue
			}
			out[at].Add(ob)
		}
	}
	if peerZone != ownZone {
		out = unusual(out)
	}
	return out, b.last
}
