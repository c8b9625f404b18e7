package assembler

import (
	"context"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/peer/assigner"
)

// worker runs peers' tasks on the daemon's own dispatcher, which is made after
// the links.
type worker struct {
	d *Daemon
}

// Do runs one task of a peer.
func (w worker) Do(ctx context.Context, t exchanger.Task, deliver func(exchanger.Result)) {
	w.d.owner.Do(ctx, t, deliver)
}

// checker answers the balancer's checks.
type checker struct {
	d *Daemon
}

// Ready reports whether new callers are welcome.
func (c checker) Ready() (bool, string) {
	if c.d.leaving.Load() {
		return false, "leaving"
	}
	if ok, reason := c.d.control.Ready(); !ok {
		return false, reason
	}
	if !c.d.admitting() {
		return false, "joining the owner group"
	}
	return true, ""
}

// Live reports whether the control goroutine turns.
func (c checker) Live(ctx context.Context) bool {
	_, err := c.d.control.Status(ctx)
	return err == nil
}

// admitting reports whether the daemon has admitted work to an upstream that it
// owns, or has had the time to. Before that its callers would find its upstreams
// without an owner.
func (d *Daemon) admitting() bool {
	if d.joined.Load() {
		return true
	}
	v := d.views.View()
	owned, admitted := false, false
	for _, s := range v.Services {
		for _, u := range s.Upstreams() {
			if in, ok := v.Owner(s.Name, u.Name); ok && in.ID == d.self.ID {
				owned = true
				admitted = admitted || d.control.Share(viewer.UpstreamKey(s.Name, u.Name)).Num > 0
			}
		}
	}
	late := time.Since(d.started) > 2*d.set.Group.Takeover
	if admitted || late {
		d.joined.Store(true)
	}
	return admitted || late || !owned
}

// inFlight returns the number of sub-requests that run or wait at this daemon's
// upstreams.
func (d *Daemon) inFlight() int {
	n := 0
	for _, u := range d.owner.Snapshot() {
		n += u.InFlight + u.Waiting
	}
	return n
}

// inFlightFor returns the number of sub-requests that run at upstreams for which
// another instance ranks before this one; all of them while this one leaves.
func (d *Daemon) inFlightFor(other string, leaving bool) int {
	if leaving {
		return d.inFlight()
	}
	pair := []declarer.Instance{{ID: d.self.ID}, {ID: other}}
	n := 0
	for _, u := range d.owner.Snapshot() {
		if u.InFlight > 0 && assigner.Owner(viewer.UpstreamKey(u.Service, u.Upstream), pair) == 1 {
			n += u.InFlight
		}
	}
	return n
}
