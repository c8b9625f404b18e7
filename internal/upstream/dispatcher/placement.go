package dispatcher

import (
	"fmt"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
)

// placement holds what one view says about an upstream.
type placement struct {
	view *viewer.View
	// declared is true when the view declares the upstream; otherwise only view is set.
	declared bool
	upstream declarer.Upstream
	capacity declarer.Capacity
	// takenOut is true when operators have taken the upstream or its zone out.
	takenOut bool
	// owner is the ID of the instance that owns the upstream, empty when none does.
	owner string
	owned bool
}

// newPlacement returns what v says about the upstream.
func newPlacement(v *viewer.View, id upstreamID) *placement {
	p := &placement{view: v}
	s, ok := v.Services[id.service]
	if !ok {
		return p
	}
	for _, u := range s.Upstreams() {
		if u.Name == id.upstream {
			p.declared, p.upstream = true, u
			break
		}
	}
	if !p.declared {
		return p
	}
	p.capacity = s.Capacity
	p.takenOut = v.IsOut(s, &p.upstream)
	if in, ok := v.Owner(id.service, id.upstream); ok {
		p.owner = in.ID
		p.owned = in.ID == v.Self.ID
	}
	return p
}

// refusal returns the Result of a task that the placement forbids, or nil.
func (p *placement) refusal(id uint64) *exchanger.Result {
	switch {
	case !p.declared:
		return &exchanger.Result{ID: id, Status: exchanger.Unreachable, Reason: "no such upstream is declared"}
	case p.takenOut:
		return &exchanger.Result{ID: id, Status: exchanger.UpstreamOut, Reason: "upstream or zone taken out by operators"}
	case !p.owned:
		return &exchanger.Result{
			ID:     id,
			Status: exchanger.NotOwner,
			Owner:  p.owner,
			Reason: fmt.Sprintf("instance %q owns the upstream", p.owner),
		}
	default:
		return nil
	}
}

// fencedResult returns the Result of a task whose upstream this daemon owns but may
// currently not admit work to.
func fencedResult(id uint64) *exchanger.Result {
	return &exchanger.Result{ID: id, Status: exchanger.NotOwner, Reason: "fenced"}
}
