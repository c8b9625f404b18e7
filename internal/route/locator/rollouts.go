package locator

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/control/relayer"
)

// rollouts is the cached state of the roll-outs, as far as the Locator follows them. The goroutine that owns the Locator's
// state owns it, but for the atomic fields.
type rollouts struct {
	// isFollowed is true once Rollouts has been called: without it, versions do not matter. It is set before Serve.
	isFollowed bool
	// listed is true once a list has been received, and revision the store's revision that orders is known to.
	listed   bool
	revision uint64
	orders   map[string]*order
	// faulty holds the names of the orders that cannot be read.
	faulty map[string]bool
	// accepted holds the versions, by service, that no order restricted when their searchers appeared.
	accepted map[string]map[string]bool
	// withdrawn holds the versions, by service, whose order went away undecided or after it was rolled back, each with the
	// revision by which that happened.
	withdrawn map[string]map[string]uint64

	// queued is the number of updates that wait for the goroutine, confirmed the revision known by the last one.
	queued    atomic.Int64
	confirmed atomic.Uint64
	// isAwaited is true while a searcher waits for the list to be known as of its entry.
	isAwaited atomic.Bool
}

// order is an order to roll out a version, as this daemon knows it.
type order struct {
	declarer.Rollout
	revision uint64
	// learnedAt is when this daemon learned of the order, and movedAt of its decision, zero before.
	learnedAt, movedAt time.Time
	// isVetoed is true when the deciding daemon has told that the version is bad.
	isVetoed bool
	// since is the revision by which a completed order counts as later than a searcher: that of its status, in the era in which
	// that became known here.
	since uint64
	// behindSince is since when the store has an earlier status than the one known here, because it was restored from a copy;
	// zero while it has that one.
	behindSince time.Time
	// heldUntil is until when an order stays that a restored store lacks; zero for any other.
	heldUntil time.Time
}

// Trial is a roll-out that is running. It is immutable.
type Trial struct {
	declarer.Rollout
	// Revision is that of the order or of its status, whichever was written last.
	Revision uint64
	// LearnedAt is when this daemon learned of the order, and MovedAt of the decision that the version is good.
	LearnedAt, MovedAt time.Time
	// IsVetoed is true when the deciding daemon has told that the version is bad.
	IsVetoed bool
	// Searchers are those of the version. View.Searchers has the others.
	Searchers []Searcher
}

// Trial returns the roll-out of a service that is running, nil when there is none.
func (v *View) Trial(service string) *Trial {
	return v.trials[service]
}

// Trials returns all roll-outs that are running, by service. The map must not be changed.
func (v *View) Trials() map[string]*Trial {
	return v.trials
}

// Rollouts returns the sink of roll-outs. From then on, the searchers of a version that the Locator cannot know to be
// unrestricted are left out. Call it before Serve.
func (l *Locator) Rollouts() relayer.Sink[declarer.Rollout] {
	l.rollouts.isFollowed = true
	l.rollouts.orders = make(map[string]*order)
	l.rollouts.faulty = make(map[string]bool)
	l.rollouts.accepted = make(map[string]map[string]bool)
	l.rollouts.withdrawn = make(map[string]map[string]uint64)
	return &rolloutSink{l}
}

// rolloutSink receives roll-outs.
type rolloutSink struct {
	l *Locator
}

// Replace replaces all roll-outs by the listed ones.
func (s *rolloutSink) Replace(items []follower.Item[declarer.Rollout], revision uint64) {
	s.enqueue(revision, func(r *rollouts) {
		listed := make(map[string]bool, len(items))
		for _, it := range items {
			listed[it.Name] = true
			s.l.applyOrder(it)
		}
		for name := range r.orders {
			if !listed[name] {
				s.l.withdraw(name, revision)
			}
		}
		for name := range r.faulty {
			if !listed[name] {
				delete(r.faulty, name)
			}
		}
		r.listed = true
	})
}

// Apply applies changed roll-outs.
func (s *rolloutSink) Apply(changes []follower.Change[declarer.Rollout], revision uint64) {
	s.enqueue(revision, func(r *rollouts) {
		restored := isRestored(r.revision, revision)
		for _, c := range changes {
			if c.Removed && restored && r.orders[c.Name] != nil {
				s.l.holdOrder(r.orders[c.Name], revision)
				continue
			}
			if c.Removed {
				s.l.withdraw(c.Name, revision)
				delete(r.faulty, c.Name)
				continue
			}
			s.l.applyOrder(c.Item)
		}
	})
}

