package hedger

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// Buckets divide each octave in 8 equal steps, so they are at most 13 in 100
	// wide.
	stepBits       = 3
	stepsPerOctave = 1 << stepBits
	octaves        = 20
	buckets        = stepsPerOctave * octaves
	// unit is the width of the lowest buckets; the highest ends at about 70 s.
	unit = 16 * time.Microsecond
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

// Histogram collects latencies of one query before they are added to the Estimator
// that all queries of the service share.
type Histogram struct {
	counts [buckets]uint16
	total  int
}

// Add records one latency.
func (t *Histogram) Add(d time.Duration) {
	t.counts[bucketOf(d)]++
	t.total++
}

// Add adds a tally and empties it.
func (e *Estimator) Add(t *Histogram) {
	if t.total == 0 {
		return
	}
	for i, n := range t.counts {
		if n > 0 {
			e.counts[i].Add(int64(n))
		}
	}
	e.fresh.Add(int64(t.total))
	*t = Histogram{}
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

// bucketOf returns the bucket of a latency: its octave, and the eighth of it.
func bucketOf(d time.Duration) int {
	units := uint64(max(d, 0)) / uint64(unit)
	octave := bits.Len64(units)
	if octave <= stepBits {
		return int(units)
	}
	shift := octave - stepBits - 1
	i := (shift+1)<<stepBits | int(units>>shift)&(stepsPerOctave-1)
	return min(i, buckets-1)
}

// boundOf returns the upper bound of a bucket.
func boundOf(i int) time.Duration {
	if i < stepsPerOctave {
		return time.Duration(i+1) * unit
	}
	shift := i>>stepBits - 1
	units := (stepsPerOctave | i&(stepsPerOctave-1)) + 1
	return time.Duration(units) << shift * unit
}

// Record adds one latency.
func (e *Estimator) Record(d time.Duration) {
	e.counts[bucketOf(d)].Add(1)
	e.fresh.Add(1)
}
