package gatherer

import (
	"context"
	"strconv"
	"time"

	"cornelwood.example/internal/contract/exchanger"
)

const (
	// discoverEvery is the least time between two discoveries of a service.
	discoverEvery = 100 * time.Millisecond
	// discoverMoreEvery is that time while queries are answered meanwhile.
	discoverMoreEvery = time.Second
	// refreshAge is the age at which an upstream's versions are asked for again.
	refreshAge = 10 * time.Second
	// refreshEvery is the time between two looks for such upstreams.
	refreshEvery = 50 * time.Millisecond
	// maxRefreshes bounds the upstreams that one look finds.
	maxRefreshes = 8
)

// closed is a channel that is closed from the start.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// flight is a discovery under way.
type flight struct {
	done chan struct{}
}

// Discover learns which versions the upstreams of a service hold: it asks one
// replica of each shard of which nothing is known, and another when that one does
// not say. The channel returned is closed when it is over. Calls for a service
// that overlap share one discovery, and there is a least time between two.
func (g *Gatherer) Discover(name string) <-chan struct{} {
	l, ok := g.layout(g.views.View(), name)
	if !ok {
		return closed
	}
	s := l.service
	if !s.isDiscoveryDue(g.start, discoverEvery) || g.ctx.Err() != nil {
		return closed
	}
	f := &flight{done: make(chan struct{})}
	if !s.flight.CompareAndSwap(nil, f) {
		if f := s.flight.Load(); f != nil {
			return f.done
		}
		return closed
	}
	g.wg.Go(func() {
		newSweep(g, l).run()
		s.discoveredAt.Store(int64(time.Since(g.start)))
		s.flight.Store(nil)
		close(f.done)
	})
	return f.done
}

// discoverMore starts a discovery in the background, for shards of which nothing
// is known while others can be answered from.
func (g *Gatherer) discoverMore(s *service) {
	if s.isDiscoveryDue(g.start, discoverMoreEvery) {
		g.Discover(s.name)
	}
}

// isDiscoveryDue reports whether no discovery ended within a time.
func (s *service) isDiscoveryDue(start time.Time, within time.Duration) bool {
	at := s.discoveredAt.Load()
	return at == 0 || time.Since(start)-time.Duration(at) >= within
}

// sweep is the work of one discovery.
type sweep struct {
	g        *Gatherer
	layout   *layout
	deadline time.Time
	box      *mailbox
	// sets holds the replicas of each shard of which nothing is known.
	sets [][]int32
	// asked holds the upstreams that were asked, by the ID of the task while it is
	// open.
	asked map[int32]bool
	open  map[uint64]int32
}

func newSweep(g *Gatherer, l *layout) *sweep {
	return &sweep{
		g:        g,
		layout:   l,
		deadline: time.Now().Add(g.cfg.DiscoverTimeout),
		box:      newMailbox(),
		sets:     l.ReplicaSets(),
		asked:    make(map[int32]bool),
		open:     make(map[uint64]int32),
	}
}

