package plotter

import (
	"cornelwood.example/internal/report/burner"
	"cornelwood.example/internal/report/formatter"
)

// alertRow is one alert of one service.
type alertRow struct {
	Severity  burner.Severity
	Service   string
	Objective burner.Kind
	Reasons   string
}

// levelRow is one objective of one service.
type levelRow struct {
	Service   string
	Objective string
	Aim       string
	Queries   uint64
	Bad       uint64
	Refused   uint64
	Good      string
	Budget    string
	Spent     bool
	Burns     []burnCell
}

// burnCell is the burn rate of one window.
type burnCell struct {
	Rate  string
	Class string
}

// daemonRow is one daemon.
type daemonRow struct {
	URL, Instance, Recorded, State string
	Missed                         bool
}

// alertRows returns one row for each objective with an alert, pages first.
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

func levelRows(rep *burner.Report) []levelRow {
	var rows []levelRow
	for i := range rep.Services {
		s := &rep.Services[i]
		if len(s.Objectives) == 0 {
			rows = append(rows, levelRow{
				Service: s.Name, Objective: formatter.None, Aim: "no contract known", Queries: s.Counts.Total, Bad: s.Counts.Refused, Refused: s.Counts.Refused,
				Good: formatter.None, Budget: formatter.None, Burns: make([]burnCell, len(rep.Windows)),
			})
		}
		for j := range s.Objectives {
			rows = append(rows, newLevelRow(s, &s.Objectives[j]))
		}
	}
	return rows
}

func newLevelRow(s *burner.Service, o *burner.Objective) levelRow {
	whole := o.Burns[len(o.Burns)-1]
	row := levelRow{
		Service:   s.Name,
		Objective: string(o.Kind),
		Aim:       formatter.Target(s, o),
		Queries:   whole.Total,
		Bad:       whole.Bad,
		Refused:   s.Counts.Refused,
		Good:      formatter.Percent(o.GoodShare),
		Budget:    formatter.Budget(o.BudgetLeft),
		Spent:     o.BudgetLeft <= 0,
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
			row.Instance, row.Recorded, row.Missed = formatter.None, formatter.None, true
		}
		rows = append(rows, row)
	}
	return rows
}
