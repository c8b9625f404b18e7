package planner

import (
	"math"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/query/tracker"
)

// noOwner is the Owner of an upstream that no live instance owns.
const noOwner = -1

// Layout is one service of one view, indexed for planning. It is immutable.
type Layout struct {
	View    *viewer.View
	Service *declarer.Service
	// Upstreams holds each upstream of the service once; plans and readings refer to upstreams by
	// their index here.
	Upstreams []Upstream
	// Owners holds each instance that owns one of the upstreams once.
	Owners  []*declarer.Instance
	maps    []shardMap
	compact []compactUpstream
	// shardOf holds, for each upstream, the ID of a shard that it holds.
	shardOf []int
}

// Upstream is one upstream of a Layout.
type Upstream struct {
	declarer.Upstream
	// Owner is the index of the owner in Layout.Owners, or -1.
	Owner int
	// Out is true when operators have taken the upstream or its zone out of service.
	Out bool
	// SameZone is true when the upstream is in this daemon's zone.
	SameZone bool
}

// compactUpstream holds the fields of an Upstream that planning reads, kept small for the processor's
// cache.
type compactUpstream struct {
	owner    int32
	usable   bool
	sameZone bool
}

// shardMap is a declarer.ShardMap whose replicas are indexes of upstreams. It is valid for the
// versions first to last.
type shardMap struct {
	first, last uint64
	shards      []shard
	// replicas is the number of replicas of all shards together.
	replicas int
}

type shard struct {
	id       int
	replicas []int32
}

// NewLayout returns the Layout of a service of a view.
func NewLayout(v *viewer.View, s *declarer.Service) *Layout {
	l := &Layout{View: v, Service: s}
	index := l.indexUpstreams()
	for i := range s.Maps {
		l.maps = append(l.maps, newShardMap(s.Maps, i, index))
	}
	l.shardOf = make([]int, len(l.Upstreams))
	for i := range l.maps {
		l.maps[i].fillShards(l.shardOf)
	}
	return l
}

// fillShards sets, for each upstream of the map, the ID of a shard that it holds.
func (m *shardMap) fillShards(shardOf []int) {
	for i := range m.shards {
		for _, up := range m.shards[i].replicas {
			shardOf[up] = m.shards[i].id
		}
	}
}

// IsUsable reports whether an upstream is in service and has an owner, so that it can be sent work.
func (l *Layout) IsUsable(up int) bool {
	return l.compact[up].usable
}

// ReplicaSets returns the upstreams of each shard of every shard map, newest map first.
func (l *Layout) ReplicaSets() [][]int32 {
	var sets [][]int32
	for i := len(l.maps) - 1; i >= 0; i-- {
		for j := range l.maps[i].shards {
			sets = append(sets, l.maps[i].shards[j].replicas)
		}
	}
	return sets
}

// IsCurrent reports whether a plan uses the newest shard map and covers all of its shards.
func (l *Layout) IsCurrent(p *Plan) bool {
	newest := &l.maps[len(l.maps)-1]
	return p.Version >= newest.first && p.Covered == len(newest.shards)
}

// ShardOf returns the ID of a shard that an upstream holds, from the newest shard map that contains
// the upstream.
func (l *Layout) ShardOf(up int32) int {
	return l.shardOf[up]
}

// Order returns the usable upstreams of the newest shard map in the order in which to ask them,
// whatever versions they hold, and for each the ID of one of its shards.
func (l *Layout) Order(readings []tracker.Reading, o Options) (ups []int32, shards map[int32]int) {
	shards = make(map[int32]int)
	var all []int32
	m := &l.maps[len(l.maps)-1]
	for i := range m.shards {
		for _, up := range m.shards[i].replicas {
			if _, ok := shards[up]; ok {
				continue
			}
			shards[up] = m.shards[i].id
			all = append(all, up)
		}
	}
	var s sorter
	s.reset(l, readings, o)
	s.ignoreVersions = true
	return s.order(nil, all), shards
}

// indexUpstreams fills Upstreams, compact and Owners and returns the index of each upstream by name.
func (l *Layout) indexUpstreams() map[string]int32 {
	ups := l.Service.Upstreams()
	index := make(map[string]int32, len(ups))
	owners := make(map[string]int)
	l.Upstreams = make([]Upstream, len(ups))
	l.compact = make([]compactUpstream, len(ups))
	for i, u := range ups {
		index[u.Name] = int32(i)
		l.Upstreams[i] = Upstream{
			Upstream: u,
			Owner:    l.ownerIndex(u.Name, owners),
			Out:      l.View.IsOut(l.Service, &ups[i]),
			SameZone: u.Zone == l.View.Self.Zone,
		}
		l.compact[i] = l.Upstreams[i].compact()
	}
	return index
}

func (u *Upstream) compact() compactUpstream {
	return compactUpstream{
		owner:    int32(u.Owner),
		usable:   !u.Out && u.Owner != noOwner,
		sameZone: u.SameZone,
	}
}

// ownerIndex returns the index of an upstream's owner in Owners, which it appends when it is new, or
// noOwner.
func (l *Layout) ownerIndex(upstream string, owners map[string]int) int {
	in, ok := l.View.Owner(l.Service.Name, upstream)
	if !ok {
		return noOwner
	}
	i, ok := owners[in.ID]
	if !ok {
		i = len(l.Owners)
		owners[in.ID] = i
		l.Owners = append(l.Owners, in)
	}
	return i
}

// newShardMap converts the shard map at index i; it is valid until the next map's first version.
func newShardMap(maps []declarer.ShardMap, i int, index map[string]int32) shardMap {
	m := shardMap{
		first:  maps[i].FromVersion,
		last:   math.MaxUint64,
		shards: make([]shard, len(maps[i].Shards)),
	}
	if i+1 < len(maps) {
		m.last = maps[i+1].FromVersion - 1
	}
	for j, sh := range maps[i].Shards {
		m.shards[j].id = sh.ID
		for _, u := range sh.Replicas {
			m.shards[j].replicas = append(m.shards[j].replicas, index[u.Name])
		}
		m.replicas += len(sh.Replicas)
	}
	return m
}
