// Package sampler estimates a quantile of a slow stream of durations, such as the few queries per second of a small
// daemon, for which hedger.Estimator has too few samples.
package sampler

import (
	"slices"
	"sync"
	"time"
)

const (
	// size is the number of samples kept: enough for the 95th percentile to leave out three of them.
	size = 64
	// minSamples is the number of samples below which there is no estimate.
	minSamples = 8
	// maxAge is the age from which a sample no longer counts: longer than a wave of load (11 s).
	maxAge = 15 * time.Second
	// estimateInterval bounds the processor time: an estimate sorts all samples.
	estimateInterval = 200 * time.Millisecond
)

// Window holds the latest samples of a stream in fixed memory. It is safe for concurrent use.
type Window struct {
	quantile float64

	mu      sync.Mutex
	samples [size]sample
	next    int
	// estimate is the quantile as of estimatedAt, known false when there were too few samples.
	estimate    time.Duration
	known       bool
	estimatedAt time.Time
}

type sample struct {
	d  time.Duration
	at time.Time
}

// NewWindow returns a Window that estimates a quantile, 0 to 1.
func NewWindow(quantile float64) *Window {
	return &Window{quantile: quantile}
}

// Record adds a sample.
func (w *Window) Record(d time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples[w.next] = sample{d, now}
	w.next = (w.next + 1) % size
}

// Estimate returns the quantile, and false while there are too few recent samples.
func (w *Window) Estimate(now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.estimatedAt.IsZero() && now.Sub(w.estimatedAt) < estimateInterval {
		return w.estimate, w.known
	}
	w.estimatedAt = now
	var buf [size]time.Duration
	recent := buf[:0]
	for _, s := range w.samples {
		if !s.at.IsZero() && now.Sub(s.at) < maxAge {
			recent = append(recent, s.d)
		}
	}
	w.estimate, w.known = 0, len(recent) >= minSamples
	if w.known {
		slices.Sort(recent)
		w.estimate = recent[int(w.quantile*float64(len(recent)-1)+0.5)]
	}
	return w.estimate, w.known
}
