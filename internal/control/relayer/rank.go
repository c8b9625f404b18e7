package relayer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

// compareRanks orders members by their rank. Those with a larger processor share come first, as
// they relay the state to the others; a hash spreads the work over members with similar names.
//
// Load pattern: all daemons of a zone start at once, and each gets the whole state from a daemon
// that was ranked before it.
func compareRanks(a, b *declarer.Member) int {
	return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(hash(a), hash(b)))
}

// SortedByRank returns the members of all zones in order of their rank.
func SortedByRank(members []declarer.Member) []declarer.Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b declarer.Member) int { return compareRanks(&a, &b) })
	return out
}

// hash returns a hash of the member's zone and ID.
func hash(m *declarer.Member) uint64 {
	return xxhash.Sum64String(m.Zone + "/" + m.ID)
}

// rankedBefore returns the members of self's zone that are ranked before it, in order of
// their rank. Members with self's ID or rank are left out.
func rankedBefore(self declarer.Member, members []declarer.Member) []declarer.Member {
	return ranked(self, members, func(c int) bool { return c < 0 })
}

// rankedAfter returns the members of self's zone that are ranked after it, in order of their
// rank.
func rankedAfter(self declarer.Member, members []declarer.Member) []declarer.Member {
	return ranked(self, members, func(c int) bool { return c > 0 })
}

// ranked returns the members of self's zone, without itself, in order of their rank, as far as
// the comparison of their rank with self's is wanted.
func ranked(self declarer.Member, members []declarer.Member, isWanted func(comparison int) bool) []declarer.Member {
	var out []declarer.Member
	for _, m := range members {
		if m.Zone == self.Zone && m.ID != self.ID && isWanted(compareRanks(&m, &self)) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b declarer.Member) int { return compareRanks(&a, &b) })
	return out
}

// Ranked returns the members of all zones in order of their rank.
func Ranked(members []declarer.Member) []declarer.Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b declarer.Member) int { return compareRanks(&a, &b) })
	return out
}

// maxPrimaries is the number of members of a zone that relay the state to most of the others.
const maxPrimaries = 3

// spreadSources moves one of the first sources to the front, a different one for different
// daemons, so that the leader of a zone does not serve all others alone. sources are in order of
// their rank.
func spreadSources(self *declarer.Member, sources []declarer.Member) []declarer.Member {
	if len(sources) < maxPrimaries {
		return sources
	}
	i := int(hash(self) % maxPrimaries)
	primary := sources[i]
	return slices.Insert(slices.Delete(sources, i, i+1), 0, primary)
}

// zoneLeaders returns the first ranked member of each zone other than exceptZone. Members
// whose ID isSkipped reports are left out.
func zoneLeaders(exceptZone string, members []declarer.Member, isSkipped func(id string) bool) []declarer.Member {
	leaders := make(map[string]declarer.Member)
	for _, m := range members {
		if m.Zone == exceptZone || isSkipped(m.ID) {
			continue
		}
		if leader, ok := leaders[m.Zone]; !ok || compareRanks(&m, &leader) < 0 {
			leaders[m.Zone] = m
		}
	}
	return slices.Collect(maps.Values(leaders))
}
