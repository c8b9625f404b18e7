package keeper

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/standin/responder"
	"cornelwood.example/platform"
)

// Values of Instance.State.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	ID    string         `json:"id"`
	Zone  string         `json:"zone"`
	Peer  netip.AddrPort `json:"peer"`
	State string         `json:"state"`
}

// Check returns an error that describes the first invalid field, or nil.
func (i *Instance) Check() error {
	switch {
	case i.ID == "" || i.Zone == "":
		return fmt.Errorf("id and zone: want names, got %q and %q", i.ID, i.Zone)
	case !i.Peer.IsValid() || i.Peer.Port() == 0:
		return fmt.Errorf("peer: want an IP address and port, got %q", i.Peer)
	case i.State != Live && i.State != Leaving:
		return fmt.Errorf("state: want %q or %q, got %q", Live, Leaving, i.State)
	default:
		return nil
	}
}

// instanceHistory holds the changes of all instances, oldest first.
type instanceHistory struct {
	changes []instanceChange
}

// instanceChange is an instance that was set or removed at a time.
type instanceChange struct {
	at       time.Time
	instance Instance
	removed  bool
}

func (h *instanceHistory) add(c instanceChange) {
	h.changes = append(h.changes, c)
}

// at returns the instances as of t, ordered by ID.
func (h *instanceHistory) at(t time.Time) []Instance {
	byID := make(map[string]Instance)
	for _, c := range h.changes {
		if c.at.After(t) {
			break
		}
		byID[c.instance.ID] = c.instance
		if c.removed {
			delete(byID, c.instance.ID)
		}
	}
	instances := make([]Instance, 0, len(byID))
	for _, i := range byID {
		instances = append(instances, i)
	}
	slices.SortFunc(instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return instances
}

// listInstances returns the listed instances as objects, with the fault Lag applied.
func (k *Keeper) listInstances() []platform.Object {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []platform.Object
	for _, i := range k.instances.at(time.Now().Add(-k.faults.Lag.Duration)) {
		out = append(out, platform.Object{Name: i.ID, Revision: 1, Spec: platform.EncodeMember(i.Zone, i.Peer, i.State == Leaving)})
	}
	return out
}

func (k *Keeper) putInstance(w http.ResponseWriter, r *http.Request) {
	var i Instance
	if !responder.Read(w, r, maxFaultBytes, &i) {
		return
	}
	if i.ID == "" {
		i.ID = r.PathValue("id")
	}
	if err := i.Check(); err != nil || i.ID != r.PathValue("id") {
		responder.Refuse(w, http.StatusBadRequest, "instance %q: want the path's id and a valid instance: %v", r.PathValue("id"), err)
		return
	}
	k.SetInstance(i)
	responder.Write(w, http.StatusOK, i)
}

func (k *Keeper) deleteInstance(w http.ResponseWriter, r *http.Request) {
	k.RemoveInstance(r.PathValue("id"))
	responder.Write(w, http.StatusOK, struct{}{})
}

// SetInstance adds or replaces an instance. The list shows it after Faults.Lag.
func (k *Keeper) SetInstance(i Instance) {
	k.recordInstance(instanceChange{instance: i})
}

// RemoveInstance removes an instance. The list shows it until Faults.Lag has passed.
func (k *Keeper) RemoveInstance(id string) {
	k.recordInstance(instanceChange{instance: Instance{ID: id}, removed: true})
}

// recordInstance adds a change, with the present time, to the history of instances.
func (k *Keeper) recordInstance(c instanceChange) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.at = time.Now()
	k.instances.add(c)
}
