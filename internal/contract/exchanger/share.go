package exchanger

import "time"

// Share is what a daemon may admit to one upstream at a moment.
type Share struct {
	// Num/Den is the share of the upstream's limit; 0/1 admits nothing.
	Num, Den int
	// AllowCold is true when a cold upstream may be given its cold limit.
	AllowCold bool
	// ValidUntil is when the share ends unless it is renewed, on this daemon's
	// monotonic clock. A sub-request must end by then plus the takeover margin.
	ValidUntil time.Time
}

// Scale returns the number of requests that the share of limit allows at now.
func (s Share) Scale(limit int, now time.Time) int {
	if s.Num == 0 || !now.Before(s.ValidUntil) {
		return 0
	}
	return limit * s.Num / s.Den
}
