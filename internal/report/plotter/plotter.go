// Package plotter writes a burn report as an HTML page that loads nothing over the
// network: tables first, then plots as inline SVG, in a light and a dark theme.
//
//	plotter.go  the page
//	page.html   its template
//	row.go      the rows of its tables
//	chart.go    the plots of one service
//	svg.go      SVG elements that take their colours from the page
package plotter

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"cornelwood.example/internal/report/burner"
	"cornelwood.example/internal/report/formatter"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is the data of the template.
type page struct {
	// At is the time of the report.
	At      string
	Report  *burner.Report
	Alerts  []alertRow
	Windows []string
	// RecordedShares holds the recorded share of each window.
	RecordedShares []string
	Objectives     []objectiveRow
	Daemons        []daemonRow
	Charts         []chartRow
	// Trailing is the length of the window before each point of a plot.
	Trailing string
}

// chartRow holds the plots of one service.
type chartRow struct {
	Name  string
	Plots []plotRow
}

// plotRow is one plot with its caption.
type plotRow struct {
	Caption string
	SVG     template.HTML
}

// Write writes the page of a report to w; at is the time of the report.
func Write(w io.Writer, rep *burner.Report, at time.Time) error {
	p := page{
		At:         at.Format(time.RFC1123),
		Report:     rep,
		Alerts:     alertRows(rep),
		Objectives: objectiveRows(rep),
		Daemons:    daemonRows(rep),
		Trailing:   formatter.Duration(rep.Scale.Trailing),
	}
	for _, c := range rep.Windows {
		p.Windows = append(p.Windows, formatter.Duration(c.Window.Duration))
		p.RecordedShares = append(p.RecordedShares, formatter.Percent(c.Share))
	}
	for i := range rep.Services {
		row, err := newChartRow(&rep.Services[i], rep.Scale)
		if err != nil {
			return fmt.Errorf("plots of service %q: %w", rep.Services[i].Name, err)
		}
		if len(row.Plots) > 0 {
			p.Charts = append(p.Charts, row)
		}
	}
	if err := pageTemplate.Execute(w, p); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
