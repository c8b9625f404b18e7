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
	// apply takes effect on the loop's goroutine.
	apply(ctx context.Context, r *Reconciler, now time.Time)
}

// updateEvent carries an answer of the platform.
type updateEvent struct {
	update watcher.Update
}

func (e *updateEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	r.contactAt = now
	r.contacts.Record(r.cfg.Self.ID, now)
	r.merge(now, e.update.Objects, nil)
	if e.update.HasInstances {
		r.readListing(now, e.update.Instances)
	}
	// Without the list of instances this daemon may not know who else admits work.
	if e.update.Full && r.listing.isRead {
		r.setSynced(now)
	}
}

// acceptEvent carries an object that the platform has accepted from this daemon.
type acceptEvent struct {
	object declarer.Object
	done   chan struct{}
}

func (e *acceptEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	r.merge(now, []declarer.Object{e.object}, nil)
	close(e.done)
}

// spreadEvent is a peer's message of an exchange.
type spreadEvent struct {
	req   spreader.Message
	reply chan spreader.Message
}

func (e *spreadEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	e.reply <- r.answer(now, &e.req)
}

// replyEvent is the answer to a message of this daemon.
type replyEvent struct {
	peer netip.AddrPort
	// at holds the instances that were known at the address before the call: a
	// refusal proves nothing about one that started since.
	at    []declarer.Instance
	sent  *spreader.Message
	reply spreader.Message
	err   error
	// round counts the calls of the exchange.
	round int
}

func (e *replyEvent) apply(ctx context.Context, r *Reconciler, now time.Time) {
	r.follow(ctx, now, e)
}

// leaveEvent makes the daemon leave.
type leaveEvent struct {
	done chan struct{}
}

func (e *leaveEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	r.leave(now)
	close(e.done)
}

// statusEvent asks for the status.
type statusEvent struct {
	reply chan Status
}

func (e *statusEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	e.reply <- r.status(now)
}

// endEvent asks for the message that says that this daemon has ended, and for
// the peers that are to have it.
type endEvent struct {
	reply chan farewell
}

func (e *endEvent) apply(_ context.Context, r *Reconciler, now time.Time) {
	e.reply <- r.end(now)
}
