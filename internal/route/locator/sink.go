package locator

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/route/authorizer"
	"cornelwood.example/internal/route/matcher"
)

// routingSink receives desired states.
type routingSink struct {
	l *Locator
}

// Replace applies the listed desired states.
func (s *routingSink) Replace(items []follower.Item[*declarer.Routing], _ uint64) {
	s.l.enqueue(func() {
		for _, it := range items {
			s.l.applyRouting(it)
		}
	})
}

// Apply applies changed desired states. A removal is ignored: the last desired state stays in effect.
func (s *routingSink) Apply(changes []follower.Change[*declarer.Routing], _ uint64) {
	s.l.enqueue(func() {
		for _, c := range changes {
			if !c.Removed {
				s.l.applyRouting(c.Item)
			}
		}
	})
}

// Confirm does nothing: a desired state has a version of its own.
func (s *routingSink) Confirm(uint64) {}

// Lost logs the start of an outage of the store.
func (s *routingSink) Lost(err error) {
	s.l.log.Warn("store unreachable", "kind", "routing", "error", err)
}

// Regained logs the end of an outage of the store.
func (s *routingSink) Regained(after time.Duration) {
	s.l.log.Info("store reachable again", "kind", "routing", "after", after)
}

// applyRouting applies a desired state if its version is higher than the current one, so that one that arrives late
// never reverts a change.
func (l *Locator) applyRouting(it follower.Item[*declarer.Routing]) {
	if it.Err != nil {
		l.log.Warn("invalid desired state ignored", "object", it.Name, "revision", it.Revision, "error", it.Err)
		return
	}
	if l.matcher != nil && it.Value.Version <= l.matcher.Routing().Version {
		return
	}
	for i := range it.Value.Routes {
		if err := it.Value.Routes[i].Check(); err != nil {
			l.log.Warn("invalid route ignored", "route", it.Value.Routes[i].Name, "version", it.Value.Version, "error", err)
		}
	}
	l.matcher = matcher.New(it.Value)
	l.authorizer = authorizer.New(it.Value, l.authorizer)
	l.log.Info("desired state applied", "version", it.Value.Version, "routes", len(it.Value.Routes), "accounts", len(it.Value.Accounts), "revision", it.Revision)
	for account, n := range l.authorizer.Withdrawals(it.Value.Version) {
		l.log.Info("account lost keys", "account", account, "keys", n, "version", it.Value.Version, "revision", it.Revision)
	}
}

// searcherSink receives searchers.
type searcherSink struct {
	l *Locator
}

// Replace registers the listed searchers and deregisters the others.
func (s *searcherSink) Replace(items []follower.Item[declarer.Searcher], revision uint64) {
	s.l.enqueue(func() {
		listed := make(map[string]bool, len(items))
		for _, it := range items {
			listed[it.Name] = true
			s.l.register(it)
		}
		for id := range s.l.searchers {
			if !listed[id] {
				s.l.deregister(id)
			}
		}
		s.l.listed = true
		s.l.revision = revision
		s.l.log.Info("searchers listed", "count", len(s.l.searchers), "revision", revision)
	})
}

// Apply registers and deregisters searchers.
func (s *searcherSink) Apply(changes []follower.Change[declarer.Searcher], revision uint64) {
	if len(changes) == 0 {
		return
	}
	s.l.enqueue(func() {
		restored := isRestored(s.l.revision, revision)
		if restored {
			s.l.restoreSearchers(revision)
		}
		for _, c := range changes {
			if c.Removed {
				s.l.deregister(c.Name)
				continue
			}
			old := s.l.searchers[c.Name]
			s.l.register(c.Item)
			if restored {
				s.l.holdRevived(c.Item, old)
			}
		}
		s.l.revision = revision
	})
}

// Confirm records that the searchers are known up to a revision, if a zone waits for that.
func (s *searcherSink) Confirm(revision uint64) {
	if s.l.awaitsSearchers.Load() {
		s.l.enqueue(func() { s.l.confirmSearchers(revision) })
	}
}

// Lost records the start of an outage of the store: entries removed from now on may belong to running searchers.
func (s *searcherSink) Lost(err error) {
	s.l.enqueue(func() {
		s.l.storeDown = true
		s.l.log.Warn("store unreachable", "kind", "searchers", "error", err)
	})
}

// Regained records the end of an outage of the store and gives searchers reregisterTime to register again.
func (s *searcherSink) Regained(after time.Duration) {
	s.l.enqueue(func() {
		s.l.storeDown = false
		s.l.extendGrace()
		s.l.log.Info("store reachable again", "kind", "searchers", "after", after)
	})
}

// register adds or updates a searcher. An entry that cannot be read removes the searcher of its name.
func (l *Locator) register(it follower.Item[declarer.Searcher]) {
	if it.Err != nil {
		l.log.Warn("searcher not used: its entry is invalid", "searcher", it.Name, "revision", it.Revision, "error", it.Err)
		delete(l.searchers, it.Name)
		return
	}
	old, known := l.searchers[it.Name]
	e := &entry{Searcher: it.Value, warmAt: time.Now().Add(it.Value.ColdFor), appearedAt: it.Revision}
	if known && old.Version == e.Version && old.Born == e.Born && old.Service == e.Service {
		e.appearedAt = old.appearedAt
	}
	l.searchers[it.Name] = e
	switch {
	case !known && l.listed:
		l.log.Info("searcher added", "searcher", it.Name, "service", e.Service, "zone", e.Zone, "address", e.Addr, "version", e.Version, "cold", e.ColdFor, "revision", it.Revision)
	case known && (old.Draining != e.Draining || old.Addr != e.Addr || old.Service != e.Service):
		l.log.Info("searcher changed", "searcher", it.Name, "service", e.Service, "draining", e.Draining, "address", e.Addr, "revision", it.Revision)
	}
}

