package reconciler

import (
	"context"
	"net/netip"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/spreader"
	"cornelwood.example/internal/control/watcher"
)

// event is one message to the control loop.
type event interface {
	// apply handles the event. It runs on the control goroutine.
	apply(ctx context.Context, r *Reconciler, now time.Time)
}

// updateEvent carries an answer of the platform.
type updateEvent struct {
	update watcher.Update
}

func (e *updateEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	r.lastContactAt = now
	r.contacts.Record(r.cfg.Self.ID, now)
	r.merge(now, e.update.Objects, nil)
	if e.update.HasInstances {
		r.handleListing(now, e.update.Instances)
	}
	// Without the list of instances, other daemons that admit work may be unknown.
	if e.update.Full && r.listing.hasRead {
		r.setSynced(now)
	}
}

// acceptEvent carries an object that this daemon wrote to the platform.
type acceptEvent struct {
	object declarer.Object
	done   chan struct{}
}

func (e *acceptEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	r.merge(now, []declarer.Object{e.object}, nil)
	close(e.done)
}

// spreadEvent carries a peer's request of an exchange or its push.
type spreadEvent struct {
	req   spreader.Message
	reply chan spreader.Message
}

func (e *spreadEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	e.reply <- r.handleRequest(now, &e.req)
}

// replyEvent carries a peer's reply to a message of this daemon, or the error of the
// call.
type replyEvent struct {
	peer netip.AddrPort
	// knownInstances holds the instances that were known at the address before the call. A
	// refused connection proves nothing about an instance that started since.
	knownInstances []declarer.Instance
	sent           *spreader.Message
	reply          spreader.Message
	err            error
	// round is the number of the call in its exchange, from 1; 0 means a push.
	round int
	// isRetry is true for the calls of an exchange that replaces a failed one.
	isRetry bool
}

func (e *replyEvent) apply(ctx context.Context, r *Reconciler, now time.Time) {
	r.handleReply(ctx, now, e)
}

// leaveEvent makes the daemon start leaving.
type leaveEvent struct {
	done chan struct{}
}

func (e *leaveEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	r.startLeaving(now)
	close(e.done)
}

// statusEvent requests the status.
type statusEvent struct {
	reply chan Status
}

func (e *statusEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	e.reply <- r.status(now)
}

// endEvent marks this daemon as ended and requests the notice for its peers.
type endEvent struct {
	reply chan goneNotice
}

func (e *endEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	e.reply <- r.markEnded(now)
}
