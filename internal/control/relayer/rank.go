package relayer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

// ranked returns the members of self's zone that rank before it, first ranked
// first. Members that cannot be told apart from self are left out.
func ranked(self declarer.Member, members []declarer.Member) []declarer.Member {
	own := rank(&self)
	var before []declarer.Member
	for _, m := range members {
		if m.Zone == self.Zone && m.ID != self.ID && rank(&m) < own {
			before = append(before, m)
		}
	}
	slices.SortFunc(before, func(a, b declarer.Member) int { return cmp.Compare(rank(&a), rank(&b)) })
	return before
}

// rank spreads the work over members whose names are alike.
func rank(m *declarer.Member) uint64 {
	return xxhash.Sum64String(m.Zone + "/" + m.ID)
}

// firsts returns the first ranked member of each zone but one, those that are
// silent left out.
func firsts(but string, members []declarer.Member, silent func(id string) bool) []declarer.Member {
	best := make(map[string]declarer.Member)
	for _, m := range members {
		if m.Zone == but || silent(m.ID) {
			continue
		}
		if b, ok := best[m.Zone]; !ok || rank(&m) < rank(&b) {
			best[m.Zone] = m
		}
	}
	return slices.Collect(maps.Values(best))
}
