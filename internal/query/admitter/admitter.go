// Package admitter bounds the queries that run at once in a daemon, and sheds
// the least urgent ones first.
package admitter

import "sync/atomic"

const (
	// priorities is the number of contract priorities, 0 to 9.
	priorities = 10
	// floorPercent is the part of the limit, in percent, that even the lowest
	// priority may fill.
	floorPercent = 50
)

// Admitter counts the queries that run. A query of priority p is admitted while
// fewer run than its part of the limit, which grows from a half for priority 0 to
// all of it for priority 9; so the lowest priorities are shed first.
type Admitter struct {
	limits  [priorities]int64
	running atomic.Int64
}

// New returns an Admitter of at most limit queries at once.
func New(limit int) *Admitter {
	a := &Admitter{}
	for p := range a.limits {
		percent := floorPercent + (100-floorPercent)*p/(priorities-1)
		a.limits[p] = max(int64(limit*percent/100), 1)
	}
	return a
}

// Admit counts a query in and returns true, or returns false when it is shed.
// Every Admit that returns true needs one Release.
func (a *Admitter) Admit(priority int) bool {
	limit := a.limits[min(max(priority, 0), priorities-1)]
	if a.running.Add(1) > limit {
		a.running.Add(-1)
		return false
	}
	return true
}

// Release counts a query out.
func (a *Admitter) Release() {
	a.running.Add(-1)
}

// Running returns the number of queries that run.
func (a *Admitter) Running() int {
	return int(a.running.Load())
}
