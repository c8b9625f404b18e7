package hedger

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// Buckets divide each octave into 8 equal steps, so a bucket's width is at most 13 percent of its
	// lower bound.
	stepBits       = 3
	stepsPerOctave = 1 << stepBits
	octaves        = 20
	bucketCount    = stepsPerOctave * octaves
	// lowestBucketWidth is the width of the lowest buckets; the highest ends at about 70 s.
	lowestBucketWidth = 16 * time.Microsecond
	// minSamples is the number of samples below which there is no estimate.
	minSamples = 64
	// estimateInterval is the time between two estimates. The counts are halved at each, so that
	// recent samples dominate.
	estimateInterval = time.Second
	// firstEstimateSamples is the number of samples that triggers the first estimate before
	// estimateInterval has passed.
	firstEstimateSamples = 256
)

// Estimator estimates one quantile of a stream of latencies in fixed memory. Its methods may be called
// from any goroutine.
type Estimator struct {
	quantile float64
	start    time.Time
	// nextAt is when the next estimate is due, in nanoseconds since start; estimate is the latest one in
	// nanoseconds, 0 while there is none.
	nextAt     atomic.Int64
	newSamples atomic.Int64
	estimate   atomic.Int64
	counts     [bucketCount]atomic.Int64
}

// NewEstimator returns an Estimator of a quantile, 0 to 1, whose clock starts at now.
func NewEstimator(quantile float64, now time.Time) *Estimator {
	e := &Estimator{quantile: quantile, start: now}
	e.nextAt.Store(int64(estimateInterval))
	return e
}

// Histogram collects the latencies of one query before they are added to the Estimator that all
// queries of the service share. It is used by one goroutine.
type Histogram struct {
	counts [bucketCount]uint16
	total  int
}

// Add records one latency.
func (h *Histogram) Add(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
}

// Add adds the latencies of a histogram and empties it.
func (e *Estimator) Add(h *Histogram) {
	if h.total == 0 {
		return
	}
	for i, n := range h.counts {
		if n > 0 {
			e.counts[i].Add(int64(n))
		}
	}
	e.newSamples.Add(int64(h.total))
	*h = Histogram{}
}

// Estimate returns the estimated quantile, and false while there are too few samples. It recomputes
// the estimate when that is due at now.
func (e *Estimator) Estimate(now time.Time) (time.Duration, bool) {
	at := int64(now.Sub(e.start))
	next := e.nextAt.Load()
	isEarly := e.estimate.Load() == 0 && e.newSamples.Load() >= firstEstimateSamples
	if (at >= next || isEarly) && e.nextAt.CompareAndSwap(next, at+int64(estimateInterval)) {
		e.recompute()
	}
	v := e.estimate.Load()
	return time.Duration(v), v > 0
}

// recompute updates the estimate and halves the counts. Below minSamples it does neither.
func (e *Estimator) recompute() {
	e.newSamples.Store(0)
	var counts [bucketCount]int64
	total := int64(0)
	for i := range e.counts {
		counts[i] = e.counts[i].Load()
		total += counts[i]
	}
	if total < minSamples {
		return
	}
	rank := int64(math.Ceil(e.quantile * float64(total)))
	seen := int64(0)
	for i, n := range counts {
		seen += n
		if seen >= rank {
			e.estimate.Store(int64(upperBound(i)))
			break
		}
	}
	for i, n := range counts {
		e.counts[i].Add(n/2 - n)
	}
}

// bucketOf returns the bucket of a latency, from its octave and its step in the octave.
func bucketOf(d time.Duration) int {
	units := uint64(max(d, 0)) / uint64(lowestBucketWidth)
	octave := bits.Len64(units)
	if octave <= stepBits {
		return int(units)
	}
	shift := octave - stepBits - 1
	i := (shift+1)<<stepBits | int(units>>shift)&(stepsPerOctave-1)
	return min(i, bucketCount-1)
}

// upperBound returns the upper bound of a bucket.
func upperBound(i int) time.Duration {
	if i < stepsPerOctave {
		return time.Duration(i+1) * lowestBucketWidth
	}
	shift := i>>stepBits - 1
	units := (stepsPerOctave | i&(stepsPerOctave-1)) + 1
	return time.Duration(units) << shift * lowestBucketWidth
}

// Record adds one latency.
func (e *Estimator) Record(d time.Duration) {
	e.counts[bucketOf(d)].Add(1)
	e.newSamples.Add(1)
}
