package reconciler

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/assigner"
	"cornelwood.example/internal/peer/detector"
)

// group is this daemon's part in its owner group. It belongs to the control
// goroutine.
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

// has reports whether an instance is of this daemon's owner group.
func (g *group) has(in *declarer.Instance) bool {
	self := g.self()
	if in.Zone != self.Zone {
		return false
	}
	return assigner.Group(in.ID, g.groups) == assigner.Group(self.ID, g.groups)
}

// syncGroup takes over what the group protocol decided.
func (r *Reconciler) syncGroup(now time.Time) {
	r.adoptSelf(now)
	r.adopted(now, "", r.state.Merge(now, nil, r.withoutSelf(now, r.group.node.Records())))
}

// adoptSelf takes over this daemon's own record.
func (r *Reconciler) adoptSelf(now time.Time) {
	r.adopted(now, "", r.state.Merge(now, nil, []declarer.Instance{r.group.self()}))
}

// learn tells the group protocol of records of the group's members.
func (r *Reconciler) learn(now time.Time, instances []declarer.Instance) {
	self := r.group.self()
	for i := range instances {
		if instances[i].ID != self.ID && r.group.has(&instances[i]) {
			r.group.node.HandleRecord(now, instances[i])
		}
	}
}

// regroup joins another owner group when the zone's number of groups changed.
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

// rejoin starts the group protocol anew under a higher term or incarnation.
func (r *Reconciler) rejoin(now time.Time, self declarer.Instance) {
	r.group.node = detector.New(r.group.cfg, self, now)
	if r.leaving {
		r.group.node.Leave(now)
	}
	r.learn(now, r.state.Instances())
	r.adoptSelf(now)
}

// withoutSelf returns the records without those of this daemon's own ID, and
// refutes those that are newer than its own.
func (r *Reconciler) withoutSelf(now time.Time, instances []declarer.Instance) []declarer.Instance {
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

// refute answers a record that is newer than this daemon's own: one of an
// earlier process, or one that takes this process for missing or gone.
func (r *Reconciler) refute(now time.Time, told declarer.Instance) {
	self := r.group.self()
	if r.ended || !told.Supersedes(&self) {
		return
	}
	if told.Peer != self.Peer && now.Sub(r.startedAt) > replacedAfter {
		r.log.Error("another process runs under this instance's id", "peer", told.Peer)
		r.leave(now)
		return
	}
	if told.Incarnation == self.Incarnation {
		r.group.node.HandleRecord(now, told)
		self = r.group.self()
	}
	if self.Supersedes(&told) {
		r.adoptSelf(now)
		return
	}
	if told.Incarnation > self.Incarnation {
		self.Incarnation = told.Incarnation + 1
	}
	self.Term = told.Term + 1
	r.log.Info("own record refuted", "told", told.State, "incarnation", self.Incarnation, "term", self.Term)
	r.rejoin(now, self)
}

// confirm notes that an instance of the own zone has ended. Others are left to
// their own zone, since a cut between zones may look like an end.
func (r *Reconciler) confirm(now time.Time, in declarer.Instance) {
	if in.Zone != r.cfg.Self.Zone || in.State == declarer.Gone {
		return
	}
	if r.group.has(&in) {
		// The group protocol decides when the end takes effect, and its records
		// tell it.
		r.group.node.HandleEnded(now, in.ID, in.Incarnation)
		r.syncGroup(now)
		return
	}
	in.State = declarer.Gone
	if was, ok := r.state.Instance(in.ID); ok && was.Incarnation != in.Incarnation {
		return
	}
	r.merge(now, nil, []declarer.Instance{in})
}

// grant is what this daemon may admit, and for which upstreams of its zone.
type grant struct {
	permit *detector.Permit
	// groups is the number of owner groups of the zone, own this daemon's.
	groups, own int
}

// covers reports whether an upstream falls into this daemon's owner group.
func (g *grant) covers(upstreamKey string) bool {
	return assigner.Group(upstreamKey, g.groups) == g.own
}

// publishGrant publishes what this daemon may admit. It does so before the
// configuration is known too, since the group protocol accepts other members only
// by what is published; the empty view of such a daemon keeps its shares at 0.
func (r *Reconciler) publishGrant() {
	groups := r.group.groups
	r.grant.Store(&grant{
		permit: r.group.node.Permit(),
		groups: groups,
		own:    assigner.Group(r.cfg.Self.ID, groups),
	})
}
