package burner

import "time"

// maxMinuteSpan is the longest span that is sampled each minute.
const maxMinuteSpan = Window6h

// Scale is the time scale of a History.
type Scale struct {
	// Span is the age of the oldest point.
	Span time.Duration
	// Step is the time between points.
	Step time.Duration
	// Trailing is the window before each point over which burn rates and good shares are
	// computed.
	Trailing time.Duration
}

// Point is the service level of one service at one point in time.
type Point struct {
	// Age is the time from the point to the report.
	Age time.Duration
	// Total counts the queries of the trailing window. When it is 0, burn rates and good
	// shares are meaningless.
	Total    uint64
	Latency  Level
	Coverage Level
}

// Level is the level of one objective at one point in time.
type Level struct {
	// BurnRate is the burn rate over the trailing window.
	BurnRate float64
	// GoodShare is the share of good queries over the trailing window.
	GoodShare float64
	// BudgetLeft is the share of the error budget that was left at that time. The budget
	// is that of all queries in the longest window before the report.
	BudgetLeft float64
}

// newScale returns the scale for the longest time that a daemon recorded.
func newScale(recorded time.Duration) Scale {
	if recorded <= maxMinuteSpan {
		span := max(recorded.Truncate(time.Minute)+time.Minute, Window5m)
		return Scale{Span: min(span, maxMinuteSpan), Step: time.Minute, Trailing: Window5m}
	}
	span := recorded.Truncate(time.Hour) + time.Hour
	return Scale{Span: min(span, Window3d), Step: 10 * time.Minute, Trailing: Window1h}
}

// newHistory returns the points of a service, oldest first.
func newHistory(target float64, sums *suffixSums, scale Scale) []Point {
	var out []Point
	all := sums.window(0, Window3d)
	for age := scale.Span; age >= 0; age -= scale.Step {
		trailing := sums.window(age, scale.Trailing)
		// The queries that had spent budget by then.
		before := sums.window(age, Window3d)
		out = append(out, Point{
			Age:      age,
			Total:    trailing.Total,
			Latency:  newLevel(Latency, target, &trailing, &before, &all),
			Coverage: newLevel(Coverage, target, &trailing, &before, &all),
		})
	}
	return out
}

// newLevel returns the level of one objective, from the counts of the trailing window,
// of all queries before the point and of all queries before the report.
func newLevel(kind Kind, target float64, trailing, before, all *Counts) Level {
	l := Level{BurnRate: burnRate(trailing, kind, target), GoodShare: goodShare(trailing, kind), BudgetLeft: 1}
	if all.Total > 0 {
		l.BudgetLeft = round(1 - float64(before.bad(kind))/(float64(all.Total)*(1-target)))
	}
	return l
}
