package planner

import (
	"math/bits"
	"time"

	"cornelwood.example/internal/query/tracker"
)

// Ranks of replicas; those with lower ranks are asked first.
const (
	rankHasVersion = iota
	rankMayHaveVersion
	rankHasVersionBackingOff
	rankMayHaveVersionBackingOff
	rankUnusable
)

const (
	// staleAge is the age from which an upstream may hold newer versions than it last reported.
	staleAge = 2 * time.Second
	// otherZoneFactor multiplies the cost of a replica in another zone.
	otherZoneFactor = 2
	// baseCost is added to every latency. It stands in for the latency of an upstream without samples,
	// and keeps small differences of latency from deciding.
	baseCost = time.Millisecond
	// inFlightPercent is the percentage of the latency that each sub-request in flight adds to the
	// cost.
	inFlightPercent = 25
)

// sorter orders the replicas of shards.
type sorter struct {
	layout    *Layout
	readings  []tracker.Reading
	selecting bool
	random    uint64
	version   uint64
	// buf is reused for each shard.
	buf []candidate
	// ignoreVersions ranks all replicas as if they held the version.
	ignoreVersions bool
}

// reset prepares the sorter for another plan.
func (s *sorter) reset(l *Layout, readings []tracker.Reading, o Options) {
	*s = sorter{
		layout:    l,
		readings:  readings,
		selecting: o.SelectReplicas,
		random:    o.Seed,
		buf:       s.buf,
	}
}

// intN returns the next random number from 0 to n-1 (SplitMix64).
func (s *sorter) intN(n int) int {
	s.random += 0x9e3779b97f4a7c15
	z := s.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	hi, _ := bits.Mul64(z^z>>31, uint64(n))
	return int(hi)
}

type candidate struct {
	up       int32
	rank     int
	sameZone bool
	cost     int64
}

// order appends the replicas that can be asked to the slice to, best first.
func (s *sorter) order(to, replicas []int32) []int32 {
	cs := s.buf[:0]
	for _, up := range replicas {
		c := s.candidate(up)
		if c.rank == rankUnusable {
			continue
		}
		cs = append(cs, c)
		for i := len(cs) - 1; i > 0 && s.isBefore(&cs[i], &cs[i-1]); i-- {
			cs[i], cs[i-1] = cs[i-1], cs[i]
		}
	}
	s.buf = cs
	if s.selecting && len(cs) > 1 {
		s.selectFirst(cs)
	}
	for i := range cs {
		to = append(to, cs[i].up)
	}
	return to
}

func (s *sorter) candidate(up int32) candidate {
	u, r := &s.layout.compact[up], &s.readings[up]
	if !u.usable {
		return candidate{rank: rankUnusable}
	}
	return candidate{up: up, rank: s.rank(r), sameZone: u.sameZone, cost: cost(r)}
}

func (s *sorter) rank(r *tracker.Reading) int {
	hasVersion := s.ignoreVersions || r.HasVersion(s.version)
	mayHaveVersion := !r.VersionsKnown || r.VersionsAge > staleAge && s.version > r.Newest
	switch {
	case hasVersion && !r.BackingOff:
		return rankHasVersion
	case hasVersion:
		return rankHasVersionBackingOff
	case mayHaveVersion && !r.BackingOff:
		return rankMayHaveVersion
	case mayHaveVersion:
		return rankMayHaveVersionBackingOff
	default:
		return rankUnusable
	}
}

func (s *sorter) isBefore(a, b *candidate) bool {
	if a.rank != b.rank || !s.selecting {
		return a.rank < b.rank
	}
	return a.zoneCost() < b.zoneCost()
}

// selectFirst moves the replica to ask first to the front. Among the replicas of the best rank it
// picks the cheaper of two random ones in this daemon's zone and the cheaper of two in other zones. Of
// these it takes the one in this daemon's zone, unless that costs more than otherZoneFactor times as
// much.
func (s *sorter) selectFirst(cs []candidate) {
	n, local := 0, 0
	for n < len(cs) && cs[n].rank == cs[0].rank {
		if cs[n].sameZone {
			local++
		}
		n++
	}
	if cs[0].sameZone && local == 1 {
		return
	}
	a := s.cheaperOfTwo(cs[:n], true, local)
	b := s.cheaperOfTwo(cs[:n], false, n-local)
	first := a
	if a < 0 || b >= 0 && cs[b].zoneCost() < cs[a].zoneCost() {
		first = b
	}
	c := cs[first]
	copy(cs[1:first+1], cs[:first])
	cs[0] = c
}

// cheaperOfTwo returns the index of the cheaper of two random candidates in this daemon's zone, or
// outside of it, or -1 when there are none. count is the number of such candidates.
func (s *sorter) cheaperOfTwo(cs []candidate, sameZone bool, count int) int {
	switch count {
	case 0:
		return -1
	case 1:
		return nthCandidate(cs, sameZone, 0)
	}
	i := s.intN(count)
	j := s.intN(count - 1)
	if j >= i {
		j++
	}
	a, b := nthCandidate(cs, sameZone, i), nthCandidate(cs, sameZone, j)
	if cs[b].cost < cs[a].cost {
		return b
	}
	return a
}

// nthCandidate returns the index of candidate n, from 0, among those in this daemon's zone or outside
// of it.
func nthCandidate(cs []candidate, sameZone bool, n int) int {
	for i := range cs {
		if cs[i].sameZone != sameZone {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// zoneCost returns the cost, multiplied by otherZoneFactor for other zones.
func (c *candidate) zoneCost() int64 {
	if c.sameZone {
		return c.cost
	}
	return c.cost * otherZoneFactor
}

// cost returns a measure for comparing replicas that grows with latency, load and the sub-requests in
// flight.
func cost(r *tracker.Reading) int64 {
	percent := 100 + int64(r.Load) + inFlightPercent*int64(r.InFlight)
	return int64(r.Latency+baseCost) * percent
}
