package reconciler

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/detector"
	"cornelwood.example/internal/peer/linker"
)

// pingEvent is a ping of a member of the group.
type pingEvent struct {
	ping  detector.Ping
	reply chan detector.Ack
}

func (e *pingEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	if !r.group.has(&e.ping.From) {
		// It does not know the zone's number of groups yet, or this daemon does not.
		e.reply <- detector.Ack{From: r.group.self(), Seq: e.ping.Seq}
		return
	}
	e.reply <- r.group.node.HandlePing(now, e.ping)
	r.syncGroup(now)
}

// ackEvent is the answer to a ping of this daemon.
type ackEvent struct {
	to  declarer.Instance
	ack detector.Ack
	// refused is true when no process listens at the member's address.
	refused bool
}

func (e *ackEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	switch {
	case e.refused:
		r.confirm(now, e.to)
	case r.group.has(&e.ack.From):
		r.group.node.HandleAck(now, e.ack)
	}
	r.syncGroup(now)
}

// pingGroup sends the pings that are due, once this daemon knows its group.
func (r *Reconciler) pingGroup(ctx context.Context, now time.Time) {
	if !r.synced {
		return
	}
	for _, out := range r.group.node.Tick(now) {
		vias := r.relays(out.To.ID)
		r.calls.Go(func() { r.ping(ctx, out, vias) })
	}
	r.syncGroup(now)
}

// relays returns the addresses of random members that may pass on a ping to the
// member with an ID.
func (r *Reconciler) relays(to string) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, in := range r.group.node.Records() {
		if in.ID != to && in.State == declarer.Live {
			addrs = append(addrs, in.Peer)
		}
	}
	r.cfg.Rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), maxRelays)]
}

// ping calls a member and posts its ack. When none has come after the interval,
// other members are asked to pass the ping on.
func (r *Reconciler) ping(ctx context.Context, out detector.Outgoing, vias []netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Detector.Fence)
	defer cancel()
	direct := make(chan error, 1)
	r.calls.Go(func() { direct <- r.askMember(ctx, out.To.Peer, &out) })
	late := time.NewTimer(r.cfg.Detector.Interval)
	defer late.Stop()
	select {
	case err := <-direct:
		if err == nil || isRefused(err) {
			return
		}
	case <-late.C:
	}
	for _, via := range vias {
		r.calls.Go(func() { _ = r.askMember(ctx, via, &out) }) // the next ping tries again
	}
	<-ctx.Done()
}

// askMember calls a member, directly or through another, and posts the answer.
func (r *Reconciler) askMember(ctx context.Context, addr netip.AddrPort, out *detector.Outgoing) error {
	e := &ackEvent{to: out.To}
	err := r.link.Call(ctx, addr, CallGroup, &out.Ping, &e.ack)
	e.refused = isRefused(err) && addr == out.To.Peer
	if err == nil || e.refused {
		_ = r.post(ctx, e) // an ack that comes too late counts for nothing
	}
	return err
}

// isRefused reports whether no process listens at the address that was called.
func isRefused(err error) bool {
	var ue *linker.UnreachableError
	return errors.As(err, &ue) && ue.Refused
}

// handleGroup answers a ping of a member of the group, or passes it on.
func (r *Reconciler) handleGroup(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var p detector.Ping
	if err := linker.Decode(body, &p); err != nil {
		return nil, err
	}
	if p.To != r.cfg.Self.ID {
		return r.passOn(ctx, p)
	}
	e := &pingEvent{ping: p, reply: make(chan detector.Ack, 1)}
	return ask(ctx, r, e, e.reply)
}

// passOn passes a ping on to the member it is for, and the ack back.
func (r *Reconciler) passOn(ctx context.Context, p detector.Ping) (any, error) {
	to, ok := r.viewer.View().Instance(p.To)
	if !ok || p.Forwarded {
		return nil, &linker.RemoteError{Code: linker.CodeInvalid, Reason: "no way to instance " + p.To}
	}
	p.Forwarded = true
	var ack detector.Ack
	if err := r.link.Call(ctx, to.Peer, CallGroup, &p, &ack); err != nil {
		return nil, err
	}
	return ack, nil
}