// deregister removes a searcher whose entry was removed. During an outage of the store and for reregisterTime after
// it, a searcher that was not draining is kept, and removed later unless it registers again.
func (l *Locator) deregister(id string) {
	e, known := l.searchers[id]
	if !known || !e.expiresAt.IsZero() {
		return
	}
	now := time.Now()
	if !e.Draining && (l.storeDown || now.Before(l.graceUntil)) {
		e.expiresAt = l.graceUntil
		if l.storeDown {
			e.expiresAt = now.Add(reregisterTime)
		}
		l.log.Info("searcher kept for now: its entry was removed during or after a store outage", "searcher", id, "service", e.Service)
		return
	}
	l.log.Info("searcher removed", "searcher", id, "service", e.Service, "reason", "its entry was removed")
	l.remove(id, e)
}

// closureSink receives the availability zones that operators have taken out.
type closureSink struct {
	l *Locator
}

// Replace closes the listed zones and reopens the others.
func (s *closureSink) Replace(items []follower.Item[string], revision uint64) {
	s.l.enqueue(func() {
		s.l.closuresRevision, s.l.closuresListed = revision, true
		closed := make(map[string]bool)
		for _, it := range items {
			if it.Err == nil {
				closed[it.Name] = true
			}
		}
		s.l.setClosedZones(closed)
	})
}

// Apply closes and reopens zones, as of a revision.
func (s *closureSink) Apply(changes []follower.Change[string], revision uint64) {
	if len(changes) == 0 {
		return
	}
	s.l.enqueue(func() {
		closed := make(map[string]bool)
		for zone := range s.l.closedZones {
			closed[zone] = true
		}
		restored := isRestored(s.l.closuresRevision, revision)
		s.l.closuresRevision = revision
		var opened, held []string
		for _, c := range changes {
			if c.Removed && restored {
				held = append(held, c.Name)
				continue
			}
			delete(s.l.heldZones, c.Name)
			if c.Removed {
				delete(closed, c.Name)
				opened = append(opened, c.Name)
				continue
			}
			closed[c.Name] = true
		}
		s.l.holdZones(held, revision)
		s.l.setClosedZones(closed)
		s.l.open(opened, revision)
	})
}

// Confirm does nothing: zones count as closed or open by the last change.
func (s *closureSink) Confirm(uint64) {}

// Lost logs the start of an outage of the store.
func (s *closureSink) Lost(err error) {
	s.l.log.Warn("store unreachable", "kind", "closures", "error", err)
}

// Regained logs the end of an outage of the store.
func (s *closureSink) Regained(after time.Duration) {
	s.l.log.Info("store reachable again", "kind", "closures", "after", after)
}

func (l *Locator) setClosedZones(closed map[string]bool) {
	for zone := range closed {
		if !l.closedZones[zone] {
			l.log.Info("availability zone taken out", "zone", zone)
		}
	}
	for zone := range l.closedZones {
		if !closed[zone] {
			l.log.Info("availability zone brought back", "zone", zone)
		}
	}
	l.closedZones = closed
}

// memberSink receives daemons.
type memberSink struct {
	l *Locator
}

// Replace replaces all members by the listed ones.
func (s *memberSink) Replace(items []follower.Item[declarer.Member], revision uint64) {
	s.l.enqueue(func() {
		s.l.membersRevision, s.l.membersListed = revision, true
		clear(s.l.members)
		for _, it := range items {
			s.l.addMember(it)
		}
	})
}

// Apply adds and removes members. Those that a restored store lacks stay until they have had time to register again.
func (s *memberSink) Apply(changes []follower.Change[declarer.Member], revision uint64) {
	if len(changes) == 0 {
		return
	}
	s.l.enqueue(func() {
		restored := isRestored(s.l.membersRevision, revision)
		s.l.membersRevision = revision
		for _, c := range changes {
			if c.Removed && restored {
				s.l.heldMembers[c.Name] = time.Now().Add(reregisterTime)
				continue
			}
			delete(s.l.heldMembers, c.Name)
			if c.Removed {
				delete(s.l.members, c.Name)
				continue
			}
			s.l.addMember(c.Item)
		}
	})
}

// Confirm does nothing.
func (s *memberSink) Confirm(uint64) {}

// Lost does nothing: a daemon that fails during an outage of the store is detected because it stops responding.
func (s *memberSink) Lost(error) {}

// Regained does nothing.
func (s *memberSink) Regained(time.Duration) {}

func (l *Locator) addMember(it follower.Item[declarer.Member]) {
	if it.Err != nil {
		l.log.Warn("invalid daemon entry ignored", "daemon", it.Name, "error", it.Err)
		return
	}
	l.members[it.Name] = it.Value
}
