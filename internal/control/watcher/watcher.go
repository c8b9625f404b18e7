package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/spreader"
	"cornelwood.example/internal/control/storer"
)

const (
	// watchWait is how long the platform holds a watch that has nothing to tell.
	watchWait = 10 * time.Second
	// minWait is the least time that a watch waits.
	minWait = 100 * time.Millisecond
	// callTimeout bounds a call beyond the time it waits.
	callTimeout = 5 * time.Second
	// instancesInterval is the interval between readings of the list of instances.
	instancesInterval = 10 * time.Second
	// listInterval is the least interval between full lists of the objects.
	listInterval = time.Minute
	// recheckInterval is the least interval when a watch has shown a gap.
	recheckInterval = 2 * time.Second
	// listBytesPerSecond bounds the rate of full lists of a large configuration.
	listBytesPerSecond = 1 << 10
	// recheckBytesPerSecond bounds it when a watch has shown a gap.
	recheckBytesPerSecond = 8 << 10
	// Bounds of the pause after a failed call.
	minPause = 200 * time.Millisecond
	maxPause = 5 * time.Second
	// jitter is the share by which intervals vary.
	jitter = 0.25
)

// Platform is the part of the object API that is watched.
type Platform interface {
	List(ctx context.Context, kind declarer.Kind) ([]declarer.Object, uint64, error)
	Watch(ctx context.Context, from uint64, wait time.Duration) ([]declarer.Object, uint64, error)
	Instances(ctx context.Context) ([]declarer.Instance, error)
}

// Consumer decides whether this daemon watches, and takes what it finds.
type Consumer interface {
	// ShouldWatch reports whether this daemon is to watch, and a channel that closes
	// when that may have changed.
	ShouldWatch() (bool, <-chan struct{})
	// Adopt takes an update. It returns an error when the context has ended.
	Adopt(ctx context.Context, u Update) error
}

// Update is one answer of the platform.
type Update struct {
	Objects []declarer.Object
	// HasInstances marks a reading of the list of instances.
	HasInstances bool
	Instances    []declarer.Instance
	// Full marks a list of all objects.
	Full bool
}

// Watcher is the service that follows the platform.
type Watcher struct {
	platform Platform
	owner    Consumer
	rnd      *rand.Rand
	log      hclog.Logger
	metrics  *Metrics

	// from is the revision up to which changes have been seen.
	from uint64
	// seen is the highest version of any object seen, checked the highest revision
	// of a full list.
	seen, checked uint64
	bytes         int
	failures      int
	listAt        time.Time
	instancesAt   time.Time
}

// New returns a Watcher. Only its Serve uses rnd.
func New(platform Platform, owner Consumer, rnd *rand.Rand, log hclog.Logger, metrics *Metrics) *Watcher {
	return &Watcher{platform: platform, owner: owner, rnd: rnd, log: log, metrics: metrics}
}

// String names the service for its supervisor.
func (w *Watcher) String() string {
	return "watcher"
}

// Serve follows the platform while the owner wants it, until the context ends.
func (w *Watcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		active, changed := w.owner.ShouldWatch()
		if !active {
			w.await(ctx, changed)
			continue
		}
		if err := w.round(ctx); err != nil {
			w.fail(ctx, err)
			continue
		}
		w.succeed()
	}
	return ctx.Err()
}

// round does what is due: a reading of the instances, a list, or one watch. The
// instances come first, since the owner needs them to use the list.
func (w *Watcher) round(ctx context.Context) error {
	now := time.Now()
	if !now.Before(w.instancesAt) {
		return w.instances(ctx)
	}
	if !now.Before(w.listAt) {
		return w.list(ctx)
	}
	return w.watch(ctx)
}

func (w *Watcher) list(ctx context.Context) error {
	w.metrics.calls.WithLabelValues("list").Inc()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, revision, err := w.platform.List(ctx, "")
	if err = w.pass(err); err != nil {
		return err
	}
	w.bytes = 0
	for i := range objects {
		w.bytes += spreader.EstimateBytes(&objects[i])
	}
	w.see(objects, revision)
	w.checked = max(w.checked, revision)
	w.listAt = time.Now().Add(w.vary(max(listInterval, w.transfer(listBytesPerSecond))))
	return w.owner.Adopt(ctx, Update{Objects: objects, Full: true})
}

func (w *Watcher) instances(ctx context.Context) error {
	w.metrics.calls.WithLabelValues("instances").Inc()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	instances, err := w.platform.Instances(ctx)
	if err = w.pass(err); err != nil {
		return err
	}
	w.instancesAt = time.Now().Add(w.vary(instancesInterval))
	return w.owner.Adopt(ctx, Update{HasInstances: true, Instances: instances})
}

func (w *Watcher) watch(ctx context.Context) error {
	w.metrics.calls.WithLabelValues("watch").Inc()
	wait := w.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	objects, revision, err := w.platform.Watch(ctx, w.from, wait)
	if err = w.pass(err); err != nil {
		return err
	}
	w.see(objects, revision)
	w.recheck(revision)
	return w.owner.Adopt(ctx, Update{Objects: objects})
}

// wait returns how long a watch may wait: until something else is due.
func (w *Watcher) wait() time.Duration {
	due := w.listAt
	if w.instancesAt.Before(due) {
		due = w.instancesAt
	}
	return min(watchWait, max(minWait, time.Until(due)))
}

// pass drops the error of an answer that is faulty in parts: the other parts are
// of use.
func (w *Watcher) pass(err error) error {
	var fe *storer.FaultsError
	if !errors.As(err, &fe) {
		return err
	}
	w.metrics.faults.Add(float64(len(fe.Faults)))
	return nil
}

// see notes how far the platform's changes have been seen.
func (w *Watcher) see(objects []declarer.Object, revision uint64) {
	for i := range objects {
		w.seen = max(w.seen, objects[i].Version)
	}
	w.from = max(w.from, revision)
}

// recheck brings the next full list forward when the revision is beyond every
// object seen: an event may have been missed.
func (w *Watcher) recheck(revision uint64) {
	if revision <= w.seen || revision <= w.checked {
		return
	}
	at := time.Now().Add(w.vary(max(recheckInterval, w.transfer(recheckBytesPerSecond))))
	if at.Before(w.listAt) {
		w.listAt = at
	}
}

// transfer returns how long the last full list takes at a rate.
func (w *Watcher) transfer(bytesPerSecond int) time.Duration {
	return time.Duration(w.bytes) * time.Second / time.Duration(bytesPerSecond)
}

// fail waits after a failed call, longer after each one in a row.
func (w *Watcher) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.metrics.failures.Inc()
	if w.failures == 0 {
		w.log.Warn("platform cannot be reached", "error", err)
	}
	w.failures++
	pause := min(maxPause, minPause<<min(w.failures-1, 8))
	pause = pause/2 + time.Duration(w.rnd.Int64N(int64(pause)))
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

func (w *Watcher) succeed() {
	if w.failures == 0 {
		return
	}
	w.log.Info("platform answers again", "failures", w.failures)
	w.failures = 0
}

// await waits until the role may have changed.
func (w *Watcher) await(ctx context.Context, changed <-chan struct{}) {
	w.failures = 0
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

// vary returns d, longer or shorter by up to the jitter.
func (w *Watcher) vary(d time.Duration) time.Duration {
	f := 1 + jitter*(2*w.rnd.Float64()-1)
	return time.Duration(float64(d) * f)
}
