package planner

import (
	"math"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/query/tracker"
)

// noOwner marks an upstream that no live instance owns.
const noOwner = -1

// Layout is one service of one view, laid out for planning. It never changes.
type Layout struct {
	View    *viewer.View
	Service *declarer.Service
	// Upstreams holds each upstream of the service once; plans and readings refer
	// to them by index.
	Upstreams []Upstream
	// Owners holds each instance that owns one of the upstreams once.
	Owners []*declarer.Instance
	maps   []shardMap
	traits []trait
	// shardOf holds a shard of each of Upstreams.
	shardOf []int
}

// Upstream is one upstream of a Layout.
type Upstream struct {
	declarer.Upstream
	// Owner is the index of the owner in Layout.Owners, or -1.
	Owner int
	// Out is true when operators have taken the upstream or its zone out.
	Out bool
	// Near is true when the upstream is in this daemon's zone.
	Near bool
}

// trait is what planning reads of each upstream, kept small for the cache.
type trait struct {
	owner  int32
	usable bool
	near   bool
}

// shardMap is a declarer.ShardMap with upstreams by index. It holds for the
// versions from to last.
type shardMap struct {
	from, last uint64
	shards     []shard
	// replicas is the number of replicas of all shards.
	replicas int
}

type shard struct {
	id       int
	replicas []int32
}

// Lay lays a service of a view out.
func Lay(v *viewer.View, s *declarer.Service) *Layout {
	l := &Layout{View: v, Service: s}
	index := l.layUpstreams()
	for i := range s.Maps {
		l.maps = append(l.maps, layMap(s.Maps, i, index))
	}
	l.shardOf = make([]int, len(l.Upstreams))
	for i := range l.maps {
		l.maps[i].fillShards(l.shardOf)
	}
	return l
}

// fillShards sets a shard of the map for each upstream that it mentions.
func (m *shardMap) fillShards(shardOf []int) {
	for i := range m.shards {
		for _, up := range m.shards[i].replicas {
			shardOf[up] = m.shards[i].id
		}
	}
}

// IsUsable reports whether an upstream may be given new work.
func (l *Layout) IsUsable(up int) bool {
	return l.traits[up].usable
}

// ReplicaSets returns the upstreams of each shard of every shard map, newest map
// first.
func (l *Layout) ReplicaSets() [][]int32 {
	var sets [][]int32
	for i := len(l.maps) - 1; i >= 0; i-- {
		for j := range l.maps[i].shards {
			sets = append(sets, l.maps[i].shards[j].replicas)
		}
	}
	return sets
}

// IsCurrent reports whether a plan uses the newest shard map and covers all of it.
func (l *Layout) IsCurrent(p *Plan) bool {
	newest := &l.maps[len(l.maps)-1]
	return p.Version >= newest.from && p.Covered == len(newest.shards)
}

// ShardOf returns the ID of a shard that an upstream holds in the newest shard map
// that mentions it.
func (l *Layout) ShardOf(up int32) int {
	return l.shardOf[up]
}

// Order returns the usable upstreams of the newest shard map in the order in
// which to ask them, whatever versions they hold, with a shard of each.
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
	s.anyVersion = true
	return s.order(nil, all), shards
}

// layUpstreams returns the index of each upstream by name.
func (l *Layout) layUpstreams() map[string]int32 {
	ups := l.Service.Upstreams()
	index := make(map[string]int32, len(ups))
	owners := make(map[string]int)
	l.Upstreams = make([]Upstream, len(ups))
	l.traits = make([]trait, len(ups))
	for i, u := range ups {
		index[u.Name] = int32(i)
		l.Upstreams[i] = Upstream{
			Upstream: u,
			Owner:    l.layOwner(u.Name, owners),
			Out:      l.View.IsOut(l.Service, &ups[i]),
			Near:     u.Zone == l.View.Self.Zone,
		}
		l.traits[i] = l.Upstreams[i].trait()
	}
	return index
}

func (u *Upstream) trait() trait {
	return trait{
		owner:  int32(u.Owner),
		usable: !u.Out && u.Owner != noOwner,
		near:   u.Near,
	}
}

func (l *Layout) layOwner(upstream string, owners map[string]int) int {
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

func layMap(maps []declarer.ShardMap, i int, index map[string]int32) shardMap {
	m := shardMap{
		from:   maps[i].FromVersion,
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
