package burner

import "time"

// shortSpan is the longest span that is shown minute by minute.
const shortSpan = Window6h

// Scale says how a History is sampled.
type Scale struct {
	// Span is the time before now that the points lie in.
	Span time.Duration
	// Step is the time between points.
	Step time.Duration
	// Trailing is the window that burn rates and good shares are taken over.
	Trailing time.Duration
}

// Point is the level of a service at one moment.
type Point struct {
	// Ago is the age of the moment.
	Ago time.Duration
	// Total counts the queries of the trailing window; without any, burn rates and
	// shares mean nothing.
	Total    uint64
	Latency  Level
	Coverage Level
}

// Level is the level of one objective at one moment.
type Level struct {
	Burn float64
	Good float64
	// Budget is what was then left of the budget of the whole span.
	Budget float64
}

// newScale returns the scale for data that reaches back by the time recorded.
func newScale(recorded time.Duration) Scale {
	if recorded <= shortSpan {
		span := max(recorded.Truncate(time.Minute)+time.Minute, Window5m)
		return Scale{Span: min(span, shortSpan), Step: time.Minute, Trailing: Window5m}
	}
	span := recorded.Truncate(time.Hour) + time.Hour
	return Scale{Span: min(span, Window3d), Step: 10 * time.Minute, Trailing: Window1h}
}

// newHistory returns the levels over time, oldest first.
func newHistory(target float64, t *track, scale Scale) []Point {
	var out []Point
	all := t.last(0, Window3d)
	for ago := scale.Span; ago >= 0; ago -= scale.Step {
		c := t.last(ago, scale.Trailing)
		// Older queries than this moment's spent what is gone by now.
		spent := t.last(ago, Window3d)
		out = append(out, Point{
			Ago:      ago,
			Total:    c.Total,
			Latency:  newLevel(Latency, target, &c, &spent, &all),
			Coverage: newLevel(Coverage, target, &c, &spent, &all),
		})
	}
	return out
}

func newLevel(kind Kind, target float64, c, spent, all *Counts) Level {
	l := Level{Burn: burnRate(c, kind, target), Good: goodShare(c, kind), Budget: 1}
	if all.Total > 0 {
		l.Budget = round(1 - float64(spent.bad(kind))/(float64(all.Total)*(1-target)))
	}
	return l
}
