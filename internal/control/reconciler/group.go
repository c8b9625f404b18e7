package reconciler

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/assigner"
	"cornelwood.example/internal/peer/detector"
)

// group holds this daemon's membership of its owner group. Only the control goroutine
// uses it.
type group struct {
	cfg  detector.Config
	node *detector.Node
	// groups is the number of owner groups of the zone.
	groups int
}

func newGroup(cfg detector.Config, self declarer.Instance, now time.Time) *group {
	return &group{cfg: cfg, node: detector.New(cfg, self, now), groups: 1}
}

// self returns this daemon's own record.
func (g *group) self() declarer.Instance {
	return g.node.Self()
}

// contains reports whether an instance belongs to this daemon's owner group.
func (g *group) contains(in *declarer.Instance) bool {
	self := g.self()
	if in.Zone != self.Zone {
		return false
	}
	return assigner.Group(in.ID, g.groups) == assigner.Group(self.ID, g.groups)
}

// mergeGroupRecords merges the group protocol's records into the state.
func (r *Reconciler) mergeGroupRecords(now time.Time) {
	r.mergeSelf(now)
	r.handleAdopted(now, "", r.state.Merge(now, nil, r.filterSelf(now, r.group.node.Records())))
}

// mergeSelf merges this daemon's own record into the state.
func (r *Reconciler) mergeSelf(now time.Time) {
	r.handleAdopted(now, "", r.state.Merge(now, nil, []declarer.Instance{r.group.self()}))
}

// notifyGroup passes the records of the group's other members to the group protocol.
func (r *Reconciler) notifyGroup(now time.Time, instances []declarer.Instance) {
	self := r.group.self()
	for i := range instances {
		if instances[i].ID != self.ID && r.group.contains(&instances[i]) {
			r.group.node.HandleRecord(now, instances[i])
		}
	}
}

// regroup joins the new owner group when the zone's number of groups has changed.
func (r *Reconciler) regroup(now time.Time) {
	groups := 1
	z, ok := r.state.Object(declarer.Key{Kind: declarer.KindZone, Name: r.cfg.Self.Zone})
	if ok && z.Zone != nil && r.synced {
		groups = z.Zone.Groups
	}
	if groups == r.group.groups {
		return
	}
	r.log.Info("the zone's number of owner groups changed", "from", r.group.groups, "to", groups)
	r.group.groups = groups
	self := r.group.self()
	self.Term++
	r.rejoin(now, self)
}

// rejoin restarts the group protocol with self as the own record. self has a higher
// term or incarnation than before.
func (r *Reconciler) rejoin(now time.Time, self declarer.Instance) {
	r.group.node = detector.New(r.group.cfg, self, now)
	if r.leaving {
		r.group.node.Leave(now)
	}
	r.notifyGroup(now, r.state.Instances())
	r.mergeSelf(now)
}

// filterSelf returns the records of other instances, and refutes records of this
// daemon's own ID that are newer than its own.
func (r *Reconciler) filterSelf(now time.Time, instances []declarer.Instance) []declarer.Instance {
	var others []declarer.Instance
	for i := range instances {
		if instances[i].ID != r.cfg.Self.ID {
			others = append(others, instances[i])
			continue
		}
		r.refute(now, instances[i])
	}
	return others
}

// refute supersedes a received record that is newer than this daemon's own: a record of
// an earlier process, or one that declares this process missing or gone. When the record
// has another address and this daemon's uptime exceeds replacedAfter, another process has
// replaced it, and it leaves instead.
func (r *Reconciler) refute(now time.Time, received declarer.Instance) {
	self := r.group.self()
	if r.ended || !received.Supersedes(&self) {
		return
	}
	if received.Peer != self.Peer && now.Sub(r.startedAt) > replacedAfter {
		r.log.Error("another process uses this instance's id, leaving", "peer", received.Peer)
		r.startLeaving(now)
		return
	}
	if received.Incarnation == self.Incarnation {
		r.group.node.HandleRecord(now, received)
		self = r.group.self()
	}
	if self.Supersedes(&received) {
		r.mergeSelf(now)
		return
	}
	if received.Incarnation > self.Incarnation {
		self.Incarnation = received.Incarnation + 1
	}
	self.Term = received.Term + 1
	r.log.Info("refuted a newer record of this instance", "told", received.State, "incarnation", self.Incarnation, "term", self.Term)
	r.rejoin(now, self)
}

// confirmGone marks an instance of the own zone as gone. Other instances are left to
// their own zone, since a partition between zones can look like an ended process.
func (r *Reconciler) confirmGone(now time.Time, in declarer.Instance) {
	if in.Zone != r.cfg.Self.Zone || in.State == declarer.Gone {
		return
	}
	if r.group.contains(&in) {
		// The group protocol decides when the instance counts as gone; its records
		// then have that state.
		r.group.node.HandleEnded(now, in.ID, in.Incarnation)
		r.mergeGroupRecords(now)
		return
	}
	in.State = declarer.Gone
	if was, ok := r.state.Instance(in.ID); ok && was.Incarnation != in.Incarnation {
		return
	}
	r.merge(now, nil, []declarer.Instance{in})
}

// admission holds what this daemon may admit, and for which upstreams of its zone.
type admission struct {
	permit *detector.Permit
	// groups is the number of owner groups of the zone, ownGroup the index of this
	// daemon's.
	groups, ownGroup int
}

// covers reports whether an upstream belongs to this daemon's owner group.
func (a *admission) covers(upstreamKey string) bool {
	return assigner.Group(upstreamKey, a.groups) == a.ownGroup
}

// publishAdmission publishes what this daemon may admit. It also does so before the
// configuration is known, since the group protocol accepts other members only by what
// is published. The view of such a daemon is empty, so its shares are 0.
func (r *Reconciler) publishAdmission() {
	groups := r.group.groups
	r.admission.Store(&admission{
		permit:   r.group.node.Permit(),
		groups:   groups,
		ownGroup: assigner.Group(r.cfg.Self.ID, groups),
	})
}
