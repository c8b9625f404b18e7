package reconciler

import (
	"context"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/watcher"
)

// Status is the fleet as this daemon sees it.
type Status struct {
	Self declarer.Instance `json:"self"`
	// Version is the highest version of any known object. Synced is true when the
	// whole configuration is known.
	Version uint64         `json:"version"`
	Synced  bool           `json:"synced"`
	Objects []ObjectStatus `json:"objects"`
	Members []MemberStatus `json:"members"`
	// Watching is true while this daemon watches the platform. Watchers has the IDs of
	// the daemons of its zone that watch as long as they reach the platform.
	Watching bool     `json:"watching"`
	Watchers []string `json:"watchers"`
	// ContactAge is the time since the platform last answered this daemon, and
	// FleetContactAge the time since it last answered any daemon, as far as known. They
	// are nil when it never did.
	ContactAge      *declarer.Duration `json:"contact,omitempty"`
	FleetContactAge *declarer.Duration `json:"fleet_contact,omitempty"`
}

// ObjectStatus is a known object, without its content.
type ObjectStatus struct {
	Kind    declarer.Kind `json:"kind"`
	Name    string        `json:"name"`
	Version uint64        `json:"version"`
	// Deleted is true for a tombstone.
	Deleted bool `json:"deleted,omitempty"`
}

// MemberStatus is an instance as this daemon knows it.
type MemberStatus struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Peer        string `json:"peer"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Term        uint64 `json:"term"`
	// Group is true when the instance belongs to this daemon's owner group.
	Group bool `json:"group,omitempty"`
}

// Status returns the fleet as this daemon sees it. It fails when the loop does not answer
// before the context ends or postTimeout is over.
func (r *Reconciler) Status(ctx context.Context) (Status, error) {
	e := &statusEvent{reply: make(chan Status, 1)}
	return postAndWait(ctx, r, e, e.reply)
}

func (r *Reconciler) status(now time.Time) Status {
	instances := r.state.Instances()
	s := Status{
		Self:     r.group.self(),
		Version:  r.state.Version(),
		Synced:   r.synced,
		Watchers: watcher.Watchers(r.cfg.Self.Zone, instances),
	}
	s.Watching, _ = r.ShouldWatch()
	for _, o := range r.state.Objects() {
		s.Objects = append(s.Objects, ObjectStatus{Kind: o.Kind, Name: o.Name, Version: o.Version, Deleted: o.Deleted})
	}
	for i := range instances {
		s.Members = append(s.Members, r.memberStatus(&instances[i]))
	}
	if !r.lastContactAt.IsZero() {
		s.ContactAge = ageOf(now, r.lastContactAt)
		s.FleetContactAge = s.ContactAge
	}
	if at, ok := r.contacts.Last(""); ok {
		s.FleetContactAge = ageOf(now, at)
	}
	return s
}

func (r *Reconciler) memberStatus(in *declarer.Instance) MemberStatus {
	return MemberStatus{
		ID:          in.ID,
		Zone:        in.Zone,
		Region:      in.Region,
		Peer:        in.Peer.String(),
		State:       in.State.String(),
		Incarnation: in.Incarnation,
		Term:        in.Term,
		Group:       r.group.contains(in),
	}
}

func ageOf(now, at time.Time) *declarer.Duration {
	return &declarer.Duration{Duration: now.Sub(at).Round(time.Millisecond)}
}
