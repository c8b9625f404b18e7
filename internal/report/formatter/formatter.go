// Package formatter writes the figures of a burn report as text, for tables on a
// terminal and on a page.
package formatter

import (
	"fmt"
	"math"
	"strings"
	"time"

	"cornelwood.example/internal/report/burner"
)

// None stands where there is nothing to show.
const None = "–"

// rounding keeps whole percentages whole.
const rounding = 1e-9

// Percent returns a share in percent, with more digits the closer to 1 it is: a
// share below 1 is never shown as 100%.
func Percent(share float64) string {
	for _, digits := range []int{1, 2, 3, 4} {
		text := fmt.Sprintf("%.*f", digits, 100*share)
		if share >= 1 || !strings.HasPrefix(text, "100") {
			return strings.TrimSuffix(text, ".0") + "%"
		}
	}
	return "99.9999%"
}

// Rate returns a burn rate with two or three digits.
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

// Budget returns the share of a budget that is left, in whole percent.
func Budget(share float64) string {
	return fmt.Sprintf("%.0f%%", math.Floor(100*share+rounding))
}

// Duration returns a time in its largest units: "3 d", "1 h 5 min", "40 s".
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

// Reasons returns why alerts of one objective were raised.
func Reasons(alerts []burner.Alert) string {
	parts := make([]string, len(alerts))
	for i, a := range alerts {
		parts[i] = fmt.Sprintf("above %g over %s and %s", a.Limit, Duration(a.Short.Duration), Duration(a.Long.Duration))
		if a.Few {
			parts[i] += " (on few bad queries)"
		}
	}
	return "burn rate " + strings.Join(parts, "; ")
}

// Target returns what an objective asks for.
func Target(s *burner.Service, o *burner.Objective) string {
	what := fmt.Sprintf("within %s", s.Contract.Latency)
	if o.Kind == burner.Coverage {
		what = fmt.Sprintf("cover %s", Percent(s.Contract.Coverage))
	}
	return fmt.Sprintf("%s %s", Percent(o.Target), what)
}

// State returns what became of the question to a daemon.
func State(d burner.Daemon) string {
	switch {
	case d.Error != "":
		return d.Error
	case d.Same != "":
		return "same instance as " + d.Same + ", counted once"
	default:
		return "answered"
	}
}
