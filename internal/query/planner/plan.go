// Package planner plans a query: it pins one snapshot, and orders the replicas
// of each of its shards. It does no I/O; readings and randomness are passed in.
package planner

import (
	"slices"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/query/tracker"
)

// Options change how a plan is made.
type Options struct {
	// SelectReplicas orders replicas by zone, load and latency; without it they stay as
	// declared.
	SelectReplicas bool
	// Exclude names versions that must not be pinned.
	Exclude []uint64
	// Seed is the randomness of the choice.
	Seed uint64
}

// Plan is one query's plan.
type Plan struct {
	// Version is the pinned snapshot, or 0 when no version is known.
	Version uint64
	// Covered is the number of shards with a replica that is known to hold the
	// snapshot and does not back off.
	Covered int
	// Shards holds every shard of the snapshot.
	Shards []Shard
	// Batches groups the shards by the owner of their first replica.
	Batches []Batch

	// The slices above lie in these, and in sorter's buffer, when a Plan is made
	// again.
	arena, order, ends []int32
	sorter             sorter
}

// Shard is one shard of a plan.
type Shard struct {
	ID int
	// Replicas are indexes of upstreams in the order in which to ask them.
	Replicas []int32
	// Reason says why there are no Replicas.
	Reason answerer.Reason
}

// Batch is the shards whose first replica has one owner.
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

// Rebuild is Layout.Plan in the memory of a Plan that is no longer used.
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
	// The arena must not move once shards refer to it.
	arena := slices.Grow(p.arena[:0], m.replicas)
	for i := range m.shards {
		from := len(arena)
		arena = s.order(arena, m.shards[i].replicas)
		sh := Shard{ID: m.shards[i].id, Replicas: arena[from:len(arena):len(arena)]}
		if len(arena) == from {
			sh.Reason = l.reason(m.shards[i].replicas)
		}
		p.Shards = append(p.Shards, sh)
	}
	p.arena = arena
	// A Plan that waits to be made again must not hold an old view.
	s.layout, s.readings = nil, nil
	p.batch(l)
}

// reason says why none of replicas can be asked.
func (l *Layout) reason(replicas []int32) answerer.Reason {
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

// batch groups the shards by owner with a counting sort.
func (p *Plan) batch(l *Layout) {
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
	from := int32(0)
	for owner := range l.Owners {
		if to := ends[owner]; to > from {
			p.Batches = append(p.Batches, Batch{Owner: owner, Shards: order[from:to:to]})
			from = to
		}
	}
}

func (p *Plan) firstOwner(l *Layout, i int) int {
	if len(p.Shards[i].Replicas) == 0 {
		return noOwner
	}
	return int(l.traits[p.Shards[i].Replicas[0]].owner)
}
