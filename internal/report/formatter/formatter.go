// Package formatter formats the figures of a burn report as text, for tables on a
// terminal and on an HTML page.
package formatter

import (
	"fmt"
	"math"
	"strings"
	"time"

	"cornelwood.example/internal/report/burner"
)

// None is shown where there is no value.
const None = "–"

// roundingTolerance is added before a percentage is rounded down, so that a binary
// fraction just below a whole percentage is rounded to it.
const roundingTolerance = 1e-9

// Percent returns a share in percent. It has the fewest digits after the point, from 1 to
// 4, with which a share below 1 is not shown as 100%. A final ".0" is omitted.
func Percent(share float64) string {
	for _, digits := range []int{1, 2, 3, 4} {
		text := fmt.Sprintf("%.*f", digits, 100*share)
		if share >= 1 || !strings.HasPrefix(text, "100") {
			return strings.TrimSuffix(text, ".0") + "%"
		}
	}
	return "99.9999%"
}

// Rate returns a burn rate with two digits after the point, or one from 10 on.
func Rate(r float64) string {
	switch {
	case r == 0:
		return "0"
	case r < 0.01:
		return "<0.01"
	case r < 10:
		return fmt.Sprintf("%.2f", r)
	default:
		return fmt.Sprintf("%.1f", r)
	}
}

// Budget returns the share of a budget that is left in whole percent, rounded down.
func Budget(share float64) string {
	return fmt.Sprintf("%.0f%%", math.Floor(100*share+roundingTolerance))
}

// Duration returns a duration in its two largest units other than 0, in whole seconds:
// "3 d", "1 h 5 min", "40 s".
func Duration(d time.Duration) string {
	const day = 24 * time.Hour
	units := []struct {
		name string
		size time.Duration
	}{{"d", day}, {"h", time.Hour}, {"min", time.Minute}, {"s", time.Second}}
	var parts []string
	for _, u := range units {
		if n := d / u.size; n > 0 && len(parts) < 2 {
			parts = append(parts, fmt.Sprintf("%d %s", n, u.name))
			d -= n * u.size
		}
	}
	if len(parts) == 0 {
		return "0 s"
	}
	return strings.Join(parts, " ")
}

// Reasons returns the burn rate limits and windows of the alerts of one objective.
func Reasons(alerts []burner.Alert) string {
	parts := make([]string, len(alerts))
	for i, a := range alerts {
		parts[i] = fmt.Sprintf("above %g over %s and %s", a.Limit, Duration(a.Short.Duration), Duration(a.Long.Duration))
		if a.FewBad {
			parts[i] += " (based on few bad queries)"
		}
	}
	return "burn rate " + strings.Join(parts, "; ")
}

// Target returns the target of an objective, such as "99% within 120ms".
func Target(s *burner.Service, o *burner.Objective) string {
	condition := fmt.Sprintf("within %s", s.Contract.Latency)
	if o.Kind == burner.Coverage {
		condition = fmt.Sprintf("cover %s", Percent(s.Contract.Coverage))
	}
	return fmt.Sprintf("%s %s", Percent(o.Target), condition)
}

// State returns the result of querying a daemon: its error, the URL that it is a
// duplicate of, or that it answered.
func State(d burner.Daemon) string {
	switch {
	case d.Error != "":
		return d.Error
	case d.DuplicateOf != "":
		return "same instance as " + d.DuplicateOf + ", counted once"
	default:
		return "answered"
	}
}
