// Package hedger decides after which delay a sub-request is hedged, that is, sent again to another
// replica. It bounds the extra sub-requests, hedges and retries together, by a retry budget.
package hedger

import "time"

const (
	// minDelay keeps services with very fast answers from hedging on noise.
	minDelay = 2 * time.Millisecond
	// coldDelayDivisor sets the delay to a third of the remaining time while there are too few latency
	// samples.
	coldDelayDivisor = 3
	// maxDelayDivisor limits the delay to half of the remaining time.
	maxDelayDivisor = 2
)

// Config holds the hedging policy of one service.
type Config struct {
	// Quantile is the quantile of latencies, 0 to 1, beyond which a sub-request is slow.
	Quantile float64
	// Percent is the number of extra sub-requests for every 100 first attempts.
	Percent int
	// Burst is the capacity of the retry budget, in extra sub-requests.
	Burst int
}

// Hedger holds the retry budget and the latency estimate of one service.
type Hedger struct {
	*Budget
	latency *Estimator
}

// New returns a Hedger with a full budget, whose clock starts at now.
func New(cfg Config, now time.Time) *Hedger {
	return &Hedger{
		Budget:  NewBudget(cfg.Percent, float64(cfg.Burst), float64(cfg.Burst)),
		latency: NewEstimator(cfg.Quantile, now),
	}
}

// Observe adds the latencies of sub-requests, or the times after which slow ones were cancelled, and
// empties the histogram.
func (h *Hedger) Observe(histogram *Histogram) {
	h.latency.Add(histogram)
}

// Delay returns the time after which a sub-request is hedged, given the time that remains for it.
func (h *Hedger) Delay(now time.Time, remaining time.Duration) time.Duration {
	d, ok := h.latency.Estimate(now)
	if !ok {
		return remaining / coldDelayDivisor
	}
	return min(max(d, minDelay), remaining/maxDelayDivisor)
}
