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
	// maxWatchTime and minWatchTime bound how long a watch waits for a change.
	maxWatchTime = 10 * time.Second
	minWatchTime = 100 * time.Millisecond
	// callTimeout bounds a call, in addition to the time that a watch waits.
	callTimeout = 5 * time.Second
	// instancesInterval is the mean interval between reads of the list of instances.
	instancesInterval = 10 * time.Second
	// listInterval is the minimum mean interval between full lists of the objects.
	listInterval = time.Minute
	// gapListInterval is that minimum after a watch that may have missed an event.
	gapListInterval = 2 * time.Second
	// listBytesPerSecond bounds the rate of full lists of a large configuration.
	listBytesPerSecond = 1 << 10
	// gapListBytesPerSecond is that bound after a watch that may have missed an event.
	gapListBytesPerSecond = 8 << 10
	// minBackoff and maxBackoff bound the backoff after failed calls, before jitter.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// jitter is the fraction by which an interval varies in both directions.
	jitter = 0.25
)

// Platform is the part of the object API that the Watcher needs. The numbers that List
// and Watch return are revisions.
type Platform interface {
	List(ctx context.Context, kind declarer.Kind) ([]declarer.Object, uint64, error)
	// Watch waits up to wait for changes after the revision from.
	Watch(ctx context.Context, from uint64, wait time.Duration) ([]declarer.Object, uint64, error)
	Instances(ctx context.Context) ([]declarer.Instance, error)
}

// Consumer decides whether this daemon watches, and receives the updates.
type Consumer interface {
	// ShouldWatch reports whether this daemon is to watch, and a channel that closes
	// when that may have changed.
	ShouldWatch() (bool, <-chan struct{})
	// Adopt receives an update. It returns an error when the context has ended.
	Adopt(ctx context.Context, u Update) error
}

// Update is one answer of the platform.
type Update struct {
	Objects []declarer.Object
	// HasInstances is true when the answer is the list of instances.
	HasInstances bool
	Instances    []declarer.Instance
	// Full is true when Objects has all objects.
	Full bool
}

// Watcher is the service that follows the platform.
type Watcher struct {
	platform Platform
	consumer Consumer
	rnd      *rand.Rand
	log      hclog.Logger
	metrics  *Metrics

	// revision is the revision up to which changes have been received.
	revision uint64
	// highestVersion is the highest version of any object received, listedRevision the
	// highest revision of a full list.
	highestVersion, listedRevision uint64
	// listBytes is the estimated size of the last full list.
	listBytes int
	// failures is the number of consecutive failed calls.
	failures        int
	nextListAt      time.Time
	nextInstancesAt time.Time
}

// New returns a Watcher. Only Serve uses rnd.
func New(platform Platform, consumer Consumer, rnd *rand.Rand, log hclog.Logger, metrics *Metrics) *Watcher {
	return &Watcher{platform: platform, consumer: consumer, rnd: rnd, log: log, metrics: metrics}
}

// String returns the service's name for its supervisor.
func (w *Watcher) String() string {
	return "watcher"
}

// Serve follows the platform while the consumer wants it, until the context ends.
func (w *Watcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		active, changed := w.consumer.ShouldWatch()
		if !active {
			w.waitForChange(ctx, changed)
			continue
		}
		began := time.Now()
		if err := w.step(ctx); err != nil {
			w.backOff(ctx, err, time.Since(began))
			continue
		}
		w.resetFailures()
	}
	return ctx.Err()
}

// step makes the next call: the list of instances if it is due, a full list of the objects
// if that is due, or one watch. The instances come first, since the consumer needs them to
// use the objects.
func (w *Watcher) step(ctx context.Context) error {
	now := time.Now()
	if !now.Before(w.nextInstancesAt) {
		return w.instances(ctx)
	}
	if !now.Before(w.nextListAt) {
		return w.list(ctx)
	}
	return w.watch(ctx)
}

func (w *Watcher) list(ctx context.Context) error {
	w.metrics.calls.WithLabelValues("list").Inc()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, revision, err := w.platform.List(ctx, "")
	if err = w.ignoreInvalid(err); err != nil {
		return err
	}
	w.listBytes = 0
	for i := range objects {
		w.listBytes += spreader.EstimateBytes(&objects[i])
	}
	w.recordProgress(objects, revision)
	w.listedRevision = max(w.listedRevision, revision)
	w.nextListAt = time.Now().Add(w.withJitter(max(listInterval, w.transferTime(listBytesPerSecond))))
	return w.consumer.Adopt(ctx, Update{Objects: objects, Full: true})
}

