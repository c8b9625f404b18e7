package reconciler

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/spreader"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/control/watcher"
	"cornelwood.example/internal/peer/linker"
)

// Reconciler is the service that runs the control goroutine.
type Reconciler struct {
	cfg     Config
	link    Linker
	log     hclog.Logger
	metrics *Metrics
	viewer  *viewer.Viewer
	events  chan event
	grant   atomic.Pointer[grant]
	turned  atomic.Int64
	role    role
	calls   sync.WaitGroup

	// All that follows belongs to the control goroutine.
	state    *spreader.State
	contacts watcher.Contacts
	group    *group
	peers    *peers
	news     spreader.Delta
	// newsFrom is the peer that told the news; they are not pushed back to it.
	newsFrom string
	dirty    bool
	// synced is true once the whole configuration of the platform or of a peer
	// that was synced has been adopted.
	synced  bool
	leaving bool
	// ended is true once the group has been told that this daemon ended.
	ended      bool
	startedAt  time.Time
	graceUntil time.Time
	spreadAt   time.Time
	expireAt   time.Time
	contactAt  time.Time
	publishAt  time.Time
	exchanges  int
	pushes     int
	listing    listing
	// logged holds the states that were logged last.
	logged map[string]declarer.State
}

// New returns a Reconciler that publishes to v, and sets the handlers of its
// calls on link. The clean-up function waits for the calls under way; Serve has
// to have ended before.
func New(cfg Config, link Linker, v *viewer.Viewer, log hclog.Logger, metrics *Metrics) (*Reconciler, func()) {
	now := time.Now()
	r := &Reconciler{
		cfg:       cfg,
		link:      link,
		log:       log,
		metrics:   metrics,
		viewer:    v,
		events:    make(chan event, eventQueue),
		state:     spreader.New(),
		group:     newGroup(cfg.Detector, cfg.Self, now),
		peers:     newPeers(cfg.Self, cfg.Seeds, cfg.Rand),
		startedAt: now,
		listing:   newListing(),
	}
	r.role.changed = make(chan struct{})
	r.graceUntil = now.Add(r.grace())
	link.Handle(CallGroup, r.handleGroup)
	link.Handle(CallSpread, r.handleSpread)
	return r, r.calls.Wait
}

// String names the service for its supervisor.
func (r *Reconciler) String() string {
	return "reconciler"
}

// Serve runs the control loop until the context ends.
func (r *Reconciler) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	r.adoptSelf(time.Now())
	r.flush(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			r.tick(ctx, time.Now())
		case e := <-r.events:
			e.apply(ctx, r, time.Now())
			r.drain(ctx)
		}
		r.flush(ctx, time.Now())
	}
}

// Share returns what this daemon may admit to an upstream now. It is safe for
// concurrent use.
func (r *Reconciler) Share(upstreamKey string) exchanger.Share {
	g := r.grant.Load()
	zone, ok := r.viewer.View().UpstreamZone(upstreamKey)
	if g == nil || !ok || zone != r.cfg.Self.Zone || !g.covers(upstreamKey) {
		return exchanger.Share{Den: 1}
	}
	return g.permit.Share(time.Now(), upstreamKey)
}

// LastIteration returns when the control loop last finished a turn.
func (r *Reconciler) LastIteration() time.Time {
	return time.Unix(0, r.turned.Load())
}

// Ready reports whether new callers are welcome, and the reason when not.
func (r *Reconciler) Ready() (bool, string) {
	v := r.viewer.View()
	switch {
	case v.Self.State == declarer.Leaving || v.Self.State == declarer.Gone:
		return false, "this instance is leaving"
	case v.Version == 0:
		return false, "no configuration from the platform or from any peer"
	default:
		return true, ""
	}
}

// post gives an event to the loop. It fails when the context ends first.
func (r *Reconciler) post(ctx context.Context, e event) error {
	select {
	case r.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drain applies the events that wait already, so that one view serves them all.
func (r *Reconciler) drain(ctx context.Context) {
	for range eventQueue {
		select {
		case e := <-r.events:
			e.apply(ctx, r, time.Now())
		default:
			return
		}
	}
}

// tick does what is due.
func (r *Reconciler) tick(ctx context.Context, now time.Time) {
	r.pingGroup(ctx, now)
	if !now.Before(r.spreadAt) {
		r.spreadAt = now.Add(r.vary(spreadInterval))
		r.exchange(ctx, now)
	}
	if !now.Before(r.expireAt) {
		r.expireAt = now.Add(expireInterval)
		r.state.Expire(now)
		r.peers.expire(now)
	}
	r.decideRole(now)
}

// merge adopts newer records that no peer told, and prepares what follows.
func (r *Reconciler) merge(now time.Time, objects []declarer.Object, instances []declarer.Instance) {
	d := r.state.Merge(now, objects, r.withoutSelf(now, instances))
	r.adopted(now, "", d)
}

// adopted follows up on records that the state has adopted; from is the peer that
// told them, or empty.
func (r *Reconciler) adopted(now time.Time, from string, d spreader.Delta) {
	if d.Len() == 0 {
		return
	}
	if r.news.Len() > 0 && r.newsFrom != from {
		from = ""
	}
	r.newsFrom = from
	r.news.Append(d)
	r.dirty = true
	r.metrics.adopted(d)
	if len(d.Objects) > 0 {
		r.regroup(now)
	}
	r.learn(now, d.Instances)
}

// flush publishes a new view and pushes news, if there is any.
func (r *Reconciler) flush(ctx context.Context, now time.Time) {
	r.publishGrant()
	if r.dirty && !now.Before(r.publishAt) {
		r.dirty = false
		r.publish()
		r.publishAt = now.Add(pauseAfter(time.Since(now)))
		r.decideRole(now)
	}
	if r.news.Len() > 0 {
		r.push(ctx, now)
	}
	r.turned.Store(now.UnixNano())
}

// pauseAfter returns the pause after a view that took as long to build.
func pauseAfter(took time.Duration) time.Duration {
	return min(publishPause*took, maxPublishPause)
}

// publish replaces the view. Objects stay hidden until the whole configuration
// is known, since a part of it could name another owner.
func (r *Reconciler) publish() {
	var objects []declarer.Object
	if r.synced {
		objects = r.state.Objects()
	}
	instances := r.state.Instances()
	v := viewer.Build(r.group.self(), objects, instances)
	r.viewer.Publish(v)
	r.peers.set(instances)
	r.metrics.published(v)
	r.logStates(instances)
}

// logStates writes a line for each instance of the own zone whose state changed.
func (r *Reconciler) logStates(instances []declarer.Instance) {
	logged := make(map[string]declarer.State)
	for i := range instances {
		in := &instances[i]
		if in.Zone != r.cfg.Self.Zone || in.ID == r.cfg.Self.ID {
			continue
		}
		logged[in.ID] = in.State
		if was, ok := r.logged[in.ID]; !ok || was != in.State {
			r.log.Info("instance changed state", "id", in.ID, "state", in.State, "incarnation", in.Incarnation, "term", in.Term)
		}
	}
	r.logged = logged
}

// handleSpread answers a peer's message of an exchange.
func (r *Reconciler) handleSpread(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
	e := &spreadEvent{reply: make(chan spreader.Message, 1)}
	if err := linker.Decode(body, &e.req); err != nil {
		return nil, err
	}
	return ask(ctx, r, e, e.reply)
}

// ask posts an event and waits for its reply, for a bounded time.
func ask[T any](ctx context.Context, r *Reconciler, e event, reply <-chan T) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	if err := r.post(ctx, e); err != nil {
		return zero, err
	}
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
