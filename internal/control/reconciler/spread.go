package reconciler

import (
	"context"
	"net/netip"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/spreader"
)

// exchange opens an exchange with a random peer; with several until the daemon
// knows the configuration.
func (r *Reconciler) exchange(ctx context.Context, now time.Time) {
	n := 1
	if !r.synced {
		n = maxExchanges
	}
	for _, peer := range r.peers.pick(now, n) {
		r.open(ctx, now, peer)
	}
}

// open opens an exchange with a peer.
func (r *Reconciler) open(ctx context.Context, now time.Time, peer netip.AddrPort) {
	if r.exchanges >= maxExchanges {
		return
	}
	r.exchanges++
	m := r.state.OpenExchange()
	r.send(ctx, now, peer, m, 1)
}

// push tells a few peers what is new.
func (r *Reconciler) push(ctx context.Context, now time.Time) {
	news, from := r.news, r.newsFrom
	r.news, r.newsFrom = spreader.Delta{}, ""
	if news.Len() > maxNews {
		for _, peer := range r.peers.pick(now, 2) {
			r.open(ctx, now, peer)
		}
		return
	}
	for _, peer := range r.peers.pickForPush(now, from) {
		if r.pushes >= maxPushes {
			return
		}
		r.pushes++
		r.send(ctx, now, peer, r.state.Push(news), 0)
	}
}

// send calls a peer in a goroutine of its own, which posts the reply. round is 0
// for pushes, and counts the calls of an exchange otherwise.
func (r *Reconciler) send(ctx context.Context, now time.Time, peer netip.AddrPort, m spreader.Message, round int) {
	r.seal(now, &m)
	r.metrics.sent(&m)
	at := r.at(peer)
	r.calls.Go(func() {
		e := &replyEvent{peer: peer, at: at, sent: &m, round: round}
		callCtx, cancel := context.WithTimeout(ctx, spreadTimeout)
		defer cancel()
		e.err = r.link.Call(callCtx, peer, CallSpread, &m, &e.reply)
		_ = r.post(ctx, e) // fails only when the loop ends
	})
}

// seal adds what goes with every message.
func (r *Reconciler) seal(now time.Time, m *spreader.Message) {
	m.Sender = r.cfg.Self.ID
	m.Synced = r.synced && r.state.Version() > 0
	m.Contacts = r.contacts.Export(now)
}

// answer answers a peer's message.
func (r *Reconciler) answer(now time.Time, req *spreader.Message) spreader.Message {
	r.contacts.Merge(now, req.Contacts)
	req.Instances = r.withoutSelf(now, req.Instances)
	reply, d := r.state.HandleRequest(now, req)
	r.adopted(now, req.Sender, d)
	r.seal(now, &reply)
	return reply
}

// follow takes the reply to a message, and goes on with the exchange.
func (r *Reconciler) follow(ctx context.Context, now time.Time, e *replyEvent) {
	next, ok := r.take(now, e)
	if ok && e.round < maxRounds {
		r.send(ctx, now, e.peer, next, max(e.round, 1)+1)
		if e.round == 0 {
			r.pushes--
			r.exchanges++
		}
		return
	}
	if e.round == 0 {
		r.pushes--
		return
	}
	r.exchanges--
}

// take merges a reply and returns the next message of the exchange.
func (r *Reconciler) take(now time.Time, e *replyEvent) (spreader.Message, bool) {
	if e.err != nil {
		r.metrics.failures.Inc()
		r.peers.failed(now, e.peer)
		if isRefused(e.err) {
			for _, in := range e.at {
				r.confirm(now, in)
			}
		}
		return spreader.Message{}, false
	}
	r.peers.answered(e.peer)
	r.contacts.Merge(now, e.reply.Contacts)
	e.reply.Instances = r.withoutSelf(now, e.reply.Instances)
	next, ok, d := r.state.HandleReply(now, &e.reply)
	r.adopted(now, e.reply.Sender, d)
	if isComplete(e) {
		r.setSynced(now)
		return next, ok
	}
	if !ok && !r.synced && e.sent.Step == spreader.StepSummaries {
		return r.state.OpenExchange(), true
	}
	return next, ok
}

// isComplete reports whether a reply shows that this daemon knows every object
// of a peer that knows the whole configuration.
func isComplete(e *replyEvent) bool {
	if !e.reply.Synced || len(e.reply.Objects) > 0 || e.reply.Truncated {
		return false
	}
	switch e.sent.Step {
	case spreader.StepRoot:
		return len(e.reply.Digest) == 0
	case spreader.StepSummaries:
		return true
	default:
		return false
	}
}

// setSynced notes that the whole configuration is known.
func (r *Reconciler) setSynced(now time.Time) {
	if r.synced {
		return
	}
	r.synced = true
	r.dirty = true
	r.regroup(now)
	r.log.Info("configuration is known", "version", r.state.Version(), "after", now.Sub(r.startedAt))
}

// at returns the instances of the own zone at an address.
func (r *Reconciler) at(peer netip.AddrPort) []declarer.Instance {
	var found []declarer.Instance
	for _, in := range r.peers.known[peer] {
		if in.Zone == r.cfg.Self.Zone {
			found = append(found, in)
		}
	}
	return found
}
