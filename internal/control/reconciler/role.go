package reconciler

import (
	"context"
	"sync"
	"time"

	"cornelwood.example/internal/control/watcher"
)

// neverReached stands for the silence about the platform when nobody is known to
// have reached it.
const neverReached = time.Hour

// contactHold is how long a contact of this daemon's own with the platform counts
// as holding a watch: longer than the watch waits.
const contactHold = 20 * time.Second

// role says whether this daemon watches the platform.
type role struct {
	mu       sync.Mutex
	watching bool
	changed  chan struct{}
}

// ShouldWatch reports whether this daemon is to watch the platform, and a channel
// that closes when that changes. It is safe for concurrent use.
func (r *Reconciler) ShouldWatch() (bool, <-chan struct{}) {
	r.role.mu.Lock()
	defer r.role.mu.Unlock()
	return r.role.watching, r.role.changed
}

// Adopt gives an answer of the platform to the loop.
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

// decideRole works out whether this daemon watches.
func (r *Reconciler) decideRole(now time.Time) {
	watching := r.wantsWatch(now)
	r.metrics.watching(watching)
	r.role.set(watching)
}

func (r *Reconciler) wantsWatch(now time.Time) bool {
	if !r.synced && now.Before(r.graceUntil) {
		return false
	}
	v := r.viewer.View()
	rank, size := watcher.Rank(r.group.self(), v.Instances)
	holds := !r.contactAt.IsZero() && now.Sub(r.contactAt) < contactHold
	return watcher.MayWatch(rank, size, r.silence(now), holds)
}

// silence returns how long no other daemon is known to have reached the platform.
func (r *Reconciler) silence(now time.Time) time.Duration {
	at, ok := r.contacts.Last(r.cfg.Self.ID)
	if ok {
		return now.Sub(at)
	}
	if !r.synced {
		return neverReached
	}
	return now.Sub(r.startedAt)
}

// grace returns how long after the start the platform is left alone, so that a
// fleet that starts at once asks few times.
func (r *Reconciler) grace() time.Duration {
	if len(r.cfg.Seeds) == 0 {
		return 0
	}
	return minGrace + time.Duration(r.cfg.Rand.Int64N(int64(maxGrace-minGrace)))
}

// vary returns a duration between half and one and a half of d.
func (r *Reconciler) vary(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.cfg.Rand.Int64N(int64(d)))
}
