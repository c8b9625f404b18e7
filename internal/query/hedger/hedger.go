// Package hedger decides when a slow sub-request is sent again to another
// replica, and how many extra sub-requests, hedges and retries, are allowed.
package hedger

import "time"

const (
	// minDelay keeps a service of very fast answers from hedging on noise.
	minDelay = 2 * time.Millisecond
	// firstDelayPart is the part of the time left that passes before a hedge while
	// too few latencies are known.
	firstDelayPart = 3
	// maxDelayPart is the largest part of the time left that passes before a hedge.
	maxDelayPart = 2
)

// Config holds the hedging policy of one service.
type Config struct {
	// Quantile is the share of latencies, 0 to 1, after which a sub-request counts
	// as slow.
	Quantile float64
	// Percent is the number of extra sub-requests for 100 first attempts.
	Percent int
	// Burst is the number of extra sub-requests allowed at once.
	Burst int
}

// Hedger is the hedging state of one service.
type Hedger struct {
	*Budget
	latency *Estimator
}

// New returns a Hedger whose clock starts at now.
func New(cfg Config, now time.Time) *Hedger {
	return &Hedger{
		Budget:  NewBudget(cfg.Percent, float64(cfg.Burst), float64(cfg.Burst)),
		latency: NewEstimator(cfg.Quantile, now),
	}
}

// Observe records the latencies of sub-requests, or the times after which they
// were given up for faster ones, and empties the tally.
func (h *Hedger) Observe(t *Histogram) {
	h.latency.Add(t)
}

// Delay returns the time after which a sub-request is hedged, when remaining is
// the time left for it.
func (h *Hedger) Delay(now time.Time, remaining time.Duration) time.Duration {
	d, ok := h.latency.Estimate(now)
	if !ok {
		return remaining / firstDelayPart
	}
	return min(max(d, minDelay), remaining/maxDelayPart)
}
