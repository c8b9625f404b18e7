package tracker

import (
	"sync/atomic"
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the moving average, 1 in 8.
	latencyWeight = 8
	// loadAge is the age at which a load report no longer counts.
	loadAge = time.Second
	// latencyHalfAge is the idle time after which the latency estimate is halved,
	// so that an upstream that was slow is tried again.
	latencyHalfAge = 5 * time.Second
	// stampEvery is the resolution of ages; it spares most writes of hot upstreams.
	stampEvery = 20 * time.Millisecond
	// failuresToBackOff is the number of failures in a row, of requests that were
	// sent, that makes an upstream back off.
	failuresToBackOff = 3
)

// Reading is a copy of an upstream's state at one moment.
type Reading struct {
	// VersionsKnown is true when Oldest and Newest are known.
	VersionsKnown bool
	// Oldest and Newest bound the snapshot versions held.
	Oldest, Newest uint64
	// VersionsAge is the time since the versions were last confirmed.
	VersionsAge time.Duration
	// Latency is the moving average of successful answers; 0 when there is none.
	Latency time.Duration
	// Load is the owner's queue over the upstream's limit, in percent.
	Load int32
	// InFlight is the number of this daemon's open sub-requests.
	InFlight int32
	// BackingOff is true while the upstream backs off after failures.
	BackingOff bool
}

// HasVersion reports whether version v is known to be held.
func (r *Reading) HasVersion(v uint64) bool {
	return r.VersionsKnown && r.Oldest <= v && v <= r.Newest
}

// Upstream is the state of one upstream. Its methods may be called from any
// goroutine; updates that race may lose one sample.
type Upstream struct {
	start     time.Time
	held      atomic.Pointer[held]
	heldAt    atomic.Int64
	probeAt   atomic.Int64
	latency   atomic.Int64
	latencyAt atomic.Int64
	load      atomic.Int64
	loadAt    atomic.Int64
	inflight  atomic.Int64
	failures  atomic.Int64
	backoff   backoff
	owner     atomic.Pointer[string]
}

type held struct {
	oldest, newest uint64
}

// Read returns the state at now.
func (u *Upstream) Read(now time.Time) Reading {
	var r Reading
	u.ReadInto(&r, now.Sub(u.start))
	return r
}

// ReadInto sets r to the state at a time since the Tracker's start. It is the form
// of Read for many upstreams at once.
func (u *Upstream) ReadInto(r *Reading, since time.Duration) {
	at := int64(since)
	*r = Reading{
		InFlight:   int32(u.inflight.Load()),
		BackingOff: u.backoff.isDown(at),
	}
	if h := u.held.Load(); h != nil {
		r.VersionsKnown, r.Oldest, r.Newest = true, h.oldest, h.newest
		r.VersionsAge = time.Duration(at - u.heldAt.Load())
	}
	if at-u.loadAt.Load() < int64(loadAge) {
		r.Load = int32(u.load.Load())
	}
	if l := u.latency.Load(); l > 0 {
		r.Latency = fade(time.Duration(l), time.Duration(at-u.latencyAt.Load()))
	}
}

// stamp sets a time that is only used as an age, unless it was set just before.
func stamp(at *atomic.Int64, since time.Duration) {
	if int64(since)-at.Load() >= int64(stampEvery) || at.Load() == 0 {
		at.Store(int64(since))
	}
}

// fade returns what a latency estimate counts after an idle time.
func fade(latency, idle time.Duration) time.Duration {
	if idle < latencyHalfAge {
		return latency
	}
	return latency >> min(idle/latencyHalfAge, 63)
}

// SetVersions records the versions that the upstream said it holds.
func (u *Upstream) SetVersions(oldest, newest uint64, now time.Time) {
	if newest == 0 || oldest > newest {
		return
	}
	if h := u.held.Load(); h == nil || h.oldest != oldest || h.newest != newest {
		u.held.Store(&held{oldest: oldest, newest: newest})
	}
	stamp(&u.heldAt, now.Sub(u.start))
}

// SetOwner records the instance that owns the upstream. A new owner ends the back-off
// that failures of the one before have caused.
func (u *Upstream) SetOwner(id string) {
	if was := u.owner.Swap(&id); was != nil && *was != id {
		u.ResetBackoff()
	}
}

// Begin counts a sub-request that is sent.
func (u *Upstream) Begin() {
	u.inflight.Add(1)
}

// End counts a sub-request that is over.
func (u *Upstream) End() {
	u.inflight.Add(-1)
}

// Succeed records an answer after took and ends any back-off.
func (u *Upstream) Succeed(took time.Duration, now time.Time) {
	u.ObserveLatency(took, now)
	u.ResetBackoff()
}

// ResetBackoff ends any back-off.
func (u *Upstream) ResetBackoff() {
	if u.failures.Load() != 0 {
		u.failures.Store(0)
	}
	u.backoff.reset()
}

// ObserveLatency records a latency, or the time after which an answer that had not
// come was given up.
func (u *Upstream) ObserveLatency(took time.Duration, now time.Time) {
	was := u.latency.Load()
	next := int64(took)
	if was > 0 {
		next = was + (int64(took)-was)/latencyWeight
	}
	u.latency.Store(max(next, 1))
	stamp(&u.latencyAt, now.Sub(u.start))
}

// SetLoad records the owner's load of the upstream, in percent.
func (u *Upstream) SetLoad(load int, now time.Time) {
	if u.load.Load() != int64(load) {
		u.load.Store(int64(load))
	}
	stamp(&u.loadAt, now.Sub(u.start))
}

// Fail records a sub-request that got no valid answer. Unreachable upstreams
// back off at once, others after failures in a row.
func (u *Upstream) Fail(unreachable bool, now time.Time) {
	n := u.failures.Add(1)
	if unreachable || n >= failuresToBackOff {
		u.backoff.fail(int64(now.Sub(u.start)))
	}
}

// ClaimProbe reports whether the versions are older than age and no other caller
// has claimed a probe within that time. The claim is taken when it returns true.
func (u *Upstream) ClaimProbe(age time.Duration, now time.Time) bool {
	at := int64(now.Sub(u.start))
	if u.held.Load() != nil && at-u.heldAt.Load() < int64(age) {
		return false
	}
	next := u.probeAt.Load()
	return at >= next && u.probeAt.CompareAndSwap(next, at+int64(age))
}
