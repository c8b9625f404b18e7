package selector

import (
	"math"
	"time"
)

// latencyAt returns the relative latency, which decays towards 1 with the time since the last sample.
func (st *state) latencyAt(now time.Time) float64 {
	if st.sampledAt.IsZero() {
		return 1
	}
	return 1 + (st.latency-1)*math.Exp2(-float64(now.Sub(st.sampledAt))/float64(latencyHalfLife))
}

// relative returns took relative to the average, at most maxLatency; it is 1 when the average is not known.
func relative(took, average time.Duration) float64 {
	if average <= 0 {
		return 1
	}
	return min(maxLatency, float64(took)/float64(average))
}
