package locator

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/route/matcher"
)

// routingSink takes desired states.
type routingSink struct {
	l *Locator
}

// Replace adopts the desired state of a list.
func (s *routingSink) Replace(items []follower.Item[*declarer.Routing], _ uint64) {
	s.l.do(func() {
		for _, it := range items {
			s.l.adopt(it)
		}
	})
}

// Apply adopts desired states. A removal changes nothing: the last one holds.
func (s *routingSink) Apply(changes []follower.Change[*declarer.Routing], _ uint64) {
	s.l.do(func() {
		for _, c := range changes {
			if !c.Removed {
				s.l.adopt(c.Item)
			}
		}
	})
}

// Lost logs that desired states cannot be read.
func (s *routingSink) Lost(err error) {
	s.l.log.Warn("store lost", "kind", "routing", "error", err)
}

// Regained logs that they can be read again.
func (s *routingSink) Regained(after time.Duration) {
	s.l.log.Info("store regained", "kind", "routing", "after", after)
}

// adopt takes a desired state over when its version is higher than the one in
// force, so that a late answer never takes anything back.
func (l *Locator) adopt(it follower.Item[*declarer.Routing]) {
	if it.Err != nil {
		l.log.Warn("desired state not readable", "object", it.Name, "revision", it.Revision, "error", it.Err)
		return
	}
	if l.matcher != nil && it.Value.Version <= l.matcher.Routing().Version {
		return
	}
	for i := range it.Value.Routes {
		if err := it.Value.Routes[i].Check(); err != nil {
			l.log.Warn("route not usable", "route", it.Value.Routes[i].Name, "version", it.Value.Version, "error", err)
		}
	}
	l.matcher = matcher.New(it.Value)
	l.log.Info("desired state in force", "version", it.Value.Version, "routes", len(it.Value.Routes), "revision", it.Revision)
}

// searcherSink takes searchers.
type searcherSink struct {
	l *Locator
}

// Replace takes the whole list over; known searchers that it lacks have vanished.
func (s *searcherSink) Replace(items []follower.Item[declarer.Searcher], revision uint64) {
	s.l.do(func() {
		listed := make(map[string]bool, len(items))
		for _, it := range items {
			listed[it.Name] = true
			s.l.register(it)
		}
		for id := range s.l.searchers {
			if !listed[id] {
				s.l.vanish(id)
			}
		}
		s.l.listed = true
		s.l.revision = revision
		s.l.log.Info("searchers listed", "count", len(s.l.searchers), "revision", revision)
	})
}

// Apply takes changes over.
func (s *searcherSink) Apply(changes []follower.Change[declarer.Searcher], revision uint64) {
	if len(changes) == 0 {
		return
	}
	s.l.do(func() {
		for _, c := range changes {
			if c.Removed {
				s.l.vanish(c.Name)
				continue
			}
			s.l.register(c.Item)
		}
		s.l.revision = revision
	})
}

// Lost notes that the store may be away: entries that vanish now prove nothing.
func (s *searcherSink) Lost(err error) {
	s.l.do(func() {
		s.l.down = true
		s.l.log.Warn("store lost", "kind", "searchers", "error", err)
	})
}

// Regained gives searchers the time to register again.
func (s *searcherSink) Regained(after time.Duration) {
	s.l.do(func() {
		s.l.down = false
		s.l.trusted = time.Now().Add(reinstateTime)
		for _, e := range s.l.searchers {
			if !e.goneAt.IsZero() {
				e.goneAt = s.l.trusted
			}
		}
		s.l.log.Info("store regained", "kind", "searchers", "after", after)
	})
}

