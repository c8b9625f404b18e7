// Package assigner assigns an owner to each upstream, by rendezvous hashing over
// the live instances of one owner group of the upstream's availability zone.
package assigner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

// Group returns the owner group of a key, 0 to groups-1. The key of an instance is
// its ID, that of an upstream "service/upstream".
func Group(key string, groups int) int {
	if groups <= 1 {
		return 0
	}
	best, bestScore := 0, uint64(0)
	h := xxhash.Sum64String(key)
	for g := range groups {
		if s := scorePair(h, uint64(g)); g == 0 || s > bestScore {
			best, bestScore = g, s
		}
	}
	return best
}

// Owner returns the index of the candidate that owns key, or -1 when no candidate
// is Live. The result is the same instance for every order of the candidates.
func Owner(key string, candidates []declarer.Instance) int {
	best, bestScore := -1, uint64(0)
	h := xxhash.Sum64String(key)
	for i := range candidates {
		if candidates[i].State != declarer.Live {
			continue
		}
		s := scorePair(h, xxhash.Sum64String(candidates[i].ID))
		if best < 0 || s > bestScore || s == bestScore && candidates[i].ID < candidates[best].ID {
			best, bestScore = i, s
		}
	}
	return best
}

// scorePair returns the rendezvous score of two hashes.
func scorePair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
