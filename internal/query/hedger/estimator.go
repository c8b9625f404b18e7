package hedger

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// stepsPerOctave gives buckets of about 9 in 100 width.
	stepsPerOctave = 8
	octaves        = 20
	buckets        = stepsPerOctave * octaves
	// firstBucket is the upper bound of the lowest bucket; the highest ends at 64 s.
	firstBucket = 64 * time.Microsecond
	// minSamples is the number of samples below which nothing is estimated.
	minSamples = 64
	// estimateEvery is the time between two estimates; the counts are halved at
	// each, so that the last few of them decide.
	estimateEvery = time.Second
	// samplesPerEstimate makes an early estimate while there was none.
	samplesPerEstimate = 256
)

// Estimator estimates one quantile of a stream of latencies in fixed memory. Its
// methods may be called from any goroutine.
type Estimator struct {
	quantile float64
	start    time.Time
	nextAt   atomic.Int64
	fresh    atomic.Int64
	value    atomic.Int64
	counts   [buckets]atomic.Int64
}

// NewEstimator returns an Estimator of a quantile, 0 to 1, whose clock starts at
// now.
func NewEstimator(quantile float64, now time.Time) *Estimator {
	e := &Estimator{quantile: quantile, start: now}
	e.nextAt.Store(int64(estimateEvery))
	return e
}

// Add records one latency.
func (e *Estimator) Add(d time.Duration) {
	e.counts[bucketOf(d)].Add(1)
	e.fresh.Add(1)
}

// Estimate returns the quantile, and false when there are too few samples. It
// works the estimate out again when one is due at now.
func (e *Estimator) Estimate(now time.Time) (time.Duration, bool) {
	at := int64(now.Sub(e.start))
	next := e.nextAt.Load()
	isEarly := e.value.Load() == 0 && e.fresh.Load() >= samplesPerEstimate
	if (at >= next || isEarly) && e.nextAt.CompareAndSwap(next, at+int64(estimateEvery)) {
		e.work()
	}
	v := e.value.Load()
	return time.Duration(v), v > 0
}

// work sets the estimate and halves the counts.
func (e *Estimator) work() {
	e.fresh.Store(0)
	var copied [buckets]int64
	total := int64(0)
	for i := range e.counts {
		copied[i] = e.counts[i].Load()
		total += copied[i]
	}
	if total < minSamples {
		return
	}
	rank := int64(math.Ceil(e.quantile * float64(total)))
	seen := int64(0)
	for i, n := range copied {
		seen += n
		if seen >= rank {
			e.value.Store(int64(boundOf(i)))
			break
		}
	}
	for i, n := range copied {
		e.counts[i].Add(n/2 - n)
	}
}

func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(firstBucket)) * stepsPerOctave))
	return min(i, buckets-1)
}

// boundOf returns the upper bound of a bucket.
func boundOf(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(i)/stepsPerOctave))
}
