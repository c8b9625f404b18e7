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

// service is the state of one service that outlives views.
type service struct {
	name    string
	hedger  *hedger.Hedger
	metrics serviceMetrics
	// flight is the discovery under way, or nil.
	flight atomic.Pointer[flight]
	// discoveredAt is when the last discovery ended, since the Gatherer's start.
	discoveredAt atomic.Int64
	refreshAt    atomic.Int64
	pinned       atomic.Uint64
}

// layout is a service of one view with the state of its upstreams and owners.
type layout struct {
	*planner.Layout
	service   *service
	upstreams []*tracker.Upstream
	peers     []*tracker.Peer
}

// read returns the readings of all upstreams; an upstream whose owner backs off
// does too.
func (g *Gatherer) read(l *layout, to []tracker.Reading) []tracker.Reading {
	now := time.Now()
	since := g.tracker.Elapsed(now)
	to = slices.Grow(to, len(l.upstreams))[:len(l.upstreams)]
	for i, u := range l.upstreams {
		u.ReadInto(&to[i], since)
	}
	for o, p := range l.peers {
		if p.IsBackingOff(now) {
			l.markDown(to, o)
		}
	}
	return to
}

// markDown marks the upstreams of an owner.
func (l *layout) markDown(readings []tracker.Reading, owner int) {
	for i := range readings {
		if l.Upstreams[i].Owner == owner {
			readings[i].BackingOff = true
		}
	}
}

// ownerNow returns the owner of an upstream in the current view, or nil when
// that view does not use the upstream.
func (l *layout) ownerNow(v *viewer.View, up int32) *declarer.Instance {
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

// peer returns the state of the path to an owner of an upstream.
func (g *Gatherer) peer(l *layout, up int32, owner *declarer.Instance) *tracker.Peer {
	if o := l.Upstreams[up].Owner; o >= 0 && l.Owners[o] == owner {
		return l.peers[o]
	}
	return g.tracker.Peer(owner.ID)
}

// layouts holds the layouts of one view.
type layouts struct {
	view *viewer.View
	// byService maps names to *layout.
	byService sync.Map
}

// layout returns the layout of a service of a view, and false when the view has
// no such service.
func (g *Gatherer) layout(v *viewer.View, name string) (*layout, bool) {
	cache := g.cache(v)
	if l, ok := cache.byService.Load(name); ok {
		return l.(*layout), true
	}
	s, ok := v.Services[name]
	if !ok {
		return nil, false
	}
	l, _ := cache.byService.LoadOrStore(name, g.lay(v, s))
	return l.(*layout), true
}

// cache returns the layouts of a view. The first caller for a new view replaces
// the old view's.
func (g *Gatherer) cache(v *viewer.View) *layouts {
	was := g.layouts.Load()
	if was.view == v {
		return was
	}
	next := &layouts{view: v}
	if g.views.View() != v {
		return next
	}
	if g.layouts.CompareAndSwap(was, next) {
		g.prune(v)
	}
	return next
}

func (g *Gatherer) lay(v *viewer.View, s *declarer.Service) *layout {
	l := &layout{Layout: planner.NewLayout(v, s), service: g.serviceState(s.Name)}
	for i := range l.Upstreams {
		key := viewer.UpstreamKey(s.Name, l.Upstreams[i].Name)
		u := g.tracker.Upstream(key)
		if o := l.Upstreams[i].Owner; o >= 0 {
			u.SetOwner(ownership(l.Owners[o]))
		}
		l.upstreams = append(l.upstreams, u)
	}
	for _, o := range l.Owners {
		l.peers = append(l.peers, g.tracker.Peer(o.ID))
	}
	return l
}

// ownership names one process of an owner.
func ownership(in *declarer.Instance) string {
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
		metrics: g.metrics.of(name),
	})
	return s.(*service)
}

// prune forgets the services, upstreams and instances that a view lacks.
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
			g.metrics.forget(name.(string))
		}
		return true
	})
}
