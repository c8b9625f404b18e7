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
	// contactTimeout is the time since the last known contact with the platform after
	// which one more daemon of the zone tries to reach it.
	contactTimeout = 2*maxWatchTime + 5*time.Second
	// substituteTurn is how long that daemon tries before the next one does instead.
	substituteTurn = 10 * time.Second
)

// Rank returns how many live instances of self's zone come before self in watch order,
// and the number of live instances of the zone including self.
func Rank(self declarer.Instance, instances []declarer.Instance) (rank, size int) {
	size = 1
	for i := range instances {
		in := &instances[i]
		if in.ID == self.ID || in.Zone != self.Zone || in.State != declarer.Live {
			continue
		}
		size++
		if watchesBefore(in.ID, self.ID) {
			rank++
		}
	}
	return rank, size
}

// watchesBefore reports whether instance a comes before b in watch order. The order is
// that of a hash, so that it does not favor the lowest IDs.
func watchesBefore(a, b string) bool {
	ha, hb := xxhash.Sum64String("watch/"+a), xxhash.Sum64String("watch/"+b)
	if ha != hb {
		return ha < hb
	}
	return strings.Compare(a, b) < 0
}

// MayWatch reports whether the daemon with a rank among size live ones of its zone may
// watch, when another daemon last reached the platform sinceContact ago. isWatching is
// true when the daemon watches successfully already: it then continues until it learns of
// a more recent contact of another daemon.
func MayWatch(rank, size int, sinceContact time.Duration, isWatching bool) bool {
	if rank < watchersPerZone {
		return true
	}
	if sinceContact < contactTimeout {
		return false
	}
	if isWatching {
		return true
	}
	turn := int((sinceContact - contactTimeout) / substituteTurn)
	return rank == watchersPerZone+turn%(size-watchersPerZone)
}

// Watchers returns the IDs of the live instances of a zone that always watch, in watch
// order.
func Watchers(zone string, instances []declarer.Instance) []string {
	var ids []string
	for i := range instances {
		if instances[i].Zone == zone && instances[i].State == declarer.Live {
			ids = append(ids, instances[i].ID)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		if watchesBefore(a, b) {
			return -1
		}
		return 1
	})
	return ids[:min(len(ids), watchersPerZone)]
}
