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

// drainPoll is the interval at which Drain looks for work that still runs.
const drainPoll = 5 * time.Millisecond

// name identifies an upstream.
type name struct {
	service, upstream string
}

// Dispatcher runs the tasks of the upstreams that this daemon owns. It is safe
// for concurrent use.
type Dispatcher struct {
	cfg     Config
	views   Views
	permit  Permitter
	dial    Dial
	log     hclog.Logger
	metrics *metrics

	// upstreams is replaced, never changed, under mu.
	upstreams atomic.Pointer[map[name]*upstream]
	mu        sync.Mutex
}

// New returns a Dispatcher, and a function that closes its connections and takes
// its metrics out of reg.
func New(cfg Config, views Views, permit Permitter, dial Dial, log hclog.Logger, reg prometheus.Registerer) (*Dispatcher, func()) {
	d := &Dispatcher{cfg: cfg, views: views, permit: permit, dial: dial, log: log}
	d.upstreams.Store(&map[name]*upstream{})
	d.metrics = newMetrics(d.Snapshot)
	reg.MustRegister(d.metrics)
	return d, func() {
		reg.Unregister(d.metrics)
		for _, u := range *d.upstreams.Load() {
			u.end()
		}
	}
}

// Do runs a task. It does not block; deliver is called exactly once, from any
// goroutine. Cancelling ctx cancels a search; an action goes on.
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

// Busy returns the number of slots taken at an upstream, those included whose
// cancelled requests may still be running.
func (d *Dispatcher) Busy(upstreamKey string) int {
	for _, u := range *d.upstreams.Load() {
		if u.key == upstreamKey {
			return int(u.busy.Load())
		}
	}
	return 0
}

// Drain waits until no task runs or waits, and every result is delivered. It returns the cause when ctx ends
// first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	tick := time.NewTicker(drainPoll)
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

// Serve looks after the upstreams until ctx ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	tick := time.NewTicker(d.cfg.Sweep)
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

// find returns the upstream of a task that this daemon owns, or the refusal.
func (d *Dispatcher) find(v *viewer.View, t *exchanger.Task) (*upstream, *exchanger.Result) {
	n := name{t.Service, t.Upstream}
	u, ok := (*d.upstreams.Load())[n]
	if !ok {
		p := place(v, n)
		if r := p.refusal(t.ID); r != nil {
			return nil, r
		}
		u = d.add(n)
	}
	return u, u.placed(v).refusal(t.ID)
}

// add returns the upstream of that name, which it makes unless there is one.
func (d *Dispatcher) add(n name) *upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := *d.upstreams.Load()
	if u, ok := old[n]; ok {
		return u
	}
	next := maps.Clone(old)
	u := newUpstream(d, n)
	next[n] = u
	d.upstreams.Store(&next)
	return u
}

// remove forgets an upstream that is not in the view any more.
func (d *Dispatcher) remove(n name) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := maps.Clone(*d.upstreams.Load())
	delete(next, n)
	d.upstreams.Store(&next)
	d.metrics.forget(n)
}

// sweep brings every upstream up to date.
func (d *Dispatcher) sweep() {
	now := time.Now()
	v := d.views.View()
	for n, u := range *d.upstreams.Load() {
		if u.sweep(now, v) {
			d.remove(n)
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
