package tracker

import (
	"sync/atomic"
	"time"
)

const (
	// latencyWeight is the inverse of a new sample's weight in the moving average: 1 in 8.
	latencyWeight = 8
	// maxLoadAge is the age from which a load report is ignored.
	maxLoadAge = time.Second
	// latencyHalfLife is the idle time after which the latency estimate is halved, so that an upstream
	// that was slow is tried again.
	latencyHalfLife = 5 * time.Second
	// timeResolution is the resolution of ages; it avoids most writes for busy upstreams.
	timeResolution = 20 * time.Millisecond
	// failuresToBackoff is the number of consecutive failures, of requests that were sent, after which
	// an upstream backs off.
	failuresToBackoff = 3
)

// Reading is a copy of an upstream's state at one moment.
type Reading struct {
	// VersionsKnown is true when Oldest and Newest are known.
	VersionsKnown bool
	// Oldest and Newest bound the snapshot versions that the upstream holds.
	Oldest, Newest uint64
	// VersionsAge is the time since the upstream last reported its versions.
	VersionsAge time.Duration
	// Latency is the moving average of latencies; 0 when there are no samples.
	Latency time.Duration
	// Load is the owner's queue for the upstream relative to the upstream's limit, in percent.
	Load int32
	// InFlight is the number of this daemon's sub-requests in flight.
	InFlight int32
	// BackingOff is true while the upstream backs off after failures.
	BackingOff bool
}

// HasVersion reports whether the upstream is known to hold version v.
func (r *Reading) HasVersion(v uint64) bool {
	return r.VersionsKnown && r.Oldest <= v && v <= r.Newest
}

// Upstream is the state of one upstream. Its methods may be called from any goroutine; concurrent
// updates may lose a sample.
type Upstream struct {
	start       time.Time
	versions    atomic.Pointer[versionRange]
	versionsAt  atomic.Int64
	nextProbeAt atomic.Int64
	latency     atomic.Int64
	latencyAt   atomic.Int64
	load        atomic.Int64
	loadAt      atomic.Int64
	inFlight    atomic.Int64
	failures    atomic.Int64
	backoff     backoff
	owner       atomic.Pointer[string]
}

type versionRange struct {
	oldest, newest uint64
}

// Read returns the state at now.
func (u *Upstream) Read(now time.Time) Reading {
	var r Reading
	u.ReadInto(&r, now.Sub(u.start))
	return r
}

// ReadInto sets r to the state at a time since the Tracker's start. It saves copies when many
// upstreams are read at once.
func (u *Upstream) ReadInto(r *Reading, since time.Duration) {
	at := int64(since)
	*r = Reading{
		InFlight:   int32(u.inFlight.Load()),
		BackingOff: u.backoff.isActive(at),
	}
	if v := u.versions.Load(); v != nil {
		r.VersionsKnown, r.Oldest, r.Newest = true, v.oldest, v.newest
		r.VersionsAge = time.Duration(at - u.versionsAt.Load())
	}
	if at-u.loadAt.Load() < int64(maxLoadAge) {
		r.Load = int32(u.load.Load())
	}
	if l := u.latency.Load(); l > 0 {
		r.Latency = decayLatency(time.Duration(l), time.Duration(at-u.latencyAt.Load()))
	}
}

// updateTime sets a time that is only used to compute ages, unless it was set less than timeResolution
// before.
func updateTime(at *atomic.Int64, since time.Duration) {
	if int64(since)-at.Load() >= int64(timeResolution) || at.Load() == 0 {
		at.Store(int64(since))
	}
}

// decayLatency halves a latency estimate for each latencyHalfLife of idle time.
func decayLatency(latency, idle time.Duration) time.Duration {
	if idle < latencyHalfLife {
		return latency
	}
	return latency >> min(idle/latencyHalfLife, 63)
}

// SetVersions records the versions that the upstream reported. An empty or invalid range is ignored.
func (u *Upstream) SetVersions(oldest, newest uint64, now time.Time) {
	if newest == 0 || oldest > newest {
		return
	}
	if v := u.versions.Load(); v == nil || v.oldest != oldest || v.newest != newest {
		u.versions.Store(&versionRange{oldest: oldest, newest: newest})
	}
	updateTime(&u.versionsAt, now.Sub(u.start))
}

// SetOwner records the process that owns the upstream. A new owner ends the backoff, since the
// failures may have been the previous owner's.
func (u *Upstream) SetOwner(id string) {
	if old := u.owner.Swap(&id); old != nil && *old != id {
		u.ResetBackoff()
	}
}

// Begin counts a sub-request as in flight.
func (u *Upstream) Begin() {
	u.inFlight.Add(1)
}

// End counts a sub-request as no longer in flight.
func (u *Upstream) End() {
	u.inFlight.Add(-1)
}

// Succeed records the latency of a valid answer and ends any backoff.
func (u *Upstream) Succeed(took time.Duration, now time.Time) {
	u.ObserveLatency(took, now)
	u.ResetBackoff()
}

// ResetBackoff ends any backoff and clears the count of failures.
func (u *Upstream) ResetBackoff() {
	if u.failures.Load() != 0 {
		u.failures.Store(0)
	}
	u.backoff.reset()
}

// ObserveLatency adds a latency, or the time after which a sub-request was cancelled, to the moving
// average.
func (u *Upstream) ObserveLatency(took time.Duration, now time.Time) {
	old := u.latency.Load()
	next := int64(took)
	if old > 0 {
		next = old + (int64(took)-old)/latencyWeight
	}
	u.latency.Store(max(next, 1))
	updateTime(&u.latencyAt, now.Sub(u.start))
}

// SetLoad records the owner's load report for the upstream, in percent.
func (u *Upstream) SetLoad(load int, now time.Time) {
	if u.load.Load() != int64(load) {
		u.load.Store(int64(load))
	}
	updateTime(&u.loadAt, now.Sub(u.start))
}

// Fail records a sub-request without a valid answer. An unreachable upstream backs off at once, any
// other after failuresToBackoff consecutive failures.
func (u *Upstream) Fail(unreachable bool, now time.Time) {
	n := u.failures.Add(1)
	if unreachable || n >= failuresToBackoff {
		u.backoff.fail(int64(now.Sub(u.start)))
	}
}

// ClaimProbe reports whether the versions are older than age, or unknown, and no other caller has
// claimed a probe within that time. When it returns true, the caller has claimed the probe.
func (u *Upstream) ClaimProbe(age time.Duration, now time.Time) bool {
	at := int64(now.Sub(u.start))
	if u.versions.Load() != nil && at-u.versionsAt.Load() < int64(age) {
		return false
	}
	next := u.nextProbeAt.Load()
	return at >= next && u.nextProbeAt.CompareAndSwap(next, at+int64(age))
}
