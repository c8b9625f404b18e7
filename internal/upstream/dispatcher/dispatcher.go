package dispatcher

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
)

// drainPollInterval is the interval at which Drain checks for remaining work.
const drainPollInterval = 5 * time.Millisecond

// upstreamID identifies an upstream.
type upstreamID struct {
	service, upstream string
}

// Dispatcher runs the tasks of the upstreams that this daemon owns. It is safe
// for concurrent use.
type Dispatcher struct {
	cfg     Config
	views   Views
	shares  Permitter
	dial    Dial
	log     hclog.Logger
	metrics *metrics

	// upstreams points to a map that is never modified; a changed copy replaces it under mu.
	upstreams atomic.Pointer[map[upstreamID]*upstream]
	mu        sync.Mutex
}

// New returns a Dispatcher, and a function that closes its connections and unregisters
// its metrics from reg.
func New(cfg Config, views Views, permit Permitter, dial Dial, log hclog.Logger, reg prometheus.Registerer) (*Dispatcher, func()) {
	d := &Dispatcher{cfg: cfg, views: views, shares: permit, dial: dial, log: log}
	d.upstreams.Store(&map[upstreamID]*upstream{})
	d.metrics = newMetrics(d.Snapshot)
	reg.MustRegister(d.metrics)
	return d, func() {
		reg.Unregister(d.metrics)
		for _, u := range *d.upstreams.Load() {
			u.close()
		}
	}
}

// Do runs a task. It does not block; deliver is called exactly once, from any
// goroutine. Cancelling ctx cancels a search, but not an action.
func (d *Dispatcher) Do(ctx context.Context, t exchanger.Task, deliver func(exchanger.Result)) {
	now := time.Now()
	if err := ctx.Err(); err != nil && !t.AtMostOnce() {
		deliver(exchanger.Result{ID: t.ID, Status: exchanger.Failed, Reason: "cancelled"})
		return
	}
	v := d.views.View()
	u, refusal := d.find(v, &t)
	if refusal != nil {
		deliver(*refusal)
		return
	}
	u.offer(now, v, &job{
		upstream: u,
		task:     t,
		ctx:      ctx,
		deadline: now.Add(t.Remaining),
		deliver:  deliver,
	})
}

// InFlight returns the number of slots taken at an upstream, including those of cancelled
// requests that may still be running.
func (d *Dispatcher) InFlight(upstreamKey string) int {
	for _, u := range *d.upstreams.Load() {
		if u.key == upstreamKey {
			return int(u.inFlight.Load())
		}
	}
	return 0
}

// Drain waits until no task runs or waits and every result is delivered. It returns the
// cause when ctx ends first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for !d.idle() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// Serve updates all upstreams every SweepInterval until ctx ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	tick := time.NewTicker(d.cfg.SweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.sweep()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// find returns the upstream of a task, and the Result when the view forbids the task.
func (d *Dispatcher) find(v *viewer.View, t *exchanger.Task) (*upstream, *exchanger.Result) {
	id := upstreamID{t.Service, t.Upstream}
	u, ok := (*d.upstreams.Load())[id]
	if !ok {
		p := newPlacement(v, id)
		if r := p.refusal(t.ID); r != nil {
			return nil, r
		}
		u = d.add(id)
	}
	return u, u.placementIn(v).refusal(t.ID)
}

// add returns the upstream with that ID and creates it if necessary.
func (d *Dispatcher) add(id upstreamID) *upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := *d.upstreams.Load()
	if u, ok := old[id]; ok {
		return u
	}
	next := maps.Clone(old)
	u := newUpstream(d, id)
	next[id] = u
	d.upstreams.Store(&next)
	return u
}

// remove removes an upstream that the view no longer declares.
func (d *Dispatcher) remove(id upstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := maps.Clone(*d.upstreams.Load())
	delete(next, id)
	d.upstreams.Store(&next)
	d.metrics.remove(id)
}

// sweep updates every upstream and removes those that are no longer declared.
func (d *Dispatcher) sweep() {
	now := time.Now()
	v := d.views.View()
	for id, u := range *d.upstreams.Load() {
		if u.sweep(now, v) {
			d.remove(id)
		}
	}
}

func (d *Dispatcher) idle() bool {
	for _, u := range *d.upstreams.Load() {
		if !u.idle() {
			return false
		}
	}
	return true
}
