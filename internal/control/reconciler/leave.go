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
	// drainInterval is the interval between looks at what is still in flight.
	drainInterval = 20 * time.Millisecond
	// farewellTimeout bounds the wait until the group knows that this daemon ended.
	farewellTimeout = time.Second
	// farewellPeers is the number of peers told at the end.
	farewellPeers = 8
)

// UndrainedError says that work was still in flight when the time to leave ran
// out.
type UndrainedError struct {
	InFlight int
}

// Error returns the number in flight.
func (e *UndrainedError) Error() string {
	return fmt.Sprintf("%d requests or tasks are still in flight", e.InFlight)
}

// farewell is the last message of a daemon and those who get it.
type farewell struct {
	message spreader.Message
	peers   []netip.AddrPort
}

// Accept hands an object that the platform has accepted to the loop, which puts
// it in force here and tells peers.
func (r *Reconciler) Accept(ctx context.Context, o declarer.Object) error {
	e := &acceptEvent{object: o, done: make(chan struct{})}
	_, err := ask(ctx, r, e, e.done)
	return err
}

// Leave makes the daemon leave: it owns nothing from now on and says so, waits
// until nothing is in flight, and tells its group that it has ended. It returns
// an *UndrainedError when the context ends before all work has; the group is
// then not told, since the work may go on at upstreams. The daemon has to serve
// its peers' calls until Leave returns: a refused connection counts as its end.
func (r *Reconciler) Leave(ctx context.Context) error {
	e := &leaveEvent{done: make(chan struct{})}
	if _, err := ask(ctx, r, e, e.done); err != nil {
		return err
	}
	if err := r.awaitDrain(ctx); err != nil {
		return err
	}
	end := &endEvent{reply: make(chan farewell, 1)}
	f, err := ask(ctx, r, end, end.reply)
	if err != nil {
		return err
	}
	r.sayFarewell(ctx, f)
	return nil
}

func (r *Reconciler) awaitDrain(ctx context.Context) error {
	tick := time.NewTicker(drainInterval)
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

// sayFarewell sends the last message and waits for the answers, for a bounded
// time.
func (r *Reconciler) sayFarewell(ctx context.Context, f farewell) {
	ctx, cancel := context.WithTimeout(ctx, farewellTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range f.peers {
		wg.Go(func() {
			var reply spreader.Message
			_ = r.link.Call(ctx, addr, CallSpread, &f.message, &reply) // a lost farewell is found out by probes
		})
	}
	wg.Wait()
}

// leave makes the own record say that this daemon leaves.
func (r *Reconciler) leave(now time.Time) {
	if r.leaving {
		return
	}
	r.leaving = true
	r.group.node.Leave(now)
	r.adoptSelf(now)
	r.log.Info("leaving")
}

// end returns the message that says that this daemon has ended: first to the
// members of its group.
func (r *Reconciler) end(now time.Time) farewell {
	r.ended = true
	self := r.group.self()
	self.State = declarer.Gone
	m := r.state.Push(spreader.Delta{Instances: []declarer.Instance{self}})
	r.seal(now, &m)
	f := farewell{message: m}
	for _, in := range r.state.Instances() {
		if r.group.has(&in) && in.ID != self.ID && in.State != declarer.Gone {
			f.peers = append(f.peers, in.Peer)
		}
	}
	for _, addr := range r.peers.pick(now, farewellPeers) {
		if len(f.peers) < farewellPeers {
			f.peers = append(f.peers, addr)
		}
	}
	return f
}
