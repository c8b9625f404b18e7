// Package admitter bounds the queries that a daemon runs at once, and sheds those of the lowest
// priorities first.
package admitter

import "sync/atomic"

const (
	// priorities is the number of contract priorities, 0 to 9.
	priorities = 10
	// lowestPriorityPercent is the share of the limit, in percent, that priority 0 may use.
	lowestPriorityPercent = 50
)

// Admitter counts running queries. A query is admitted while fewer queries run than its priority's
// share of the limit, which grows from a half for priority 0 to all of it for priority 9. The lowest
// priorities are therefore shed first.
type Admitter struct {
	limits  [priorities]int64
	running atomic.Int64
}

// New returns an Admitter that admits at most limit queries at once.
func New(limit int) *Admitter {
	a := &Admitter{}
	for p := range a.limits {
		percent := lowestPriorityPercent + (100-lowestPriorityPercent)*p/(priorities-1)
		a.limits[p] = max(int64(limit*percent/100), 1)
	}
	return a
}

// Admit counts a query as running and returns true, or returns false when the query is shed. Every
// Admit that returns true needs one Release.
func (a *Admitter) Admit(priority int) bool {
	limit := a.limits[min(max(priority, 0), priorities-1)]
	if a.running.Add(1) > limit {
		a.running.Add(-1)
		return false
	}
	return true
}

// Release counts an admitted query as finished.
func (a *Admitter) Release() {
	a.running.Add(-1)
}

// Running returns the number of running queries.
func (a *Admitter) Running() int {
	return int(a.running.Load())
}
