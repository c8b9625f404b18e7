package tracker

import (
	"sync/atomic"
	"time"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxDoublings keeps the shift of minBackoff within maxBackoff's range.
	maxDoublings = 6
)

// backoff doubles the time out of use with each failure in a row. Times are
// nanoseconds since the Tracker's start.
type backoff struct {
	until atomic.Int64
	count atomic.Int64
}

func (b *backoff) isDown(at int64) bool {
	return at < b.until.Load()
}

// fail starts or extends the back-off. Failures while it runs belong to
// requests sent before it and change nothing.
func (b *backoff) fail(at int64) {
	until := b.until.Load()
	if at < until {
		return
	}
	n := min(b.count.Load(), maxDoublings)
	d := min(minBackoff<<n, maxBackoff)
	if b.until.CompareAndSwap(until, at+int64(d)) {
		b.count.Add(1)
	}
}

func (b *backoff) reset() {
	if b.count.Load() == 0 {
		return
	}
	b.count.Store(0)
	b.until.Store(0)
}
