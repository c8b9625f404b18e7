// Package planner plans a query: it pins one snapshot and orders the replicas of each of its shards.
// It does no I/O; the state of upstreams and the random seed are passed in.
package planner

import (
	"slices"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/query/tracker"
)

// Options control how a plan is made.
type Options struct {
	// SelectReplicas orders replicas by zone, load and latency; without it they stay in the declared
	// order.
	SelectReplicas bool
	// Exclude lists versions that must not be pinned.
	Exclude []uint64
	// Seed seeds the random selection of replicas.
	Seed uint64
}

// Plan is the plan of one query: its snapshot, and the replicas to ask for each shard.
type Plan struct {
	// Version is the pinned snapshot version, or 0 when no version is known.
	Version uint64
	// Covered is the number of shards with a replica that is known to hold the snapshot. Replicas that
	// are backing off count only when no other replica holds a version.
	Covered int
	// Shards holds every shard of the snapshot.
	Shards []Shard
	// Batches groups the shards by the owner of their first replica.
	Batches []Batch

	// Buffers behind the slices above; Rebuild reuses them.
	arena, order, ends []int32
	sorter             sorter
}

// Shard is one shard of a plan.
type Shard struct {
	ID int
	// Replicas are the indexes of upstreams in the order in which to ask them.
	Replicas []int32
	// Reason is the reason for empty Replicas.
	Reason answerer.Reason
}

// Batch is the set of shards whose first replicas have the same owner.
type Batch struct {
	// Owner is an index of Layout.Owners.
	Owner int
	// Shards are indexes of Plan.Shards.
	Shards []int32
}

// Plan plans a query from readings, one for each of Layout.Upstreams.
func (l *Layout) Plan(readings []tracker.Reading, o Options) *Plan {
	p := &Plan{}
	p.Rebuild(l, readings, o)
	return p
}

// Rebuild plans a query like Layout.Plan, and reuses the memory of a Plan that is no longer in use.
func (p *Plan) Rebuild(l *Layout, readings []tracker.Reading, o Options) {
	var m *shardMap
	p.Version, p.Covered, m = l.pin(readings, o.Exclude)
	p.Shards, p.Batches = p.Shards[:0], p.Batches[:0]
	if m == nil {
		return
	}
	s := &p.sorter
	s.reset(l, readings, o)
	s.version = p.Version
	// The arena must not be reallocated once shards refer to it.
	arena := slices.Grow(p.arena[:0], m.replicas)
	for i := range m.shards {
		start := len(arena)
		arena = s.order(arena, m.shards[i].replicas)
		sh := Shard{ID: m.shards[i].id, Replicas: arena[start:len(arena):len(arena)]}
		if len(arena) == start {
			sh.Reason = l.missingReason(m.shards[i].replicas)
		}
		p.Shards = append(p.Shards, sh)
	}
	p.arena = arena
	// A Plan in a pool must not keep an old view alive.
	s.layout, s.readings = nil, nil
	p.buildBatches(l)
}

// missingReason returns the reason why none of the replicas can be asked.
func (l *Layout) missingReason(replicas []int32) answerer.Reason {
	reason := answerer.ReasonOut
	for _, up := range replicas {
		switch u := &l.Upstreams[up]; {
		case l.IsUsable(int(up)):
			return answerer.ReasonVersion
		case !u.Out:
			reason = answerer.ReasonUnreachable
		}
	}
	return reason
}

// buildBatches groups the shards by owner with a counting sort.
func (p *Plan) buildBatches(l *Layout) {
	ends := slices.Grow(p.ends[:0], len(l.Owners))[:len(l.Owners)]
	clear(ends)
	p.ends = ends
	total := 0
	for i := range p.Shards {
		if owner := p.firstOwner(l, i); owner != noOwner {
			ends[owner]++
			total++
		}
	}
	sum := int32(0)
	for i, n := range ends {
		ends[i] = sum
		sum += n
	}
	order := slices.Grow(p.order[:0], total)[:total]
	p.order = order
	for i := range p.Shards {
		if owner := p.firstOwner(l, i); owner != noOwner {
			order[ends[owner]] = int32(i)
			ends[owner]++
		}
	}
	start := int32(0)
	for owner := range l.Owners {
		if end := ends[owner]; end > start {
			p.Batches = append(p.Batches, Batch{Owner: owner, Shards: order[start:end:end]})
			start = end
		}
	}
}

func (p *Plan) firstOwner(l *Layout, i int) int {
	if len(p.Shards[i].Replicas) == 0 {
		return noOwner
	}
	return int(l.compact[p.Shards[i].Replicas[0]].owner)
}
