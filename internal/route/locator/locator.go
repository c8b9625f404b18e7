// Package locator holds what an entry daemon believes about routes, searchers
// and availability zones, and publishes it as immutable views.
//
// One goroutine owns the state. Followers of the store hand their updates to it.
package locator

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/relayer"
	"cornelwood.example/internal/route/matcher"
)

// reinstateTime is how long an entry that vanished around an outage of the store
// still counts: living searchers are back in the store about 2 s after it is.
const reinstateTime = 2200 * time.Millisecond

// updateBacklog is the number of updates that wait for the control goroutine.
const updateBacklog = 16

// Locator is the control state of an entry daemon, and the service that owns it.
type Locator struct {
	self    declarer.Member
	log     hclog.Logger
	updates chan func()
	view    atomic.Pointer[View]

	matcher   *matcher.Matcher
	searchers map[string]*entry
	closed    map[string]bool
	members   map[string]declarer.Member
	listed    bool
	revision  uint64
	// trusted is when entries that vanish count as gone again, after an outage.
	trusted time.Time
	down    bool
}

// entry is one known searcher.
type entry struct {
	declarer.Searcher
	warmAt time.Time
	// goneAt is when an entry that vanished around an outage is given up; zero for
	// one that the store holds.
	goneAt time.Time
}

// New returns a Locator of the daemon self that knows nothing.
func New(self declarer.Member, log hclog.Logger) *Locator {
	l := &Locator{
		self:      self,
		log:       log,
		updates:   make(chan func(), updateBacklog),
		searchers: make(map[string]*entry),
		closed:    make(map[string]bool),
		members:   make(map[string]declarer.Member),
	}
	l.view.Store(&View{})
	return l
}

// View returns the current view.
func (l *Locator) View() *View {
	return l.view.Load()
}

// String names the service for its supervisor.
func (l *Locator) String() string {
	return "locator"
}

// Serve owns the state until ctx ends.
func (l *Locator) Serve(ctx context.Context) error {
	var expiry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case update := <-l.updates:
			update()
		case <-expiry:
		}
		expiry = nil
		if next := l.expire(time.Now()); next > 0 {
			expiry = time.After(next)
		}
		l.publish()
	}
}

// expire drops the entries whose time has come and returns the time until the
// next, 0 when there is none.
func (l *Locator) expire(now time.Time) time.Duration {
	var next time.Duration
	for id, e := range l.searchers {
		if e.goneAt.IsZero() || l.down {
			continue
		}
		left := e.goneAt.Sub(now)
		if left <= 0 {
			l.log.Info("searcher gone", "searcher", id, "service", e.Service, "reason", "not registered again after the store's outage")
			delete(l.searchers, id)
			continue
		}
		if next == 0 || left < next {
			next = left
		}
	}
	return next
}

func (l *Locator) publish() {
	v := &View{
		Matcher:  l.matcher,
		services: make(map[string][]Searcher),
		listed:   l.listed,
		revision: l.revision,
		members:  slices.Collect(maps.Values(l.members)),
	}
	bounds := make(map[string]declarer.ServiceLimits)
	if l.matcher != nil {
		for _, s := range l.matcher.Routing().Services {
			bounds[s.Name] = s
		}
	}
	own := l.neighbours()
	for _, e := range l.searchers {
		if e.Draining || l.closed[e.Zone] {
			continue
		}
		b := bounds[e.Service]
		daemons := len(l.members) - own
		if e.Zone == l.self.Zone {
			daemons = own
		}
		s := Searcher{
			Searcher: e.Searcher, WarmAt: e.warmAt,
			MaxIdleConns: idleBound(b.Connections, e.Zone == l.self.Zone, daemons),
		}
		if b.ColdRate > 0 {
			s.ColdLimited, s.ColdRate = true, coldShare(b.ColdRate, e.ID, l.self.ID, l.members)
		}
		v.services[e.Service] = append(v.services[e.Service], s)
	}
	l.view.Store(v)
}

// neighbours returns the number of daemons of this daemon's zone, itself included.
func (l *Locator) neighbours() int {
	n := 0
	for _, m := range l.members {
		if m.Zone == l.self.Zone {
			n++
		}
	}
	return max(1, n)
}

// do runs an update on the control goroutine.
func (l *Locator) do(update func()) {
	l.updates <- update
}

// Routings returns the sink of desired states.
func (l *Locator) Routings() relayer.Sink[*declarer.Routing] {
	return &routingSink{l}
}

// Searchers returns the sink of searchers.
func (l *Locator) Searchers() relayer.Sink[declarer.Searcher] {
	return &searcherSink{l}
}

// Closures returns the sink of availability zones taken out.
func (l *Locator) Closures() relayer.Sink[string] {
	return &closureSink{l}
}

// Members returns the sink of daemons.
func (l *Locator) Members() relayer.Sink[declarer.Member] {
	return &memberSink{l}
}