// register takes an entry over. An entry that names no searcher is left out, and
// takes out the searcher that its name stood for.
func (l *Locator) register(it follower.Item[declarer.Searcher]) {
	if it.Err != nil {
		l.log.Warn("searcher's entry not usable", "searcher", it.Name, "revision", it.Revision, "error", it.Err)
		delete(l.searchers, it.Name)
		return
	}
	was, known := l.searchers[it.Name]
	e := &entry{Searcher: it.Value, warmAt: time.Now().Add(it.Value.ColdFor)}
	l.searchers[it.Name] = e
	switch {
	case !known && l.listed:
		l.log.Info("searcher found", "searcher", it.Name, "service", e.Service, "zone", e.Zone, "address", e.Addr, "cold", e.ColdFor, "revision", it.Revision)
	case known && (was.Draining != e.Draining || was.Addr != e.Addr || was.Service != e.Service):
		l.log.Info("searcher changed", "searcher", it.Name, "service", e.Service, "draining", e.Draining, "address", e.Addr, "revision", it.Revision)
	}
}

// vanish takes a searcher out: at once in calm times and when it was leaving
// anyhow, after reinstateTime around an outage of the store.
func (l *Locator) vanish(id string) {
	e, known := l.searchers[id]
	if !known || !e.goneAt.IsZero() {
		return
	}
	now := time.Now()
	if !e.Draining && (l.down || now.Before(l.trusted)) {
		e.goneAt = l.trusted
		if l.down {
			e.goneAt = now.Add(reinstateTime)
		}
		l.log.Info("searcher's entry vanished around an outage of the store", "searcher", id, "service", e.Service)
		return
	}
	l.log.Info("searcher gone", "searcher", id, "service", e.Service, "reason", "its entry was removed")
	delete(l.searchers, id)
}

// closureSink takes availability zones that are out.
type closureSink struct {
	l *Locator
}

// Replace takes the whole list over.
func (s *closureSink) Replace(items []follower.Item[string], _ uint64) {
	s.l.do(func() {
		closed := make(map[string]bool)
		for _, it := range items {
			if it.Err == nil {
				closed[it.Name] = true
			}
		}
		s.l.closeZones(closed)
	})
}

// Apply takes changes over.
func (s *closureSink) Apply(changes []follower.Change[string], _ uint64) {
	if len(changes) == 0 {
		return
	}
	s.l.do(func() {
		closed := make(map[string]bool)
		for zone := range s.l.closed {
			closed[zone] = true
		}
		for _, c := range changes {
			if c.Removed {
				delete(closed, c.Name)
				continue
			}
			closed[c.Name] = true
		}
		s.l.closeZones(closed)
	})
}

// Lost logs that closures cannot be read.
func (s *closureSink) Lost(err error) {
	s.l.log.Warn("store lost", "kind", "closures", "error", err)
}

// Regained logs that they can be read again.
func (s *closureSink) Regained(after time.Duration) {
	s.l.log.Info("store regained", "kind", "closures", "after", after)
}

func (l *Locator) closeZones(closed map[string]bool) {
	for zone := range closed {
		if !l.closed[zone] {
			l.log.Info("availability zone taken out", "zone", zone)
		}
	}
	for zone := range l.closed {
		if !closed[zone] {
			l.log.Info("availability zone back", "zone", zone)
		}
	}
	l.closed = closed
}

// memberSink takes daemons.
type memberSink struct {
	l *Locator
}

// Replace takes the whole list over.
func (s *memberSink) Replace(items []follower.Item[declarer.Member], _ uint64) {
	s.l.do(func() {
		clear(s.l.members)
		for _, it := range items {
			s.l.join(it)
		}
	})
}

// Apply takes changes over.
func (s *memberSink) Apply(changes []follower.Change[declarer.Member], _ uint64) {
	s.l.do(func() {
		for _, c := range changes {
			if c.Removed {
				delete(s.l.members, c.Name)
				continue
			}
			s.l.join(c.Item)
		}
	})
}

// Lost does nothing: a daemon that is gone is noticed by its silence.
func (s *memberSink) Lost(error) {}

// Regained does nothing.
func (s *memberSink) Regained(time.Duration) {}

func (l *Locator) join(it follower.Item[declarer.Member]) {
	if it.Err != nil {
		l.log.Warn("daemon's record not usable", "daemon", it.Name, "error", it.Err)
		return
	}
	l.members[it.Name] = it.Value
}
