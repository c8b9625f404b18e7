// Package locator holds an entry daemon's cached state of routes, searchers, daemons and availability zones, and
// publishes it as immutable views.
//
// One goroutine owns the state. The sinks pass it the updates that followers read from the store.
package locator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/relayer"
	"cornelwood.example/internal/route/authorizer"
	"cornelwood.example/internal/route/matcher"
)

// reregisterTime is how long a searcher is kept when its entry is removed during or just after an outage of the
// store. Running searchers register again within about 2 s of the store's return.
const reregisterTime = 2200 * time.Millisecond

// updateQueueLength is the number of updates that can wait for the goroutine that owns the state.
const updateQueueLength = 16

// Locator holds the cached state of an entry daemon. It is a service whose Serve owns the state.
type Locator struct {
	self    declarer.Member
	log     hclog.Logger
	updates chan func()
	view    atomic.Pointer[View]

	matcher    *matcher.Matcher
	authorizer *authorizer.Authorizer
	// routingAt is View.routingAt.
	routingAt   time.Duration
	searchers   map[string]*entry
	closedZones map[string]bool
	members     map[string]declarer.Member
	// openings holds the zones that were brought back, until the searchers are known as of then. awaitsSearchers is true
	// while there is one.
	openings        map[string]opening
	awaitsSearchers atomic.Bool
	// listed, closuresListed and membersListed are true once a list of the searchers, the closed zones or the daemons has been
	// received. Until then nothing is known of them.
	listed, closuresListed, membersListed bool
	revision                              uint64

	rollouts rollouts
	// graceUntil is when removals of entries take effect at once again after an outage of the store.
	graceUntil time.Time
	storeDown  bool
	// heldZones holds the zones that stay out of service although a restored store has no record of it, and until when.
	heldZones map[string]time.Time
	// closuresRevision and membersRevision are the revisions of the last change of each.
	closuresRevision, membersRevision uint64
	// heldMembers holds the daemons that a restored store lacks, and until when they stay.
	heldMembers map[string]time.Time
	// departed holds the searchers that were removed in the last departedTime.
	departed map[string]departure
}

// departure is the removal of a searcher whose process was that of born.
type departure struct {
	born int64
	at   time.Time
}

// entry is a registered searcher.
type entry struct {
	declarer.Searcher
	warmAt time.Time
	// appearedAt is the store's revision of the first entry of this lifetime and version that the daemon has seen.
	appearedAt uint64
	// expiresAt is when a searcher whose entry was removed during or after an outage of the store is removed; zero
	// for one that is registered.
	expiresAt time.Time
	// heldUntil is until when a searcher gets no request because a restored store lists it as it was before it left; zero
	// for any other.
	heldUntil time.Time
}

// New returns a Locator of the daemon self without any state.
func New(self declarer.Member, log hclog.Logger) *Locator {
	l := &Locator{
		self:        self,
		log:         log,
		updates:     make(chan func(), updateQueueLength),
		searchers:   make(map[string]*entry),
		closedZones: make(map[string]bool),
		openings:    make(map[string]opening),
		members:     make(map[string]declarer.Member),
		heldZones:   make(map[string]time.Time),
		heldMembers: make(map[string]time.Time),
		departed:    make(map[string]departure),
	}
	l.view.Store(&View{})
	return l
}

// View returns the current view.
func (l *Locator) View() *View {
	return l.view.Load()
}

// String returns the name of the service for its supervisor.
func (l *Locator) String() string {
	return "locator"
}

// Serve applies updates and publishes views until ctx ends, and returns its error.
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

// expire ends what is kept or held for a time, and returns the time until the next end, 0 when there is none. Nothing ends
// during an outage of the store, in which nobody can register.
func (l *Locator) expire(now time.Time) time.Duration {
	if l.storeDown {
		return 0
	}
	var next time.Duration
	hasExpired := func(at time.Time) bool {
		left := at.Sub(now)
		if left > 0 && (next == 0 || left < next) {
			next = left
		}
		return left <= 0
	}
	l.expireHeld(hasExpired)
	for id, e := range l.searchers {
		if !e.heldUntil.IsZero() && hasExpired(e.heldUntil) {
			e.heldUntil = time.Time{}
			l.log.Info("searcher no longer held back", "searcher", id, "service", e.Service, "draining", e.Draining)
		}
		if !e.expiresAt.IsZero() && hasExpired(e.expiresAt) {
			l.log.Info("searcher removed", "searcher", id, "service", e.Service, "reason", "not registered again after a store outage")
			l.remove(id, e)
		}
	}
	return next
}

