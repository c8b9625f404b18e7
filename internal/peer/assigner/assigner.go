// Package assigner decides which instance owns an upstream: rendezvous hashing
// over the live instances of one owner group of the upstream's availability
// zone.
package assigner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

// Group returns the owner group, 0 to groups-1, that a key falls into. Instances
// use their ID as the key, upstreams "service/upstream".
func Group(key string, groups int) int {
	if groups <= 1 {
		return 0
	}
	best, bestScore := 0, uint64(0)
	h := xxhash.Sum64String(key)
	for g := range groups {
		if s := mix(h, uint64(g)); g == 0 || s > bestScore {
			best, bestScore = g, s
		}
	}
	return best
}

// Owner returns the index of the instance that owns key among candidates, or -1
// when there are none. Only Live candidates own anything. Every caller with the
// same candidates, in any order, gets the same instance.
func Owner(key string, candidates []declarer.Instance) int {
	best, bestScore := -1, uint64(0)
	h := xxhash.Sum64String(key)
	for i := range candidates {
		if candidates[i].State != declarer.Live {
			continue
		}
		s := mix(h, xxhash.Sum64String(candidates[i].ID))
		if best < 0 || s > bestScore || s == bestScore && candidates[i].ID < candidates[best].ID {
			best, bestScore = i, s
		}
	}
	return best
}

// mix scores the pair of two hashes.
func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
