package planner

import (
	"slices"

	"cornelwood.example/internal/query/tracker"
)

// maxCandidates bounds the versions that are weighed for each shard map, besides
// the newest one that covers all of its shards.
const maxCandidates = 8

// pin returns the snapshot to answer from: the newest that every shard can
// serve, else the one that the largest share of shards can serve, newest first.
// Replicas that back off count only when nothing else is known.
func (l *Layout) pin(readings []tracker.Reading, exclude []uint64) (version uint64, covered int, m *shardMap) {
	for _, withDown := range []bool{false, true} {
		version, covered, m = l.pinAmong(readings, exclude, withDown)
		if m != nil {
			return version, covered, m
		}
	}
	return 0, 0, nil
}

func (l *Layout) pinAmong(readings []tracker.Reading, exclude []uint64, withDown bool) (uint64, int, *shardMap) {
	var best *shardMap
	bestVersion, bestCovered := uint64(0), 0
	for i := len(l.maps) - 1; i >= 0; i-- {
		m := &l.maps[i]
		var buf [maxCandidates + 1]uint64
		for _, v := range l.candidates(buf[:0], m, readings, withDown) {
			if slices.Contains(exclude, v) {
				continue
			}
			n := l.coverage(m, readings, v, withDown)
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

// candidates appends the versions of a map worth weighing, newest first: the
// newest ones that any replica holds, and the newest that may cover every shard.
func (l *Layout) candidates(to []uint64, m *shardMap, readings []tracker.Reading, withDown bool) []uint64 {
	all := m.last
	for i := range m.shards {
		newest := uint64(0)
		for _, up := range m.shards[i].replicas {
			r := &readings[up]
			if !l.counts(up, r, withDown) || r.Newest < m.from || r.Oldest > m.last {
				continue
			}
			v := min(r.Newest, m.last)
			newest = max(newest, v)
			to = insert(to, v)
		}
		all = min(all, newest)
	}
	if all >= m.from && all > 0 && !slices.Contains(to, all) {
		to = append(to, all)
	}
	return to
}

// insert keeps the maxCandidates newest versions, newest first.
func insert(to []uint64, v uint64) []uint64 {
	i := 0
	for i < len(to) && to[i] > v {
		i++
	}
	if i < len(to) && to[i] == v || i == maxCandidates {
		return to
	}
	if len(to) == maxCandidates {
		to = to[:maxCandidates-1]
	}
	return slices.Insert(to, i, v)
}

// coverage returns the number of shards of a map that can serve version v.
func (l *Layout) coverage(m *shardMap, readings []tracker.Reading, v uint64, withDown bool) int {
	n := 0
	for i := range m.shards {
		for _, up := range m.shards[i].replicas {
			r := &readings[up]
			if r.HasVersion(v) && l.counts(up, r, withDown) {
				n++
				break
			}
		}
	}
	return n
}

func (l *Layout) counts(up int32, r *tracker.Reading, withDown bool) bool {
	return r.VersionsKnown && (withDown || !r.BackingOff) && l.IsUsable(int(up))
}
