package tracker

import (
	"sync/atomic"
	"time"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// trialInterval is the time between two trials after a backoff has expired.
	trialInterval = 100 * time.Millisecond
	// maxDoublings bounds the shift of minBackoff; 6 doublings exceed maxBackoff.
	maxDoublings = 6
)

// backoff is an exponential backoff that doubles with each failure in a row. Times are nanoseconds
// since the Tracker's start.
type backoff struct {
	until    atomic.Int64
	failedAt atomic.Int64
	failures atomic.Int64
}

// isActive reports whether the backoff applies at a time. After it has expired, it returns false to
// one caller for each trialInterval until a success resets the backoff.
func (b *backoff) isActive(at int64) bool {
	until := b.until.Load()
	return until != 0 && !b.claimTrial(until, at)
}

// claimTrial reports whether the backoff that ends at until has expired and the caller is the one to
// try again.
func (b *backoff) claimTrial(until, at int64) bool {
	return at >= until && b.until.CompareAndSwap(until, at+int64(trialInterval))
}

// fail starts or extends the backoff. Failures within minBackoff of the last counted one are ignored,
// since they belong to requests that were sent before it.
func (b *backoff) fail(at int64) {
	failed := b.failedAt.Load()
	isFirst := b.failures.Load() == 0
	if !isFirst && at-failed < int64(minBackoff) {
		return
	}
	if !b.failedAt.CompareAndSwap(failed, at) {
		return
	}
	n := min(b.failures.Add(1)-1, maxDoublings)
	b.until.Store(at + int64(min(minBackoff<<n, maxBackoff)))
}

func (b *backoff) reset() {
	if b.failures.Load() == 0 {
		return
	}
	b.failures.Store(0)
	b.until.Store(0)
}
