package reconciler

import (
	"context"
	"sync"
	"time"

	"cornelwood.example/internal/control/watcher"
)

// neverReachedSilence is taken as the time since the last contact with the platform when
// no daemon is known to have had one.
const neverReachedSilence = time.Hour

// ownContactTimeout is the time after its own last contact with the platform during which
// this daemon counts as watching. It is longer than a watch waits.
const ownContactTimeout = 20 * time.Second

// role holds whether this daemon watches the platform.
type role struct {
	mu       sync.Mutex
	watching bool
	// changed is closed and replaced when watching changes.
	changed chan struct{}
}

// ShouldWatch reports whether this daemon is to watch the platform, and a channel
// that closes when that changes. It is safe for concurrent use.
func (r *Reconciler) ShouldWatch() (bool, <-chan struct{}) {
	r.role.mu.Lock()
	defer r.role.mu.Unlock()
	return r.role.watching, r.role.changed
}

// Adopt queues an answer of the platform for the loop. It fails when the context ends
// first.
func (r *Reconciler) Adopt(ctx context.Context, u watcher.Update) error {
	return r.post(ctx, &updateEvent{update: u})
}

func (o *role) set(watching bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.watching == watching {
		return
	}
	o.watching = watching
	close(o.changed)
	o.changed = make(chan struct{})
}

// updateRole sets the role to whether this daemon may watch now.
func (r *Reconciler) updateRole(now time.Time) {
	watching := r.mayWatch(now)
	r.metrics.watching(watching)
	r.role.set(watching)
}

// mayWatch reports whether this daemon may watch the platform now.
func (r *Reconciler) mayWatch(now time.Time) bool {
	if !r.synced && now.Before(r.graceUntil) {
		return false
	}
	v := r.viewer.View()
	rank, size := watcher.Rank(r.group.self(), v.Instances)
	isWatching := !r.lastContactAt.IsZero() && now.Sub(r.lastContactAt) < ownContactTimeout
	return watcher.MayWatch(rank, size, r.sinceOtherContact(now), isWatching)
}

// sinceOtherContact returns the time since another daemon last reached the platform. When no
// such contact is known, it is the time since the start, or neverReachedSilence until this
// daemon is synced.
func (r *Reconciler) sinceOtherContact(now time.Time) time.Duration {
	at, ok := r.contacts.Last(r.cfg.Self.ID)
	if ok {
		return now.Sub(at)
	}
	if !r.synced {
		return neverReachedSilence
	}
	return now.Sub(r.startedAt)
}

// grace returns a random time after the start during which this daemon does not call the
// platform, so that a fleet whose daemons start at the same time makes few calls.
func (r *Reconciler) grace() time.Duration {
	if len(r.cfg.Seeds) == 0 {
		return 0
	}
	return minGrace + time.Duration(r.cfg.Rand.Int64N(int64(maxGrace-minGrace)))
}

// withJitter returns a random duration between 0.5 and 1.5 times d.
func (r *Reconciler) withJitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.cfg.Rand.Int64N(int64(d)))
}
