package assembler

import (
	"context"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/peer/assigner"
)

// taskRunner runs peers' tasks on the daemon's dispatcher. It refers to the daemon because the dispatcher is created
// after the linker.
type taskRunner struct {
	d *Daemon
}

// Do runs one task of a peer.
func (r taskRunner) Do(ctx context.Context, t exchanger.Task, deliver func(exchanger.Result)) {
	r.d.dispatcher.Do(ctx, t, deliver)
}

// healthChecker answers the load balancer's checks.
type healthChecker struct {
	d *Daemon
}

// Ready reports whether the daemon accepts new callers, and the reason when it does not.
func (c healthChecker) Ready() (bool, string) {
	if c.d.leaving.Load() {
		return false, "leaving"
	}
	if ok, reason := c.d.reconciler.Ready(); !ok {
		return false, reason
	}
	if !c.d.hasJoined() {
		return false, "joining the owner group"
	}
	return true, ""
}

// Live reports whether the control goroutine responds.
func (c healthChecker) Live(ctx context.Context) bool {
	_, err := c.d.reconciler.Status(ctx)
	return err == nil
}

// hasJoined reports whether the daemon has joined the owner group: it has admitted work to an upstream that it owns,
// or owns none, or twice the takeover time has passed since its start. Before that, its callers would find its
// upstreams without an owner.
func (d *Daemon) hasJoined() bool {
	if d.joined.Load() {
		return true
	}
	v := d.views.View()
	owned, admitted := false, false
	for _, s := range v.Services {
		for _, u := range s.Upstreams() {
			if in, ok := v.Owner(s.Name, u.Name); ok && in.ID == d.self.ID {
				owned = true
				admitted = admitted || d.reconciler.Share(viewer.UpstreamKey(s.Name, u.Name)).Num > 0
			}
		}
	}
	timedOut := time.Since(d.startedAt) > 2*d.settings.Group.Takeover
	if admitted || timedOut {
		d.joined.Store(true)
	}
	return admitted || timedOut || !owned
}

// inFlight returns the number of sub-requests that are running or waiting at this daemon's upstreams.
func (d *Daemon) inFlight() int {
	n := 0
	for _, u := range d.dispatcher.Snapshot() {
		n += u.InFlight + u.Waiting
	}
	return n
}

// inFlightFor returns the number of sub-requests running at upstreams for which the instance otherID ranks before
// this one. While this instance is leaving, it returns the number of all, running or waiting.
func (d *Daemon) inFlightFor(otherID string, leaving bool) int {
	if leaving {
		return d.inFlight()
	}
	pair := []declarer.Instance{{ID: d.self.ID}, {ID: otherID}}
	n := 0
	for _, u := range d.dispatcher.Snapshot() {
		if u.InFlight > 0 && assigner.Owner(viewer.UpstreamKey(u.Service, u.Upstream), pair) == 1 {
			n += u.InFlight
		}
	}
	return n
}
