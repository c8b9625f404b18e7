package gatherer

import (
	"context"
	"strconv"
	"time"

	"cornelwood.example/internal/contract/exchanger"
)

const (
	// minDiscoveryInterval is the shortest time between two discoveries of a service.
	minDiscoveryInterval = 100 * time.Millisecond
	// minBackgroundDiscoveryInterval is that time when queries can be answered without a discovery.
	minBackgroundDiscoveryInterval = time.Second
	// refreshAge is the age at which an upstream's versions are asked for again.
	refreshAge = 10 * time.Second
	// refreshInterval is the time between two scans for upstreams with stale versions.
	refreshInterval = 50 * time.Millisecond
	// maxRefreshesPerScan bounds the upstreams that one scan refreshes.
	maxRefreshesPerScan = 8
)

// closedChan is a closed channel.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// discovery lets concurrent callers wait for a running discovery; done is closed when it ends.
type discovery struct {
	done chan struct{}
}

// Discover finds out which snapshot versions the upstreams of a service hold. It asks one replica of
// each shard that has no replica with known versions, and then another when that one does not report
// any. The returned channel is closed when the discovery ends, and at once when none is due.
// Concurrent calls for a service share one discovery, and two discoveries are at least
// minDiscoveryInterval apart.
func (g *Gatherer) Discover(name string) <-chan struct{} {
	l, ok := g.layout(g.views.View(), name)
	if !ok {
		return closedChan
	}
	s := l.service
	if !s.isDiscoveryDue(g.start, minDiscoveryInterval) || g.ctx.Err() != nil {
		return closedChan
	}
	d := &discovery{done: make(chan struct{})}
	if !s.discovery.CompareAndSwap(nil, d) {
		if d := s.discovery.Load(); d != nil {
			return d.done
		}
		return closedChan
	}
	g.wg.Go(func() {
		newDiscoveryRun(g, l).run()
		s.discoveredAt.Store(int64(time.Since(g.start)))
		s.discovery.Store(nil)
		close(d.done)
	})
	return d.done
}

// discoverInBackground starts a discovery for shards without known versions while queries are answered
// from the others.
func (g *Gatherer) discoverInBackground(s *service) {
	if s.isDiscoveryDue(g.start, minBackgroundDiscoveryInterval) {
		g.Discover(s.name)
	}
}

// isDiscoveryDue reports whether no discovery ended within the last interval.
func (s *service) isDiscoveryDue(start time.Time, interval time.Duration) bool {
	at := s.discoveredAt.Load()
	return at == 0 || time.Since(start)-time.Duration(at) >= interval
}

// discoveryRun is the state of one discovery.
type discoveryRun struct {
	g        *Gatherer
	layout   *layout
	deadline time.Time
	mailbox  *mailbox
	// replicaSets holds the replicas of each shard of every shard map.
	replicaSets [][]int32
	// asked holds the upstreams that were asked; inFlight maps the IDs of unanswered tasks to their
	// upstreams.
	asked    map[int32]bool
	inFlight map[uint64]int32
}

func newDiscoveryRun(g *Gatherer, l *layout) *discoveryRun {
	return &discoveryRun{
		g:           g,
		layout:      l,
		deadline:    time.Now().Add(g.cfg.DiscoveryTimeout),
		mailbox:     newMailbox(),
		replicaSets: l.ReplicaSets(),
		asked:       make(map[int32]bool),
		inFlight:    make(map[uint64]int32),
	}
}

