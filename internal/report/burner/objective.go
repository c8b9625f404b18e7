package burner

import (
	"math"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Limits of burn rates. At PageBurn an hour spends a fifth of the budget of three
// days; at TicketBurn six hours spend half of it; at SlowBurn all of it goes.
const (
	PageBurn   = 14.4
	TicketBurn = 6.0
	SlowBurn   = 1.0
)

// fewBad is the number of bad queries in the long window below which an alert is
// marked: at a low rate a single bad query may raise the burn rate over a limit.
const fewBad = 5

// precision is the number of parts that figures are rounded to.
const precision = 1e6

// rules holds the alerts, the most severe first.
var rules = [...]struct {
	severity    Severity
	limit       float64
	short, long time.Duration
}{
	{Page, PageBurn, Window5m, Window1h},
	{Ticket, TicketBurn, Window1h, Window6h},
	{Ticket, SlowBurn, Window6h, Window3d},
}

// newObjective returns the level of one objective whose target is the share of
// queries that must be good.
func newObjective(kind Kind, target float64, t *track) Objective {
	all := t.last(0, Window3d)
	o := Objective{
		Kind:       kind,
		Target:     target,
		GoodShare:  goodShare(&all, kind),
		BudgetLeft: round(1 - burnRate(&all, kind, target)),
		Alerts:     []Alert{},
	}
	for _, w := range windows {
		o.Burns = append(o.Burns, newBurn(kind, target, t, w))
	}
	for _, r := range rules {
		short, long := newBurn(kind, target, t, r.short), newBurn(kind, target, t, r.long)
		if short.Rate > r.limit && long.Rate > r.limit {
			o.Alerts = append(o.Alerts, Alert{
				Severity: r.severity, Limit: r.limit, Short: short.Window, Long: long.Window, Few: long.Bad < fewBad,
			})
		}
	}
	return o
}

func newBurn(kind Kind, target float64, t *track, window time.Duration) Burn {
	c := t.last(0, window)
	return Burn{
		Window: declarer.Duration{Duration: window},
		Total:  c.Total,
		Bad:    c.bad(kind),
		Rate:   burnRate(&c, kind, target),
	}
}

// goodShare returns the share of good queries; 1 when there were none.
func goodShare(c *Counts, kind Kind) float64 {
	if c.Total == 0 {
		return 1
	}
	return round(1 - float64(c.bad(kind))/float64(c.Total))
}

// burnRate returns the share of bad queries over the share that may be bad; 0 when
// there were no queries.
func burnRate(c *Counts, kind Kind, target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return round(float64(c.bad(kind)) / float64(c.Total) / (1 - target))
}

// round drops what binary fractions add to a figure.
func round(x float64) float64 {
	return math.Round(x*precision) / precision
}
