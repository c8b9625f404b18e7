package exchanger

import "time"

// Share is the part of the capacity of one upstream that a daemon may use at one time.
type Share struct {
	// Num/Den is the fraction of the upstream's limit; 0/1 admits nothing.
	Num, Den int
	// AllowCold is true when this daemon may use a cold upstream, up to its cold limit.
	AllowCold bool
	// ValidUntil is when the share expires unless it is renewed, by this daemon's
	// monotonic clock. A sub-request must end by then plus the takeover margin.
	ValidUntil time.Time
}

// Scale returns the number of requests that the share allows at now, out of limit.
func (s Share) Scale(limit int, now time.Time) int {
	if s.Num == 0 || !now.Before(s.ValidUntil) {
		return 0
	}
	return limit * s.Num / s.Den
}
