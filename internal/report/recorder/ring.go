package recorder

import "math"

const (
	// Minutes is the number of minutes that a Recorder looks back.
	Minutes = 3 * 24 * 60

	// blockMinutes makes a block 1024 bytes, which the allocator rounds no further.
	blockMinutes = 64
	// ringBlocks has one block more than the minutes need: the newest is under
	// way while the oldest is still in reach.
	ringBlocks = (Minutes+blockMinutes-1)/blockMinutes + 1

	// fineMinutes is the age up to which a series gives single minutes. Older ones
	// are given in groups, which keeps the series of a fleet small.
	fineMinutes  = 6 * 60
	groupMinutes = 10
)

// Counts counts the queries of one minute. Each stops at its highest value.
type Counts struct {
	// Total counts answered and refused queries.
	Total uint32
	// Slow counts answers above the contract's latency.
	Slow uint32
	// Partial counts answers below the contract's coverage.
	Partial uint32
	// Refused counts refusals that are the service's fault.
	Refused uint32
}

// ring holds the minutes of one service in blocks, each made when it is first
// written and used again once its minutes lie out of reach.
type ring struct {
	blocks [ringBlocks]*block
	// numbers holds the number of each block, counted from the start.
	numbers [ringBlocks]int32
}

// block holds minutes in a row.
type block [blockMinutes]Counts

// at returns the counts of a minute for writing.
func (r *ring) at(minute int) *Counts {
	number := minute / blockMinutes
	i := number % ringBlocks
	switch {
	case r.blocks[i] == nil:
		r.blocks[i] = &block{}
	case r.numbers[i] != int32(number):
		*r.blocks[i] = block{}
	}
	r.numbers[i] = int32(number)
	return &r.blocks[i][minute%blockMinutes]
}

// buckets returns the minutes that hold a query, newest first, seen from now.
// Minutes older than fineMinutes are added up in groups, each named by the age of
// its newest minute.
func (r *ring) buckets(now int) []Bucket {
	var out []Bucket
	for ago := 0; ago < Minutes && ago <= now; ago++ {
		c := r.read(now - ago)
		if c.Total == 0 {
			continue
		}
		name := ago
		if ago >= fineMinutes {
			name -= ago % groupMinutes
		}
		if n := len(out); n > 0 && out[n-1].Ago == name {
			out[n-1].add(c)
			continue
		}
		out = append(out, Bucket{Ago: name, Counts: c})
	}
	return out
}

// read returns the counts of a minute, 0 when its block holds other minutes.
func (r *ring) read(minute int) Counts {
	number := minute / blockMinutes
	i := number % ringBlocks
	if r.blocks[i] == nil || r.numbers[i] != int32(number) {
		return Counts{}
	}
	return r.blocks[i][minute%blockMinutes]
}

func (c *Counts) add(o Counts) {
	raise(&c.Total, o.Total)
	raise(&c.Slow, o.Slow)
	raise(&c.Partial, o.Partial)
	raise(&c.Refused, o.Refused)
}

// raise adds by and stops at the highest value.
func raise(n *uint32, by uint32) {
	*n += min(by, math.MaxUint32-*n)
}
