package burner

import (
	"math"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Burn rates above which alerts are raised. At PageBurn, one hour spends a fifth of
// the three days' budget; at TicketBurn, six hours spend half of it; at SlowBurn,
// three days spend all of it.
const (
	PageBurn   = 14.4
	TicketBurn = 6.0
	SlowBurn   = 1.0
)

// minBad is the number of bad queries in the long window below which an alert is
// marked as based on few bad queries: with little traffic, a single bad query may raise
// the burn rate above a limit.
const minBad = 5

// precision is the inverse of the step to which shares and rates are rounded.
const precision = 1e6

// alertRules holds the conditions for alerts, the most severe first: an alert is raised
// when the burn rate is above limit over both windows.
var alertRules = [...]struct {
	severity    Severity
	limit       float64
	short, long time.Duration
}{
	{Page, PageBurn, Window5m, Window1h},
	{Ticket, TicketBurn, Window1h, Window6h},
	{Ticket, SlowBurn, Window6h, Window3d},
}

// newObjective returns one objective of a service; target is the share of queries
// that must be good.
func newObjective(kind Kind, target float64, sums *suffixSums) Objective {
	all := sums.window(0, Window3d)
	o := Objective{
		Kind:       kind,
		Target:     target,
		GoodShare:  goodShare(&all, kind),
		BudgetLeft: round(1 - burnRate(&all, kind, target)),
		Alerts:     []Alert{},
	}
	for _, w := range windows {
		o.Burns = append(o.Burns, newBurn(kind, target, sums, w))
	}
	for _, r := range alertRules {
		short, long := newBurn(kind, target, sums, r.short), newBurn(kind, target, sums, r.long)
		if short.Rate > r.limit && long.Rate > r.limit {
			o.Alerts = append(o.Alerts, Alert{
				Severity: r.severity, Limit: r.limit, Short: short.Window, Long: long.Window, FewBad: long.Bad < minBad,
			})
		}
	}
	return o
}

func newBurn(kind Kind, target float64, sums *suffixSums, window time.Duration) Burn {
	c := sums.window(0, window)
	return Burn{
		Window: declarer.Duration{Duration: window},
		Total:  c.Total,
		Bad:    c.bad(kind),
		Rate:   burnRate(&c, kind, target),
	}
}

// goodShare returns the share of good queries; 1 when there were no queries.
func goodShare(c *Counts, kind Kind) float64 {
	if c.Total == 0 {
		return 1
	}
	return round(1 - float64(c.bad(kind))/float64(c.Total))
}

// burnRate returns the share of bad queries divided by the share that may be bad; 0
// when there were no queries.
func burnRate(c *Counts, kind Kind, target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return round(float64(c.bad(kind)) / float64(c.Total) / (1 - target))
}

// round removes the rounding errors of binary fractions.
func round(x float64) float64 {
	return math.Round(x*precision) / precision
}
