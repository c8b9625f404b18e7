package locator

import (
	"cmp"
	"maps"
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

// IsSelfSufficient reports whether the searchers of a zone cover every query, and every service of the other routes.
func (v *View) IsSelfSufficient(zone string) bool {
	if v.Matcher == nil {
		return false
	}
	if known, ok := v.selfSufficient.Load(zone); ok {
		return known.(bool)
	}
	sufficient := v.coversAll(zone)
	v.selfSufficient.Store(zone, sufficient)
	return sufficient
}

func (v *View) coversAll(zone string) bool {
	routes := v.Matcher.Routing().Routes
	for i := range routes {
		rt := &routes[i]
		if len(rt.Shards) > 0 && len(v.shardsByZone(rt)[zone]) < rt.RequiredShards() {
			return false
		}
		for _, t := range rt.Targets {
			if !slices.ContainsFunc(v.services[t.Service], func(s Searcher) bool { return s.Zone == zone }) {
				return false
			}
		}
	}
	return true
}

// IsGathered reports whether few daemons gather the queries of a route.
func (v *View) IsGathered(rt *declarer.Route) bool {
	return len(rt.Shards) > 0 && v.gathered[rt.Shards[0]]
}

// GatherGroup is a group of a route's shards, by their indexes, that one daemon of a zone gathers.
type GatherGroup struct {
	Zone   string
	Shards []int
	// Members are the daemons that may gather them; none when no zone's daemons can.
	Members []declarer.Member
}

// GatherGroups divides the shards of a route among zones that have their searchers: as many as possible to ownZone, and
// the rest to as few others as possible. reachable reports whether a zone's daemons can be asked. Shards without a
// searcher in such a zone belong to the first group.
//
// Load pattern: searchers whose zones differ from shard to shard, so that no zone has all of them, and each answer that
// crosses a zone border by itself takes as many bytes as a merged one.
func (v *View) GatherGroups(rt *declarer.Route, ownZone string, reachable func([]declarer.Member) bool) []GatherGroup {
	byZone := v.shardsByZone(rt)
	left := make(map[int]bool, len(rt.Shards))
	for i := range rt.Shards {
		left[i] = true
	}
	var groups []GatherGroup
	for len(left) > 0 {
		zone, shards := "", []int(nil)
		for z, indexes := range byZone {
			n := intersect(indexes, left)
			better := len(n) > len(shards) || len(n) == len(shards) && z < zone
			if len(groups) == 0 && (z == ownZone || zone == ownZone) {
				better = z == ownZone
			}
			if len(n) > 0 && better && reachable(v.gatherers[z]) {
				zone, shards = z, n
			}
		}
		if len(shards) == 0 || len(groups) > 0 && len(shards) < minGroupShards {
			break
		}
		for _, i := range shards {
			delete(left, i)
		}
		groups = append(groups, GatherGroup{Zone: zone, Shards: shards, Members: v.gatherers[zone]})
	}
	rest := slices.Sorted(maps.Keys(left))
	if len(groups) == 0 {
		return []GatherGroup{{Shards: rest}}
	}
	groups[0].Shards = append(groups[0].Shards, rest...)
	return groups
}

// minGroupShards is the least number of shards for which a further daemon is asked: fewer answers cross zones by
// themselves.
const minGroupShards = 3

func intersect(indexes []int, left map[int]bool) []int {
	var out []int
	for _, i := range indexes {
		if left[i] {
			out = append(out, i)
		}
	}
	return out
}

// shardsByZone returns the indexes of the route's shards that have a searcher in each zone.
func (v *View) shardsByZone(rt *declarer.Route) map[string][]int {
	byZone := make(map[string][]int)
	for i, service := range rt.Shards {
		for _, s := range v.services[service] {
			if in := byZone[s.Zone]; len(in) == 0 || in[len(in)-1] != i {
				byZone[s.Zone] = append(in, i)
			}
		}
	}
	return byZone
}

// GathererCount returns the number of daemons that gather in all zones.
func (v *View) GathererCount() int {
	n := 0
	for _, ms := range v.gatherers {
		n += len(ms)
	}
	return n
}