// publish replaces the view by one of the current state.
func (l *Locator) publish() {
	v := &View{
		Matcher:    l.matcher,
		Authorizer: l.authorizer,
		routingAt:  l.routingAt,
		services:   make(map[string][]Searcher),
		listed:     l.listed,

		closuresListed: l.closuresListed,
		selfSufficient: &sync.Map{},
		revision:       l.revision,
		members:        slices.Collect(maps.Values(l.members)),
	}
	limits := make(map[string]declarer.ServiceLimits)
	if l.matcher != nil {
		for _, s := range l.matcher.Routing().Services {
			limits[s.Name] = s
		}
	}
	v.gatherers = chooseGatherers(l.members)
	v.gathered = l.gatheredServices(limits)
	memberCounts := l.membersByZone()
	known := l.rollouts.knownRevision()
	v.lostStatuses = l.lostStatuses()
	v.trials, v.awaitsRollouts = l.newTrials(), l.rollouts.isFollowed && !l.rollouts.listed
	awaits := false
	for _, e := range l.searchers {
		if e.Draining || !e.heldUntil.IsZero() || l.closedZones[e.Zone] {
			continue
		}
		admitted := l.admit(e, known)
		awaits = awaits || admitted == awaited
		trial := v.trials[e.Service]
		if admitted < onTrial || admitted == onTrial && (trial == nil || trial.Target != e.Version) {
			continue
		}
		limit := limits[e.Service]
		sameZone, all := max(1, memberCounts[e.Zone]), len(l.members)
		if v.gathered[e.Service] {
			sameZone, all = max(1, len(v.gatherers[e.Zone])), v.GathererCount()
		}
		daemons := all - sameZone
		if e.Zone == l.self.Zone {
			daemons = sameZone
		}
		s := Searcher{
			Searcher: e.Searcher, WarmAt: e.warmAt, Senders: all,
			MaxIdleConns: maxIdleConns(limit.Connections, e.Zone == l.self.Zone, daemons),
		}
		if !l.membersListed && limit.Connections > 0 {
			s.MaxIdleConns = minIdleConns
		}
		if limit.ColdRate > 0 {
			senders := l.members
			if v.gathered[e.Service] {
				senders = byID(v.gatherers)
			}
			s.ColdLimited, s.ColdRate = true, coldShare(limit.ColdRate, e.ID, l.self.ID, senders)
			s.WarmAt = l.warmAt(e)
		}
		if admitted == onTrial {
			trial.Searchers = append(trial.Searchers, s)
			continue
		}
		v.services[e.Service] = append(v.services[e.Service], s)
	}
	sortSearchers(v.trials)
	l.view.Store(v)
	l.rollouts.isAwaited.Store(awaits)
	if awaits && l.rollouts.knownRevision() > known {
		// Confirmed meanwhile, by a call that did not see that a searcher waits for it.
		l.publish()
	}
}

// byID returns the daemons of all zones by their ID.
func byID(zones map[string][]declarer.Member) map[string]declarer.Member {
	out := make(map[string]declarer.Member)
	for _, ms := range zones {
		for _, m := range ms {
			out[m.ID] = m
		}
	}
	return out
}

// membersByZone returns the number of daemons in each zone.
func (l *Locator) membersByZone() map[string]int {
	counts := make(map[string]int)
	for _, m := range l.members {
		counts[m.Zone]++
	}
	return counts
}

// gatheredServices returns the services that are shards of a route and whose queries few daemons gather.
func (l *Locator) gatheredServices(limits map[string]declarer.ServiceLimits) map[string]bool {
	gathered := make(map[string]bool)
	if l.matcher == nil {
		return gathered
	}
	for i := range l.matcher.Routing().Routes {
		for _, s := range l.matcher.Routing().Routes[i].Shards {
			if isGathered(limits[s].Connections, len(l.members)) {
				gathered[s] = true
			}
		}
	}
	return gathered
}

// enqueue passes an update to the goroutine that owns the state.
func (l *Locator) enqueue(update func()) {
	l.updates <- update
}

// Routings returns the sink of desired states.
func (l *Locator) Routings() relayer.Sink[*declarer.Routing] {
	return &routingSink{l}
}

// ConfirmRouting records that the desired states received so far are the store's as of a time of the boot clock. It takes effect
// after them.
func (l *Locator) ConfirmRouting(at time.Duration) {
	l.enqueue(func() { l.routingAt = at })
}

// Searchers returns the sink of searchers.
func (l *Locator) Searchers() relayer.Sink[declarer.Searcher] {
	return &searcherSink{l}
}

// Closures returns the sink of the availability zones that operators have taken out.
func (l *Locator) Closures() relayer.Sink[string] {
	return &closureSink{l}
}

// Members returns the sink of daemons.
func (l *Locator) Members() relayer.Sink[declarer.Member] {
	return &memberSink{l}
}
