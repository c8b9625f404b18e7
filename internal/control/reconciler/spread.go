package reconciler

import (
	"context"
	"net/netip"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/spreader"
)

// exchange opens an exchange with a random peer, or with several until the daemon
// knows the whole configuration.
func (r *Reconciler) exchange(ctx context.Context, now time.Time) {
	n := 1
	if !r.synced {
		n = maxExchanges
	}
	r.openExchanges(ctx, now, n, false)
}

// openExchanges opens exchanges with up to n random peers while fewer than maxExchanges are
// under way.
func (r *Reconciler) openExchanges(ctx context.Context, now time.Time, n int, isRetry bool) {
	for _, peer := range r.peers.pick(now, n) {
		if r.exchanges >= maxExchanges {
			return
		}
		r.exchanges++
		m := r.state.OpenExchange()
		r.send(ctx, now, &replyEvent{peer: peer, sent: &m, round: 1, isRetry: isRetry})
	}
}

// push sends the records that have not been pushed yet to a few peers, or opens
// exchanges instead when there are many.
func (r *Reconciler) push(ctx context.Context, now time.Time) {
	records, from := r.unpushed, r.unpushedFrom
	r.unpushed, r.unpushedFrom = spreader.Delta{}, ""
	if records.Len() > maxPushedRecords {
		r.openExchanges(ctx, now, 2, false)
		return
	}
	for _, peer := range r.peers.pickForPush(now, from) {
		if r.pushes >= maxPushes {
			return
		}
		r.pushes++
		m := r.state.Push(records)
		r.send(ctx, now, &replyEvent{peer: peer, sent: &m})
	}
}

// send calls the peer of e with the message sent, in a goroutine of its own that posts e with
// the reply.
func (r *Reconciler) send(ctx context.Context, now time.Time, e *replyEvent) {
	r.addSenderState(now, e.sent)
	r.metrics.sent(e.sent)
	e.knownInstances = r.instancesAt(e.peer)
	r.calls.Go(func() {
		for range spreadAttempts {
			if e.err = r.callSpread(ctx, e); e.err == nil || isRefused(e.err) || ctx.Err() != nil {
				break
			}
		}
		_ = r.post(ctx, e) // fails only when the loop ends
	})
}

// callSpread makes one attempt of a call. The peer may get the message twice, which changes nothing.
func (r *Reconciler) callSpread(ctx context.Context, e *replyEvent) error {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	return r.link.Call(ctx, e.peer, CallSpread, e.sent, &e.reply)
}

// addSenderState sets the fields that every message has: those about this daemon.
func (r *Reconciler) addSenderState(now time.Time, m *spreader.Message) {
	m.Sender = r.cfg.Self.ID
	m.Synced = r.synced && r.state.Version() > 0
	m.Contacts = r.contacts.Export(now)
}

// handleRequest merges a peer's request and returns the reply.
func (r *Reconciler) handleRequest(now time.Time, req *spreader.Message) spreader.Message {
	r.contacts.Merge(now, req.Contacts)
	req.Instances = r.filterSelf(now, req.Instances)
	reply, d := r.state.HandleRequest(now, req)
	r.handleAdopted(now, req.Sender, d)
	r.addSenderState(now, &reply)
	return reply
}

// handleReply merges the reply to a message and continues the exchange, or ends it. A
// push becomes an exchange when the peer wants more.
func (r *Reconciler) handleReply(ctx context.Context, now time.Time, e *replyEvent) {
	next, ok := r.mergeReply(now, e)
	if ok && e.round < maxRounds {
		r.send(ctx, now, &replyEvent{peer: e.peer, sent: &next, round: max(e.round, 1) + 1, isRetry: e.isRetry})
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
	if e.err != nil && !e.isRetry {
		// A lost message must not cost a whole spreadInterval. One retry bounds the calls of a
		// daemon that is cut off.
		r.openExchanges(ctx, now, 1, true)
	}
}

// mergeReply merges a reply. It returns the next message of the exchange and true, or
// false when the exchange has ended.
func (r *Reconciler) mergeReply(now time.Time, e *replyEvent) (spreader.Message, bool) {
	if e.err != nil {
		r.metrics.failures.Inc()
		r.peers.countUnanswered(now, e.peer, isRefused(e.err))
		if isRefused(e.err) {
			for _, in := range e.knownInstances {
				r.confirmGone(now, in)
			}
		}
		return spreader.Message{}, false
	}
	r.peers.countAnswered(e.peer)
	r.contacts.Merge(now, e.reply.Contacts)
	e.reply.Instances = r.filterSelf(now, e.reply.Instances)
	next, ok, d := r.state.HandleReply(now, &e.reply)
	r.handleAdopted(now, e.reply.Sender, d)
	if provesSynced(e) {
		r.setSynced(now)
		return next, ok
	}
	if !ok && !r.synced && e.sent.Step == spreader.StepSummaries {
		return r.state.OpenExchange(), true
	}
	return next, ok
}

// provesSynced reports whether a reply proves that this daemon knows every object of a
// synced peer.
func provesSynced(e *replyEvent) bool {
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

// setSynced records that the whole configuration is known.
func (r *Reconciler) setSynced(now time.Time) {
	if r.synced {
		return
	}
	r.synced = true
	r.isViewStale = true
	r.regroup(now)
	r.log.Info("whole configuration is known", "version", r.state.Version(), "after", now.Sub(r.startedAt))
}

// instancesAt returns the known instances of the own zone at an address.
func (r *Reconciler) instancesAt(peer netip.AddrPort) []declarer.Instance {
	var found []declarer.Instance
	for _, in := range r.peers.byAddr[peer] {
		if in.Zone == r.cfg.Self.Zone {
			found = append(found, in)
		}
	}
	return found
}
