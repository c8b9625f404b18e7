// Package planner plans a query: it pins one snapshot, and orders the replicas
// of each of its shards. It does no I/O; readings and randomness are passed in.
package planner

import (
	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/query/tracker"
)

// Options change how a plan is made.
type Options struct {
	// Choose orders replicas by zone, load and latency; without it they stay as
	// declared.
	Choose bool
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
	var m *shardMap
	p.Version, p.Covered, m = l.pin(readings, o.Exclude)
	if m == nil {
		return p
	}
	p.Shards = make([]Shard, len(m.shards))
	arena := make([]int32, 0, len(m.shards)*(len(m.shards[0].replicas)+1))
	s := newSorter(l, readings, o)
	s.version = p.Version
	for i := range m.shards {
		p.Shards[i].ID = m.shards[i].id
		from := len(arena)
		arena = s.order(arena, m.shards[i].replicas)
		p.Shards[i].Replicas = arena[from:len(arena):len(arena)]
		if len(arena) == from {
			p.Shards[i].Reason = l.reason(m.shards[i].replicas)
		}
	}
	p.batch(l)
	return p
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
	ends := make([]int32, len(l.Owners)+1)
	total, used := int32(0), 0
	for i := range p.Shards {
		if owner := p.firstOwner(l, i); owner != noOwner {
			if ends[owner] == 0 {
				used++
			}
			ends[owner]++
			total++
		}
	}
	sum := int32(0)
	for i, n := range ends {
		ends[i] = sum
		sum += n
	}
	order := make([]int32, total)
	for i := range p.Shards {
		if owner := p.firstOwner(l, i); owner != noOwner {
			order[ends[owner]] = int32(i)
			ends[owner]++
		}
	}
	p.Batches = make([]Batch, 0, used)
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
