package dispatcher

import (
	"fmt"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
)

// placement is what one view says about an upstream.
type placement struct {
	view *viewer.View
	// known is false when the view declares no such upstream.
	known    bool
	upstream declarer.Upstream
	capacity declarer.Capacity
	out      bool
	// owner is the ID of the instance that owns the upstream, empty when none does.
	owner string
	owned bool
}

// place returns what v says about the upstream.
func place(v *viewer.View, n name) *placement {
	p := &placement{view: v}
	s, ok := v.Services[n.service]
	if !ok {
		return p
	}
	for _, u := range s.Upstreams() {
		if u.Name == n.upstream {
			p.known, p.upstream = true, u
			break
		}
	}
	if !p.known {
		return p
	}
	p.capacity = s.Capacity
	p.out = v.IsOut(s, &p.upstream)
	if in, ok := v.Owner(n.service, n.upstream); ok {
		p.owner = in.ID
		p.owned = in.ID == v.Self.ID
	}
	return p
}

// refusal returns the Result of a task that the placement forbids, or nil.
func (p *placement) refusal(id uint64) *exchanger.Result {
	switch {
	case !p.known:
		return &exchanger.Result{ID: id, Status: exchanger.Unreachable, Reason: "no such upstream is declared"}
	case p.out:
		return &exchanger.Result{ID: id, Status: exchanger.UpstreamOut, Reason: "taken out by operators"}
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

// fenced returns the Result of a task whose upstream this daemon owns, but may
// not admit work to now.
func fenced(id uint64) *exchanger.Result {
	return &exchanger.Result{ID: id, Status: exchanger.NotOwner, Reason: "fenced"}
}
