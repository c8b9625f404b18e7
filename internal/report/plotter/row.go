package plotter

import (
	"cornelwood.example/internal/report/burner"
	"cornelwood.example/internal/report/formatter"
)

// alertRow holds the alerts of one objective of one service.
type alertRow struct {
	// Severity is that of the most severe alert.
	Severity  burner.Severity
	Service   string
	Objective burner.Kind
	Reasons   string
}

// objectiveRow is one objective of one service, or a service without a contract.
type objectiveRow struct {
	Service    string
	Objective  string
	Target     string
	Queries    uint64
	Bad        uint64
	Refused    uint64
	GoodShare  string
	BudgetLeft string
	// IsBudgetSpent reports whether no budget is left.
	IsBudgetSpent bool
	Burns         []burnCell
}

// burnCell is the burn rate of one window.
type burnCell struct {
	Rate string
	// Class is the CSS class of the cell; empty below all limits.
	Class string
}

// daemonRow is one daemon.
type daemonRow struct {
	URL, Instance, Recorded, State string
	// HasFailed reports whether the daemon's series is missing.
	HasFailed bool
}

// alertRows returns one row for each objective with an alert: first those whose most
// severe alert is a page, then those with tickets only.
func alertRows(rep *burner.Report) []alertRow {
	var pages, tickets []alertRow
	for _, s := range rep.Services {
		for _, o := range s.Objectives {
			if len(o.Alerts) == 0 {
				continue
			}
			row := alertRow{Severity: o.Alerts[0].Severity, Service: s.Name, Objective: o.Kind, Reasons: formatter.Reasons(o.Alerts)}
			if row.Severity == burner.Page {
				pages = append(pages, row)
			} else {
				tickets = append(tickets, row)
			}
		}
	}
	return append(pages, tickets...)
}

// objectiveRows returns one row for each objective, and one for each service without a
// contract.
func objectiveRows(rep *burner.Report) []objectiveRow {
	var rows []objectiveRow
	for i := range rep.Services {
		s := &rep.Services[i]
		if len(s.Objectives) == 0 {
			rows = append(rows, objectiveRow{
				Service: s.Name, Objective: formatter.None, Target: "no contract known", Queries: s.Counts.Total, Bad: s.Counts.Refused, Refused: s.Counts.Refused,
				GoodShare: formatter.None, BudgetLeft: formatter.None, Burns: make([]burnCell, len(rep.Windows)),
			})
		}
		for j := range s.Objectives {
			rows = append(rows, newObjectiveRow(s, &s.Objectives[j]))
		}
	}
	return rows
}

func newObjectiveRow(s *burner.Service, o *burner.Objective) objectiveRow {
	longest := o.Burns[len(o.Burns)-1]
	row := objectiveRow{
		Service:       s.Name,
		Objective:     string(o.Kind),
		Target:        formatter.Target(s, o),
		Queries:       longest.Total,
		Bad:           longest.Bad,
		Refused:       s.Counts.Refused,
		GoodShare:     formatter.Percent(o.GoodShare),
		BudgetLeft:    formatter.Budget(o.BudgetLeft),
		IsBudgetSpent: o.BudgetLeft <= 0,
	}
	for _, b := range o.Burns {
		row.Burns = append(row.Burns, newBurnCell(b))
	}
	return row
}

func newBurnCell(b burner.Burn) burnCell {
	if b.Total == 0 {
		return burnCell{Rate: formatter.None}
	}
	cell := burnCell{Rate: formatter.Rate(b.Rate)}
	switch {
	case b.Rate > burner.PageBurn:
		cell.Class = "page"
	case b.Rate > burner.SlowBurn:
		cell.Class = "ticket"
	}
	return cell
}

func daemonRows(rep *burner.Report) []daemonRow {
	rows := make([]daemonRow, 0, len(rep.Daemons))
	for _, d := range rep.Daemons {
		row := daemonRow{URL: d.URL, Instance: d.Instance, Recorded: formatter.Duration(d.Recorded.Duration), State: formatter.State(d)}
		if d.Error != "" {
			row.Instance, row.Recorded, row.HasFailed = formatter.None, formatter.None, true
		}
		rows = append(rows, row)
	}
	return rows
}