func (s *rolloutSink) enqueue(revision uint64, update func(r *rollouts)) {
	r := &s.l.rollouts
	r.queued.Add(1)
	s.l.enqueue(func() {
		update(r)
		r.revision = max(r.revision, revision)
		r.queued.Add(-1)
	})
}

// Confirm records the revision that the roll-outs are known to. It publishes a view only if a searcher waits for it.
func (s *rolloutSink) Confirm(revision uint64) {
	s.l.rollouts.confirmed.Store(revision)
	if s.l.rollouts.isAwaited.Load() {
		s.l.enqueue(func() {})
	}
}

// Lost logs the start of an outage of the store.
func (s *rolloutSink) Lost(err error) {
	s.l.log.Warn("store unreachable", "kind", "rollouts", "error", err)
}

// Regained logs the end of an outage of the store.
func (s *rolloutSink) Regained(after time.Duration) {
	s.l.log.Info("store reachable again", "kind", "rollouts", "after", after)
}

// Notice is what the deciding daemon tells the others of a roll-out beside the store.
type Notice struct {
	Rollout declarer.Rollout
	// Revision is that of the status if it has been written, and 0 for a veto: the version is bad, but that may not have
	// been written yet.
	Revision uint64
}

// Notify applies a notice of the deciding daemon. Any goroutine may call it.
func (l *Locator) Notify(n *Notice) {
	l.enqueue(func() {
		o := l.rollouts.orders[n.Rollout.Name]
		if o == nil || o.Target != n.Rollout.Target || o.IsFinal() {
			return
		}
		if n.Revision > o.revision {
			l.applyOrder(follower.Item[declarer.Rollout]{Name: n.Rollout.Name, Revision: n.Revision, Value: n.Rollout})
			return
		}
		if n.Revision == 0 && !o.isVetoed {
			o.isVetoed = true
			l.log.Warn("version gets no more requests: the deciding daemon found it bad", "rollout", o.Name, "service", o.Service,
				"target", o.Target, "reason", n.Rollout.Reason, "revision", o.revision)
		}
	})
}

// applyOrder adds or changes a roll-out. One that cannot be read makes its service accept no further versions.
func (l *Locator) applyOrder(it follower.Item[declarer.Rollout]) {
	r := &l.rollouts
	if it.Err != nil {
		l.log.Warn("invalid roll-out: the service of its name gets no new versions", "rollout", it.Name, "revision", it.Revision, "error", it.Err)
		r.faulty[it.Name] = true
		l.withdraw(it.Name, it.Revision)
		return
	}
	delete(r.faulty, it.Name)
	old := r.orders[it.Name]
	if old != nil && it.Revision <= old.revision {
		return
	}
	o := &order{Rollout: it.Value, revision: it.Revision, learnedAt: time.Now(), since: it.Revision}
	switch {
	case old == nil:
	case (isRestored(old.revision, it.Revision) || !old.behindSince.IsZero()) && old.Service == o.Service && old.Target == o.Target:
		o.learnedAt, o.movedAt, o.isVetoed = old.learnedAt, old.movedAt, old.isVetoed
		l.keepStatus(o, old)
	case old.Service != o.Service || old.Target != o.Target || old.IsFinal() && !o.IsFinal():
		// Another order, or the same one given again after the object was created anew.
		l.withdraw(it.Name, it.Revision)
	default:
		o.learnedAt, o.movedAt, o.isVetoed = old.learnedAt, old.movedAt, old.isVetoed
		if old.State == declarer.RolloutCompleted && o.State == declarer.RolloutCompleted {
			// Written again: searchers that appeared after the completion stay.
			o.since = old.since
		}
	}
	if o.Moving && o.movedAt.IsZero() {
		o.movedAt = time.Now()
	}
	if !o.Moving {
		o.movedAt = time.Time{}
	}
	r.orders[it.Name] = o
	delete(r.withdrawn[o.Service], o.Target)
	delete(r.accepted[o.Service], o.Target)
	if o.State == declarer.RolloutCompleted {
		add(r.accepted, o.Service, o.Target, true)
	}
	l.log.Info("roll-out changed", "rollout", o.Name, "service", o.Service, "target", o.Target, "limit", o.Limit,
		"state", o.State, "moving", o.Moving, "reason", o.Reason, "revision", o.revision, "behind", !o.behindSince.IsZero())
}

