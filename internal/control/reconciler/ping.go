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

// pingEvent carries a ping from a member of the group.
type pingEvent struct {
	ping  detector.Ping
	reply chan detector.Ack
}

func (e *pingEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	if !r.group.contains(&e.ping.From) {
		// The sender or this daemon does not know the zone's number of groups yet.
		e.reply <- detector.Ack{From: r.group.self(), Seq: e.ping.Seq}
		return
	}
	e.reply <- r.group.node.HandlePing(now, e.ping)
	r.mergeGroupRecords(now)
}

// ackEvent carries the reply to a ping of this daemon.
type ackEvent struct {
	to  declarer.Instance
	ack detector.Ack
	// refused is true when no process listens at the member's address.
	refused bool
}

func (e *ackEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	switch {
	case e.refused:
		r.confirmGone(now, e.to)
	case r.group.contains(&e.ack.From):
		r.group.node.HandleAck(now, e.ack)
	}
	r.mergeGroupRecords(now)
}

// pingGroup sends the pings that are due, once this daemon knows its group.
func (r *Reconciler) pingGroup(ctx context.Context, now time.Time) {
	if !r.synced {
		return
	}
	for _, out := range r.group.node.Tick(now) {
		relays := r.pickRelays(out.To.ID)
		r.calls.Go(func() { r.ping(ctx, out, relays) })
	}
	r.mergeGroupRecords(now)
}

// pickRelays returns the addresses of up to maxRelays random live members that can forward
// a ping to the member with the ID to.
func (r *Reconciler) pickRelays(to string) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, in := range r.group.node.Records() {
		if in.ID != to && in.State == declarer.Live {
			addrs = append(addrs, in.Peer)
		}
	}
	r.cfg.Rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), maxRelays)]
}

// ping calls a member and posts its ack. When none has come within the ping interval,
// other members are asked to forward the ping.
func (r *Reconciler) ping(ctx context.Context, out detector.Outgoing, relays []netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Detector.Fence)
	defer cancel()
	direct := make(chan error, 1)
	r.calls.Go(func() { direct <- r.callMember(ctx, out.To.Peer, &out) })
	timer := time.NewTimer(r.cfg.Detector.Interval)
	defer timer.Stop()
	select {
	case err := <-direct:
		if err == nil || isRefused(err) {
			return
		}
	case <-timer.C:
	}
	for _, relay := range relays {
		r.calls.Go(func() { _ = r.callMember(ctx, relay, &out) }) // the next ping tries again
	}
	<-ctx.Done()
}

// callMember sends a ping to a member or to a relay at addr, and posts the ack. It posts
// a refused connection only for the member itself.
func (r *Reconciler) callMember(ctx context.Context, addr netip.AddrPort, out *detector.Outgoing) error {
	e := &ackEvent{to: out.To}
	err := r.link.Call(ctx, addr, CallGroup, &out.Ping, &e.ack)
	e.refused = isRefused(err) && addr == out.To.Peer
	if err == nil || e.refused {
		_ = r.post(ctx, e) // an ack that comes too late is ignored
	}
	return err
}

// isRefused reports whether a call failed because no process listens at the address.
func isRefused(err error) bool {
	var ue *linker.UnreachableError
	return errors.As(err, &ue) && ue.Refused
}

// handleGroup serves CallGroup: it acks a ping for this daemon and forwards any other.
func (r *Reconciler) handleGroup(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var p detector.Ping
	if err := linker.Decode(body, &p); err != nil {
		return nil, err
	}
	if p.To != r.cfg.Self.ID {
		return r.forwardPing(ctx, p)
	}
	e := &pingEvent{ping: p, reply: make(chan detector.Ack, 1)}
	return postAndWait(ctx, r, e, e.reply)
}

// forwardPing sends a ping on to its recipient and returns the ack. A ping is forwarded
// only once.
func (r *Reconciler) forwardPing(ctx context.Context, p detector.Ping) (any, error) {
	to, ok := r.viewer.View().Instance(p.To)
	if !ok || p.Forwarded {
		return nil, &linker.RemoteError{Code: linker.CodeInvalid, Reason: "cannot forward a ping to instance " + p.To}
	}
	p.Forwarded = true
	var ack detector.Ack
	if err := r.link.Call(ctx, to.Peer, CallGroup, &p, &ack); err != nil {
		return nil, err
	}
	return ack, nil
}
