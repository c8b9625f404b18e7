package watcher

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

const (
	// watchersPerZone is the number of daemons of a zone that always watch.
	watchersPerZone = 2
	// contactTimeout is the silence about the platform after which one more daemon
	// of the zone tries to reach it.
	contactTimeout = 2*watchWait + 5*time.Second
	// standInTurn is how long that daemon's turn lasts.
	standInTurn = 10 * time.Second
)

// Rank returns how many live instances of self's zone come before self in the
// order in which they watch, and the number of live instances including self.
func Rank(self declarer.Instance, instances []declarer.Instance) (rank, size int) {
	size = 1
	for i := range instances {
		in := &instances[i]
		if in.ID == self.ID || in.Zone != self.Zone || in.State != declarer.Live {
			continue
		}
		size++
		if before(in.ID, self.ID) {
			rank++
		}
	}
	return rank, size
}

// before orders instances by a hash, so that the role does not fall on the
// lowest names.
func before(a, b string) bool {
	ha, hb := xxhash.Sum64String("watch/"+a), xxhash.Sum64String("watch/"+b)
	if ha != hb {
		return ha < hb
	}
	return strings.Compare(a, b) < 0
}

// MayWatch reports whether the daemon with a rank among size live ones of its
// zone may watch, when another daemon last reached the platform silence ago.
// holds says that the daemon watches already, and with success: it then goes on
// until it hears of another.
func MayWatch(rank, size int, silence time.Duration, holds bool) bool {
	if rank < watchersPerZone {
		return true
	}
	if silence < contactTimeout {
		return false
	}
	if holds {
		return true
	}
	turn := int((silence - contactTimeout) / standInTurn)
	return rank == watchersPerZone+turn%(size-watchersPerZone)
}

// Watchers returns the IDs of the live instances of a zone in watch order.
func Watchers(zone string, instances []declarer.Instance) []string {
	var ids []string
	for i := range instances {
		if instances[i].Zone == zone && instances[i].State == declarer.Live {
			ids = append(ids, instances[i].ID)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	return ids[:min(len(ids), watchersPerZone)]
}
