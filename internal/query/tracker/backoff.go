package tracker

import (
	"sync/atomic"
	"time"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// trialEvery is the time between two trials after a back-off has run out.
	trialEvery = 100 * time.Millisecond
	// maxDoublings keeps the shift of minBackoff within maxBackoff's range.
	maxDoublings = 6
)

// backoff doubles the time out of use with each failure in a row. Times are
// nanoseconds since the Tracker's start.
type backoff struct {
	until    atomic.Int64
	failedAt atomic.Int64
	count    atomic.Int64
}

// isDown reports whether the back-off holds at a time. When it has run out, one
// caller for each trialEvery is let through until a success ends it.
func (b *backoff) isDown(at int64) bool {
	until := b.until.Load()
	return until != 0 && !b.claimTrial(until, at)
}

// claimTrial reports whether the back-off that ends at until is over and the
// caller is the one to try again.
func (b *backoff) claimTrial(until, at int64) bool {
	return at >= until && b.until.CompareAndSwap(until, at+int64(trialEvery))
}

// fail starts or extends the back-off. Failures soon after the last one that
// counted belong to requests sent before it and change nothing.
func (b *backoff) fail(at int64) {
	failed := b.failedAt.Load()
	isFirst := b.count.Load() == 0
	if !isFirst && at-failed < int64(minBackoff) {
		return
	}
	if !b.failedAt.CompareAndSwap(failed, at) {
		return
	}
	n := min(b.count.Add(1)-1, maxDoublings)
	b.until.Store(at + int64(min(minBackoff<<n, maxBackoff)))
}

func (b *backoff) reset() {
	if b.count.Load() == 0 {
		return
	}
	b.count.Store(0)
	b.until.Store(0)
}
