package storer

import "time"

// backoff decides when calls may be made again after failures.
type backoff struct {
	// minWindow and maxWindow bound the window that the length of a backoff is drawn from.
	minWindow, maxWindow time.Duration
	// failures is the number of failures in a row, and failedAt the time of the last one.
	failures int
	failedAt time.Time
	// until is when the backoff ends.
	until time.Time
}

// fail records the failure of a call that started at started, and starts a backoff of
// random, from 0 up to 1, times the window. A call that started before the last recorded
// failure is ignored, so that concurrent calls count as one failure.
func (b *backoff) fail(started, now time.Time, random float64) {
	if b.failures > 0 && !started.After(b.failedAt) {
		return
	}
	window := b.minWindow
	for range b.failures {
		window = min(2*window, b.maxWindow)
	}
	b.failures++
	b.failedAt = now
	b.until = now.Add(time.Duration(random * float64(window)))
}

// succeed ends the backoff and resets its window.
func (b *backoff) succeed() {
	b.failures = 0
	b.until = time.Time{}
}