func (s *sweep) run() {
	ctx, cancel := context.WithDeadline(s.g.ctx, s.deadline)
	defer cancel()
	s.ask(ctx)
	for len(s.open) > 0 {
		select {
		case <-s.box.ready:
			results := s.box.take()
			for i := range results {
				s.settle(&results[i])
			}
			s.ask(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *sweep) settle(res *exchanger.Result) {
	up, ok := s.open[res.ID]
	if !ok {
		return
	}
	delete(s.open, res.ID)
	s.layout.told(up, res)
}

// ask asks the next replica of each shard of which nothing is known and for which
// nothing is open.
func (s *sweep) ask(ctx context.Context) {
	busy := make(map[int32]bool, len(s.open))
	for _, up := range s.open {
		busy[up] = true
	}
	ups := make([]int32, 0, len(s.sets))
	for _, set := range s.sets {
		up := s.next(set, busy)
		if up < 0 {
			continue
		}
		s.asked[up], busy[up] = true, true
		ups = append(ups, up)
	}
	s.g.probe(ctx, s.layout, ups, s.deadline, func(id uint64, up int32) { s.open[id] = up }, s.box.put)
}

// next returns the replica of a shard to ask, or -1.
func (s *sweep) next(set []int32, busy map[int32]bool) int32 {
	first := s.g.startOf(len(set))
	next := int32(-1)
	for k := range set {
		up := set[(first+k)%len(set)]
		if busy[up] || s.isKnown(up) {
			return -1
		}
		if !s.asked[up] && s.layout.IsUsable(int(up)) && next < 0 {
			next = up
		}
	}
	return next
}

// isKnown reports whether an upstream can be used and has told what it holds.
func (s *sweep) isKnown(up int32) bool {
	if !s.layout.IsUsable(int(up)) {
		return false
	}
	r := s.layout.upstreams[up].Read(time.Now())
	return r.VersionsKnown && !r.BackingOff
}

// told keeps what a probe has told. An upstream that answers one ends its back-off.
func (l *layout) told(up int32, res *exchanger.Result) {
	if res.Newest == 0 {
		return
	}
	u := l.upstreams[up]
	u.SetVersions(res.Oldest, res.Newest, time.Now())
	u.ResetBackoff()
}

// probe asks upstreams for the versions that they hold; opened is told each
// task's ID before any is sent.
func (g *Gatherer) probe(ctx context.Context, l *layout, ups []int32, deadline time.Time, opened func(id uint64, up int32), deliver func(exchanger.Result)) {
	byOwner := make(map[int][]exchanger.Task)
	for _, up := range ups {
		u := &l.Upstreams[up]
		id := g.ids.Add(1)
		opened(id, up)
		byOwner[u.Owner] = append(byOwner[u.Owner], exchanger.Task{
			ID:        id,
			Request:   "probe-" + strconv.FormatUint(id, 36),
			Service:   l.Service.Name,
			Upstream:  u.Name,
			Shard:     l.ShardOf(up),
			Remaining: time.Until(deadline),
			Priority:  l.Service.Contract.Priority,
		})
	}
	for owner, tasks := range byOwner {
		g.send(ctx, l.Owners[owner], tasks, deliver)
	}
	l.service.metrics.probes.Add(float64(len(ups)))
}

// refresh asks some upstreams, whose versions are old news, in the background.
// Each takes its price from the budget.
func (r *round) refresh() {
	if r.g.cfg.Baseline || !r.layout.service.isRefreshDue(r.start.Sub(r.g.start)) {
		return
	}
	var ups []int32
	n := len(r.layout.upstreams)
	first := r.g.startOf(n)
	for k := range n {
		up := int32((first + k) % n)
		if len(ups) == maxRefreshes {
			break
		}
		if !r.layout.IsUsable(int(up)) || !r.layout.upstreams[up].ClaimProbe(refreshAge, r.start) {
			continue
		}
		if !r.layout.service.hedger.Take() {
			break
		}
		ups = append(ups, up)
	}
	if len(ups) > 0 {
		r.g.refresh(r.layout, ups)
	}
}

// isRefreshDue reports, to one caller, that a look for old versions is due.
func (s *service) isRefreshDue(since time.Duration) bool {
	next := s.refreshAt.Load()
	return int64(since) >= next && s.refreshAt.CompareAndSwap(next, int64(since+refreshEvery))
}

func (g *Gatherer) refresh(l *layout, ups []int32) {
	deadline := time.Now().Add(g.cfg.DiscoverTimeout)
	ctx, cancel := context.WithDeadline(g.ctx, deadline)
	open := make(map[uint64]int32, len(ups))
	box := newMailbox()
	g.wg.Go(func() {
		defer cancel()
		g.probe(ctx, l, ups, deadline, func(id uint64, up int32) { open[id] = up }, box.put)
		for len(open) > 0 {
			select {
			case <-box.ready:
			case <-ctx.Done():
				return
			}
			for _, res := range box.take() {
				if up, ok := open[res.ID]; ok {
					delete(open, res.ID)
					l.told(up, &res)
				}
			}
		}
	})
}