func (s *discoveryRun) run() {
	ctx, cancel := context.WithDeadline(s.g.ctx, s.deadline)
	defer cancel()
	s.askNext(ctx)
	for len(s.inFlight) > 0 {
		select {
		case <-s.mailbox.ready:
			results := s.mailbox.take()
			for i := range results {
				s.handleResult(&results[i])
			}
			s.askNext(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *discoveryRun) handleResult(res *exchanger.Result) {
	up, ok := s.inFlight[res.ID]
	if !ok {
		return
	}
	delete(s.inFlight, res.ID)
	s.layout.recordVersions(up, res)
}

// askNext asks the next replica of each shard that has neither a replica with known versions nor a
// task in flight.
func (s *discoveryRun) askNext(ctx context.Context) {
	busy := make(map[int32]bool, len(s.inFlight))
	for _, up := range s.inFlight {
		busy[up] = true
	}
	ups := make([]int32, 0, len(s.replicaSets))
	for _, set := range s.replicaSets {
		up := s.nextReplica(set, busy)
		if up < 0 {
			continue
		}
		s.asked[up], busy[up] = true, true
		ups = append(ups, up)
	}
	s.g.probe(ctx, s.layout, ups, s.deadline, func(id uint64, up int32) { s.inFlight[id] = up }, s.mailbox.put)
}

// nextReplica returns the replica of a shard to ask, or -1 when none is to be asked.
func (s *discoveryRun) nextReplica(set []int32, busy map[int32]bool) int32 {
	first := s.g.randomIndex(len(set))
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

// isKnown reports whether an upstream is usable, has reported its versions and is not backing off.
func (s *discoveryRun) isKnown(up int32) bool {
	if !s.layout.IsUsable(int(up)) {
		return false
	}
	r := s.layout.upstreams[up].Read(time.Now())
	return r.VersionsKnown && !r.BackingOff
}

// recordVersions records the versions that an upstream reported in reply to a probe. A reply ends the
// upstream's backoff.
func (l *layout) recordVersions(up int32, res *exchanger.Result) {
	if res.Newest == 0 {
		return
	}
	u := l.upstreams[up]
	u.SetVersions(res.Oldest, res.Newest, time.Now())
	u.ResetBackoff()
}

// probe asks upstreams for the versions that they hold. It calls register with the ID of each task
// before any is sent.
func (g *Gatherer) probe(ctx context.Context, l *layout, ups []int32, deadline time.Time, register func(id uint64, up int32), deliver func(exchanger.Result)) {
	byOwner := make(map[int][]exchanger.Task)
	for _, up := range ups {
		u := &l.Upstreams[up]
		id := g.lastID.Add(1)
		register(id, up)
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

// refreshStale probes some upstreams with stale versions in the background. Each probe takes a token
// from the retry budget.
func (r *round) refreshStale() {
	if r.g.cfg.Baseline || !r.layout.service.isRefreshDue(r.start.Sub(r.g.start)) {
		return
	}
	var ups []int32
	n := len(r.layout.upstreams)
	first := r.g.randomIndex(n)
	for k := range n {
		up := int32((first + k) % n)
		if len(ups) == maxRefreshesPerScan {
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
		r.g.refreshVersions(r.layout, ups)
	}
}

// isRefreshDue reports whether a scan for stale versions is due. It returns true to one caller for
// each refreshInterval.
func (s *service) isRefreshDue(since time.Duration) bool {
	next := s.nextRefreshAt.Load()
	return int64(since) >= next && s.nextRefreshAt.CompareAndSwap(next, int64(since+refreshInterval))
}

// refreshVersions probes upstreams in the background and records the versions that they report.
func (g *Gatherer) refreshVersions(l *layout, ups []int32) {
	deadline := time.Now().Add(g.cfg.DiscoveryTimeout)
	ctx, cancel := context.WithDeadline(g.ctx, deadline)
	inFlight := make(map[uint64]int32, len(ups))
	box := newMailbox()
	g.wg.Go(func() {
		defer cancel()
		g.probe(ctx, l, ups, deadline, func(id uint64, up int32) { inFlight[id] = up }, box.put)
		for len(inFlight) > 0 {
			select {
			case <-box.ready:
			case <-ctx.Done():
				return
			}
			for _, res := range box.take() {
				if up, ok := inFlight[res.ID]; ok {
					delete(inFlight, res.ID)
					l.recordVersions(up, &res)
				}
			}
		}
	})
}
