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
	cfg       Config
	link      Linker
	log       hclog.Logger
	metrics   *Metrics
	viewer    *viewer.Viewer
	events    chan event
	admission atomic.Pointer[admission]
	// lastIteration is when the control loop last finished an iteration, in nanoseconds
	// since the Unix epoch.
	lastIteration atomic.Int64
	role          role
	calls         sync.WaitGroup

	// The control goroutine owns all fields below.
	state    *spreader.State
	contacts watcher.Contacts
	group    *group
	peers    *peers
	// unpushed holds the adopted records that have not been pushed yet.
	unpushed spreader.Delta
	// unpushedFrom is the ID of the peer that sent them, empty when they did not all come
	// from one peer. They are not pushed back to it.
	unpushedFrom string
	// isViewStale is true when the state has changed since the last view.
	isViewStale bool
	// synced is true once the whole configuration has been adopted, from the platform
	// or from a synced peer.
	synced  bool
	leaving bool
	// ended is true once the notice that this daemon has ended was built.
	ended     bool
	startedAt time.Time
	// graceUntil is the time until which this daemon watches the platform only if it is
	// synced.
	graceUntil    time.Time
	nextSpreadAt  time.Time
	nextExpireAt  time.Time
	lastContactAt time.Time
	nextPublishAt time.Time
	// exchanges and pushes count those under way.
	exchanges int
	pushes    int
	listing   listing
	// loggedStates holds the last logged state of each instance, by ID.
	loggedStates map[string]declarer.State
}

// New returns a Reconciler that publishes to v, and sets its RPC handlers on link.
// The returned function waits for the calls under way; it must be called after Serve
// has returned.
func New(cfg Config, link Linker, v *viewer.Viewer, log hclog.Logger, metrics *Metrics) (*Reconciler, func()) {
	now := time.Now()
	r := &Reconciler{
		cfg:       cfg,
		link:      link,
		log:       log,
		metrics:   metrics,
		viewer:    v,
		events:    make(chan event, eventQueueSize),
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

// String returns the service's name for its supervisor.
func (r *Reconciler) String() string {
	return "reconciler"
}

// Serve runs the control loop until the context ends.
func (r *Reconciler) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	r.mergeSelf(time.Now())
	r.flush(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			r.tick(ctx, time.Now())
		case e := <-r.events:
			e.apply(ctx, r, time.Now())
			r.drainEvents(ctx)
		}
		r.flush(ctx, time.Now())
	}
}

// Share returns the share of an upstream's capacity that this daemon may admit now,
// 0 when the upstream is unknown or is not in this daemon's zone and owner group. It is
// safe for concurrent use.
func (r *Reconciler) Share(upstreamKey string) exchanger.Share {
	a := r.admission.Load()
	zone, ok := r.viewer.View().UpstreamZone(upstreamKey)
	if a == nil || !ok || zone != r.cfg.Self.Zone || !a.covers(upstreamKey) {
		return exchanger.Share{Den: 1}
	}
	return a.permit.Share(time.Now(), upstreamKey)
}

// LastIteration returns when the control loop last finished an iteration. It is safe
// for concurrent use.
func (r *Reconciler) LastIteration() time.Time {
	return time.Unix(0, r.lastIteration.Load())
}

// Ready reports whether this daemon accepts new callers, and the reason when it does
// not. It is safe for concurrent use.
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

// post queues an event for the loop. It fails when the context ends first.
func (r *Reconciler) post(ctx context.Context, e event) error {
	select {
	case r.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drainEvents applies the events that are queued already, so that one view covers all
// of them.
func (r *Reconciler) drainEvents(ctx context.Context) {
	for range eventQueueSize {
		select {
		case e := <-r.events:
			e.apply(ctx, r, time.Now())
		default:
			return
		}
	}
}

// tick runs the periodic work that is due.
func (r *Reconciler) tick(ctx context.Context, now time.Time) {
	r.pingGroup(ctx, now)
	if !now.Before(r.nextSpreadAt) {
		r.nextSpreadAt = now.Add(r.withJitter(spreadInterval))
		r.exchange(ctx, now)
	}
	if !now.Before(r.nextExpireAt) {
		r.nextExpireAt = now.Add(expireInterval)
		r.state.Expire(now)
		r.peers.expire(now)
	}
	r.updateRole(now)
}

// merge adopts the newer ones of records that did not come from a peer.
func (r *Reconciler) merge(now time.Time, objects []declarer.Object, instances []declarer.Instance) {
	d := r.state.Merge(now, objects, r.filterSelf(now, instances))
	r.handleAdopted(now, "", d)
}

// handleAdopted updates what depends on records that the state has adopted. from is
// the ID of the peer that sent them, or empty.
func (r *Reconciler) handleAdopted(now time.Time, from string, d spreader.Delta) {
	if d.Len() == 0 {
		return
	}
	if r.unpushed.Len() > 0 && r.unpushedFrom != from {
		from = ""
	}
	r.unpushedFrom = from
	r.unpushed.Append(d)
	r.isViewStale = true
	r.metrics.adopted(d)
	if len(d.Objects) > 0 {
		r.regroup(now)
	}
	r.notifyGroup(now, d.Instances)
}

// flush publishes the admission, publishes a new view when the state has changed and
// the pause since the last one is over, and pushes new records.
func (r *Reconciler) flush(ctx context.Context, now time.Time) {
	r.publishAdmission()
	if r.isViewStale && !now.Before(r.nextPublishAt) {
		r.isViewStale = false
		r.publish()
		r.nextPublishAt = now.Add(publishPause(time.Since(now)))
		r.updateRole(now)
	}
	if r.unpushed.Len() > 0 {
		r.push(ctx, now)
	}
	r.lastIteration.Store(now.UnixNano())
}

// publishPause returns the pause after a view that took a time to build.
func publishPause(took time.Duration) time.Duration {
	return min(publishPauseFactor*took, maxPublishPause)
}

// publish replaces the view. The view has no objects until the whole configuration is
// known, since a part of it could yield another owner.
func (r *Reconciler) publish() {
	var objects []declarer.Object
	if r.synced {
		objects = r.state.Objects()
	}
	instances := r.state.Instances()
	v := viewer.Build(r.group.self(), objects, instances)
	r.viewer.Publish(v)
	r.peers.setInstances(instances)
	r.metrics.published(v)
	r.logStateChanges(instances)
}

// logStateChanges logs each other instance of the own zone whose state has changed.
func (r *Reconciler) logStateChanges(instances []declarer.Instance) {
	logged := make(map[string]declarer.State)
	for i := range instances {
		in := &instances[i]
		if in.Zone != r.cfg.Self.Zone || in.ID == r.cfg.Self.ID {
			continue
		}
		logged[in.ID] = in.State
		if was, ok := r.loggedStates[in.ID]; !ok || was != in.State {
			r.log.Info("instance changed state", "id", in.ID, "state", in.State, "incarnation", in.Incarnation, "term", in.Term)
		}
	}
	r.loggedStates = logged
}

// handleSpread serves CallSpread: a request of an exchange or a push.
func (r *Reconciler) handleSpread(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
	e := &spreadEvent{reply: make(chan spreader.Message, 1)}
	if err := linker.Decode(body, &e.req); err != nil {
		return nil, err
	}
	return postAndWait(ctx, r, e, e.reply)
}

// postAndWait posts an event and waits up to postTimeout for its reply.
func postAndWait[T any](ctx context.Context, r *Reconciler, e event, reply <-chan T) (T, error) {
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
