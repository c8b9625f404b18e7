package builder

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cornelwood.example/internal/cli/printer"
	"cornelwood.example/internal/cli/requester"
	"cornelwood.example/internal/report/burner"
	"cornelwood.example/internal/report/formatter"
	"cornelwood.example/internal/report/plotter"
	"cornelwood.example/internal/report/recorder"
)

const (
	flagHTML = "html"

	// maxConcurrentFetches limits the number of daemons from which records are read concurrently.
	maxConcurrentFetches = 32
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:        "report",
		Usage:       "report on service levels",
		Description: "Reports are based on the records that each daemon keeps in memory; docs/BURN.md explains how to read them.",
		Commands:    []*cli.Command{burnCommand()},
	}
}

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "show how fast services consume their error budgets",
		Description: "Reads what each daemon recorded over the last 3 days and shows, for each service and objective of its contract, " +
			"the share of good queries, the error budget left, burn rates over 5 min, 1 h, 6 h and 3 d, and alerts. " +
			"Pass the URL of every daemon: the figures do not include daemons that are not named or do not answer. " +
			"Daemons that do not answer in time are listed; the exit code is 0 unless none answers.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagOperator, Value: []string{defaultOperator}, Usage: "URL of a daemon's operator service; may be repeated", Sources: cli.EnvVars("CORNELWOOD_OPERATOR")},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time to wait for the answers of all daemons"},
			&cli.StringFlag{Name: flagHTML, Usage: "file to write an HTML page with plots to"},
			jsonFlag(),
		},
		Action: runBurn,
	}
}

func runBurn(ctx context.Context, cmd *cli.Command) error {
	rep := fetchReport(ctx, cmd.StringSlice(flagOperator), cmd.Duration(flagTimeout))
	if path := cmd.String(flagHTML); path != "" {
		if err := writePage(path, rep); err != nil {
			return err
		}
	}
	if err := printBurn(cmd, rep); err != nil {
		return err
	}
	if rep.Answered == 0 {
		return fmt.Errorf("none of %d daemons answered", rep.Asked)
	}
	return nil
}

// fetchResult is the answer of one daemon, or the error of the call.
type fetchResult struct {
	series recorder.Series
	err    error
}

// fetchReport reads the series of all daemons, at most maxConcurrentFetches at a time, and adds them to a report in the
// order of the URLs.
func fetchReport(ctx context.Context, urls []string, timeout time.Duration) *burner.Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make([]chan fetchResult, len(urls))
	for i := range answers {
		answers[i] = make(chan fetchResult, 1)
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentFetches)
	go func() {
		for i, url := range urls {
			g.Go(func() error {
				answers[i] <- fetchSeries(ctx, url)
				return nil
			})
		}
	}()
	b := burner.New()
	for i, url := range urls {
		a := <-answers[i]
		if a.err != nil {
			b.AddFailed(url, a.err.Error())
			continue
		}
		b.Add(url, &a.series)
	}
	return b.Report()
}

func fetchSeries(ctx context.Context, url string) fetchResult {
	var a fetchResult
	a.err = requester.New(url, &http.Client{}).Do(ctx, http.MethodGet, recorder.Path, nil, &a.series)
	return a
}

func writePage(path string, rep *burner.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create HTML page: %w", err)
	}
	if err := plotter.Write(f, rep, time.Now()); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close HTML page: %w", err)
	}
	return nil
}

func printBurn(cmd *cli.Command, rep *burner.Report) error {
	w := cmd.Root().Writer
	if cmd.Bool(flagJSON) {
		return printer.JSON(w, rep)
	}
	if err := printer.Table(w, []string{"SERVICE", "OBJECTIVE", "TARGET", "QUERIES", "BAD", "REFUSED", "GOOD", "BUDGET", "BURN 5M", "1H", "6H", "3D"}, burnRows(rep)); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := printAlerts(cmd, rep); err != nil {
		return err
	}
	shares := make([]string, len(rep.Windows))
	for i, c := range rep.Windows {
		shares[i] = formatter.Percent(c.Share) + " of " + formatter.Duration(c.Window.Duration)
	}
	fmt.Fprintf(w, "recorded: %s (daemons lose their records at a restart)\n\n", strings.Join(shares, ", "))
	rows := make([][]string, len(rep.Daemons))
	for i, d := range rep.Daemons {
		rows[i] = []string{d.URL, d.Instance, formatter.Duration(d.Recorded.Duration), formatter.State(d)}
	}
	return printer.Table(w, []string{"DAEMON", "INSTANCE", "RECORDED", "STATE"}, rows)
}

func burnRows(rep *burner.Report) [][]string {
	var rows [][]string
	for i := range rep.Services {
		s := &rep.Services[i]
		if s.Contract == nil {
			rows = append(rows, []string{s.Name, formatter.None, "no contract known", fmt.Sprint(s.Counts.Total), fmt.Sprint(s.Counts.Refused), fmt.Sprint(s.Counts.Refused)})
		}
		for j := range s.Objectives {
			rows = append(rows, burnRow(s, &s.Objectives[j]))
		}
	}
	return rows
}

func burnRow(s *burner.Service, o *burner.Objective) []string {
	longest := o.Burns[len(o.Burns)-1]
	row := []string{
		s.Name, string(o.Kind), formatter.Target(s, o),
		fmt.Sprint(longest.Total), fmt.Sprint(longest.Bad), fmt.Sprint(s.Counts.Refused), formatter.Percent(o.GoodShare), formatter.Budget(o.BudgetLeft),
	}
	for _, b := range o.Burns {
		if b.Total == 0 {
			row = append(row, formatter.None)
			continue
		}
		row = append(row, formatter.Rate(b.Rate))
	}
	return row
}

func printAlerts(cmd *cli.Command, rep *burner.Report) error {
	w := cmd.Root().Writer
	alerting := 0
	for _, s := range rep.Services {
		for _, o := range s.Objectives {
			if len(o.Alerts) == 0 {
				continue
			}
			alerting++
			if _, err := fmt.Fprintf(w, "%s: %s, %s: %s\n", o.Alerts[0].Severity, s.Name, o.Kind, formatter.Reasons(o.Alerts)); err != nil {
				return err
			}
		}
	}
	if alerting > 0 {
		return nil
	}
	_, err := fmt.Fprintln(w, "no alerts")
	return err
}
