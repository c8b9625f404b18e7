package gatherer

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/query/hedger"
	"cornelwood.example/internal/query/planner"
	"cornelwood.example/internal/query/tracker"
)

// service is the state of one service that is kept across views.
type service struct {
	name    string
	hedger  *hedger.Hedger
	metrics serviceMetrics
	// discovery is the running discovery, or nil.
	discovery atomic.Pointer[discovery]
	// discoveredAt is the end of the last discovery, in nanoseconds since the Gatherer's start; 0
	// before the first.
	discoveredAt atomic.Int64
	// nextRefreshAt is the earliest time of the next scan for stale versions, in nanoseconds since the
	// Gatherer's start.
	nextRefreshAt atomic.Int64
	// lastPinned is the snapshot version that was pinned last; a change of it is logged.
	lastPinned atomic.Uint64
}

// layout is a service of one view with the state of its upstreams and of their owners.
type layout struct {
	*planner.Layout
	service   *service
	upstreams []*tracker.Upstream
	peers     []*tracker.Peer
}

// readUpstreams returns the readings of all upstreams in buf. An upstream whose owner is backing off
// counts as backing off.
func (g *Gatherer) readUpstreams(l *layout, buf []tracker.Reading) []tracker.Reading {
	now := time.Now()
	since := g.tracker.Elapsed(now)
	buf = slices.Grow(buf, len(l.upstreams))[:len(l.upstreams)]
	for i, u := range l.upstreams {
		u.ReadInto(&buf[i], since)
	}
	for o, p := range l.peers {
		if p.IsBackingOff(now) {
			l.markBackingOff(buf, o)
		}
	}
	return buf
}

// markBackingOff sets BackingOff for all upstreams of an owner.
func (l *layout) markBackingOff(readings []tracker.Reading, owner int) {
	for i := range readings {
		if l.Upstreams[i].Owner == owner {
			readings[i].BackingOff = true
		}
	}
}

// currentOwner returns the owner of an upstream in view v, or nil when v does not use the upstream.
func (l *layout) currentOwner(v *viewer.View, up int32) *declarer.Instance {
	u := &l.Upstreams[up]
	if v == l.View {
		if !l.IsUsable(int(up)) {
			return nil
		}
		return l.Owners[u.Owner]
	}
	s, ok := v.Services[l.Service.Name]
	if !ok || v.IsOut(s, &u.Upstream) {
		return nil
	}
	owner, ok := v.Owner(l.Service.Name, u.Name)
	if !ok {
		return nil
	}
	return owner
}

// peerState returns the state of the connection to an owner of an upstream.
func (g *Gatherer) peerState(l *layout, up int32, owner *declarer.Instance) *tracker.Peer {
	if o := l.Upstreams[up].Owner; o >= 0 && l.Owners[o] == owner {
		return l.peers[o]
	}
	return g.tracker.Peer(owner.ID)
}

// layoutCache holds the layouts of the services of one view.
type layoutCache struct {
	view *viewer.View
	// byService maps service names to *layout.
	byService sync.Map
}

// layout returns the layout of a service of a view, and false when the view has no such service.
func (g *Gatherer) layout(v *viewer.View, name string) (*layout, bool) {
	cache := g.layoutsOf(v)
	if l, ok := cache.byService.Load(name); ok {
		return l.(*layout), true
	}
	s, ok := v.Services[name]
	if !ok {
		return nil, false
	}
	l, _ := cache.byService.LoadOrStore(name, g.newLayout(v, s))
	return l.(*layout), true
}

// layoutsOf returns the layout cache of a view. The first call for a new current view replaces the
// cache of the old one; caches of other views are not stored.
func (g *Gatherer) layoutsOf(v *viewer.View) *layoutCache {
	old := g.layouts.Load()
	if old.view == v {
		return old
	}
	next := &layoutCache{view: v}
	if g.views.View() != v {
		return next
	}
	if g.layouts.CompareAndSwap(old, next) {
		g.prune(v)
	}
	return next
}

func (g *Gatherer) newLayout(v *viewer.View, s *declarer.Service) *layout {
	l := &layout{Layout: planner.NewLayout(v, s), service: g.serviceState(s.Name)}
	for i := range l.Upstreams {
		key := viewer.UpstreamKey(s.Name, l.Upstreams[i].Name)
		u := g.tracker.Upstream(key)
		if o := l.Upstreams[i].Owner; o >= 0 {
			u.SetOwner(ownerProcess(l.Owners[o]))
		}
		l.upstreams = append(l.upstreams, u)
	}
	for _, o := range l.Owners {
		l.peers = append(l.peers, g.tracker.Peer(o.ID))
	}
	return l
}

// ownerProcess identifies one process of an instance by the instance's ID and incarnation.
func ownerProcess(in *declarer.Instance) string {
	return in.ID + "/" + strconv.FormatUint(in.Incarnation, 36)
}

func (g *Gatherer) serviceState(name string) *service {
	if s, ok := g.services.Load(name); ok {
		return s.(*service)
	}
	cfg := hedger.Config{
		Quantile: g.cfg.HedgeQuantile,
		Percent:  g.cfg.ExtraPercent,
		Burst:    g.cfg.ExtraBurst,
	}
	s, _ := g.services.LoadOrStore(name, &service{
		name:    name,
		hedger:  hedger.New(cfg, time.Now()),
		metrics: g.metrics.forService(name),
	})
	return s.(*service)
}

// prune removes the state of services, upstreams and instances that are not in the view.
func (g *Gatherer) prune(v *viewer.View) {
	keep := make(map[string]bool)
	for _, s := range v.Services {
		for _, u := range s.Upstreams() {
			keep[viewer.UpstreamKey(s.Name, u.Name)] = true
		}
	}
	g.tracker.Retain(
		func(key string) bool { return keep[key] },
		func(id string) bool { _, ok := v.Instance(id); return ok },
	)
	g.services.Range(func(name, _ any) bool {
		if _, ok := v.Services[name.(string)]; !ok {
			g.services.Delete(name)
			g.metrics.remove(name.(string))
		}
		return true
	})
}
