package planner

import (
	"math/bits"
	"time"

	"cornelwood.example/internal/query/tracker"
)

// Ranks of replicas; lower ones are asked first.
const (
	rankHolds = iota
	rankMayHold
	rankHoldsDown
	rankMayHoldDown
	rankNone
)

const (
	// staleAge is the age from which an upstream may hold newer versions than it
	// last said.
	staleAge = 2 * time.Second
	// farFactor is how many times the cost of a replica in another zone counts
	// against one in this daemon's own.
	farFactor = 2
	// baseCost stands in for the latency of an upstream that has none yet, and keeps
	// small differences from deciding.
	baseCost = time.Millisecond
	// inflightPercent is the part of one latency, in percent, that an open
	// sub-request adds.
	inflightPercent = 25
)

// sorter orders the replicas of shards.
type sorter struct {
	layout   *Layout
	readings []tracker.Reading
	choosing bool
	random   uint64
	version  uint64
	// buf is used again for each shard.
	buf []candidate
	// anyVersion ignores the versions that replicas hold.
	anyVersion bool
}

// reset makes the sorter ready for another plan.
func (s *sorter) reset(l *Layout, readings []tracker.Reading, o Options) {
	*s = sorter{
		layout:   l,
		readings: readings,
		choosing: o.SelectReplicas,
		random:   o.Seed,
		buf:      s.buf,
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
	up   int32
	rank int
	near bool
	cost int64
}

// order appends the replicas that can be asked, the best first.
func (s *sorter) order(to, replicas []int32) []int32 {
	cs := s.buf[:0]
	for _, up := range replicas {
		c := s.candidate(up)
		if c.rank == rankNone {
			continue
		}
		cs = append(cs, c)
		for i := len(cs) - 1; i > 0 && s.isBefore(&cs[i], &cs[i-1]); i-- {
			cs[i], cs[i-1] = cs[i-1], cs[i]
		}
	}
	s.buf = cs
	if s.choosing && len(cs) > 1 {
		s.choose(cs)
	}
	for i := range cs {
		to = append(to, cs[i].up)
	}
	return to
}

func (s *sorter) candidate(up int32) candidate {
	u, r := &s.layout.traits[up], &s.readings[up]
	if !u.usable {
		return candidate{rank: rankNone}
	}
	return candidate{up: up, rank: s.rank(r), near: u.near, cost: cost(r)}
}

func (s *sorter) rank(r *tracker.Reading) int {
	isHolding := s.anyVersion || r.HasVersion(s.version)
	mayHold := !r.VersionsKnown || r.VersionsAge > staleAge && s.version > r.Newest
	switch {
	case isHolding && !r.BackingOff:
		return rankHolds
	case isHolding:
		return rankHoldsDown
	case mayHold && !r.BackingOff:
		return rankMayHold
	case mayHold:
		return rankMayHoldDown
	default:
		return rankNone
	}
}

func (s *sorter) isBefore(a, b *candidate) bool {
	if a.rank != b.rank || !s.choosing {
		return a.rank < b.rank
	}
	return a.weighted() < b.weighted()
}

// choose moves the replica to ask first to the front: of two at random in the own
// zone, and of two at random elsewhere, the cheaper one, and of these the one in
// the own zone unless it costs farFactor times more.
func (s *sorter) choose(cs []candidate) {
	n, near := 0, 0
	for n < len(cs) && cs[n].rank == cs[0].rank {
		if cs[n].near {
			near++
		}
		n++
	}
	if cs[0].near && near == 1 {
		return
	}
	a := s.pickOfTwo(cs[:n], true, near)
	b := s.pickOfTwo(cs[:n], false, n-near)
	first := a
	if a < 0 || b >= 0 && cs[b].weighted() < cs[a].weighted() {
		first = b
	}
	c := cs[first]
	copy(cs[1:first+1], cs[:first])
	cs[0] = c
}

// pickOfTwo returns the index of the cheaper of two random candidates among the
// count that are near or not, or -1 when there are none.
func (s *sorter) pickOfTwo(cs []candidate, near bool, count int) int {
	switch count {
	case 0:
		return -1
	case 1:
		return nth(cs, near, 0)
	}
	i := s.intN(count)
	j := s.intN(count - 1)
	if j >= i {
		j++
	}
	a, b := nth(cs, near, i), nth(cs, near, j)
	if cs[b].cost < cs[a].cost {
		return b
	}
	return a
}

// nth returns the index of the nth candidate that is near or not.
func nth(cs []candidate, near bool, n int) int {
	for i := range cs {
		if cs[i].near != near {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// weighted returns the cost with the factor for other zones.
func (c *candidate) weighted() int64 {
	if c.near {
		return c.cost
	}
	return c.cost * farFactor
}

// cost grows with an upstream's latency, load and open sub-requests.
func cost(r *tracker.Reading) int64 {
	percent := 100 + int64(r.Load) + inflightPercent*int64(r.InFlight)
	return int64(r.Latency+baseCost) * percent
}
