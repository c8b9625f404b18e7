package planner

import (
	"slices"

	"cornelwood.example/internal/query/tracker"
)

// maxCandidateVersions bounds the versions that are compared for each shard map, besides the newest
// one that may cover all of its shards.
const maxCandidateVersions = 8

// pin returns the snapshot version to answer from: the newest that every shard holds, or else the one
// that the largest share of shards holds, the newest of several. Replicas that are backing off count
// only when no other replica holds a version.
func (l *Layout) pin(readings []tracker.Reading, exclude []uint64) (version uint64, covered int, m *shardMap) {
	for _, includeBackingOff := range []bool{false, true} {
		version, covered, m = l.pinAmong(readings, exclude, includeBackingOff)
		if m != nil {
			return version, covered, m
		}
	}
	return 0, 0, nil
}

func (l *Layout) pinAmong(readings []tracker.Reading, exclude []uint64, includeBackingOff bool) (uint64, int, *shardMap) {
	var best *shardMap
	bestVersion, bestCovered := uint64(0), 0
	for i := len(l.maps) - 1; i >= 0; i-- {
		m := &l.maps[i]
		var buf [maxCandidateVersions + 1]uint64
		for _, v := range l.candidateVersions(buf[:0], m, readings, includeBackingOff) {
			if slices.Contains(exclude, v) {
				continue
			}
			n := l.coveredShards(m, readings, v, includeBackingOff)
			isWider := best == nil || n*len(best.shards) > bestCovered*len(m.shards)
			if n > 0 && isWider {
				best, bestVersion, bestCovered = m, v, n
			}
		}
		if best != nil && bestCovered == len(best.shards) {
			break
		}
	}
	return bestVersion, bestCovered, best
}

// candidateVersions appends the versions of a map to compare: the newest ones that any replica holds,
// newest first, and then the newest that may cover every shard.
func (l *Layout) candidateVersions(to []uint64, m *shardMap, readings []tracker.Reading, includeBackingOff bool) []uint64 {
	full := m.last
	for i := range m.shards {
		newest := uint64(0)
		for _, up := range m.shards[i].replicas {
			r := &readings[up]
			if !l.isEligible(up, r, includeBackingOff) || r.Newest < m.first || r.Oldest > m.last {
				continue
			}
			v := min(r.Newest, m.last)
			newest = max(newest, v)
			to = insertVersion(to, v)
		}
		full = min(full, newest)
	}
	if full >= m.first && full > 0 && !slices.Contains(to, full) {
		to = append(to, full)
	}
	return to
}

// insertVersion inserts a version into a list, newest first, that keeps the maxCandidateVersions
// newest.
func insertVersion(to []uint64, v uint64) []uint64 {
	i := 0
	for i < len(to) && to[i] > v {
		i++
	}
	if i < len(to) && to[i] == v || i == maxCandidateVersions {
		return to
	}
	if len(to) == maxCandidateVersions {
		to = to[:maxCandidateVersions-1]
	}
	return slices.Insert(to, i, v)
}

// coveredShards returns the number of shards of a map with an eligible replica that holds version v.
func (l *Layout) coveredShards(m *shardMap, readings []tracker.Reading, v uint64, includeBackingOff bool) int {
	n := 0
	for i := range m.shards {
		for _, up := range m.shards[i].replicas {
			r := &readings[up]
			if r.HasVersion(v) && l.isEligible(up, r, includeBackingOff) {
				n++
				break
			}
		}
	}
	return n
}

// isEligible reports whether a replica counts for pinning: it is usable, has known versions and,
// unless includeBackingOff is set, is not backing off.
func (l *Layout) isEligible(up int32, r *tracker.Reading, includeBackingOff bool) bool {
	return r.VersionsKnown && (includeBackingOff || !r.BackingOff) && l.IsUsable(int(up))
}
