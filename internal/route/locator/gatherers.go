package locator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

const (
	// connsPerDaemon is the number of connections that a searcher must accept for each daemon of the fleet when every
	// daemon sends to it itself: one for each of the few queries that a daemon has in flight at a time.
	connsPerDaemon = 2
	// minGatherers and maxGatherers bound the daemons of a zone that gather: some, so that the loss of one leaves
	// others, and few, so that their connections to the searchers stay in use and are not opened for each query.
	minGatherers = 2
	maxGatherers = 4
	// minGathererShare is the least processor share of a daemon that gathers, relative to the largest of its zone.
	minGathererShare = 0.5
	// minZoneCoverage is the least number of shards with a searcher in a zone whose daemons gather, relative to that of
	// the zone with the most.
	minZoneCoverage = 0.9
)

// chooseGatherers returns the daemons of each zone that gather queries: those with the largest processor shares, in the
// order of a hash.
//
// Load pattern: hundreds of daemons of unequal size, each with too few queries to keep a connection to every searcher.
func chooseGatherers(members map[string]declarer.Member) map[string][]declarer.Member {
	zones := make(map[string][]declarer.Member)
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	for zone, ms := range zones {
		slices.SortFunc(ms, func(a, b declarer.Member) int {
			return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(gathererRank(&a), gathererRank(&b)))
		})
		n := min(len(ms), minGatherers)
		for n < min(len(ms), maxGatherers) && ms[n].Share >= minGathererShare*ms[0].Share {
			n++
		}
		zones[zone] = ms[:n]
	}
	return zones
}

// gathererRank differs from the rank by which daemons relay the store's state, so that both do not fall to the same ones.
func gathererRank(m *declarer.Member) uint64 {
	return xxhash.Sum64String("gather/" + m.Zone + "/" + m.ID)
}

// isGathered reports whether the daemons leave the queries of a service to a few of them: it accepts too few connections
// for all. conns is the number that a searcher accepts, 0 for no bound.
func isGathered(conns, daemons int) bool {
	return conns > 0 && conns < connsPerDaemon*daemons
}

// Gatherers returns the daemons that may gather the queries of a route, none when every daemon sends to the searchers
// itself. They are in the zones whose searchers cover the most shards.
func (v *View) Gatherers(rt *declarer.Route) []declarer.Member {
	if len(rt.Shards) == 0 || !v.gathered[rt.Shards[0]] {
		return nil
	}
	covered := v.coveredShards(rt)
	most := 0
	for _, n := range covered {
		most = max(most, n)
	}
	var out []declarer.Member
	for zone, n := range covered {
		if float64(n) >= minZoneCoverage*float64(most) {
			out = append(out, v.gatherers[zone]...)
		}
	}
	return out
}

// coveredShards returns the number of the route's shards that have a searcher in each zone.
func (v *View) coveredShards(rt *declarer.Route) map[string]int {
	covered := make(map[string]int)
	for _, service := range rt.Shards {
		searchers := v.services[service]
		for i := range searchers {
			zone := searchers[i].Zone
			if !slices.ContainsFunc(searchers[:i], func(s Searcher) bool { return s.Zone == zone }) {
				covered[zone]++
			}
		}
	}
	return covered
}

// IsGatherer reports whether a daemon is one of those that gather in its zone.
func (v *View) IsGatherer(m *declarer.Member) bool {
	return slices.ContainsFunc(v.gatherers[m.Zone], func(g declarer.Member) bool { return g.ID == m.ID })
}

// GathererCount returns the number of daemons that gather in all zones.
func (v *View) GathererCount() int {
	n := 0
	for _, ms := range v.gatherers {
		n += len(ms)
	}
	return n
}
