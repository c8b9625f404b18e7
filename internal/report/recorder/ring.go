package recorder

import "math"

const (
	// Minutes is the number of minutes that a Recorder looks back.
	Minutes = 3 * 24 * 60

	blockMinutes = 60
	// ringBlocks has one block more than the minutes need: the newest is under
	// way while the oldest is still in reach.
	ringBlocks = Minutes/blockMinutes + 1
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

// ring holds the minutes of one service in blocks of an hour, each made when it
// is first written.
type ring struct {
	blocks [ringBlocks]*block
}

// block holds one hour. It is reused once the hour lies out of reach.
type block struct {
	hour    int
	minutes [blockMinutes]Counts
}

// at returns the counts of a minute for writing.
func (r *ring) at(minute int) *Counts {
	hour := minute / blockMinutes
	b := &r.blocks[hour%ringBlocks]
	switch {
	case *b == nil:
		*b = &block{hour: hour}
	case (*b).hour != hour:
		**b = block{hour: hour}
	}
	return &(*b).minutes[minute%blockMinutes]
}

// buckets returns the minutes that hold a query, newest first, seen from now.
func (r *ring) buckets(now int) []Bucket {
	var out []Bucket
	for ago := 0; ago < Minutes && ago <= now; ago++ {
		minute := now - ago
		b := r.blocks[minute/blockMinutes%ringBlocks]
		if b == nil || b.hour != minute/blockMinutes {
			continue
		}
		if c := b.minutes[minute%blockMinutes]; c.Total > 0 {
			out = append(out, Bucket{Ago: ago, Counts: c})
		}
	}
	return out
}

// raise adds one and stops at the highest value.
func raise(n *uint32) {
	if *n < math.MaxUint32 {
		*n++
	}
}
