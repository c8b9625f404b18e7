package relayer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

// rankedBefore returns the members of self's zone that are ranked before it, in order of
// their rank. Members with self's ID or rank are left out.
func rankedBefore(self declarer.Member, members []declarer.Member) []declarer.Member {
	ownRank := rank(&self)
	return ranked(self, members, func(other uint64) bool { return other < ownRank })
}

// rankedAfter returns the members of self's zone that are ranked after it, in order of their
// rank.
func rankedAfter(self declarer.Member, members []declarer.Member) []declarer.Member {
	ownRank := rank(&self)
	return ranked(self, members, func(other uint64) bool { return other > ownRank })
}

// ranked returns the members of self's zone, without itself, whose rank is wanted, in order of
// their rank.
func ranked(self declarer.Member, members []declarer.Member, isWanted func(rank uint64) bool) []declarer.Member {
	var out []declarer.Member
	for _, m := range members {
		if m.Zone == self.Zone && m.ID != self.ID && isWanted(rank(&m)) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b declarer.Member) int { return cmp.Compare(rank(&a), rank(&b)) })
	return out
}

// rank returns a hash of the member's zone and ID; lower values are ranked first. The
// hash spreads the work over members with similar names.
func rank(m *declarer.Member) uint64 {
	return xxhash.Sum64String(m.Zone + "/" + m.ID)
}

// zoneLeaders returns the first ranked member of each zone other than exceptZone. Members
// whose ID isSkipped reports are left out.
func zoneLeaders(exceptZone string, members []declarer.Member, isSkipped func(id string) bool) []declarer.Member {
	leaders := make(map[string]declarer.Member)
	for _, m := range members {
		if m.Zone == exceptZone || isSkipped(m.ID) {
			continue
		}
		if leader, ok := leaders[m.Zone]; !ok || rank(&m) < rank(&leader) {
			leaders[m.Zone] = m
		}
	}
	return slices.Collect(maps.Values(leaders))
}