// withdraw removes a roll-out, as of a revision. The searchers of its version that are there stay without requests unless
// it was completed: nobody has found the version good.
func (l *Locator) withdraw(name string, revision uint64) {
	o := l.rollouts.orders[name]
	if o == nil {
		return
	}
	delete(l.rollouts.orders, name)
	if o.State != declarer.RolloutCompleted {
		add(l.rollouts.withdrawn, o.Service, o.Target, revision)
	}
	l.log.Info("roll-out withdrawn or replaced", "rollout", o.Name, "service", o.Service, "target", o.Target, "state", o.State, "revision", o.revision)
}

// add sets the value of a version of a service.
func add[T any](m map[string]map[string]T, service, version string, value T) {
	if m[service] == nil {
		m[service] = make(map[string]T)
	}
	m[service][version] = value
}

// admission says which requests the searchers of a version may get.
type admission int

const (
	// refused: none.
	refused admission = iota
	// awaited: none until the roll-outs are known as of the searcher's entry.
	awaited
	// onTrial: those of a roll-out that is running.
	onTrial
	// unrestricted: any.
	unrestricted
)

// knownRevision returns the revision that the roll-outs are known to by the goroutine.
func (r *rollouts) knownRevision() uint64 {
	// confirmed is read first: a revision that an update in the queue brings is stored after the update was counted.
	confirmed := r.confirmed.Load()
	if r.queued.Load() > 0 {
		return r.revision
	}
	return max(r.revision, confirmed)
}

// orderOf returns the order of a service that names a version, or else any order of the service that has been completed.
func (r *rollouts) orderOf(service, version string) *order {
	var completed *order
	for _, o := range r.orders {
		switch {
		case o.Service != service:
		case o.Target == version:
			return o
		case o.State == declarer.RolloutCompleted && (completed == nil || o.revision > completed.revision):
			completed = o
		}
	}
	return completed
}

// admit returns which requests a searcher may get while the roll-outs are known to a revision.
//
// Load pattern: searchers of a new version register seconds after its order, and some daemons know of them before they know
// of the order.
func (l *Locator) admit(e *entry, known uint64) admission {
	r := &l.rollouts
	if !r.isFollowed {
		return unrestricted
	}
	o := r.orderOf(e.Service, e.Version)
	isKnown := r.listed && known >= e.appearedAt
	switch {
	case o != nil && o.Target == e.Version && o.State == declarer.RolloutCompleted:
		return unrestricted
	case o != nil && o.Target == e.Version && o.State == declarer.RolloutRolledBack:
		return refused
	case o != nil && o.Target == e.Version && !isKnown:
		return awaited
	case o != nil && o.Target == e.Version:
		return onTrial
	case o != nil && e.appearedAt < o.since:
		// The version that a completed roll-out replaced: its searchers stop at any moment.
		return refused
	case e.appearedAt <= r.withdrawn[e.Service][e.Version] && l.hasOtherVersion(e):
		return refused
	case e.Version == "" || r.accepted[e.Service][e.Version]:
		return unrestricted
	case !isKnown || r.faulty[e.Service]:
		return awaited
	default:
		add(r.accepted, e.Service, e.Version, true)
		return unrestricted
	}
}

// hasOtherVersion reports whether the service has a searcher of another version that has not been withdrawn.
func (l *Locator) hasOtherVersion(e *entry) bool {
	for _, other := range l.searchers {
		if other.Service == e.Service && other.Version != e.Version && !other.Draining && other.appearedAt > l.rollouts.withdrawn[e.Service][other.Version] {
			return true
		}
	}
	return false
}

// newTrials returns the running roll-outs without their searchers, by service. Of several for one service, the one with
// the first name counts.
func (l *Locator) newTrials() map[string]*Trial {
	trials := make(map[string]*Trial)
	for _, o := range l.rollouts.orders {
		if t := trials[o.Service]; o.IsFinal() || t != nil && cmp.Less(t.Name, o.Name) {
			continue
		}
		trials[o.Service] = &Trial{Rollout: o.Rollout, Revision: o.revision, LearnedAt: o.learnedAt, MovedAt: o.movedAt, IsVetoed: o.isVetoed}
	}
	return trials
}

// sortSearchers orders the searchers of the roll-outs by their IDs, so that all daemons have them in the same order.
func sortSearchers(trials map[string]*Trial) {
	for _, t := range trials {
		slices.SortFunc(t.Searchers, func(a, b Searcher) int { return cmp.Compare(a.ID, b.ID) })
	}
}