func (w *Watcher) instances(ctx context.Context) error {
	w.metrics.calls.WithLabelValues("instances").Inc()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	instances, err := w.platform.Instances(ctx)
	if err = w.ignoreInvalid(err); err != nil {
		return err
	}
	w.nextInstancesAt = time.Now().Add(w.withJitter(instancesInterval))
	return w.consumer.Adopt(ctx, Update{HasInstances: true, Instances: instances})
}

func (w *Watcher) watch(ctx context.Context) error {
	w.metrics.calls.WithLabelValues("watch").Inc()
	wait := w.watchTime()
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	objects, revision, err := w.platform.Watch(ctx, w.revision, wait)
	if err = w.ignoreInvalid(err); err != nil {
		return err
	}
	w.recordProgress(objects, revision)
	w.advanceList(revision)
	return w.consumer.Adopt(ctx, Update{Objects: objects})
}

// watchTime returns how long a watch may wait: until the next list is due, within
// minWatchTime and maxWatchTime.
func (w *Watcher) watchTime() time.Duration {
	due := w.nextListAt
	if w.nextInstancesAt.Before(due) {
		due = w.nextInstancesAt
	}
	return min(maxWatchTime, max(minWatchTime, time.Until(due)))
}

// ignoreInvalid counts the invalid objects of an answer and returns nil for them, since the
// other objects can be used. It returns any other error.
func (w *Watcher) ignoreInvalid(err error) error {
	var invalid *storer.InvalidObjectsError
	if !errors.As(err, &invalid) {
		return err
	}
	w.metrics.invalidObjects.Add(float64(len(invalid.Objects)))
	return nil
}

// recordProgress raises the revision and the highest version to those of an answer.
func (w *Watcher) recordProgress(objects []declarer.Object, revision uint64) {
	for i := range objects {
		w.highestVersion = max(w.highestVersion, objects[i].Version)
	}
	w.revision = max(w.revision, revision)
}

// advanceList makes the next full list due earlier when a watch has returned a revision
// beyond the version of every object received: an event may have been missed.
func (w *Watcher) advanceList(revision uint64) {
	if revision <= w.highestVersion || revision <= w.listedRevision {
		return
	}
	at := time.Now().Add(w.withJitter(max(gapListInterval, w.transferTime(gapListBytesPerSecond))))
	if at.Before(w.nextListAt) {
		w.nextListAt = at
	}
}

// transferTime returns how long the transfer of the last full list takes at a rate.
func (w *Watcher) transferTime(bytesPerSecond int) time.Duration {
	return time.Duration(w.listBytes) * time.Second / time.Duration(bytesPerSecond)
}

// backOff waits after a failed call that took some time. The backoff doubles with each
// consecutive failure, up to maxBackoff. It starts again after a call that took longer than
// that: a watch that waited until it was cut off is no burden for the platform.
func (w *Watcher) backOff(ctx context.Context, err error, took time.Duration) {
	if ctx.Err() != nil {
		return
	}
	w.metrics.failures.Inc()
	if w.failures == 0 {
		w.log.Warn("platform cannot be reached", "error", err)
	}
	pause := min(maxBackoff, minBackoff<<min(w.failures, 8))
	w.failures++
	if took > pause {
		pause, w.failures = minBackoff, 1
	}
	pause = pause/2 + time.Duration(w.rnd.Int64N(int64(pause)))
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// resetFailures ends the backoff after a successful call.
func (w *Watcher) resetFailures() {
	if w.failures == 0 {
		return
	}
	w.log.Info("platform answers again", "failures", w.failures)
	w.failures = 0
}

// waitForChange waits until ShouldWatch may have changed.
func (w *Watcher) waitForChange(ctx context.Context, changed <-chan struct{}) {
	w.failures = 0
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

// withJitter returns d, randomly longer or shorter by up to the jitter.
func (w *Watcher) withJitter(d time.Duration) time.Duration {
	f := 1 + jitter*(2*w.rnd.Float64()-1)
	return time.Duration(float64(d) * f)
}
