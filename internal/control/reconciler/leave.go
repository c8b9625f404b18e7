package reconciler

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/spreader"
)

const (
	// inFlightPollInterval is the interval between checks of the number in flight.
	inFlightPollInterval = 20 * time.Millisecond
	// goneNoticeTimeout bounds the sending of the notice that this daemon has ended.
	goneNoticeTimeout = time.Second
	// goneNoticePeers is the number of peers up to which random ones are added to the
	// group's members as recipients of that notice.
	goneNoticePeers = 8
)

// UndrainedError reports that work was still in flight when the context of Leave ended.
type UndrainedError struct {
	InFlight int
}

// Error returns a message with the number of requests and tasks in flight.
func (e *UndrainedError) Error() string {
	return fmt.Sprintf("%d requests or tasks are still in flight", e.InFlight)
}

// goneNotice is a daemon's last message, which reports its state as Gone, and the
// recipients.
type goneNotice struct {
	message spreader.Message
	peers   []netip.AddrPort
}

// Accept adopts an object that the platform has accepted, without waiting for the watch to
// return it, and pushes it to peers. It returns an error when the loop has not merged the
// object before the context ends or postTimeout is over.
func (r *Reconciler) Accept(ctx context.Context, o declarer.Object) error {
	e := &acceptEvent{object: o, done: make(chan struct{})}
	_, err := postAndWait(ctx, r, e, e.done)
	return err
}

// Leave makes the daemon leave: it announces that it owns nothing any more, waits until
// nothing is in flight, and notifies its group that it has ended. It returns an
// *UndrainedError when the context ends while work is in flight. The group is then not
// notified, since the work may continue at upstreams. The daemon has to serve its
// peers' calls until Leave returns: peers take a refused connection as its end.
func (r *Reconciler) Leave(ctx context.Context) error {
	e := &leaveEvent{done: make(chan struct{})}
	if _, err := postAndWait(ctx, r, e, e.done); err != nil {
		return err
	}
	if err := r.waitForInFlight(ctx); err != nil {
		return err
	}
	end := &endEvent{reply: make(chan goneNotice, 1)}
	notice, err := postAndWait(ctx, r, end, end.reply)
	if err != nil {
		return err
	}
	r.sendGoneNotice(ctx, notice)
	return nil
}

// waitForInFlight waits until nothing is in flight, or returns an *UndrainedError when
// the context ends first.
func (r *Reconciler) waitForInFlight(ctx context.Context) error {
	tick := time.NewTicker(inFlightPollInterval)
	defer tick.Stop()
	for r.cfg.InFlight() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return &UndrainedError{InFlight: r.cfg.InFlight()}
		}
	}
	return nil
}

// sendGoneNotice sends the notice to all recipients and waits up to goneNoticeTimeout
// for their replies.
func (r *Reconciler) sendGoneNotice(ctx context.Context, notice goneNotice) {
	ctx, cancel := context.WithTimeout(ctx, goneNoticeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range notice.peers {
		wg.Go(func() {
			var reply spreader.Message
			_ = r.link.Call(ctx, addr, CallSpread, &notice.message, &reply) // if the notice is lost, pings detect the end
		})
	}
	wg.Wait()
}

// startLeaving sets the state of this daemon's own record to Leaving.
func (r *Reconciler) startLeaving(now time.Time) {
	if r.leaving {
		return
	}
	r.leaving = true
	r.group.node.Leave(now)
	r.mergeSelf(now)
	r.log.Info("leaving")
}

// markEnded marks this daemon as ended and returns the notice to send. The members of
// its group are the first recipients.
func (r *Reconciler) markEnded(now time.Time) goneNotice {
	r.ended = true
	self := r.group.self()
	self.State = declarer.Gone
	m := r.state.Push(spreader.Delta{Instances: []declarer.Instance{self}})
	r.addSenderState(now, &m)
	notice := goneNotice{message: m}
	for _, in := range r.state.Instances() {
		if r.group.contains(&in) && in.ID != self.ID && in.State != declarer.Gone {
			notice.peers = append(notice.peers, in.Peer)
		}
	}
	for _, addr := range r.peers.pick(now, goneNoticePeers) {
		if len(notice.peers) < goneNoticePeers {
			notice.peers = append(notice.peers, addr)
		}
	}
	return notice
}
