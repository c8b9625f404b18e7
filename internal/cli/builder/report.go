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

	// maxAsks bounds the daemons asked at once.
	maxAsks = 32
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:        "report",
		Usage:       "report on service levels",
		Description: "Reports are made from what each daemon keeps in memory; docs/BURN.md says how to read them.",
		Commands:    []*cli.Command{burnCommand()},
	}
}

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "show how fast services spend their error budgets",
		Description: "Asks each daemon what it recorded over the last 3 days and shows, for each service and objective of its contract, " +
			"the share of good queries, the error budget left, burn rates over 5 min, 1 h, 6 h and 3 d, and alerts. " +
			"Name every daemon: one that is not asked or does not answer is not in the figures. " +
			"Daemons that do not answer in time are listed; the exit code is 0 unless none answers.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagOperator, Value: []string{defaultOperator}, Usage: "URL of a daemon's operator service; may be repeated", Sources: cli.EnvVars("CORNELWOOD_OPERATOR")},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time to wait for all daemons"},
			&cli.StringFlag{Name: flagHTML, Usage: "file to write as a page with plots"},
			jsonFlag(),
		},
		Action: runBurn,
	}
}

func runBurn(ctx context.Context, cmd *cli.Command) error {
	rep := askBurn(ctx, cmd.StringSlice(flagOperator), cmd.Duration(flagTimeout))
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

// asked is the outcome of the question to one daemon.
type asked struct {
	series recorder.Series
	err    error
}

// askBurn asks the daemons, some at a time, and adds up their answers in the order
// of the URLs.
func askBurn(ctx context.Context, urls []string, timeout time.Duration) *burner.Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make([]chan asked, len(urls))
	for i := range answers {
		answers[i] = make(chan asked, 1)
	}
	var g errgroup.Group
	g.SetLimit(maxAsks)
	go func() {
		for i, url := range urls {
			g.Go(func() error {
				answers[i] <- askOne(ctx, url)
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

func askOne(ctx context.Context, url string) asked {
	var a asked
	a.err = requester.New(url, &http.Client{}).Do(ctx, http.MethodGet, recorder.Path, nil, &a.series)
	return a
}

func writePage(path string, rep *burner.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("page: %w", err)
	}
	if err := plotter.Write(f, rep, time.Now()); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("page: %w", err)
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
	covers := make([]string, len(rep.Windows))
	for i, c := range rep.Windows {
		covers[i] = formatter.Percent(c.Share) + " of " + formatter.Duration(c.Window.Duration)
	}
	fmt.Fprintf(w, "recorded: %s (daemons keep nothing over a restart)\n\n", strings.Join(covers, ", "))
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
	whole := o.Burns[len(o.Burns)-1]
	row := []string{
		s.Name, string(o.Kind), formatter.Target(s, o),
		fmt.Sprint(whole.Total), fmt.Sprint(whole.Bad), fmt.Sprint(s.Counts.Refused), formatter.Percent(o.GoodShare), formatter.Budget(o.BudgetLeft),
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
	n := 0
	for _, s := range rep.Services {
		for _, o := range s.Objectives {
			if len(o.Alerts) == 0 {
				continue
			}
			n++
			if _, err := fmt.Fprintf(w, "%s: %s, %s: %s\n", o.Alerts[0].Severity, s.Name, o.Kind, formatter.Reasons(o.Alerts)); err != nil {
				return err
			}
		}
	}
	if n > 0 {
		return nil
	}
	_, err := fmt.Fprintln(w, "no alerts")
	return err
}
