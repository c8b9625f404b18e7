package recorder

import "math"

const (
	// RetentionMinutes is the number of minutes that a Recorder retains.
	RetentionMinutes = 3 * 24 * 60

	// blockMinutes is the number of minutes in a block. It makes a block 1024 bytes, a
	// size that the allocator does not round up.
	blockMinutes = 64
	// ringBlocks is the number of blocks in a ring. It is one more than the retained
	// minutes fill: the newest block is written while the oldest is still retained.
	ringBlocks = (RetentionMinutes+blockMinutes-1)/blockMinutes + 1

	// ungroupedMinutes is the age in minutes below which a series has a bucket for each
	// minute. Older minutes are grouped, which keeps the series of a fleet small.
	ungroupedMinutes = 6 * 60
	// groupMinutes is the number of minutes in a group.
	groupMinutes = 10
)

// Counts counts the queries of one minute. A count that reaches the highest uint32
// stays there.
type Counts struct {
	// Total counts answered and refused queries.
	Total uint32
	// Slow counts answers that took longer than the contract's latency.
	Slow uint32
	// Partial counts answers below the contract's coverage.
	Partial uint32
	// Refused counts refusals that are the service's fault.
	Refused uint32
}

// ring holds the counts of one service by minute, in blocks. A block is allocated on
// its first write and reused once its minutes are no longer retained.
type ring struct {
	blocks [ringBlocks]*block
	// numbers holds the number of each block: its first minute since the start of the
	// recorder, divided by blockMinutes.
	numbers [ringBlocks]int32
}

// block holds the counts of consecutive minutes.
type block [blockMinutes]Counts

// at returns the counts of a minute for writing, and clears the minute's block if it
// still holds earlier minutes.
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

// buckets returns the minutes with a query, newest first, with ages relative to the
// minute now. Minutes with an age of ungroupedMinutes or more are summed in groups of
// groupMinutes; the age of a group is the lowest age in it.
func (r *ring) buckets(now int) []Bucket {
	var out []Bucket
	for age := 0; age < RetentionMinutes && age <= now; age++ {
		c := r.read(now - age)
		if c.Total == 0 {
			continue
		}
		bucketAge := age
		if age >= ungroupedMinutes {
			bucketAge -= age % groupMinutes
		}
		if n := len(out); n > 0 && out[n-1].AgeMinutes == bucketAge {
			out[n-1].add(c)
			continue
		}
		out = append(out, Bucket{AgeMinutes: bucketAge, Counts: c})
	}
	return out
}

// read returns the counts of a minute, which are 0 if its block was never written or
// holds other minutes.
func (r *ring) read(minute int) Counts {
	number := minute / blockMinutes
	i := number % ringBlocks
	if r.blocks[i] == nil || r.numbers[i] != int32(number) {
		return Counts{}
	}
	return r.blocks[i][minute%blockMinutes]
}

func (c *Counts) add(o Counts) {
	addSaturating(&c.Total, o.Total)
	addSaturating(&c.Slow, o.Slow)
	addSaturating(&c.Partial, o.Partial)
	addSaturating(&c.Refused, o.Refused)
}

// addSaturating adds delta to n and stops at the highest uint32.
func addSaturating(n *uint32, delta uint32) {
	*n += min(delta, math.MaxUint32-*n)
}
