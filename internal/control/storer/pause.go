package storer

import "time"

// pause decides when calls may go on after failures.
type pause struct {
	// least and most bound the window that a pause is drawn from.
	least, most time.Duration
	failures    int
	failedAt    time.Time
	until       time.Time
}

// fail notes the failure of a call that started at a moment; random is from 0
// up to 1. Calls that ran side by side count as one failure.
func (p *pause) fail(started, now time.Time, random float64) {
	if p.failures > 0 && !started.After(p.failedAt) {
		return
	}
	window := p.least
	for range p.failures {
		window = min(2*window, p.most)
	}
	p.failures++
	p.failedAt = now
	p.until = now.Add(time.Duration(random * float64(window)))
}

// succeed ends the run of failures.
func (p *pause) succeed() {
	p.failures = 0
	p.until = time.Time{}
}
