package locator

import (
	"maps"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
)

// departedTime is how long a removed searcher is remembered. The copy that a store is restored from is some seconds old.
const departedTime = 30 * time.Second

// holdTime is how long what a restored store has lost stays out of use: reregisterTime until it is written again, and a second until
// that is known here (0.63 s at most between two watches, 0.35 s for each hop between daemons).
const holdTime = reregisterTime + time.Second

// isRestored reports whether a change as of a revision shows that the store was restored from an older copy since the revision known.
func isRestored(known, revision uint64) bool {
	return declarer.Era(revision) > declarer.Era(known)
}

// restoreSearchers prepares the first list of a new era: searchers that it lacks are kept as in an outage of the store.
func (l *Locator) restoreSearchers(revision uint64) {
	l.extendGrace()
	l.log.Warn("store restored from an older copy", "kind", "searchers", "era", declarer.Era(revision), "revision", declarer.Revision(revision), "held", reregisterTime)
}

// extendGrace gives what is kept reregisterTime from now, and what is held holdTime.
func (l *Locator) extendGrace() {
	l.graceUntil = time.Now().Add(reregisterTime)
	holdUntil := time.Now().Add(holdTime)
	for _, e := range l.searchers {
		if !e.expiresAt.IsZero() {
			e.expiresAt = l.graceUntil
		}
		if !e.heldUntil.IsZero() {
			e.heldUntil = holdUntil
		}
	}
	for zone := range l.heldZones {
		l.heldZones[zone] = holdUntil
	}
	for _, o := range l.rollouts.orders {
		if !o.heldUntil.IsZero() {
			o.heldUntil = holdUntil
		}
	}
	for id := range l.heldMembers {
		l.heldMembers[id] = l.graceUntil
	}
}

// holdRevived holds a searcher back that the first list of a new era has, if it was draining or removed in the same lifetime of its
// process: that was written after the copy and is written again, which ends the hold.
func (l *Locator) holdRevived(it follower.Item[declarer.Searcher], old *entry) {
	e, known := l.searchers[it.Name]
	if !known || e.Draining {
		return
	}
	d, isDeparted := l.departed[it.Name]
	isRevived := isDeparted && d.born == e.Born && time.Since(d.at) < departedTime
	if old != nil {
		if old.Searcher == e.Searcher {
			// The same entry in a new era: the warm-up time does not begin again.
			e.warmAt = old.warmAt
		}
		isRevived = (old.Draining || !old.heldUntil.IsZero()) && old.Born == e.Born
	}
	if isRevived {
		e.heldUntil = time.Now().Add(holdTime)
		l.log.Info("searcher held back: a restored store lists it as it was before it left", "searcher", it.Name, "service", e.Service, "revision", it.Revision)
	}
}

// remove removes a searcher and remembers it for departedTime.
func (l *Locator) remove(id string, e *entry) {
	now := time.Now()
	maps.DeleteFunc(l.departed, func(_ string, d departure) bool { return now.Sub(d.at) >= departedTime })
	l.departed[id] = departure{born: e.Born, at: now}
	delete(l.searchers, id)
}

// holdZones keeps the zones out of service that the first list of a new era lacks.
func (l *Locator) holdZones(zones []string, revision uint64) {
	until := time.Now().Add(holdTime)
	for _, zone := range zones {
		l.heldZones[zone] = until
		l.log.Warn("availability zone stays out for now: the restored store has no record of it", "zone", zone, "era", declarer.Era(revision), "held", holdTime)
	}
}

// expireHeld brings the zones back and removes the roll-outs and the daemons whose hold has expired.
func (l *Locator) expireHeld(hasExpired func(at time.Time) bool) {
	closed := maps.Clone(l.closedZones)
	var opened []string
	for zone, until := range l.heldZones {
		if hasExpired(until) {
			delete(l.heldZones, zone)
			delete(closed, zone)
			opened = append(opened, zone)
		}
	}
	if len(opened) > 0 {
		l.setClosedZones(closed)
		l.open(opened, l.closuresRevision)
	}
	for name, o := range l.rollouts.orders {
		if !o.heldUntil.IsZero() && hasExpired(o.heldUntil) {
			l.withdraw(name, l.rollouts.revision)
		}
	}
	for id, until := range l.heldMembers {
		if hasExpired(until) {
			delete(l.heldMembers, id)
			delete(l.members, id)
			l.log.Info("daemon removed", "daemon", id, "reason", "not registered again after the store was restored")
		}
	}
}

// progress orders the statuses of one order: a status never goes back.
func progress(r *declarer.Rollout) int {
	switch {
	case r.IsFinal():
		return 3
	case r.Moving:
		return 2
	case r.State != "":
		return 1
	default:
		return 0
	}
}

// keepStatus keeps the status of an order where a restored store has an earlier one, until it has been written again.
func (l *Locator) keepStatus(o, old *order) {
	if progress(&old.Rollout) >= progress(&o.Rollout) {
		o.since = old.since
	}
	if progress(&old.Rollout) <= progress(&o.Rollout) {
		return
	}
	o.State, o.Moving, o.Started, o.Reason = old.State, old.Moving, old.Started, old.Reason
	o.behindSince = time.Now()
	l.log.Warn("status of roll-out kept: the restored store has an earlier one", "rollout", o.Name, "service", o.Service, "target", o.Target,
		"state", o.State, "moving", o.Moving, "era", declarer.Era(o.revision))
}

// holdOrder keeps an order that a restored store lacks until the operator has had time to write it again.
func (l *Locator) holdOrder(o *order, revision uint64) {
	o.heldUntil = time.Now().Add(holdTime)
	l.log.Warn("roll-out kept for now: the restored store has no record of it", "rollout", o.Name, "service", o.Service, "target", o.Target,
		"state", o.State, "era", declarer.Era(revision), "held", holdTime)
}

// lostStatuses returns the roll-outs of which the store has an earlier status than this daemon knows.
func (l *Locator) lostStatuses() []LostStatus {
	var lost []LostStatus
	for _, o := range l.rollouts.orders {
		if !o.behindSince.IsZero() {
			lost = append(lost, LostStatus{Rollout: o.Rollout, Revision: o.revision, Since: o.behindSince})
		}
	}
	return lost
}

// LostStatus is a status of a roll-out that a restored store has lost.
type LostStatus struct {
	Rollout declarer.Rollout
	// Revision is the revision of the order in the store, and Since when this daemon learned of the loss.
	Revision uint64
	Since    time.Time
}

// LostStatuses returns the statuses that a restored store has lost. The slice must not be changed.
func (v *View) LostStatuses() []LostStatus {
	return v.lostStatuses
}
