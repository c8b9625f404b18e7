// Package viewer holds the immutable view that all goroutines which handle requests read:
// the configuration, the instances and the owner of each upstream. Only the control
// goroutine publishes a new view.
package viewer

import (
	"slices"
	"strings"
	"sync/atomic"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/assigner"
)

// Viewer holds the current View. It is safe for concurrent use.
type Viewer struct {
	current atomic.Pointer[View]
}

// New returns a Viewer whose current view is first.
func New(first *View) *Viewer {
	v := &Viewer{}
	v.current.Store(first)
	return v
}

// View returns the current view, which the caller must not change.
func (v *Viewer) View() *View {
	return v.current.Load()
}

// Publish replaces the current view.
func (v *Viewer) Publish(next *View) {
	v.current.Store(next)
}

// View is the state of the fleet as this daemon knew it at one time. It is immutable.
type View struct {
	Self declarer.Instance
	// Version is the highest version of any object; 0 means that there is no
	// configuration.
	Version uint64
	// Objects holds every object including tombstones, keyed by kind and name.
	Objects map[declarer.Key]*declarer.Object
	// Services and Zones are keyed by name.
	Services map[string]*declarer.Service
	Zones    map[string]*declarer.Zone
	// Instances holds every known instance that is not gone, ordered by ID.
	Instances []declarer.Instance

	// owners and upstreamZones hold the owner and the zone of each upstream, by its key.
	owners        map[string]*declarer.Instance
	upstreamZones map[string]string
}

// Build returns a view of self, the objects and the instances. The caller must not change
// them afterwards.
func Build(self declarer.Instance, objects []declarer.Object, instances []declarer.Instance) *View {
	v := &View{
		Self:          self,
		Objects:       make(map[declarer.Key]*declarer.Object, len(objects)),
		Services:      make(map[string]*declarer.Service),
		Zones:         make(map[string]*declarer.Zone),
		owners:        make(map[string]*declarer.Instance),
		upstreamZones: make(map[string]string),
	}
	for i := range objects {
		v.addObject(&objects[i])
	}
	for _, in := range instances {
		if in.State != declarer.Gone {
			v.Instances = append(v.Instances, in)
		}
	}
	slices.SortFunc(v.Instances, func(a, b declarer.Instance) int { return strings.Compare(a.ID, b.ID) })
	v.assignOwners()
	return v
}

// Owner returns the instance that owns an upstream of a service, and false when
// no live instance of the upstream's owner group is known.
func (v *View) Owner(service, upstream string) (*declarer.Instance, bool) {
	in, ok := v.owners[UpstreamKey(service, upstream)]
	return in, ok
}

// UpstreamZone returns the zone of the upstream with a key, and false when no service has
// that upstream.
func (v *View) UpstreamZone(key string) (string, bool) {
	zone, ok := v.upstreamZones[key]
	return zone, ok
}

// Instance returns the instance with an ID, and false when it is unknown or gone.
func (v *View) Instance(id string) (*declarer.Instance, bool) {
	i, ok := slices.BinarySearchFunc(v.Instances, id, func(in declarer.Instance, id string) int {
		return strings.Compare(in.ID, id)
	})
	if !ok {
		return nil, false
	}
	return &v.Instances[i], true
}

// IsOut reports whether operators have taken an upstream or its zone out of
// service.
func (v *View) IsOut(s *declarer.Service, u *declarer.Upstream) bool {
	if z, ok := v.Zones[u.Zone]; ok && z.Out {
		return true
	}
	return s.IsOut(u.Name)
}

// UpstreamKey returns the key of an upstream of a service, which is unique in the fleet.
func UpstreamKey(service, upstream string) string {
	return service + "/" + upstream
}

func (v *View) addObject(o *declarer.Object) {
	v.Version = max(v.Version, o.Version)
	v.Objects[o.Key] = o
	switch {
	case o.Deleted:
	case o.Service != nil:
		v.Services[o.Name] = o.Service
	case o.Zone != nil:
		v.Zones[o.Name] = o.Zone
	}
}

// assignOwners sets the zone and the owner of every upstream.
func (v *View) assignOwners() {
	members := make(map[string][][]declarer.Instance)
	for _, in := range v.Instances {
		groups := v.groupCount(in.Zone)
		if members[in.Zone] == nil {
			members[in.Zone] = make([][]declarer.Instance, groups)
		}
		g := assigner.Group(in.ID, groups)
		members[in.Zone][g] = append(members[in.Zone][g], in)
	}
	for _, s := range v.Services {
		for _, u := range s.Upstreams() {
			key := UpstreamKey(s.Name, u.Name)
			v.upstreamZones[key] = u.Zone
			v.assignOwner(key, members[u.Zone])
		}
	}
}

// assignOwner sets the owner of an upstream from the instances of its zone, by owner
// group.
func (v *View) assignOwner(key string, groups [][]declarer.Instance) {
	if len(groups) == 0 {
		return
	}
	g := groups[assigner.Group(key, len(groups))]
	if i := assigner.Owner(key, g); i >= 0 {
		v.owners[key] = &g[i]
	}
}

// groupCount returns the number of owner groups of a zone, 1 when the zone is not
// declared.
func (v *View) groupCount(zone string) int {
	if z, ok := v.Zones[zone]; ok {
		return z.Groups
	}
	return 1
}
